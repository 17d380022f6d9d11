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
	// responseWindow is for responses to canceled requests: a few round trips between nodes.
	responseWindow = 300 * time.Millisecond
	// leaveWindow is for returning rate tokens and leaving the member list.
	leaveWindow = 200 * time.Millisecond
	// lateCallMargin is how long before cancelAt new downstream calls are refused. They usually take a few tens
	// of milliseconds.
	lateCallMargin = 500 * time.Millisecond
	// stopPollInterval is how often a stop checks for running requests.
	stopPollInterval = 10 * time.Millisecond
)

// ErrShutdownTimeout means that requests were still running at the end of the shutdown timeout.
var ErrShutdownTimeout = errors.New("node: shutdown timeout")

// requestTracker tracks the running requests of callers, other nodes and the upstream.
type requestTracker struct {
	// ctx is the parent context of all requests. It ends when running requests are canceled.
	ctx    context.Context
	cancel context.CancelFunc
	// cancelAt is when cancelRunning is called; nil unless the node is stopping.
	cancelAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	running  map[*http.ResponseController]struct{}
	canceled int
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
			writer.Header().Set("Connection", "close") // a later request on it could be canceled
			r = r.WithContext(context.WithValue(r.Context(), arrivedDuringStop{}, true))
		}
		if rt.ctx.Err() != nil {
			_ = controller.SetReadDeadline(time.Now()) // arrived after cancelRunning
		}
		handler.ServeHTTP(writer, r)
	})
}

func (rt *requestTracker) count() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return len(rt.running)
}

// cancelRunning cancels running requests.
func (rt *requestTracker) cancelRunning() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.canceled = len(rt.running)
	rt.cancel()
	for controller := range rt.running {
		// The context doesn't interrupt reads of request bodies. There are no other reads.
		_ = controller.SetReadDeadline(time.Now())
	}
}

// canceledCount returns the number of requests that were canceled.
func (rt *requestTracker) canceledCount() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.canceled
}

func (rt *requestTracker) stopping() bool { return rt.cancelAt.Load() != nil }

// arrivedDuringStop is the context key that marks requests which arrived after the stop began.
type arrivedDuringStop struct{}

// refuses reports whether a request arrived during a stop and could be canceled by it. One that arrived before is
// served, even if its body is incomplete.
func (rt *requestTracker) refuses(ctx context.Context, deadline time.Time) bool {
	return ctx.Value(arrivedDuringStop{}) != nil && rt.cancelsBefore(deadline)
}

// cancelsBefore reports whether running requests are canceled before t.
func (rt *requestTracker) cancelsBefore(t time.Time) bool {
	cancelAt := rt.cancelAt.Load()
	return cancelAt != nil && cancelAt.Before(t)
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

// asDraining turns an error after cancelRunning into a draining refusal with the same outcome.
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
// running ones, cancels the rest with a refusal shortly before ctx ends, and closes everything. The listeners
// stay open until then: running requests need them, and new ones get a refusal.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = began.Add(n.settings.ShutdownTimeout())
	}
	cancelAt := deadline.Add(-responseWindow - leaveWindow)
	n.requests.cancelAt.Store(&cancelAt)
	n.local.setDraining(true)
	n.membership.setDraining(true)
	n.log.Info().Int("requests", n.requests.count()).Time("end_at", cancelAt).Msg("node stops")
	cancelTimer := time.AfterFunc(time.Until(cancelAt), n.requests.cancelRunning)
	defer cancelTimer.Stop()
	for n.requests.count() > 0 && n.requests.ctx.Err() == nil {
		clock.Sleep(n.requests.ctx, stopPollInterval)
	}
	responseCtx, cancel := context.WithDeadline(ctx, cancelAt.Add(responseWindow))
	defer cancel()
	// A request that arrived since then may need the local listener for its calls.
	errs := []error{
		httpserver.ShutdownAll(responseCtx, n.httpServers("caller", "peer")...),
		httpserver.ShutdownAll(responseCtx, n.httpServers("local")...),
	}
	if count := n.requests.canceledCount(); count > 0 {
		n.log.Warn().Int("requests", count).Msg("requests ended at the shutdown timeout")
		errs = append(errs, fmt.Errorf("%w: %d requests were ended", ErrShutdownTimeout, count))
	}
	n.quota.stop(ctx)
	n.quota.shards.stop(ctx)
	n.membership.leave(ctx)
	n.stopTasks()
	n.tasks.Wait()
	n.peers.Close()
	n.upstreams.Close()
	n.log.Info().Dur("took_ms", time.Since(began)).Msg("node stopped")
	return errors.Join(errs...)
}
