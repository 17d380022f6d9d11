package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/quarantine"
	"github.com/cowslipglade/cowslipglade/upstream"
)

const (
	// suspectWait is how often, and suspectTries how many times, a request that is suspected of crashing
	// upstreams waits for another suspect to end.
	suspectWait  = 10 * time.Millisecond
	suspectTries = 10
	// acceptsTimeout bounds the connection that tells a crash from a broken connection.
	acceptsTimeout = 250 * time.Millisecond
)

// HandleForwarded implements peer.AcceptHandler. The call is in progress until its answer has been passed on.
func (n *Node) HandleForwarded(ctx context.Context, incoming *peer.Incoming, reserved func() error) (*call.Response, error) {
	n.accepted.Add(1)
	if n.refusing.Load() {
		n.accepted.Add(-1)
		refusal := call.NewRefusal(call.CodeDraining, call.NotRun, "node %s stops", n.settings().Node)
		refusal.Load = &call.Load{Draining: true}
		return nil, refusal
	}
	sender := ctx
	ctx, cancel := n.untilCut(ctx)
	end := sync.OnceFunc(func() {
		cancel()
		n.accepted.Add(-1)
	})
	answer, err := n.runLocal(ctx, &incoming.Request, func() error {
		defer context.AfterFunc(n.runCtx, incoming.AbortBody)()
		return reserved()
	})
	if err != nil {
		end()
		refusal := call.AsRefusal(err)
		if n.endedByStop(sender, refusal) {
			n.log.event("call_cut").Str("request_id", incoming.RequestID).Str("route", incoming.Route).Str("sender", incoming.Sender).
				Msg("forwarded call ended by the stop")
		}
		return nil, refusal
	}
	if answer.Buffered {
		answer.Body = call.OnClose(answer.Body, end)
		return answer, nil
	}
	stream := &streamedBody{ReadCloser: answer.Body}
	answer.Body = call.OnClose(stream, func() {
		n.logBroken(sender, &incoming.Context, stream)
		end()
	})
	return answer, nil
}

// queueDelay is how long calls of an importance may wait for a slot.
func queueDelay(importance call.Importance) time.Duration {
	switch importance {
	case call.Critical:
		return criticalQueueDelay
	case call.Normal:
		return normalQueueDelay
	}
	return sheddableQueueDelay
}

// runLocal runs a call on the upstream beside this node. reserved is called when it has its slot.
func (n *Node) runLocal(ctx context.Context, req *call.Request, reserved func() error) (*call.Response, error) {
	start := time.Now()
	u, reason := n.local.available(start)
	if u == nil || u.Service != req.Service {
		if u != nil {
			reason = "upstream is of another service"
		}
		return nil, n.refuseLocal(req, call.NewRefusal(call.CodeNoUpstream, call.NotRun, "%s", reason), nil)
	}
	queueCtx, cancel := context.WithTimeout(ctx, queueDelay(req.Importance))
	release, err := u.gate.Acquire(queueCtx, &admission.Item{
		Workspace: req.Workspace, KeyHash: req.KeyHash, Route: req.Route, Importance: req.Importance, Deadline: req.Deadline,
	})
	cancel()
	if err != nil {
		refusal := call.AsRefusal(err)
		if ctx.Err() == nil && queueCtx.Err() != nil {
			refusal.Code = call.CodeOverloaded
		}
		return nil, n.refuseLocal(req, refusal, u)
	}
	n.metrics.queue.record(time.Since(start))
	ticket, refusal := n.startTracked(ctx, u, req)
	if refusal == nil && n.local.current.Load().leaving() {
		u.tracker.End(ticket, false, time.Now())
		refusal = call.NewRefusal(call.CodeDraining, call.NotRun, "upstream is leaving")
	}
	if refusal != nil {
		release(admission.Ignored)
		return nil, n.refuseLocal(req, refusal, u)
	}
	if err := reserved(); err != nil {
		u.tracker.End(ticket, false, time.Now())
		release(admission.Ignored)
		return nil, call.NewRefusal(call.CodeCanceled, call.NotRun, "sender gave up: %v", err)
	}
	return n.runUpstream(ctx, u, req, func(result admission.Result) {
		u.tracker.End(ticket, result == admission.Succeeded, time.Now())
		release(result)
	})
}

// refuseLocal completes a refusal with the load signal, counts and logs it.
func (n *Node) refuseLocal(req *call.Request, refusal *call.Refusal, u *localUpstream) *call.Refusal {
	if u != nil {
		load := u.gate.Load()
		refusal.Load = &load
	}
	n.metrics.refused.Add(string(refusal.Code), 1)
	if event := n.log.event("call_refused"); event != nil {
		event.Str("request_id", req.RequestID).Str("route", req.Route).Str("importance", req.Importance.String()).
			Str("code", string(refusal.Code)).Str("reason", refusal.Message)
		if refusal.Load != nil {
			event.Int("in_flight", refusal.Load.InFlight).Int("limit", refusal.Load.Limit).Dur("queue_delay_ms", refusal.Load.QueueDelay)
		}
		event.Msg("call refused before the upstream")
	}
	return refusal
}

// startTracked notes that the call runs, so that a crash is blamed on it, and refuses calls that are known
// to crash upstreams.
func (n *Node) startTracked(ctx context.Context, u *localUpstream, req *call.Request) (quarantine.Ticket, *call.Refusal) {
	for range suspectTries {
		ticket, verdict := u.tracker.Start(req.Fingerprint, req.Crashes, time.Now())
		switch verdict.Action {
		case quarantine.Run:
			return ticket, nil
		case quarantine.Refuse:
			refusal := call.NewRefusal(call.CodeQuarantined, call.NotRun, "the request has crashed upstreams")
			refusal.RetryAfter = min(verdict.RetryAfter, quotaRetryLimit)
			return quarantine.Ticket{}, refusal
		}
		clock.Sleep(ctx, suspectWait)
	}
	return u.tracker.ForceStart(req.Fingerprint), nil
}

// runUpstream sends an admitted call. ended is called exactly once, when the upstream has finished.
func (n *Node) runUpstream(ctx context.Context, u *localUpstream, req *call.Request, ended func(admission.Result)) (*call.Response, error) {
	n.headers.PutUpstream(req.Header, UpstreamFields{
		RequestID: req.RequestID, Timeout: time.Until(req.Deadline), Instance: u.Instance, Workspace: req.Workspace, CallerService: req.CallerService,
	})
	start := time.Now()
	answer, err := n.upstreams.Run(ctx, u.Address, req)
	n.metrics.run.record(time.Since(start))
	if err != nil {
		n.upstreamFailed(ctx, u, err)
		ended(failureResult(err))
		refusal := upstreamRefusal(err)
		load := u.gate.Load()
		refusal.Load = &load
		return nil, refusal
	}
	if refusal := n.judge(u, req, answer); refusal != nil {
		_ = answer.Body.Close()
		ended(admission.Failed)
		load := u.gate.Load()
		refusal.Load = &load
		return nil, refusal
	}
	answer.Load = u.gate.Load()
	if answer.Buffered {
		ended(answerResult(answer))
	} else {
		answer.Body = &endingBody{ReadCloser: answer.Body, ended: ended, result: answerResult(answer)}
	}
	return answer, nil
}

// judge returns a refusal for answers that are not an upstream's result of the call.
func (n *Node) judge(u *localUpstream, req *call.Request, answer *call.Response) *call.Refusal {
	fields := n.headers.ReadAnswer(answer.Header)
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		n.log.event("upstream").Str("request_id", req.RequestID).Str("expected", u.Instance).Str("found", fields.Instance).
			Str("outcome", "replaced").Msg("another upstream has the address")
		n.local.lost(u)
		return call.NewRefusal(call.CodeNoUpstream, call.NotRun, "another upstream has the address")
	case fields.NotRun:
		return call.NewRefusal(call.CodeUpstreamRefused, call.NotRun, "upstream refused with status %d", answer.Status)
	case fields.RequestID != "" && fields.RequestID != req.RequestID:
		return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "answer of another request")
	case !fields.Signed:
		return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "answer with status %d is not signed", answer.Status)
	case answer.Header.Get("Content-Encoding") != "":
		return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "answer is encoded")
	case promisesNotRun(answer.Status):
		return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "upstream answered %d without saying that it has not run the request", answer.Status)
	}
	return nil
}

// promisesNotRun tells whether a status says to the client that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return true
	}
	return false
}

// upstreamFailed finds out whether the upstream is gone, and marks the requests that ran at a crash.
func (n *Node) upstreamFailed(ctx context.Context, u *localUpstream, err error) {
	lost := errors.Is(err, upstream.ErrNotConnected) && ctx.Err() == nil
	if errors.Is(err, upstream.ErrConnectionLost) {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptsTimeout)
		defer cancel()
		lost = !n.upstreams.Accepts(probeCtx, u.Address)
	}
	if !lost || !n.local.lost(u) {
		return
	}
	marks := u.tracker.Crash(quarantine.NewCrashID(u.Instance, uint64(u.Born)), time.Now())
	n.upstreams.Drop(u.Address)
	n.log.event("upstream").Str("instance", u.Instance).Int("running", len(marks)).Str("outcome", "crashed").Err(err).
		Msg("upstream does not accept connections")
}

// failureResult tells the queue what a failed call means for its limit.
func failureResult(err error) admission.Result {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return admission.TimedOut
	case errors.Is(err, upstream.ErrCanceled), errors.Is(err, upstream.ErrRequestBody), errors.Is(err, upstream.ErrNotConnected):
		return admission.Ignored
	}
	return admission.Failed
}

func answerResult(answer *call.Response) admission.Result {
	if serverError(answer) {
		return admission.Failed
	}
	return admission.Succeeded
}

func upstreamRefusal(err error) *call.Refusal {
	switch {
	case errors.Is(err, upstream.ErrNotConnected):
		return call.NewRefusal(call.CodeNoUpstream, call.NotRun, "%v", err)
	case errors.Is(err, upstream.ErrRequestBody):
		return call.NewRefusal(call.CodeIncompleteBody, call.MayHaveRun, "%v", err)
	case errors.Is(err, context.DeadlineExceeded):
		return call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "upstream did not answer within the deadline")
	case errors.Is(err, upstream.ErrCanceled):
		return call.NewRefusal(call.CodeCanceled, call.MayHaveRun, "canceled while the upstream ran the call")
	}
	return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "%v", err)
}

// endingBody ends the call when its streamed answer is closed. A read error makes it a failure.
type endingBody struct {
	io.ReadCloser
	once   sync.Once
	ended  func(admission.Result)
	result admission.Result
}

// Read reads from the body.
func (b *endingBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.result = admission.Failed
	}
	return count, err
}

// Close closes the body and ends the call.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.ended(b.result) })
	return err
}
