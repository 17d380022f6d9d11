package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/retry"
	"github.com/cowslipglade/cowslipglade/throttle"
)

// dispatch sends a call to an upstream of its service and returns the response or a refusal. It retries
// on other upstreams while the retry rules and the budget allow it.
func (n *Node) dispatch(ctx context.Context, d *dispatcher) (*call.Response, error) {
	if n.settings.Policy == settings.PolicyNone {
		return n.dispatchBaseline(ctx, d.req, d.body)
	}
	return d.run(ctx)
}

// dispatcher holds the state of one call across its attempts.
type dispatcher struct {
	node   *Node
	req    *call.Request
	body   *call.ReplayBody
	budget *retry.Budget
	// topUp refills the budget of a root request before a retry decision; nil for downstream calls.
	topUp func()
	// beforeSend, if not nil, is called before each attempt that an upstream may run.
	beforeSend func()
	failed     []balance.ID
	last       *call.Refusal // of the last attempt that was sent
	attempt    int
	reroutes   int
	// exhausted is set when the picker has no remaining upstream.
	exhausted bool
	// mayHaveRun means that an upstream may have run an earlier attempt. It overrides the last outcome.
	mayHaveRun bool
}

func (d *dispatcher) run(ctx context.Context) (*call.Response, error) {
	for {
		d.attempt++
		response, refusal := d.try(ctx)
		if refusal == nil && !d.shedByUpstream(response) {
			return response, nil
		}
		if refusal != nil && refusal.Crashed {
			d.req.Crashes++
		}
		if refusal == nil || refusal.Outcome == call.MayHaveRun {
			d.mayHaveRun = true
		}
		if d.reroute(refusal) {
			continue
		}
		failure := d.failure(refusal)
		if d.topUp != nil {
			d.topUp()
		}
		if !d.body.Replayable() {
			failure.Final = true
		}
		decision := d.node.retryConfig.Decide(failure, d.budget, d.node.random)
		if !decision.Retry {
			if refusal == nil {
				return response, nil
			}
			refusal.Final = true
			if d.mayHaveRun {
				refusal.Outcome = call.MayHaveRun
			}
			return nil, refusal
		}
		if response != nil {
			_ = response.Body.Close()
		}
		clock.Sleep(ctx, decision.Wait)
	}
}

// maxReroutes limits the attempts of one call that use no retry token.
const maxReroutes = 2

// reroute reports whether the call goes to another upstream without a retry token: it was not sent, or
// the destination was already draining. The picker learns of both immediately, so few calls are affected.
// Without this, a planned stop would fail calls whose bucket is empty.
func (d *dispatcher) reroute(refusal *call.Refusal) bool {
	if refusal == nil || refusal.Outcome != call.NotRun || refusal.Final || d.reroutes >= maxReroutes || !d.body.Replayable() {
		return false
	}
	switch refusal.Code {
	case call.CodeDraining, call.CodeNoUpstream, call.CodePeerFailed, call.CodeUpstreamFailed:
		d.reroutes++
		return !d.exhausted
	default:
		return false
	}
}

// shedByUpstream reports whether the upstream itself refused an idempotent call because of load.
func (d *dispatcher) shedByUpstream(response *call.Response) bool {
	return response.Status == http.StatusServiceUnavailable && d.req.Idempotent
}

func (d *dispatcher) failure(refusal *call.Refusal) retry.Failure {
	failure := retry.Failure{
		Outcome:    call.MayHaveRun,
		Code:       call.CodeUpstreamFailed,
		Idempotent: d.req.Idempotent,
		Attempt:    d.attempt,
		Remaining:  d.req.Deadline.Sub(d.node.now()),
	}
	if refusal != nil {
		failure.Outcome, failure.Code, failure.Final = refusal.Outcome, refusal.Code, refusal.Final
	}
	return failure
}

// try makes one attempt at an upstream and reports its result to the picker and the throttle.
func (d *dispatcher) try(ctx context.Context) (*call.Response, *call.Refusal) {
	n := d.node
	key := throttle.Key{Service: d.req.Service, Workspace: d.req.Workspace}
	if !n.throttle.Allow(key, d.req.Importance, n.now(), n.random.Float64()) {
		n.metrics.countShed(shedAtCaller, d.req.Importance, "early")
		refusal := call.NewRefusal(call.CodeOverloaded, call.NotRun, "service %s is overloaded for %s calls of this workspace", d.req.Service, d.req.Importance)
		refusal.RetryAfter = n.retryConfig.SpreadRetryAfter(throttleRetryAfter, n.random)
		refusal.Final = true // another upstream of the same service would refuse as well
		return nil, refusal
	}
	choice, err := n.picker.Pick(d.req.Service, balance.Query{
		Importance: d.req.Importance,
		Exclude:    d.failed,
		NoProbe:    !d.req.Idempotent,
	}, n.now(), n.random)
	if err != nil {
		d.exhausted = true
		if d.last != nil {
			return nil, call.NewRefusal(call.CodeNoUpstream, call.NotRun, "no upstream of %s is left after: %v", d.req.Service, d.last)
		}
		return nil, call.NewRefusal(call.CodeNoUpstream, call.NotRun, "no upstream of %s is available", d.req.Service)
	}
	if d.beforeSend != nil {
		d.beforeSend()
	}
	attempt := d.body.Attach(d.req)
	grant := d.budget.Grant()
	attempt.RetryBudget = grant.Tokens()
	start := n.now()
	response, err := n.send(ctx, candidate{choice.Node, choice.Address, choice.Incarnation}, attempt)
	end := n.now()
	if err == nil {
		grant.Settle(response.UnspentBudget)
		n.picker.Done(d.req.Service, choice.ID, balance.ResponseResult(response, end.Sub(start)), end)
		n.throttle.Observe(key, d.req.Importance, throttle.ResponseFeedback(response.Status), &response.Load, end)
		return response, nil
	}
	refusal := call.AsRefusal(err)
	grant.Settle(refusal.UnspentBudget)
	d.failed = append(d.failed, choice.ID)
	d.last = refusal
	n.picker.Done(d.req.Service, choice.ID, balance.RefusalResult(refusal, end.Sub(start)), end)
	n.throttle.Observe(key, d.req.Importance, throttle.RefusalFeedback(refusal), refusal.Load, end)
	return nil, refusal
}

// throttleRetryAfter is suggested to callers whose calls the throttle refuses.
const throttleRetryAfter = time.Second

// send makes one attempt at the given destination.
func (n *Node) send(ctx context.Context, target candidate, req *call.Request) (*call.Response, error) {
	req.CallID = randomID()
	n.metrics.attempts.Add(1)
	if target.name == n.settings.Name {
		return n.runLocal(ctx, req)
	}
	destination := peer.Destination{Address: target.address, Incarnation: target.incarnation, Kind: peer.KindRun}
	return n.peers.Forward(ctx, destination, req)
}
