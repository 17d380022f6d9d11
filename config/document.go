// Package config implements the configuration document, the changes that lead from one revision to the
// next, and the rules that resolve conflicts between changes.
//
// A Document is the result of applying all committed changes in revision order. Applying a change is
// deterministic, so all nodes at the same revision have the same document. Documents are immutable once
// published: Apply returns a new document that shares its unchanged parts with the old one. The package
// uses no sockets, goroutines or clocks of its own.
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
	// Rate is in requests per second, summed over all nodes.
	Rate float64 `json:"rate"`
	// Burst is in requests, summed over all nodes.
	Burst int64 `json:"burst"`
	// Weight is the share of capacity under contention, relative to other workspaces.
	Weight   float64 `json:"weight"`
	Revision int64   `json:"revision"`
	// Importance, if not nil, overrides the importance of the route.
	Importance *call.Importance `json:"importance,omitempty"`
}

// Key authorizes requests of a workspace. Only the hash of the key is stored.
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
	// Open routes need no key and are not charged to a workspace.
	Open     bool          `json:"open,omitempty"`
	Timeout  time.Duration `json:"timeout"`
	Revision int64         `json:"revision"`
	// Host restricts the route to requests for one host; empty matches all hosts.
	Host string `json:"host,omitempty"`
	// Split, if not empty, overrides Service.
	Split []SplitPart `json:"split,omitempty"`
	// MaxAttempts is the number of upstreams that a request may be sent to; 0 means that the rules apply.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// TargetLatency is the latency up to which a response has its full value; 0 means unknown.
	TargetLatency time.Duration `json:"target_latency,omitempty"`
}

// SplitPart is the share of a route's requests that is sent to a service.
type SplitPart struct {
	Service string `json:"service"`
	// Weight is relative to the other parts.
	Weight float64 `json:"weight"`
}

// Service describes the upstreams of a service.
type Service struct {
	// HealthPath returns status 200 while an upstream accepts requests.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the number of connections that an upstream accepts from all callers together.
	MaxConnections int `json:"max_connections,omitempty"`
	// WarmUp is how long an upstream is cold after its start; 0 means unknown.
	WarmUp time.Duration `json:"warm_up,omitempty"`
	// WarmUpRate is the number of requests per second that a cold upstream sustains; 0 means as many as a warm one.
	WarmUpRate float64 `json:"warm_up_rate,omitempty"`
}

// Rules apply to all routes and workspaces.
type Rules struct {
	// RetryRatio is the number of retry tokens that each root request earns for its workspace and route.
	RetryRatio float64 `json:"retry_ratio"`
	// RetryLimit is the number of extra attempts that a request may use across its entire call chain.
	RetryLimit int `json:"retry_limit"`
	// QuarantineCrashes is the number of upstream crashes after which a request is refused.
	QuarantineCrashes int `json:"quarantine_crashes"`
	// MaxConfigAge is how long a node serves requests with a key after the platform last confirmed its
	// configuration; 0 means no limit.
	MaxConfigAge time.Duration `json:"max_config_age"`
	Revision     int64         `json:"revision"`
}

// DefaultRules returns the rules that are in force until an operator sets others.
func DefaultRules() Rules {
	return Rules{RetryRatio: 0.05, RetryLimit: 1, QuarantineCrashes: 2}
}

// ClientLimits are limits for clients. A value of 0 means that operators set none.
type ClientLimits struct {
	HeaderBytes int64 `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// HeaderTimeout is how long a client may take to send a header, IdleTimeout how long a connection may be unused.
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Document is the configuration at one revision. Its maps must not be modified.
type Document struct {
	Revision   int64                `json:"revision"`
	Workspaces map[string]Workspace `json:"workspaces"`
	// Keys is indexed by Key.SHA256.
	Keys   map[string]Key   `json:"keys"`
	Routes map[string]Route `json:"routes"`
	Rules  Rules            `json:"rules"`
	// Recent holds the ids of the last MaxRecent changes, oldest first, so that every node can detect a
	// change that is resent.
	Recent []RecentChange `json:"recent,omitempty"`
	// Services is empty if operators define none.
	Services map[string]Service `json:"services,omitempty"`
	// ClientLimits bound what clients may send.
	ClientLimits ClientLimits `json:"client_limits,omitzero"`
	// Keyless means that no route needs a key.
	Keyless bool `json:"keyless,omitempty"`
}

// RecentChange is the id and revision of a committed change.
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

// MatchRoute returns the route with the longest path prefix that matches the method and path. Ties go to
// the route whose name sorts first.
func (d *Document) MatchRoute(method, path string) (Route, bool) {
	var best Route
	found := false
	for _, route := range d.Routes {
		if !route.matches(method, path) {
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

func (r Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	return slices.Contains(r.Methods, method)
}
