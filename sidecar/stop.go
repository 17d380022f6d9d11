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
	// maxAcceptPeriod is how long clients may keep sending requests after the node has reported that it is
	// not ready: two readiness checks one second apart, plus the transit time of a request.
	maxAcceptPeriod = 2500 * time.Millisecond
	// maxExitMargin is the part of the shutdown timeout reserved for the exit of the process.
	maxExitMargin = 400 * time.Millisecond
	// maxResponseMargin is how long before the exit margin the last requests are aborted, so that their
	// responses can still be sent.
	maxResponseMargin = 100 * time.Millisecond
	// maxLateAbortDelay is how long an upstream may take to give up the calls of a request that was aborted.
	maxLateAbortDelay = 100 * time.Millisecond
	// stopPollInterval is how often a stopping node checks whether requests are still in progress.
	stopPollInterval = 20 * time.Millisecond
	// minLateCallTime is the minimum time that must remain of a shutdown to start a call made by a running
	// request. Most calls take a few tens of milliseconds, but their deadline is that of the request.
	minLateCallTime = 500 * time.Millisecond
)

// ErrRequestsAborted means that requests were still running when the shutdown had no time left.
var ErrRequestsAborted = errors.New("sidecar: requests aborted by shutdown")

// shutdownSchedule holds the points in time of a graceful shutdown.
type shutdownSchedule struct {
	// acceptUntil is the time until which all requests are accepted.
	acceptUntil time.Time
	// abortAt is when running requests that came before acceptUntil are aborted.
	abortAt time.Time
	// abortLateAt is when all other requests are aborted.
	abortLateAt time.Time
	// deadline is when the remaining connections are closed.
	deadline time.Time
}

func (s *Settings) shutdownSchedule(start time.Time) *shutdownSchedule {
	deadline := start.Add(s.ShutdownTimeout - s.exitMargin())
	abortLateAt := deadline.Add(-s.responseMargin())
	return &shutdownSchedule{
		acceptUntil: start.Add(s.acceptPeriod()), abortAt: abortLateAt.Add(-s.lateAbortDelay()), abortLateAt: abortLateAt, deadline: deadline,
	}
}

// refuseLate refuses requests that a stopping node might be unable to finish, whose deadline is after the abort time. Of
// these it serves only what may be a call of a running request, is expected to end in the remaining time, and may be
// repeated if it does not: a request that must not be repeated is never started to be aborted.
func (n *Node) refuseLate(e *entryRequest) *call.Refusal {
	stop := n.shutdownSchedule.Load()
	now := time.Now()
	if stop == nil || now.Before(stop.acceptUntil) {
		return nil
	}
	if n.refusingAll.Load() {
		return call.NewRefusal(call.CodeDraining, call.NotRun, "node %s has stopped", n.settings().Node)
	}
	remaining := stop.abortAt.Sub(now)
	if !e.req.Deadline.After(stop.abortAt) || e.req.Idempotent && n.mayBeUpstreamCall(e) && remaining >= n.slowCallDuration(e) {
		return nil
	}
	return call.NewRefusal(call.CodeDraining, call.NotRun, "node %s stops in %v", n.settings().Node, remaining.Round(time.Millisecond))
}

// mayBeUpstreamCall reports whether a request may have been made by a request that is running on the
// upstream of this VM. Clients send no keys on open routes and in a keyless configuration either, so every
// request without one qualifies while the upstream is busy.
func (n *Node) mayBeUpstreamCall(e *entryRequest) bool {
	return (e.route.Open || n.configuration.document().Keyless) && n.local.busy()
}

// slowCallDuration returns a duration that calls of the route rarely exceed.
func (n *Node) slowCallDuration(e *entryRequest) time.Duration {
	return max(minLateCallTime, hedgeFactor*n.picker.ExpectedLatency(e.req.Service, e.req.Route))
}

// abortContext returns the context that ends when the node aborts the requests that arrive now.
func (n *Node) abortContext() context.Context {
	if stop := n.shutdownSchedule.Load(); stop != nil && !time.Now().Before(stop.acceptUntil) {
		return n.lateCtx
	}
	return n.runCtx
}

// abortedByStop reports whether the shutdown of this node aborted a request that may have run. It changes
// the refusal of any request aborted by the shutdown to say so. sender is the context of the request's
// sender, abort that which ends when the request is aborted.
func (n *Node) abortedByStop(sender, abort context.Context, refusal *call.Refusal) bool {
	if refusal == nil || abort.Err() == nil || sender.Err() != nil {
		return false
	}
	refusal.Code, refusal.Message = call.CodeDraining, fmt.Sprintf("node %s stopped before the answer", n.settings().Node)
	if refusal.Outcome == call.NotRun {
		return false
	}
	n.aborted.Add(1)
	return true
}

// Stop shuts the node down gracefully. It immediately reports that the node is not ready and is stopping, so
// that clients and calls go to other nodes, but serves all requests during the accept period because its
// upstream may be the only one of its service. After that it refuses forwarded calls and requests that may
// outlast it, waits for running requests, aborts those that take too long, which still get a response, and
// removes the node from the registry. Calls made by its own upstream are served until shortly before the end, and
// aborted after the requests that made them.
// The returned error wraps ErrRequestsAborted if requests were aborted.
func (n *Node) Stop() error {
	start := time.Now()
	times := n.settings().shutdownSchedule(start)
	n.shutdownSchedule.Store(times)
	n.stopping.Store(true)
	abortTimer := time.AfterFunc(time.Until(times.abortAt), n.abortRunningRequests)
	defer abortTimer.Stop()
	abortLateTimer := time.AfterFunc(time.Until(times.abortLateAt), n.abortLate)
	defer abortLateTimer.Stop()
	n.log.event("stop").Int64("entered", n.entryInFlight.Load()).Int64("accepted", n.forwardedInFlight.Load()).Msg("node stopping")
	n.registry.publish()
	time.Sleep(min(time.Until(times.acceptUntil), time.Until(times.abortAt)))
	n.refusingForwarded.Store(true)
	n.awaitIdle(times.deadline)
	n.refusingAll.Store(true)
	// The deadline may already have passed if the process was paused.
	err := n.closeServers(laterOf(times.deadline, time.Now().Add(n.settings().responseMargin())))
	n.cancel()
	n.abortRunning()
	n.abortLate()
	n.tasks.Wait() // the task that publishes the entry could write it again while it is removed
	deregisterCtx, cancelDeregister := context.WithTimeout(context.Background(), n.settings().deregisterTimeout())
	defer cancelDeregister()
	if err := n.registry.deregister(deregisterCtx); err != nil {
		n.log.event("registration_failed").Err(err).Msg("registry entry not removed; it expires with its lease")
	}
	n.forwarder.Close()
	n.upstreams.Close()
	if count := n.aborted.Load(); count > 0 {
		err = errors.Join(err, fmt.Errorf("%w: %d", ErrRequestsAborted, count))
	}
	n.log.event("stop").Dur("took_ms", time.Since(start)).Int64("cut", n.aborted.Load()).AnErr("error", err).Msg("node stopped")
	if err != nil {
		return fmt.Errorf("sidecar: stop: %w", err)
	}
	return nil
}

func (n *Node) abortRunningRequests() {
	n.log.event("stop").Int64("entered", n.entryInFlight.Load()).Int64("accepted", n.forwardedInFlight.Load()).Msg("aborting running requests")
	n.abortRunning()
}

// awaitIdle waits until no request is in progress, or until the deadline.
func (n *Node) awaitIdle(deadline time.Time) {
	for n.busy() && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// closeServers closes the listeners and waits until the last responses have been sent.
func (n *Node) closeServers(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	servers := make([]*httpserver.Server, len(n.servers))
	for i, server := range n.servers {
		servers[i] = server.Server
	}
	return httpserver.ShutdownAll(ctx, servers...)
}

// Close terminates the node immediately, as a crash would, but waits for its goroutines.
func (n *Node) Close() {
	n.cancel()
	n.abortRunning()
	n.abortLate()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.tasks.Wait()
	n.forwarder.Close()
	n.upstreams.Close()
}

// busy reports whether requests are in progress.
func (n *Node) busy() bool { return n.entryInFlight.Load() > 0 || n.forwardedInFlight.Load() > 0 }
