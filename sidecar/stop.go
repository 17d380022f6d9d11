package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
)

const (
	// readinessTime is how long clients may go on coming after the node has said that it is not ready: two
	// questions a second apart, and the way of a request.
	readinessTime = 2500 * time.Millisecond
	// exitMargin is left of the shutdown timeout for the end of the process.
	exitMargin = 400 * time.Millisecond
	// answerMargin before that, requests that still run are ended, so that their answers arrive.
	answerMargin = 100 * time.Millisecond
	// stopPoll is how often progress is looked at.
	stopPoll = 20 * time.Millisecond
	// lateCallMargin before the end of a stop no call of a running request is begun, nor one that could take
	// longer. The usual calls take a few tens of milliseconds; their deadline is that of the request.
	lateCallMargin = 500 * time.Millisecond
)

// ErrRequestsCut means that requests were still running when a stop had no time left.
var ErrRequestsCut = errors.New("sidecar: requests were cut by the stop")

// stopTimes are the times of a graceful shutdown.
type stopTimes struct {
	// acceptUntil is the time until which all requests are taken.
	acceptUntil time.Time
	// cutAt is when requests that still run are ended.
	cutAt time.Time
	// deadline is when their connections are closed.
	deadline time.Time
}

func (s *Settings) stopTimes(start time.Time) *stopTimes {
	deadline := start.Add(s.ShutdownTimeout - s.exitMargin())
	return &stopTimes{acceptUntil: start.Add(s.readinessTime()), cutAt: deadline.Add(-s.answerMargin()), deadline: deadline}
}

// refuseLate refuses requests that a stopping node could not be sure to finish: those of clients when their
// deadline is after its end, and calls of running requests when they may take longer than is left.
func (n *Node) refuseLate(e *entry) *call.Refusal {
	stop := n.stopTimes.Load()
	now := time.Now()
	if stop == nil || now.Before(stop.acceptUntil) {
		return nil
	}
	if n.closing.Load() {
		return call.NewRefusal(call.CodeDraining, call.NotRun, "node %s has stopped", n.settings().Node)
	}
	left := stop.cutAt.Sub(now)
	if !e.req.Deadline.After(stop.cutAt) || n.mayBeCall(e) && left >= n.longCall(e) {
		return nil
	}
	return call.NewRefusal(call.CodeDraining, call.NotRun, "node %s stops in %v", n.settings().Node, left.Round(time.Millisecond))
}

// mayBeCall tells whether a request may be a call of one that runs on the upstream of this VM. Without workspaces
// clients send no keys either.
func (n *Node) mayBeCall(e *entry) bool {
	return e.route.Open || n.configuration.document().Keyless && n.local.busy()
}

// longCall is the time that a call rarely exceeds.
func (n *Node) longCall(e *entry) time.Duration {
	return max(lateCallMargin, hedgeFactor*n.picker.ExpectedLatency(e.req.Service, e.req.Route))
}

// untilCut returns a context that ends with ctx, and at the end of a stop.
func (n *Node) untilCut(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.runCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// endedByStop tells whether this node's stop has ended a request that may have run. It makes the refusal of
// whatever a stop has ended name the stop. sender is the context of who sent the request.
func (n *Node) endedByStop(sender context.Context, refusal *call.Refusal) bool {
	if refusal == nil || n.runCtx.Err() == nil || sender.Err() != nil {
		return false
	}
	refusal.Code, refusal.Message = call.CodeDraining, fmt.Sprintf("node %s stopped before the answer", n.settings().Node)
	if refusal.Outcome == call.NotRun {
		return false
	}
	n.cut.Add(1)
	return true
}

// Stop is a graceful shutdown. The node says at once that it is not ready and that it stops, so that clients
// and calls go elsewhere, but serves those that come until readinessTime has passed: its upstream may be the
// only one of its service. Then it takes no forwarded calls and no requests that may outlast it, waits for
// running requests, ends those that take too long with an answer, and leaves the registry. The upstream's own
// calls are served until shortly before the end. The error wraps ErrRequestsCut when requests were ended.
func (n *Node) Stop() error {
	start := time.Now()
	times := n.settings().stopTimes(start)
	n.stopTimes.Store(times)
	n.stopping.Store(true)
	n.log.event("stop").Int64("entered", n.entered.Load()).Int64("accepted", n.accepted.Load()).Msg("node stops")
	n.registry.publish()
	cut := time.AfterFunc(time.Until(times.cutAt), n.endRunning)
	defer cut.Stop()
	time.Sleep(min(time.Until(times.acceptUntil), time.Until(times.cutAt)))
	n.refusing.Store(true)
	n.awaitIdle(times.deadline)
	n.closing.Store(true)
	// A process that was paused comes here late.
	err := n.closeServers(later(times.deadline, time.Now().Add(n.settings().answerMargin())))
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), n.settings().leaveTimeout())
	defer cancelLeave()
	if err := n.registry.leave(leaveCtx); err != nil {
		n.log.event("registration_failed").Err(err).Msg("own entry not removed; its lease ends")
	}
	n.cancel()
	n.cutRunning()
	n.tasks.Wait()
	n.forwarder.Close()
	n.upstreams.Close()
	if count := n.cut.Load(); count > 0 {
		err = errors.Join(err, fmt.Errorf("%w: %d", ErrRequestsCut, count))
	}
	n.log.event("stop").Dur("took_ms", time.Since(start)).Int64("cut", n.cut.Load()).AnErr("error", err).Msg("node stopped")
	if err != nil {
		return fmt.Errorf("sidecar: stop: %w", err)
	}
	return nil
}

// endRunning ends the requests that still run.
func (n *Node) endRunning() {
	n.log.event("stop").Int64("entered", n.entered.Load()).Int64("accepted", n.accepted.Load()).Msg("running requests are ended")
	n.cutRunning()
}

// awaitIdle returns when no request is in progress, at the deadline at the latest.
func (n *Node) awaitIdle(deadline time.Time) {
	for n.busy() && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// closeServers closes the listeners and waits for the last answers to be sent.
func (n *Node) closeServers(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	servers := make([]*httpserver.Server, len(n.servers))
	for i, server := range n.servers {
		servers[i] = server.Server
	}
	return httpserver.ShutdownAll(ctx, servers...)
}

// Close ends the node at once, as a crash would, but for its goroutines.
func (n *Node) Close() {
	n.cancel()
	n.cutRunning()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.tasks.Wait()
	n.forwarder.Close()
	n.upstreams.Close()
}

// busy tells whether requests are in progress.
func (n *Node) busy() bool { return n.entered.Load() > 0 || n.accepted.Load() > 0 }
