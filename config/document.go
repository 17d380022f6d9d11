// Package config holds the configuration document, the changes that lead from one revision to the
// next, and the rules that decide conflicts between changes.
//
// A Document is the result of applying all committed changes in revision order. Applying is
// deterministic, so every node that has the same revision has the same document. Documents are
// immutable once published: Apply returns a new one and shares what did not change. The package
// owns no socket, goroutine or clock.
package config

import (
	"slices"
	"strings"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Workspace is a tenant with its fleet-wide quota.
type Workspace struct {
	Name string `json:"name"`
	// Rate is in requests per second over all nodes together.
	Rate float64 `json:"rate"`
	// Burst is in requests over all nodes together.
	Burst int64 `json:"burst"`
	// Weight is the share under contention relative to other workspaces.
	Weight   float64 `json:"weight"`
	Revision int64   `json:"revision"`
	// Importance goes before that of routes; nil leaves it to them.
	Importance *call.Importance `json:"importance,omitempty"`
}

// Key admits requests of a workspace. The key itself is never stored.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// SHA256 is the lower-case hexadecimal hash of the key.
	SHA256    string `json:"sha256"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	Revision  int64  `json:"revision"`
}

// Route maps methods and a path prefix to a service.
type Route struct {
	Name       string          `json:"name"`
	PathPrefix string          `json:"path_prefix"`
	Methods    []string        `json:"methods,omitempty"`
	Service    string          `json:"service"`
	Importance call.Importance `json:"importance"`
	Idempotent bool            `json:"idempotent"`
	// Open routes need no key and count against no workspace.
	Open     bool          `json:"open,omitempty"`
	Timeout  time.Duration `json:"timeout"`
	Revision int64         `json:"revision"`
	// Host limits the route to requests for one host; empty takes all.
	Host string `json:"host,omitempty"`
	// Split, if not empty, goes before Service.
	Split []SplitPart `json:"split,omitempty"`
	// MaxAttempts is the number of upstreams that one request may be sent to; 0 leaves it to the rules.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// TargetLatency is the time within which an answer has its full worth; 0 when none is known.
	TargetLatency time.Duration `json:"target_latency,omitempty"`
}

// SplitPart is the share of a route's requests that goes to a service.
type SplitPart struct {
	Service string `json:"service"`
	// Weight is relative to the other parts.
	Weight float64 `json:"weight"`
}

// Service describes the upstreams of a service.
type Service struct {
	// HealthPath answers 200 while an upstream takes work.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int `json:"max_connections,omitempty"`
}

// Rules hold for all routes and workspaces.
type Rules struct {
	// RetryRatio is the retry tokens that each root request adds to its workspace and route.
	RetryRatio float64 `json:"retry_ratio"`
	// RetryLimit is the extra attempts that one request may use over its whole call chain.
	RetryLimit int `json:"retry_limit"`
	// QuarantineCrashes is the number of upstream crashes after which a request is refused.
	QuarantineCrashes int `json:"quarantine_crashes"`
	// MaxConfigAge is how long a node serves keyed requests without news of the configuration; 0
	// means without limit.
	MaxConfigAge time.Duration `json:"max_config_age"`
	Revision     int64         `json:"revision"`
}

// DefaultRules are in force until an operator sets others.
func DefaultRules() Rules {
	return Rules{RetryRatio: 0.05, RetryLimit: 1, QuarantineCrashes: 2}
}

// Document is the configuration at one revision. Its maps must not be modified.
type Document struct {
	Revision   int64                `json:"revision"`
	Workspaces map[string]Workspace `json:"workspaces"`
	// Keys is indexed by Key.SHA256.
	Keys   map[string]Key   `json:"keys"`
	Routes map[string]Route `json:"routes"`
	Rules  Rules            `json:"rules"`
	// Recent holds the ids of the last MaxRecent changes, oldest first, so that a change that is sent
	// again is recognised by every node.
	Recent []RecentChange `json:"recent,omitempty"`
	// Services is empty where operators describe none.
	Services map[string]Service `json:"services,omitempty"`
	// Keyless means that no route needs a key.
	Keyless bool `json:"keyless,omitempty"`
}

// RecentChange is a committed change's id with its revision.
type RecentChange struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
}

// NewDocument returns the empty document at revision 0.
func NewDocument() *Document {
	return &Document{
		Workspaces: map[string]Workspace{},
		Keys:       map[string]Key{},
		Routes:     map[string]Route{},
		Rules:      DefaultRules(),
	}
}

// MatchRoute returns the route with the longest prefix that takes the method and path.
func (d *Document) MatchRoute(method, path string) (Route, bool) {
	var best Route
	found := false
	for _, route := range d.Routes {
		if !route.takes(method, path) {
			continue
		}
		longer := len(route.PathPrefix) > len(best.PathPrefix)
		sameLength := len(route.PathPrefix) == len(best.PathPrefix)
		if !found || longer || (sameLength && route.Name < best.Name) {
			best, found = route, true
		}
	}
	return best, found
}

func (r Route) takes(method, path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	return slices.Contains(r.Methods, method)
}
