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
	"github.com/cowslipglade/cowslipglade/lineage"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/quarantine"
	"github.com/cowslipglade/cowslipglade/upstream"
)

const (
	// suspectPollInterval and maxSuspectPolls bound how long a request suspected of crashing upstreams waits
	// for another suspect to finish.
	suspectPollInterval = 10 * time.Millisecond
	maxSuspectPolls     = 10
	// crashProbeTimeout bounds the connection attempt that distinguishes a crashed upstream from a broken
	// connection.
	crashProbeTimeout = 250 * time.Millisecond
)

// HandleForwarded implements peer.AcceptHandler. The call counts as in flight until its response has been
// passed on.
func (n *Node) HandleForwarded(ctx context.Context, incoming *peer.Incoming, reserved func() error) (*call.Response, error) {
	n.forwardedInFlight.Add(1)
	if n.refusingForwarded.Load() {
		n.forwardedInFlight.Add(-1)
		refusal := call.NewRefusal(call.CodeDraining, call.NotRun, "node %s stops", n.settings().Node)
		refusal.Load = &call.Load{Draining: true}
		return nil, refusal
	}
	sender := ctx
	ctx, cancel := withEnd(ctx, n.runCtx)
	end := sync.OnceFunc(func() {
		cancel()
		n.forwardedInFlight.Add(-1)
	})
	defer afterPanic(end)
	response, err := n.runLocal(ctx, &incoming.Request, slotEvents{incoming.Queued, func() error {
		defer context.AfterFunc(n.runCtx, incoming.AbortBody)()
		return reserved()
	}})
	if err != nil {
		end()
		refusal := call.AsRefusal(err)
		if n.abortedByStop(sender, n.runCtx, refusal) {
			n.log.event("call_cut").Str("request_id", incoming.RequestID).Str("route", incoming.Route).Str("sender", incoming.Sender).
				Msg("forwarded call aborted by shutdown")
		}
		return nil, refusal
	}
	if response.Buffered {
		response.Body = call.OnClose(response.Body, end)
		return response, nil
	}
	stream := &streamedBody{ReadCloser: response.Body}
	response.Body = call.OnClose(stream, func() {
		n.logBrokenResponse(sender, n.runCtx, &incoming.Context, stream)
		end()
	})
	return response, nil
}

// slotEvents are called when a call waits for a slot, and once it has one.
type slotEvents struct {
	queued   func()
	reserved func() error
}

// runLocal runs a call on the upstream of this node.
func (n *Node) runLocal(ctx context.Context, req *call.Request, slot slotEvents) (*call.Response, error) {
	start := time.Now()
	u, reason := n.local.available(start)
	if u == nil || u.Service != req.Service {
		if u != nil {
			reason = "upstream is of another service"
		}
		return nil, n.refuseLocal(req, call.NewRefusal(call.CodeNoUpstream, call.NotRun, "%s", reason), nil)
	}
	if refusal := n.evacuation.refuseLocal(); refusal != nil {
		return nil, n.refuseLocal(req, refusal, nil)
	}
	metered := newMeteredCall(u, req, start)
	defer metered.drop() // unless it has started
	queueCtx, cancel := context.WithTimeout(ctx, patience(req.Deadline.Sub(start), u.gate.ServiceTime(req.Route)))
	release, err := u.gate.AcquireQueued(queueCtx, &admission.Item{
		Workspace: req.Workspace, KeyHash: req.KeyHash, Route: req.Route, Importance: req.Importance, Deadline: req.Deadline,
		ShedOrder: req.ShedOrder, Inner: req.Inner,
	}, slot.queued)
	cancel()
	if err != nil {
		refusal := call.AsRefusal(err)
		if ctx.Err() == nil && queueCtx.Err() != nil {
			refusal.Code = call.CodeOverloaded
		}
		return nil, n.refuseLocal(req, refusal, u)
	}
	var ticket quarantine.Ticket
	var once sync.Once
	end := func(result admission.Result) {
		once.Do(func() {
			u.tracker.End(ticket, result == admission.Succeeded, time.Now())
			release(result)
		})
	}
	defer afterPanic(func() { end(admission.Failed) })
	n.metrics.queueDelay.record(time.Since(start))
	ticket, refusal := n.startTracked(ctx, u, req)
	if refusal == nil && n.local.current.Load().leaving() {
		refusal = call.NewRefusal(call.CodeDraining, call.NotRun, "upstream is leaving")
	}
	if refusal != nil {
		end(admission.Ignored)
		return nil, n.refuseLocal(req, refusal, u)
	}
	if err := slot.reserved(); err != nil {
		end(admission.Ignored)
		return nil, call.NewRefusal(call.CodeCanceled, call.NotRun, "sender gave up: %v", err)
	}
	if refusal := n.awaitPace(ctx, req.Deadline); refusal != nil {
		end(admission.Ignored)
		return nil, n.refuseLocal(req, refusal, u)
	}
	if quarantine.IsBeginning(req.Fingerprint) {
		req.Body = u.tracker.Reader(req.Body, requestSource(req), ticket, time.Now)
	}
	return n.runUpstream(ctx, u, req, metered, end)
}

// refuseLocal adds the load to a refusal, counts it and logs it.
func (n *Node) refuseLocal(req *call.Request, refusal *call.Refusal, u *localUpstream) *call.Refusal {
	if u != nil {
		load := u.load(time.Now())
		refusal.Load, refusal.Limits = &load, n.limits.Below(req.Route, req.Service, time.Now())
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

// startTracked records that the call is running, so that a crash is attributed to it, and refuses calls that
// are known to crash upstreams.
func (n *Node) startTracked(ctx context.Context, u *localUpstream, req *call.Request) (quarantine.Ticket, *call.Refusal) {
	for range maxSuspectPolls {
		ticket, verdict := u.tracker.Start(req.Fingerprint, req.Crashes, time.Now())
		switch verdict.Action {
		case quarantine.Run:
			return ticket, nil
		case quarantine.Refuse:
			refusal := call.NewRefusal(call.CodeQuarantined, call.NotRun, "the request has crashed upstreams")
			refusal.RetryAfter = verdict.RetryAfter
			return quarantine.Ticket{}, refusal
		}
		clock.Sleep(ctx, suspectPollInterval)
	}
	return u.tracker.ForceStart(req.Fingerprint), nil
}

// runUpstream sends an admitted call. It calls release exactly once, when the upstream has finished.
func (n *Node) runUpstream(ctx context.Context, u *localUpstream, req *call.Request, metered *meteredCall, release func(admission.Result)) (*call.Response, error) {
	n.headers.PutUpstream(req.Header, UpstreamFields{
		RequestID: req.RequestID, Timeout: time.Until(req.Deadline), Instance: u.Instance, Workspace: req.Workspace, CallerService: req.CallerService,
	})
	start := time.Now()
	end := n.running.Start(req.RequestID, lineage.Run{Route: req.Route, Importance: req.Importance, ShedOrder: req.ShedOrder, Repeated: req.Repeated})
	releaseSlot := release
	var once sync.Once
	release = func(result admission.Result) {
		once.Do(func() {
			defer releaseSlot(result)
			defer end()
			metered.end(result == admission.Succeeded, time.Now())
		})
	}
	defer afterPanic(func() { release(admission.Failed) })
	metered.start(start)
	if req.Workspace != "" {
		n.metrics.upstreamSends.Add(req.Workspace, 1)
	}
	response, err := n.upstreams.Run(ctx, u.Address, req)
	n.metrics.upstreamLatency.record(time.Since(start))
	if err != nil {
		n.handleUpstreamError(ctx, u, err)
		release(admissionErrorResult(err))
		refusal := upstreamRefusal(ctx, err)
		load := u.load(time.Now())
		refusal.Load = &load
		return nil, refusal
	}
	refusal := n.checkResponse(u, req, response)
	if refusal != nil {
		_ = response.Body.Close()
		release(admission.Failed)
		load := u.load(time.Now())
		refusal.Load = &load
		return nil, refusal
	}
	if response.Buffered {
		metered.end(admissionResult(response) == admission.Succeeded, time.Now())
	}
	response.Load, response.Limits = u.load(time.Now()), n.limits.Below(req.Route, req.Service, time.Now())
	response.Load.Waited, response.Load.Ran, response.Load.Usual = metered.waited, metered.ran, metered.usual
	if response.Buffered {
		release(admissionResult(response))
	} else {
		response.Body = &releasingBody{ReadCloser: response.Body, release: release, result: admissionResult(response)}
	}
	return response, nil
}

// checkResponse returns a refusal if a response is not the upstream's result of the call.
func (n *Node) checkResponse(u *localUpstream, req *call.Request, response *call.Response) *call.Refusal {
	fields := n.headers.ReadResponse(response.Header)
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		n.log.event("upstream").Str("request_id", req.RequestID).Str("expected", u.Instance).Str("found", fields.Instance).
			Str("outcome", "replaced").Msg("address is used by another upstream")
		n.local.markCrashed(u)
		n.local.doubt("replaced")
		return call.NewRefusal(call.CodeNoUpstream, call.NotRun, "another upstream has the address")
	case fields.NotRun:
		return call.NewRefusal(call.CodeUpstreamRefused, call.NotRun, "upstream refused with status %d", response.Status)
	case !fields.Signed:
		return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "answer with status %d is not signed", response.Status)
	case response.Header.Get("Content-Encoding") != "":
		return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "answer is encoded")
	case impliesNotRun(response.Status):
		return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "upstream answered %d without saying that it has not run the request", response.Status)
	}
	return nil
}

// impliesNotRun reports whether clients take the status to mean that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return true
	}
	return false
}

// handleUpstreamError determines whether the upstream has crashed and, if so, marks the requests that were
// running.
func (n *Node) handleUpstreamError(ctx context.Context, u *localUpstream, err error) {
	unreachable := errors.Is(err, upstream.ErrNotConnected) && ctx.Err() == nil
	if unreachable {
		n.local.doubt("not_connected")
	}
	if errors.Is(err, upstream.ErrConnectionLost) {
		n.local.doubt("connection_lost")
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
		defer cancel()
		unreachable = !n.upstreams.Accepts(probeCtx, u.Address)
	}
	if !unreachable || !n.local.markCrashed(u) {
		return
	}
	marks := u.tracker.Crash(quarantine.NewCrashID(u.Instance, uint64(u.StartTimeMS)), time.Now())
	n.upstreams.Drop(u.Address)
	n.log.event("upstream").Str("instance", u.Instance).Int("running", len(marks)).Str("outcome", "crashed").Err(err).
		Msg("upstream does not accept connections")
}

// admissionErrorResult returns the admission result of a failed call.
func admissionErrorResult(err error) admission.Result {
	switch {
	case errors.Is(err, upstream.ErrNotConnected): // may be a deadline too, but the upstream got nothing
		return admission.Ignored
	case errors.Is(err, context.DeadlineExceeded):
		return admission.TimedOut
	case errors.Is(err, upstream.ErrCanceled), errors.Is(err, upstream.ErrRequestBody):
		return admission.Ignored
	}
	return admission.Failed
}

func admissionResult(response *call.Response) admission.Result {
	if serverError(response) {
		return admission.Failed
	}
	return admission.Succeeded
}

func upstreamRefusal(ctx context.Context, err error) *call.Refusal {
	switch {
	case errors.Is(err, upstream.ErrNotConnected) && ctx.Err() != nil:
		return endedRefusal(ctx, "before the call was sent to the upstream")
	case errors.Is(err, upstream.ErrNotConnected):
		return call.NewRefusal(call.CodeNoUpstream, call.NotRun, "%v", err)
	case errors.Is(err, quarantine.ErrQuarantined):
		return call.NewRefusal(call.CodeQuarantined, call.MayHaveRun, "%v", err)
	case errors.Is(err, upstream.ErrRequestBody):
		return call.NewRefusal(call.CodeIncompleteBody, call.MayHaveRun, "%v", err)
	case errors.Is(err, context.DeadlineExceeded):
		return call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "upstream did not answer within the deadline")
	case errors.Is(err, upstream.ErrCanceled):
		return call.NewRefusal(call.CodeCanceled, call.MayHaveRun, "canceled while the upstream ran the call")
	}
	return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "%v", err)
}

// endedRefusal returns the refusal of a call that has not run and whose context has ended.
func endedRefusal(ctx context.Context, when string) *call.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return call.NewRefusal(call.CodeDeadline, call.NotRun, "deadline passed %s", when)
	}
	return call.NewRefusal(call.CodeCanceled, call.NotRun, "canceled %s", when)
}

// releasingBody releases the slot of a call when its streamed response is closed. A read error makes the
// call a failure.
type releasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func(admission.Result)
	result  admission.Result
}

// Read implements io.Reader.
func (b *releasingBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.result = admission.Failed
	}
	return count, err
}

// Close closes the body and releases the slot.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.result) })
	return err
}
