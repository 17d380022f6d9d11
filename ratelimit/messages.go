// Package ratelimit enforces each workspace's rate and burst across all nodes, with prepaid tokens.
//
// A workspace's quota is divided among quota shards (Allotment). The owner of a shard (Shard) runs a
// token bucket per workspace and grants whole tokens to nodes, whose caches (Cache) admit requests
// locally. A granted token counts in the owner's bucket until the node reports it spent. Therefore
// free + outstanding <= the shard's part of the burst, and the tokens used on all nodes in any window
// w stay within burst + rate*w. A lost, delayed or duplicated message can only lose tokens.
//
// A report says how long ago the tokens were spent. Since then the owner may have dropped refill
// because its bucket appeared to be full. That refill is restored, so small bursts lose neither rate
// nor tokens to the delay of reports.
//
// The package uses no socket, goroutine, clock or random source of its own. Times passed in must come
// from a clock that keeps running while the process or its VM is paused.
package ratelimit

import (
	"cmp"
	"time"
)

// ShardID identifies a quota shard.
type ShardID struct {
	Domain string
	Number int
}

// Request is a node's message to the owner of a shard.
type Request struct {
	Node        string
	Incarnation uint64
	Shard       ShardID
	// Sequence increases with each request from the incarnation to the shard, and identifies its grants.
	Sequence uint64
	// Accepted is the sequence of the last request whose response was accepted. Responses to requests
	// between Accepted and Sequence were abandoned and will not be used.
	Accepted uint64
	Asks     []Ask
	Reports  []Report
}

// Ask requests tokens of one workspace.
type Ask struct {
	Workspace string
	// Need is the number of tokens for which requests are waiting.
	Need int
	// Prefetch is the number of tokens requested beyond Need.
	Prefetch int
}

// Report describes the use of a grant. Duplicate and reordered reports have no effect.
type Report struct {
	Workspace string
	// Sequence is the sequence of the request that was answered with the grant.
	Sequence uint64
	// Spent is the number of tokens of the grant that have been spent so far.
	Spent int
	// Age is the time since the last of these tokens was spent.
	Age time.Duration
	// Closed means that the node will not use the remaining tokens.
	Closed bool
}

// Status is the result of a Request.
type Status uint8

// Status values of a Response.
const (
	StatusOK Status = iota
	// StatusNotOwner means that the called node has no current term for the shard.
	StatusNotOwner
	// StatusWaiting means that grants of the previous term may still be valid.
	StatusWaiting
	// StatusStale means that a request with a higher sequence has already been received.
	StatusStale
)

// Response is the owner's response to a Request.
type Response struct {
	Status   Status
	Sequence uint64
	Grants   []Grant
	// RetryAfter is set with StatusWaiting.
	RetryAfter time.Duration
}

// Grant grants tokens of one workspace to a node. Tokens may be 0.
type Grant struct {
	Workspace string
	Tokens    int
	// Free is the number of tokens that remain at the owner.
	Free float64
	// Contended means that the owner was recently short of tokens for the workspace.
	Contended bool
}

// State is the state of a shard that a planned handover transfers from one term to the next.
type State struct {
	Shard ShardID
	// Term is the term that ended. Only the owner in Term+1 may use the state.
	Term       uint64
	Workspaces []WorkspaceState
}

// WorkspaceState is the bucket of one workspace.
type WorkspaceState struct {
	Workspace   string
	Free        float64
	Outstanding []OutstandingGrant
}

// OutstandingGrant is a grant that has neither been spent completely nor returned.
type OutstandingGrant struct {
	Node        string
	Incarnation uint64
	Sequence    uint64
	Tokens      int
	Spent       int
	// Remaining is how much longer the owner counts the tokens as outstanding.
	Remaining time.Duration
}

func compareReports(x, y Report) int {
	return cmp.Or(cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Sequence, y.Sequence))
}
