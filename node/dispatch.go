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

// dispatch sends a call to an upstream of its service, again elsewhere while the decisions and the
// budget allow it, and returns the answer or a refusal for the layer above.
func (n *Node) dispatch(ctx context.Context, d *dispatcher) (*call.Response, error) {
	if n.settings.Policy == settings.PolicyNone {
		return n.dispatchBaseline(ctx, d.req, d.body)
	}
	return d.run(ctx)
}

// dispatcher is the state of one call over its attempts.
type dispatcher struct {
	node   *Node
	req    *call.Request
	body   *call.ReplayBody
	budget *retry.Budget
	// topUp fills the budget of a root request before a retry is decided; nil below the root.
	topUp func()
	// beforeSend is called before each attempt that an upstream may run; nil means nothing to do.
	beforeSend func()
	failed     []balance.ID
	last       *call.Refusal // of the last attempt that was sent
	attempt    int
	reroutes   int
	// exhausted means that no upstream was left to choose.
	exhausted bool
	// mayHaveRun means that an upstream may have run an earlier attempt, whatever the last one says.
	mayHaveRun bool
}

func (d *dispatcher) run(ctx context.Context) (*call.Response, error) {
	for {
		d.attempt++
		answer, refusal := d.try(ctx)
		if refusal == nil && !d.shedByUpstream(answer) {
			return answer, nil
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
				return answer, nil
			}
			refusal.Final = true
			if d.mayHaveRun {
				refusal.Outcome = call.MayHaveRun
			}
			return nil, refusal
		}
		if answer != nil {
			_ = answer.Body.Close()
		}
		clock.Sleep(ctx, decision.Wait)
	}
}

// maxReroutes bounds the attempts of one call that cost no retry token.
const maxReroutes = 2

// reroute tells whether the call goes elsewhere without a retry token: it was not sent, or the
// destination had already begun to drain. The picker learns both at once, so few calls meet them, and
// without this a planned stop would cut calls whose bucket is empty.
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

// shedByUpstream tells whether the upstream itself refused the call for load.
func (d *dispatcher) shedByUpstream(answer *call.Response) bool {
	return answer.Status == http.StatusServiceUnavailable && d.req.Idempotent
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

// try makes one attempt at a chosen upstream and learns from its result.
func (d *dispatcher) try(ctx context.Context) (*call.Response, *call.Refusal) {
	n := d.node
	key := throttle.Key{Service: d.req.Service, Workspace: d.req.Workspace}
	if !n.throttle.Allow(key, d.req.Importance, n.now(), n.random.Float64()) {
		n.metrics.shedCall(shedAtCaller, d.req.Importance, "early")
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
	answer, err := n.send(ctx, candidate{choice.Node, choice.Address, choice.Incarnation}, attempt)
	end := n.now()
	if err == nil {
		grant.Settle(answer.UnspentBudget)
		n.picker.Done(d.req.Service, choice.ID, balance.ResponseResult(answer, end.Sub(start)), end)
		n.throttle.Observe(key, d.req.Importance, throttle.ResponseFeedback(answer.Status), &answer.Load, end)
		return answer, nil
	}
	refusal := call.AsRefusal(err)
	grant.Settle(refusal.UnspentBudget)
	d.failed = append(d.failed, choice.ID)
	d.last = refusal
	n.picker.Done(d.req.Service, choice.ID, balance.RefusalResult(refusal, end.Sub(start)), end)
	n.throttle.Observe(key, d.req.Importance, throttle.RefusalFeedback(refusal), refusal.Load, end)
	return nil, refusal
}

// throttleRetryAfter is the wait suggested to callers that are refused before anything is sent.
const throttleRetryAfter = time.Second

// send makes one attempt at one destination.
func (n *Node) send(ctx context.Context, target candidate, req *call.Request) (*call.Response, error) {
	req.CallID = randomID()
	n.metrics.attempts.Add(1)
	if target.name == n.settings.Name {
		return n.runLocal(ctx, req)
	}
	destination := peer.Destination{Address: target.address, Incarnation: target.incarnation, Kind: peer.KindRun}
	return n.peers.Forward(ctx, destination, req)
}
