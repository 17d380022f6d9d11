package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/intake"
	"github.com/cowslipglade/cowslipglade/internal/pipeline"
)

const (
	// maxEarlyPerConnection bounds the pipelined requests of one connection that run before their turn.
	maxEarlyPerConnection = 16
	// earlyMemoryFraction is the part of the memory limit that the responses of requests started early may take while
	// they wait for their turn.
	earlyMemoryFraction = 8
	// minEarlyTotal is the bound on all such requests where the memory limit is unknown or small.
	minEarlyTotal = 64
)

// newPipeline returns the look-ahead on the connections of clients.
func newPipeline(n *Node) *pipeline.Pipeline {
	return pipeline.New(pipeline.Config{
		Start: n.startEarly, MaxPerConnection: maxEarlyPerConnection,
		MaxTotal:  max(minEarlyTotal, int(n.settings().MemoryBytes/earlyMemoryFraction/call.BufferLimit)),
		MaxHeader: func() int64 { return n.clientLimits(intake.Requests).HeaderBytes },
	})
}

// entryResult is the result of a request that entered at this node.
type entryResult struct {
	node  *Node
	entry *entryRequest
	// ctx ends when the sender of the request disconnects or the shutdown aborts it.
	ctx    context.Context
	cancel context.CancelFunc

	response *call.Response
	refusal  *call.Refusal
	// tooLong means that the response is longer than what may be held.
	tooLong bool

	// done is closed when a request that was started early has its result.
	done chan struct{}

	mu        sync.Mutex
	discarded bool
	drop      sync.Once
}

// newEntry returns a request that has not been run yet. sender ends when the client disconnects.
func (n *Node) newEntry(sender context.Context, r *http.Request) *entryResult {
	e := &entryRequest{fields: n.headers.TakeRequest(r.Header), start: time.Now(), abort: n.abortContext()}
	result := &entryResult{node: n, entry: e}
	result.ctx, result.cancel = withEnd(sender, e.abort)
	return result
}

// end ends what the request holds once its response has been written.
func (s *entryResult) end() {
	if s.entry.release != nil {
		s.entry.release()
	}
	s.cancel()
}

// run serves the request.
func (s *entryResult) run(w http.ResponseWriter, r *http.Request) {
	s.response, s.refusal = s.node.serve(s.ctx, w, r, s.entry)
}

// startEarly starts a pipelined request before its turn. It returns nil if the request must wait: a request that must
// not run twice starts only once all requests before it are answered.
func (n *Node) startEarly(ctx context.Context, r *http.Request) pipeline.Result {
	active := n.configuration.current.Load()
	if active == nil || n.refusingAll.Load() {
		return nil
	}
	if route := active.routes.match(r.Host, r.RequestURI); route == nil || !route.Idempotent {
		return nil
	}
	n.entryInFlight.Add(1)
	result := n.newEntry(ctx, r)
	result.entry.early, result.done = true, make(chan struct{})
	go func() {
		result.run(nil, r)
		if result.streams() {
			result.hold() // upstreams cut off a response that is not read for long
		}
		close(result.done)
		result.mu.Lock()
		discarded := result.discarded
		result.mu.Unlock()
		if discarded {
			result.drop.Do(result.release)
		}
	}()
	return result
}

// takeEarly returns the result of a request that was started early, once it is there, or nil. The handler must call
// answered when it has written the response.
func takeEarly(r *http.Request) (started *entryResult, answered func()) {
	result, answered := pipeline.Take(r)
	started, ok := result.(*entryResult)
	if !ok {
		return nil, answered
	}
	<-started.done
	started.node.entryInFlight.Add(-1) // the handler counts the request from here on
	if started.entry.mustWait {
		started.end()
		return nil, answered
	}
	return started, answered
}

// Discard implements pipeline.Result.
func (s *entryResult) Discard() {
	s.mu.Lock()
	s.discarded = true
	s.mu.Unlock()
	s.cancel()
	select {
	case <-s.done:
		s.drop.Do(s.release)
	default: // released once the request has ended
	}
}

// release ends a request that was started early and is not needed.
func (s *entryResult) release() {
	if s.response != nil {
		_ = s.response.Body.Close()
	}
	s.end()
	s.node.entryInFlight.Add(-1)
}
