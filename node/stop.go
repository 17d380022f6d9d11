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

// Times at the end of a planned stop.
const (
	// answerTime is for the answers to requests that are ended: a few round trips between nodes.
	answerTime = 300 * time.Millisecond
	// leaveTime is for returning rate tokens and leaving the member list.
	leaveTime = 200 * time.Millisecond
	// lateCallMargin before running requests are ended no call for them is begun. Such calls usually take a few
	// tens of milliseconds.
	lateCallMargin = 500 * time.Millisecond
	// stopPoll is how often a stop looks for running requests.
	stopPoll = 10 * time.Millisecond
)

// ErrCut means that requests still ran at the end of the shutdown timeout.
var ErrCut = errors.New("node: shutdown timeout")

// work holds the running requests of callers, other nodes and the upstream.
type work struct {
	// ctx is that of all requests. It ends when running ones are ended.
	ctx    context.Context
	cancel context.CancelFunc
	// endAt is when running requests are ended; nil while the node does not stop.
	endAt atomic.Pointer[time.Time]

	mu      sync.Mutex
	running map[*http.ResponseController]struct{}
	ended   int
}

func newWork() *work {
	w := &work{running: map[*http.ResponseController]struct{}{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// track counts the requests of a handler. Their context must come from ctx.
func (w *work) track(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(writer)
		w.mu.Lock()
		w.running[controller] = struct{}{}
		w.mu.Unlock()
		defer func() {
			w.mu.Lock()
			delete(w.running, controller)
			w.mu.Unlock()
		}()
		if w.stopping() {
			writer.Header().Set("Connection", "close") // another request on it could meet its end
			r = r.WithContext(context.WithValue(r.Context(), cameDuringStop{}, true))
		}
		if w.ctx.Err() != nil {
			_ = controller.SetReadDeadline(time.Now()) // came after end
		}
		handler.ServeHTTP(writer, r)
	})
}

func (w *work) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// end ends running requests.
func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = len(w.running)
	w.cancel()
	for controller := range w.running {
		// Bodies that still arrive are not read through the context. Nothing else can be read.
		_ = controller.SetReadDeadline(time.Now())
	}
}

// endedCount returns the number of requests that end has ended.
func (w *work) endedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

func (w *work) stopping() bool { return w.endAt.Load() != nil }

// cameDuringStop is the key of a context value that marks requests which came after the signal.
type cameDuringStop struct{}

// refuses tells whether a request came during a stop and could be ended by it. One that came before is served,
// also when its body is still on its way.
func (w *work) refuses(ctx context.Context, deadline time.Time) bool {
	return ctx.Value(cameDuringStop{}) != nil && w.endsBefore(deadline)
}

// endsBefore tells whether running requests are ended before a time.
func (w *work) endsBefore(t time.Time) bool {
	endAt := w.endAt.Load()
	return endAt != nil && endAt.Before(t)
}

// draining returns the refusal of a stopping node.
func (n *Node) draining(outcome call.Outcome) *call.Refusal {
	return call.NewRefusal(call.CodeDraining, outcome, "node %s stops", n.settings.Name)
}

// refuseWhileStopping refuses callers' requests, which can go to another node. Only this node can tell what
// became of one with an id of its own.
func (n *Node) refuseWhileStopping(requestID string, route *config.Route, outcome call.Outcome) error {
	if !n.work.stopping() {
		return nil
	}
	if !route.Idempotent && n.settings.Policy != settings.PolicyNone {
		if id, err := requestid.Decode(requestID); err == nil && n.isHome(id) {
			return nil
		}
	}
	return n.draining(outcome)
}

// endedByStop names the stop as the reason of a request that it ended. What is known of the run stays.
func (n *Node) endedByStop(err error) error {
	if err == nil || n.work.ctx.Err() == nil {
		return err
	}
	refusal := *call.AsRefusal(err)
	if refusal.Code != call.CodeDraining {
		refusal.Code = call.CodeDraining
		refusal.Message = fmt.Sprintf("node %s stops: %s", n.settings.Name, refusal.Message)
	}
	return &refusal
}

// Stop is a graceful shutdown. It refuses new requests of callers and what cannot end before ctx does, waits
// for running requests, ends those that still run shortly before ctx does with a refusal, and then closes
// everything. The listeners stay open until then: running requests need them, and others get an answer.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = began.Add(n.settings.ShutdownTimeout())
	}
	endAt := deadline.Add(-answerTime - leaveTime)
	n.work.endAt.Store(&endAt)
	n.local.setDraining(true)
	n.membership.setDraining(true)
	n.log.Info().Int("requests", n.work.count()).Time("end_at", endAt).Msg("node stops")
	end := time.AfterFunc(time.Until(endAt), n.work.end)
	defer end.Stop()
	for n.work.count() > 0 && n.work.ctx.Err() == nil {
		clock.Sleep(n.work.ctx, stopPoll)
	}
	answerCtx, cancel := context.WithDeadline(ctx, endAt.Add(answerTime))
	defer cancel()
	// A request that has come since then may need the local listener for its calls.
	errs := []error{
		httpserver.ShutdownAll(answerCtx, n.httpServers("caller", "peer")...),
		httpserver.ShutdownAll(answerCtx, n.httpServers("local")...),
	}
	if count := n.work.endedCount(); count > 0 {
		n.log.Warn().Int("requests", count).Msg("requests ended at the shutdown timeout")
		errs = append(errs, fmt.Errorf("%w: %d requests were ended", ErrCut, count))
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
