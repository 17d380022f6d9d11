package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/quarantine"
	"github.com/cowslipglade/cowslipglade/requestid"
	"github.com/cowslipglade/cowslipglade/upstream"
)

// HandlePeer implements peer.Handler.
func (n *Node) HandlePeer(ctx context.Context, incoming *peer.Incoming) (*call.Response, error) {
	response, err := n.handlePeer(ctx, incoming)
	return response, n.asDraining(err)
}

func (n *Node) handlePeer(ctx context.Context, incoming *peer.Incoming) (*call.Response, error) {
	if incoming.Incarnation != n.identity.Load().incarnation {
		// An earlier process with this name may have run another copy of the call.
		return nil, call.NewRefusal(call.CodeWrongIncarnation, call.MayHaveRun, "node %s has been restarted", n.settings.Name)
	}
	req := &incoming.Request
	if !req.Idempotent && n.settings.Policy != settings.PolicyNone {
		if err := n.refuseDuplicate(req.CallID); err != nil {
			return nil, err
		}
	}
	if incoming.Kind == peer.KindHome {
		return n.handleHome(ctx, req)
	}
	return n.runLocal(ctx, req)
}

// handleHome runs a request that a caller sent to another node under an id that this node issued.
func (n *Node) handleHome(ctx context.Context, req *call.Request) (*call.Response, error) {
	if n.withdrawn(req.KeyHash) {
		return nil, call.NewRefusal(call.CodeWithdrawnKey, call.MayHaveRun, "the key has been withdrawn")
	}
	id, err := requestid.Decode(req.RequestID)
	if err != nil {
		return nil, call.NewRefusal(call.CodeRequestIDInvalid, call.NotRun, "%s: %v", call.HeaderRequestID, err)
	}
	body, err := call.NewReplayBody(req)
	if err != nil {
		return nil, bodyRefusal(err, call.MayHaveRun)
	}
	return n.runHome(ctx, id, req, body, n.configuration.document().Rules)
}

// runLocal runs a call on the upstream of this node. A refusal carries the load signal.
func (n *Node) runLocal(ctx context.Context, req *call.Request) (*call.Response, error) {
	local := n.local.available(n.now())
	if local == nil || local.Service != req.Service {
		return nil, call.NewRefusal(call.CodeNoUpstream, call.NotRun, "node %s has no upstream of %s", n.settings.Name, req.Service)
	}
	if n.settings.Policy == settings.PolicyNone {
		return n.runUpstream(ctx, local, newRunningCall(req), func(error) {})
	}
	running := newRunningCall(req)
	release, err := n.admitLocal(ctx, local, running)
	if err != nil {
		refusal := call.AsRefusal(err)
		if refusal.Code == call.CodeOverloaded {
			n.metrics.countShed(shedAtDestination, req.Importance, refusal.Message)
		}
		load := local.gate.Load()
		refusal.Load = &load
		refusal.UnspentBudget = req.RetryBudget
		return nil, refusal
	}
	tracked, err := local.crashes.start(ctx, req)
	if err != nil {
		release(admission.Ignored)
		return nil, err
	}
	if quarantine.IsBeginning(req.Fingerprint) {
		req.Body = local.crashes.tracker.Reader(req.Body, requestSource(req), tracked.ticket, n.now)
	}
	crashed := false
	response, err := n.runUpstream(ctx, local, running, func(err error) {
		crashed = local.crashes.finish(tracked, local.Address, err)
		release(admissionResult(err))
	})
	if err != nil {
		refusal := call.AsRefusal(err)
		refusal.Crashed = crashed
		return nil, refusal
	}
	return response, nil
}

func (n *Node) admitLocal(ctx context.Context, local *localUpstream, running *runningCall) (func(admission.Result), error) {
	req := running.req
	return local.gate.Acquire(ctx, &admission.Item{
		Workspace:  req.Workspace,
		Weight:     n.configuration.document().Workspaces[req.Workspace].Weight,
		KeyHash:    req.KeyHash,
		Route:      req.Route,
		Importance: req.Importance,
		Deadline:   req.Deadline,
		Downstream: &running.downstream,
	})
}

// runUpstream runs an admitted call. It calls done exactly once, when the upstream has finished, with
// the error of the call or nil.
func (n *Node) runUpstream(ctx context.Context, local *localUpstream, running *runningCall, done func(error)) (*call.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	running.ctx = ctx
	token := n.running.add(running)
	end := func(err error) {
		n.running.remove(token)
		cancel()
		done(err)
	}
	response, err := n.upstreams.Run(ctx, local.Address, token, running.req)
	if errors.Is(err, upstream.ErrNotConnected) {
		n.local.markUnreachable(local)
		n.membership.withdrawUpstream(local.Service)
	}
	if err != nil {
		end(err)
		refusal := upstreamRefusal(err)
		refusal.UnspentBudget = running.budget.Close()
		load := local.gate.Load()
		refusal.Load = &load
		return nil, refusal
	}
	if response.Buffered {
		end(responseError(response))
	} else {
		response.Body = &trackedBody{ReadCloser: response.Body, end: end, result: responseError(response)}
	}
	response.UnspentBudget = running.budget.Close()
	response.Load = local.gate.Load()
	return response, nil
}

// Failures that the upstream reported in a complete response.
var (
	errUpstreamShed   = errors.New("node: upstream sheds load")
	errUpstreamStatus = errors.New("node: upstream reports a failure")
)

// responseError returns the failure that a complete response reports, or nil. Upstreams shed load with
// status 503.
func responseError(response *call.Response) error {
	switch {
	case response.Status == http.StatusServiceUnavailable:
		return errUpstreamShed
	case response.Status >= http.StatusInternalServerError:
		return errUpstreamStatus
	default:
		return nil
	}
}

// admissionResult classifies the error of a finished call for the admission limit.
func admissionResult(err error) admission.Result {
	switch {
	case err == nil:
		return admission.Succeeded
	case errors.Is(err, errUpstreamShed):
		return admission.Overloaded
	case errors.Is(err, context.DeadlineExceeded):
		return admission.TimedOut
	case errors.Is(err, upstream.ErrCanceled), errors.Is(err, upstream.ErrRequestBody):
		return admission.Ignored
	default:
		return admission.Failed
	}
}

// trackedBody ends the call when the body is closed. A read error makes the call fail.
type trackedBody struct {
	io.ReadCloser
	once   sync.Once
	end    func(error)
	result error
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	count, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.result = upstream.ErrConnectionLost
	}
	return count, err
}

// Close closes the body and ends the call.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.end(b.result) })
	return err
}

func upstreamRefusal(err error) *call.Refusal {
	switch {
	case errors.Is(err, upstream.ErrNotConnected):
		return call.NewRefusal(call.CodeUpstreamFailed, call.NotRun, "%v", err)
	case errors.Is(err, quarantine.ErrQuarantined):
		return call.NewRefusal(call.CodeQuarantined, call.MayHaveRun, "%v", err)
	case errors.Is(err, upstream.ErrRequestBody):
		return bodyRefusal(err, call.MayHaveRun)
	case errors.Is(err, context.DeadlineExceeded):
		return call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "upstream did not answer within the deadline")
	case errors.Is(err, upstream.ErrCanceled):
		return call.NewRefusal(call.CodeCanceled, call.MayHaveRun, "canceled while the upstream ran the call")
	default:
		return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "%v", err)
	}
}
