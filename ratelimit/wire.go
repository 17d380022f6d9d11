package ratelimit

import (
	"errors"
	"math"
	"time"

	quotav1 "github.com/cowslipglade/cowslipglade/rpc/quota/v1"
)

// ErrBadMessage means that a message from another node has a value out of range.
var ErrBadMessage = errors.New("ratelimit: value out of range in message")

// EncodeRequest returns the protobuf form of a request.
func EncodeRequest(r Request) *quotav1.GrantRequest {
	m := &quotav1.GrantRequest{
		Node: r.Node, Incarnation: r.Incarnation, Shard: encodeShard(r.Shard),
		Sequence: r.Sequence, Accepted: r.Accepted,
	}
	for _, a := range r.Asks {
		m.Asks = append(m.Asks, &quotav1.Ask{Workspace: a.Workspace, Need: uint32(a.Need), Prefetch: uint32(a.Prefetch)})
	}
	for _, p := range r.Reports {
		m.Reports = append(m.Reports, &quotav1.Report{
			Workspace: p.Workspace, Sequence: p.Sequence, Spent: uint32(p.Spent),
			AgeUs: uint64(p.Age.Microseconds()), Closed: p.Closed,
		})
	}
	return m
}

// DecodeRequest converts a request from its protobuf form, or returns ErrBadMessage.
func DecodeRequest(m *quotav1.GrantRequest) (Request, error) {
	r := Request{
		Node: m.GetNode(), Incarnation: m.GetIncarnation(), Shard: decodeShard(m.GetShard()),
		Sequence: m.GetSequence(), Accepted: m.GetAccepted(),
	}
	if r.Sequence == 0 {
		return Request{}, ErrBadMessage
	}
	for _, a := range m.GetAsks() {
		if !countable(a.GetNeed()) || !countable(a.GetPrefetch()) {
			return Request{}, ErrBadMessage
		}
		r.Asks = append(r.Asks, Ask{Workspace: a.GetWorkspace(), Need: int(a.GetNeed()), Prefetch: int(a.GetPrefetch())})
	}
	for _, p := range m.GetReports() {
		if !countable(p.GetSpent()) {
			return Request{}, ErrBadMessage
		}
		r.Reports = append(r.Reports, Report{
			Workspace: p.GetWorkspace(), Sequence: p.GetSequence(), Spent: int(p.GetSpent()),
			Age: microseconds(p.GetAgeUs()), Closed: p.GetClosed(),
		})
	}
	return r, nil
}

// EncodeResponse returns the protobuf form of a response.
func EncodeResponse(r Response) *quotav1.GrantResponse {
	m := &quotav1.GrantResponse{
		Status:       quotav1.Status(r.Status) + quotav1.Status_STATUS_OK,
		Sequence:     r.Sequence,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, &quotav1.Grant{
			Workspace: g.Workspace, Tokens: uint32(g.Tokens), Free: float32(g.Free), Contended: g.Contended,
		})
	}
	return m
}

// DecodeResponse converts a response from its protobuf form, or returns ErrBadMessage.
func DecodeResponse(m *quotav1.GrantResponse) (Response, error) {
	status := m.GetStatus()
	if status < quotav1.Status_STATUS_OK || status > quotav1.Status_STATUS_STALE {
		return Response{}, ErrBadMessage
	}
	r := Response{
		Status:     Status(status - quotav1.Status_STATUS_OK),
		Sequence:   m.GetSequence(),
		RetryAfter: milliseconds(m.GetRetryAfterMs()),
	}
	for _, g := range m.GetGrants() {
		free := float64(g.GetFree())
		if !countable(g.GetTokens()) || !finite(free) {
			return Response{}, ErrBadMessage
		}
		r.Grants = append(r.Grants, Grant{
			Workspace: g.GetWorkspace(), Tokens: int(g.GetTokens()), Free: free, Contended: g.GetContended(),
		})
	}
	return r, nil
}

// EncodeState returns the protobuf form of a shard's state.
func EncodeState(s State) *quotav1.HandOverRequest {
	m := &quotav1.HandOverRequest{Shard: encodeShard(s.Shard), Term: s.Term}
	for _, w := range s.Workspaces {
		state := &quotav1.WorkspaceState{Workspace: w.Workspace, Free: w.Free}
		for _, o := range w.Outstanding {
			state.Outstanding = append(state.Outstanding, &quotav1.OutstandingGrant{
				Node: o.Node, Incarnation: o.Incarnation, Sequence: o.Sequence,
				Tokens: uint32(o.Tokens), Spent: uint32(o.Spent),
				// Rounded up, because a grant must not expire early at the next owner.
				RemainingMs: o.Remaining.Milliseconds() + 1,
			})
		}
		m.Workspaces = append(m.Workspaces, state)
	}
	return m
}

// DecodeState converts a shard's state from its protobuf form, or returns ErrBadMessage.
func DecodeState(m *quotav1.HandOverRequest) (State, error) {
	s := State{Shard: decodeShard(m.GetShard()), Term: m.GetTerm()}
	for _, w := range m.GetWorkspaces() {
		if !finite(w.GetFree()) {
			return State{}, ErrBadMessage
		}
		state := WorkspaceState{Workspace: w.GetWorkspace(), Free: w.GetFree()}
		for _, o := range w.GetOutstanding() {
			if !countable(o.GetTokens()) || o.GetSpent() > o.GetTokens() {
				return State{}, ErrBadMessage
			}
			state.Outstanding = append(state.Outstanding, OutstandingGrant{
				Node: o.GetNode(), Incarnation: o.GetIncarnation(), Sequence: o.GetSequence(),
				Tokens: int(o.GetTokens()), Spent: int(o.GetSpent()), Remaining: milliseconds(o.GetRemainingMs()),
			})
		}
		s.Workspaces = append(s.Workspaces, state)
	}
	return s, nil
}

func encodeShard(id ShardID) *quotav1.Shard {
	return &quotav1.Shard{FailureDomain: id.Domain, Number: uint32(id.Number)}
}

func decodeShard(m *quotav1.Shard) ShardID {
	return ShardID{Domain: m.GetFailureDomain(), Number: int(m.GetNumber())}
}

// countable reports whether n is small enough that sums of token counts cannot overflow.
func countable(n uint32) bool {
	return n <= math.MaxInt32
}

func finite(v float64) bool {
	return v >= 0 && v <= math.MaxInt64
}

func microseconds(n uint64) time.Duration {
	return time.Duration(min(n, uint64(time.Hour/time.Microsecond))) * time.Microsecond
}

func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), int64(time.Hour/time.Millisecond))) * time.Millisecond
}
