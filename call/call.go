// Package call holds the types that describe one call on its way through the nodes: the context that
// travels with it, its outcome, and the refusal that a caller gets in place of an answer.
//
// The values are plain data. They are not safe for concurrent modification.
package call

import (
	"io"
	"net/http"
	"time"
)

// Importance is the shedding class of a call. Lower values are shed last.
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

// ParseImportance returns the class with the given name, and false when there is none.
func ParseImportance(name string) (Importance, bool) {
	for i, n := range importanceNames {
		if n == name {
			return Importance(i), true
		}
	}
	return Normal, false
}

// Context is what travels with a call from node to node. An upstream never sees or changes it.
type Context struct {
	// CallID identifies one attempt; it is never reused.
	CallID string
	// RequestID identifies the request at its root, over all attempts.
	RequestID string
	// Workspace is empty on open routes.
	Workspace string
	// KeyHash is the hash of the key that admitted the request, so that queued work can be checked
	// against withdrawals again. Empty on open routes.
	KeyHash    string
	Route      string
	Service    string
	Importance Importance
	Idempotent bool
	Deadline   time.Time
	// RetryBudget is the number of extra attempts that this call and everything below it may use.
	RetryBudget int
	// Depth is the number of nodes of the chain before this one.
	Depth int
	// Crashes counts upstream crashes that happened while this request ran.
	Crashes int
	// Fingerprint recognises the request when it is sent again.
	Fingerprint uint64
	// CallerService is the service of the VM where the request entered; empty when it is not known.
	CallerService string
}

// Request is a call with its HTTP request parts.
type Request struct {
	Context
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Host is empty where routes do not depend on it.
	Host          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
}

// Load is the state of a destination node, carried on each of its answers.
type Load struct {
	InFlight   int
	Limit      int
	QueueDelay time.Duration
	// Admitted is the least important class that the destination still admits.
	Admitted Importance
	Draining bool
}

// Response is a complete HTTP answer, or a stream whose body reports truncation as an error.
type Response struct {
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
	// Buffered means that the body is in memory, so that the upstream has finished the call.
	Buffered bool
	// Deadline is when a receiver that does not take the rest of a streamed body is given up; zero means
	// never.
	Deadline time.Time
	Load     Load
	// UnspentBudget is the part of the granted retry budget that was not used.
	UnspentBudget int
}
