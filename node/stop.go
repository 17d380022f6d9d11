package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/requestid"
)

// Timing of a planned stop.
const (
	// responseMargin is the time for responses to aborted requests: a few round trips between nodes.
	responseMargin = 300 * time.Millisecond
	// exitMargin is the time for returning rate tokens, leaving the member list and the exit of the process.
	exitMargin = 200 * time.Millisecond
	// minExitTime is the part of exitMargin that a slow store or member cannot use up.
	minExitTime = 100 * time.Millisecond
	// minLateCallTime is the minimum time that must remain until abortAt to start a downstream call. Most calls
	// take a few tens of milliseconds.
	minLateCallTime = 500 * time.Millisecond
	// stopPollInterval is how often a stopping node checks whether requests are still in progress.
	stopPollInterval = 10 * time.Millisecond
)

// ErrShutdownTimeout means that requests were still running at the end of the shutdown timeout.
var ErrShutdownTimeout = errors.New("node: shutdown timeout")

// requestTracker tracks the running requests of callers, other nodes and the upstream.
type requestTracker struct {
	// ctx is the parent context of all requests. It ends when running requests are aborted.
	ctx    context.Context
	cancel context.CancelFunc
	// abortAt is when abortRunning is called; nil unless the node is stopping.
	abortAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	running map[*http.ResponseController]struct{}
	aborted int
}

func newRequestTracker() *requestTracker {
	rt := &requestTracker{running: map[*http.ResponseController]struct{}{}}
	rt.ctx, rt.cancel = context.WithCancel(context.Background())
	return rt
}

// track tracks the requests of a handler. Their contexts must derive from ctx.
func (rt *requestTracker) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(writer)
		rt.mu.Lock()
		rt.running[controller] = struct{}{}
		rt.mu.Unlock()
		defer func() {
			rt.mu.Lock()
			delete(rt.running, controller)
			rt.mu.Unlock()
		}()
		if rt.stopping() {
			writer.Header().Set("Connection", "close") // a later request on it could be aborted
			r = r.WithContext(context.WithValue(r.Context(), arrivedDuringStop{}, true))
		}
		if rt.ctx.Err() != nil {
			_ = controller.SetReadDeadline(time.Now()) // arrived after abortRunning
		}
		handler.ServeHTTP(writer, r)
	})
}

func (rt *requestTracker) count() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.running)
}

// abortRunning aborts the running requests.
func (rt *requestTracker) abortRunning() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.aborted = len(rt.running)
	rt.cancel()
	for controller := range rt.running {
		// The context does not interrupt reads of request bodies. There are no other reads.
		_ = controller.SetReadDeadline(time.Now())
	}
}

// abortedCount returns the number of requests that were aborted.
func (rt *requestTracker) abortedCount() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.aborted
}

func (rt *requestTracker) stopping() bool { return rt.abortAt.Load() != nil }

// arrivedDuringStop is the context key that marks requests which arrived after the stop began.
type arrivedDuringStop struct{}

// refuses reports whether a request arrived during a stop and could be aborted by it. One that arrived before is
// served, even if its body is incomplete.
func (rt *requestTracker) refuses(ctx context.Context, deadline time.Time) bool {
	return ctx.Value(arrivedDuringStop{}) != nil && rt.abortsBefore(deadline)
}

// abortsBefore reports whether running requests are aborted before t.
func (rt *requestTracker) abortsBefore(t time.Time) bool {
	abortAt := rt.abortAt.Load()
	return abortAt != nil && abortAt.Before(t)
}

// drainingRefusal returns the refusal of a stopping node.
func (n *Node) drainingRefusal(outcome call.Outcome) *call.Refusal {
	return call.NewRefusal(call.CodeDraining, outcome, "node %s stops", n.settings.Name)
}

// refuseWhileStopping refuses callers' requests, which other nodes can serve. It admits requests with an id that
// this node issued: only this node knows their outcome.
func (n *Node) refuseWhileStopping(requestID string, route *config.Route, outcome call.Outcome) error {
	if !n.requests.stopping() {
		return nil
	}
	if !route.Idempotent && n.settings.Policy != settings.PolicyNone {
		if id, err := requestid.Decode(requestID); err == nil && n.isHome(id) {
			return nil
		}
	}
	return n.drainingRefusal(outcome)
}

// asDraining turns an error after abortRunning into a draining refusal with the same outcome.
func (n *Node) asDraining(err error) error {
	if err == nil || n.requests.ctx.Err() == nil {
		return err
	}
	refusal := *call.AsRefusal(err)
	if refusal.Code != call.CodeDraining {
		refusal.Code = call.CodeDraining
		refusal.Message = fmt.Sprintf("node %s stops: %s", n.settings.Name, refusal.Message)
	}
	return &refusal
}

// Stop shuts down gracefully. It refuses callers' new requests and requests that may outlast ctx, waits for
// running ones, aborts the rest with a refusal shortly before ctx ends, and closes everything. The listeners
// stay open until then: running requests need them, and new ones get a refusal.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = began.Add(n.settings.ShutdownTimeout())
	}
	abortAt := deadline.Add(-responseMargin - exitMargin)
	n.requests.abortAt.Store(&abortAt)
	n.local.setDraining(true)
	n.membership.setDraining(true)
	n.log.Info().Int("requests", n.requests.count()).Time("end_at", abortAt).Msg("node stops")
	abortTimer := time.AfterFunc(time.Until(abortAt), n.requests.abortRunning)
	defer abortTimer.Stop()
	for n.requests.count() > 0 && n.requests.ctx.Err() == nil {
		clock.Sleep(n.requests.ctx, stopPollInterval)
	}
	responseCtx, cancel := context.WithDeadline(ctx, abortAt.Add(responseMargin))
	defer cancel()
	// A request that arrived since then may need the local listener for its calls.
	errs := []error{
		httpserver.ShutdownAll(responseCtx, n.httpServers("caller", "peer")...),
		httpserver.ShutdownAll(responseCtx, n.httpServers("local")...),
	}
	if count := n.requests.abortedCount(); count > 0 {
		n.log.Warn().Int("requests", count).Msg("requests aborted at the shutdown timeout")
		errs = append(errs, fmt.Errorf("%w: %d requests aborted", ErrShutdownTimeout, count))
	}
	leaveCtx, cancelLeave := context.WithDeadline(ctx, deadline.Add(-minExitTime))
	defer cancelLeave()
	n.quota.stop(leaveCtx)
	n.quota.shards.stop(leaveCtx)
	n.membership.leave(leaveCtx)
	n.stopTasks()
	n.tasks.Wait()
	n.peers.Close()
	n.upstreams.Close()
	n.log.Info().Dur("took_ms", time.Since(began)).Msg("node stopped")
	return errors.Join(errs...)
}
