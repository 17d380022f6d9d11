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
	// UnspentBudget is the unused part of the granted retry budget.
	UnspentBudget int
}
