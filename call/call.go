// Package call defines the types that describe a call between nodes: the context that is propagated
// with it, its outcome, and the refusal that a caller receives in place of a response.
//
// The types are plain data and not safe for concurrent modification.
package call

import (
	"io"
	"net/http"
	"time"
)

// Importance is the load shedding class of a call. Lower values are shed last.
type Importance uint8

// Importance classes, most important first.
const (
	Critical Importance = iota
	Normal
	Sheddable

	// ImportanceCount is the number of importance classes.
	ImportanceCount = int(Sheddable) + 1
)

var importanceNames = [...]string{"critical", "normal", "sheddable"}

// String returns the lower-case name of the class.
func (i Importance) String() string {
	if int(i) < len(importanceNames) {
		return importanceNames[i]
	}
	return "unknown"
}

// ParseImportance returns the class with the given name and reports whether it exists.
func ParseImportance(name string) (Importance, bool) {
	for i, n := range importanceNames {
		if n == name {
			return Importance(i), true
		}
	}
	return Normal, false
}

// Rank orders calls for load shedding, first by importance and then by a position within the class. A call of
// lower rank is shed later.
type Rank uint16

// RanksPerStep is the number of ranks that calls of one importance class and one route importance share.
const RanksPerStep Rank = 256

// RanksPerClass is the number of ranks in each importance class.
const RanksPerClass = RanksPerStep * Rank(ImportanceCount)

// RankLimit exceeds all ranks.
const RankLimit = Rank(ImportanceCount) * RanksPerClass

// innerAdvance is the number of ranks by which calls of running requests precede requests that have not started.
// It covers the change of an upstream's limit while a request runs.
const innerAdvance = RanksPerStep / 5

// Advanced returns the rank at which a destination sheds a call. Work has already been spent on the requests
// that make inner calls, so these are shed later than requests of the same rank that enter now.
func (r Rank) Advanced(inner bool) Rank {
	if !inner {
		return r
	}
	return r - min(r, innerAdvance)
}

// ServiceLimit tells which calls the upstreams of a service can serve.
type ServiceLimit struct {
	Service string
	// ShedFrom is the lowest rank that is shed; RankLimit means that the service has recovered.
	ShedFrom Rank
	// Age is the time since an upstream of the service reported the limit.
	Age time.Duration
}

// Context is the metadata that nodes propagate with a call. Upstreams can neither read nor change it.
type Context struct {
	// CallID identifies one attempt; it is never reused.
	CallID string
	// RequestID identifies the root request across all attempts.
	RequestID string
	// Workspace is empty on open routes.
	Workspace string
	// KeyHash is the hash of the key that authorized the request, so that queued work can be checked
	// again against key withdrawals. It is empty on open routes.
	KeyHash    string
	Route      string
	Service    string
	Importance Importance
	// ShedOrder is the position within the importance class; higher positions are shed first.
	ShedOrder uint16
	// Inner means that a running request made the call.
	Inner bool
	// Repeated means that an earlier send of the request, or of the request that made it, may have run. The calls that
	// the request makes are then repeats, too.
	Repeated   bool
	Idempotent bool
	Deadline   time.Time
	// RetryBudget is the number of extra attempts that this call and its downstream calls may use.
	RetryBudget int
	// Depth is the number of nodes that precede this one in the call chain.
	Depth int
	// Crashes counts the upstream crashes that occurred while this request ran.
	Crashes int
	// Fingerprint identifies repeats of the same request.
	Fingerprint uint64
	// CallerService is the service of the VM where the request entered; empty when unknown.
	CallerService string
}

// Rank returns the rank of the call.
func (c *Context) Rank() Rank { return Rank(c.Importance)*RanksPerClass + Rank(c.ShedOrder) }

// Request is a call with its HTTP request.
type Request struct {
	Context
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	// Host is empty when routes do not depend on it.
	Host          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
}

// Load is the load of a destination node, reported with each of its responses.
type Load struct {
	InFlight   int
	Limit      int
	QueueDelay time.Duration
	// Admitted is the least important class that the destination still admits.
	Admitted Importance
	Draining bool
	// ShedFrom is the lowest rank that the destination sheds; 0 means none.
	ShedFrom Rank
	// Waiting is the number of calls that wait for a slot. It and the fields below are 0 at nodes that do not report
	// them; Pace tells these apart.
	Waiting int
	// WorkLeft is the time that one slot would need, at the usual pace, for all calls that wait and run.
	WorkLeft time.Duration
	// Pace is the present speed of the upstream as a fraction of its usual one, above 0.
	Pace float64
	// Waited and Ran are how long the call of the response waited for a slot and ran at the upstream.
	Waited, Ran time.Duration
	// Usual is how long calls of its class usually run at this upstream; 0 means unknown.
	Usual time.Duration
}

// Response is an HTTP response, either buffered or with a streamed body whose Read returns an error on
// truncation.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
	// Buffered means that the body is in memory, and therefore that the upstream has finished the call.
	Buffered bool
	// Deadline is when the connection of a receiver that stops reading a streamed body is aborted; zero
	// means never.
	Deadline time.Time
	Load     Load
	// Limits are those of overloaded services to which calls of the route lead.
	Limits []ServiceLimit
	// UnspentBudget is the unused part of the granted retry budget.
	UnspentBudget int
}
