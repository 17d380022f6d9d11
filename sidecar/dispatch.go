package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/internal/random"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/retry"
)

const (
	// maxReroutes bounds the number of destinations that may refuse a request before it reaches an upstream.
	maxReroutes = 6
	// rerouteDelay is the delay before all destinations are retried once none is left.
	rerouteDelay = 25 * time.Millisecond
	// defaultAttempts applies to routes that set no number of attempts.
	defaultAttempts = 2
	// hedgeFactor is multiplied by the expected latency to give the least delay before a hedged attempt.
	hedgeFactor = 4
	// minHedgeDelay prevents hedging within the normal latency variance of short calls.
	minHedgeDelay = 60 * time.Millisecond
	// repeatBudgetFraction is the fraction of the operators' limit for repeated sends that nodes spend. Calls made by
	// repeated requests are charged where they are made. The rest is left for nodes that have more of these than they
	// may repeat, see retry.TestBudgetShareOfChain.
	repeatBudgetFraction = 0.9
	// repeatSlackFraction is the fraction of the operators' slack that nodes spend. A restarted node spends its share
	// again.
	repeatSlackFraction = 0.6
	// mayHaveRunFraction is the fraction of that budget available to requests that may have run and would make their
	// downstream calls again. Of the operators' limit it is 0.12, so that in a chain of four services the calls of
	// repeated requests take 0.36.
	mayHaveRunFraction = 0.133
)

// updateRepeatLimits sets this node's part of the operators' limit for repeated sends.
func (n *Node) updateRepeatLimits() {
	s := n.settings()
	complete := n.registry.isComplete()
	nodes := int64(len(n.registry.others()) + 1)
	for most := n.repeatNodes.Load(); nodes > most && !n.repeatNodes.CompareAndSwap(most, nodes); most = n.repeatNodes.Load() {
	}
	slack := 0.0 // at first, not all nodes that share it are known
	if complete {
		slack = s.RetrySlack * repeatSlackFraction / float64(n.repeatNodes.Load())
	}
	n.repeats.SetLimits(retry.RepeatLimits{
		Window: s.RetryWindow, Ratio: s.RetryRatio * repeatBudgetFraction, Slack: slack, MayHaveRunFraction: mayHaveRunFraction,
	})
}

// dispatcher holds the state of one request across its attempts.
type dispatcher struct {
	node  *Node
	entry *entryRequest
	// tried lists the destinations that the request was sent to.
	tried []balance.ID
	// repeats counts the repeated sends, after an earlier send that may have run, that were charged against the limits of
	// the route and the service.
	repeats int
	// refusals counts the repeated sends after refusals by upstreams.
	refusals int
	// arrived means that a send has reached an upstream.
	arrived    bool
	reroutes   int
	last       *call.Refusal
	mayHaveRun bool
	// commit is called before an attempt can run. If it returns a refusal, the attempt does not run.
	commit func() *call.Refusal
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	response *call.Response
	refusal  *call.Refusal
}

// dispatch runs a request on an upstream of its service.
func (n *Node) dispatch(ctx context.Context, e *entryRequest) (*call.Response, *call.Refusal) {
	n.repeats.RecordRequest(e.req.Service, e.req.Repeated, time.Now())
	d := &dispatcher{node: n, entry: e}
	run := d.runOnce
	if e.req.Idempotent && e.body.Buffered() {
		run = d.runRepeatable
	}
	response, refusal := run(ctx)
	switch {
	case refusal != nil && !d.arrived:
		n.repeats.RetractRequest(e.req.Service, e.req.Repeated, time.Now())
	case refusal == nil && e.parent != "":
		n.running.Answered(e.fields.ID)
	}
	return response, refusal
}

// runOnce runs a request that must not run twice. The request is resent only if it has certainly not run. The end of client,
// the context of the client, cancels an attempt only before it can run.
func (d *dispatcher) runOnce(client context.Context) (*call.Response, *call.Refusal) {
	ctx, cancel := context.WithDeadline(d.entry.abort, d.entry.req.Deadline)
	for {
		attemptCtx, cancelAttempt := context.WithCancel(ctx)
		detach := context.AfterFunc(client, cancelAttempt)
		d.commit = func() *call.Refusal {
			if !detach() {
				return call.NewRefusal(call.CodeCanceled, call.NotRun, "client has left")
			}
			return nil
		}
		choice, ok := d.choose(attemptCtx)
		if !ok {
			cancel()
			return nil, d.noDestination()
		}
		response, refusal := d.attempt(attemptCtx, choice, false)
		if refusal == nil {
			response.Body = call.OnClose(response.Body, cancel)
			return response, nil
		}
		detach()
		cancelAttempt()
		d.record(refusal)
		if !d.mayRepeat(refusal) {
			cancel()
			return nil, d.finalRefusal(refusal)
		}
	}
}

// runRepeatable runs a request that may run more than once. If the response is late, it sends a hedged
// attempt to a second upstream; the first response that is not a server error wins.
func (d *dispatcher) runRepeatable(ctx context.Context) (*call.Response, *call.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, d.entry.req.Deadline)
	results := make(chan attemptResult, defaultAttempts+maxReroutes)
	running := 0
	launch := func() bool {
		choice, ok := d.choose(ctx)
		if !ok {
			return false
		}
		running++
		repeated := d.repeats > 0
		go func() {
			result := attemptResult{refusal: panicRefusal(call.MayHaveRun)}
			d.node.contain("attempt", func() {
				response, refusal := d.attempt(ctx, choice, repeated)
				result = attemptResult{response, refusal}
			})
			results <- result
		}()
		return true
	}
	if !launch() {
		cancel()
		return nil, d.noDestination()
	}
	hedge := time.NewTimer(d.hedgeDelay())
	defer hedge.Stop()
	var failed *call.Response
	for running > 0 {
		select {
		case <-hedge.C:
			if d.repeatAllowed() {
				d.node.metrics.repeats.Add("hedge", 1)
				launch()
			}
		case result := <-results:
			running--
			if result.refusal == nil && !serverError(result.response) {
				d.discard(failed)
				go d.discardRemaining(results, running)
				response := result.response
				response.Body = call.OnClose(response.Body, cancel)
				return response, nil
			}
			if result.refusal == nil {
				d.discard(failed)
				failed = result.response
				if running == 0 && d.repeatAllowed() {
					d.node.metrics.repeats.Add("failure", 1)
					launch()
				}
				continue
			}
			d.record(result.refusal)
			if running == 0 && d.mayRepeat(result.refusal) {
				launch()
			}
		}
	}
	if failed != nil {
		failed.Body = call.OnClose(failed.Body, cancel)
		return failed, nil
	}
	cancel()
	return nil, d.finalRefusal(d.last)
}

// discardRemaining closes the responses of attempts that are no longer needed. Their context has ended, or
// will end once the chosen response has been delivered.
func (d *dispatcher) discardRemaining(results <-chan attemptResult, running int) {
	for range running {
		result := <-results
		d.node.contain("discard", func() { d.discard(result.response) })
	}
}

func (d *dispatcher) discard(response *call.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

func serverError(response *call.Response) bool {
	return response.Status >= http.StatusInternalServerError
}

// choose picks a destination. If none is left, it retries all of them after a short delay until the request is given up.
func (d *dispatcher) choose(ctx context.Context) (balance.Candidate, bool) {
	req := d.entry.req
	giveUpAt := d.node.giveUpAt(d.entry)
	for ctx.Err() == nil {
		choice, err := d.node.picker.Pick(req.Service, d.query(), time.Now(), random.Shared)
		if err == nil {
			d.tried = append(d.tried, choice.ID)
			d.entry.sends++
			return choice, true
		}
		if d.repeats > 0 || !time.Now().Before(giveUpAt) || d.reroutes >= maxReroutes {
			return balance.Candidate{}, false
		}
		clock.Sleep(ctx, rerouteDelay)
		d.tried = d.tried[:0]
	}
	return balance.Candidate{}, false // deadline exceeded, client disconnected, or node shutting down
}

// attempt sends the request to one destination and reports the result to the picker. repeated means that an earlier send
// may have run.
func (d *dispatcher) attempt(ctx context.Context, choice balance.Candidate, repeated bool) (*call.Response, *call.Refusal) {
	n := d.node
	attempt := d.entry.body.Attach(d.entry.req)
	attempt.Repeated = attempt.Repeated || repeated
	attempt.CallID = strconv.FormatUint(n.callSequence.Add(1), 36)
	start := time.Now()
	var response *call.Response
	var err error = panicRefusal(call.MayHaveRun)
	n.contain("attempt", func() {
		if choice.Node == n.settings().Node {
			attempt.Header = attempt.Header.Clone()
			response, err = n.runLocal(ctx, attempt, slotEvents{func() {}, d.commitLocal})
			return
		}
		to := peer.Destination{Address: choice.Address, Incarnation: choice.Incarnation, Kind: peer.KindRun}
		wait := forwardWait(time.Until(attempt.Deadline))
		wait.Commit = d.commit
		response, err = n.forwarder.Forward(ctx, to, attempt, wait)
	})
	end := time.Now()
	result := balance.LatencyResult{Latency: end.Sub(start), Class: workClass(d.entry.req)}
	if err == nil {
		result.Bytes, result.Load = max(0, response.ContentLength), &response.Load
		if serverError(response) {
			result.Outcome = balance.Failed
		}
		n.picker.Done(attempt.Service, choice.ID, attempt.Route, result, end)
		n.recordLimits(d.entry, choice.Node, result.Load, response.Limits, end)
		return response, nil
	}
	refusal := call.AsRefusal(err)
	result.Load, result.Outcome = refusal.Load, balanceOutcome(refusal)
	if refusal.Outcome == call.NotRun && ctx.Err() != nil {
		result.Outcome = balance.Abandoned // by this node, whatever the destination would have done
	}
	n.picker.Done(attempt.Service, choice.ID, attempt.Route, result, end)
	n.recordLimits(d.entry, choice.Node, refusal.Load, refusal.Limits, end)
	if event := n.log.event("attempt_failed"); event != nil {
		event.Str("request_id", attempt.RequestID).Str("route", attempt.Route).Str("destination", choice.Node).
			Str("code", string(refusal.Code)).Str("outcome", refusal.Outcome.String()).Str("reason", refusal.Message).
			Dur("took_ms", result.Latency).Msg("attempt failed")
	}
	return nil, refusal
}

// commitLocal is commit for a local attempt that has its slot.
func (d *dispatcher) commitLocal() error {
	if d.commit == nil {
		return nil
	}
	if refusal := d.commit(); refusal != nil {
		return refusal
	}
	return nil
}

// balanceOutcome maps a refusal to what it indicates about the destination.
func balanceOutcome(refusal *call.Refusal) balance.Outcome {
	switch refusal.Code {
	case call.CodeOverloaded, call.CodeDraining, call.CodeQuarantined:
		return balance.Declined
	case call.CodeNoUpstream:
		return balance.Unreachable
	case call.CodePeerFailed:
		if refusal.Outcome == call.NotRun {
			return balance.Unreachable
		}
		return balance.Failed
	case call.CodeDeadline:
		if refusal.Outcome == call.NotRun {
			return balance.Declined
		}
		return balance.TimedOut
	case call.CodeCanceled, call.CodeIncompleteBody:
		return balance.Abandoned
	}
	return balance.Failed
}

// record records the refusal of an attempt.
func (d *dispatcher) record(refusal *call.Refusal) {
	d.last = refusal
	d.mayHaveRun = d.mayHaveRun || refusal.Outcome == call.MayHaveRun
	d.arrived = d.arrived || refusal.Outcome == call.MayHaveRun || refusal.Code == call.CodeUpstreamRefused
}

// mayRepeat reports whether the request may be sent to another destination after a refusal.
func (d *dispatcher) mayRepeat(refusal *call.Refusal) bool {
	if refusal.Code == call.CodeCanceled || refusal.Code == call.CodeIncompleteBody || !d.entry.body.Replayable() {
		return false
	}
	if refusal.Outcome == call.NotRun && refusal.Code != call.CodeUpstreamRefused {
		d.reroutes++
		return d.reroutes < maxReroutes && (refusal.Code != call.CodeOverloaded || !d.node.serviceSheds(d.entry.req))
	}
	if refusal.Outcome == call.NotRun {
		if !d.refusedAgain() {
			return false
		}
		d.node.metrics.repeats.Add("refusal", 1)
		return true
	}
	if !d.entry.req.Idempotent || !d.repeatAllowed() {
		return false
	}
	d.node.metrics.repeats.Add("failure", 1)
	return true
}

// refusedAgain charges one repeated send after a refusal by an upstream that has not run the request. The attempts of the
// route count runs, so only the budget and the time of the caller bound these.
func (d *dispatcher) refusedAgain() bool {
	if !time.Now().Before(d.node.giveUpAt(d.entry)) {
		d.node.metrics.repeats.Add("denied_time", 1)
		return false
	}
	if !d.charge(false) {
		return false
	}
	d.refusals++
	return true
}

// repeatAllowed charges one repeated send, of a request that may have run, to the limits of the route and the service and
// to the rate of the workspace, and reports whether they allow it.
func (d *dispatcher) repeatAllowed() bool {
	attempts := d.entry.route.MaxAttempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	if d.repeats+1 >= attempts {
		return false
	}
	if d.node.serviceSheds(d.entry.req) {
		d.node.metrics.repeats.Add("denied_limit", 1) // a service that the request leads to would refuse its calls again
		return false
	}
	if !d.charge(true) {
		return false
	}
	if !d.node.shares.TakeRepeat(d.entry.req.Workspace, time.Now()) {
		d.node.metrics.repeats.Add("above_rate", 1)
		return false
	}
	d.repeats++
	return true
}

// charge charges one repeated send to the limit of the service and reports whether it allows it.
func (d *dispatcher) charge(ran bool) bool {
	n, req, now := d.node, d.entry.req, time.Now()
	verdict := n.repeats.AllowRepeat(req.Service, retry.Repeat{
		MayHaveRun: ran, Rank: req.Rank(), Answered: d.entry.answered,
	}, now)
	n.metrics.repeatVerdicts.Add(verdict.String()+"/"+req.Importance.String(), 1)
	if verdict == retry.Granted {
		return true
	}
	if event := n.log.event("repeat_denied"); event != nil {
		event.Str("request_id", req.RequestID).Str("route", req.Route).Str("service", req.Service).Str("reason", verdict.String()).
			Str("importance", req.Importance.String()).Uint16("rank", uint16(req.Rank())).Int("refusals", d.refusals).Msg("repeated send denied")
	}
	return false
}

// finalRefusal returns the refusal for the client, with the worst outcome of all attempts.
func (d *dispatcher) finalRefusal(refusal *call.Refusal) *call.Refusal {
	if d.mayHaveRun {
		refusal.Outcome = call.MayHaveRun
	}
	return refusal
}

// noDestination returns the refusal for a request that has no destination left.
func (d *dispatcher) noDestination() *call.Refusal {
	if d.last != nil {
		return d.finalRefusal(d.last)
	}
	return call.NewRefusal(call.CodeNoUpstream, call.NotRun, "no upstream of %s is available", d.entry.req.Service)
}
