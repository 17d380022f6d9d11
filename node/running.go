package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/retry"
)

// runningCall is a call that the upstream of this node is running. Its downstream calls inherit its
// context and spend its retry budget.
type runningCall struct {
	req    *call.Request
	ctx    context.Context
	budget *retry.Budget

	// downstream is the time in ns during which at least one downstream call was in progress.
	downstream atomic.Int64
	mu         sync.Mutex
	children   int
	since      time.Time
}

func newRunningCall(req *call.Request) *runningCall {
	return &runningCall{req: req, budget: retry.NewBudget(req.RetryBudget)}
}

// startChild and endChild measure the time that the call waits for downstream calls. Concurrent children
// count once.
func (r *runningCall) startChild(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.children == 0 {
		r.since = now
	}
	r.children++
}

func (r *runningCall) endChild(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children--
	if r.children == 0 {
		r.downstream.Add(int64(now.Sub(r.since)))
	}
}

// runningTable maps the tokens given to upstreams to their running calls. Tokens are random, so that an
// upstream can make downstream calls only for calls that it received.
type runningTable struct {
	calls sync.Map // token string to *runningCall
}

func (t *runningTable) add(r *runningCall) string {
	token := randomID()
	t.calls.Store(token, r)
	return token
}

func (t *runningTable) remove(token string) {
	t.calls.Delete(token)
}

func (t *runningTable) get(token string) (*runningCall, bool) {
	r, ok := t.calls.Load(token)
	if !ok {
		return nil, false
	}
	return r.(*runningCall), true
}

const randomIDBytes = 16

// randomID returns an unguessable identifier.
func randomID() string {
	var id [randomIDBytes]byte
	_, _ = rand.Read(id[:]) // documented never to fail
	return hex.EncodeToString(id[:])
}

func (t *runningTable) count() int {
	count := 0
	t.calls.Range(func(any, any) bool {
		count++
		return true
	})
	return count
}
