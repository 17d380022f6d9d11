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
	// repeatBudgetFraction is the fraction of the operators' limit for repeated sends that nodes spend. The
	// rest is left for calls made by repeated requests, which count as repeats but cannot be distinguished
	// from other calls.
	repeatBudgetFraction = 0.6
	// mayHaveRunFraction is the fraction of that budget available to requests that may have run and would
	// make their downstream calls again. In a chain of four services, 0.6 + 3 * 0.6 * 0.2 stays within the
	// limit.
	mayHaveRunFraction = 0.2
)

// updateRepeatLimits sets this node's part of the operators' limit for repeated sends.
func (n *Node) updateRepeatLimits() {
	s := n.settings()
	nodes := float64(len(n.registry.others()) + 1)
	n.repeats.SetLimits(retry.RepeatLimits{
		Window: s.RetryWindow, Ratio: s.RetryRatio * repeatBudgetFraction, Slack: s.RetrySlack * repeatBudgetFraction / nodes, MayHaveRunFraction: mayHaveRunFraction,
	})
}

// dispatcher holds the state of one request across its attempts.
type dispatcher struct {
	node  *Node
	entry *entryRequest
	// tried lists the destinations that the request was sent to.
	tried []balance.ID
	// repeats counts the repeated sends charged against the limits of the route and the service.
	repeats    int
	reroutes   int
	last       *call.Refusal
	mayHaveRun bool
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	response *call.Response
	refusal  *call.Refusal
}

// dispatch runs a request on an upstream of its service.
func (n *Node) dispatch(ctx context.Context, e *entryRequest) (*call.Response, *call.Refusal) {
	n.repeats.RecordRequest(e.req.Service, time.Now())
	d := &dispatcher{node: n, entry: e}
	if e.req.Idempotent && e.body.Buffered() {
		return d.runRepeatable(ctx)
	}
	return d.runOnce()
}

// runOnce runs a request that must not run twice. The request is resent only if it has certainly not run.
func (d *dispatcher) runOnce() (*call.Response, *call.Refusal) {
	// Not canceled when the client disconnects.
	ctx, cancel := context.WithDeadline(d.entry.abort, d.entry.req.Deadline)
	for {
		choice, ok := d.choose(ctx)
		if !ok {
			cancel()
			return nil, d.noDestination()
		}
		response, refusal := d.attempt(ctx, choice)
		if refusal == nil {
			response.Body = call.OnClose(response.Body, cancel)
			return response, nil
		}
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
		go func() {
			response, refusal := d.attempt(ctx, choice)
			results <- attemptResult{response, refusal}
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
			if d.repeatAllowed(true) {
				d.node.metrics.repeats.Add("hedge", 1)
				launch()
			}
		case result := <-results:
			running--
			if result.refusal == nil && !serverError(result.response) {
				d.discard(failed)
				go discardRemaining(results, running)
				response := result.response
				response.Body = call.OnClose(response.Body, cancel)
				return response, nil
			}
			if result.refusal == nil {
				d.discard(failed)
				failed = result.response
				if running == 0 && d.repeatAllowed(true) {
					d.node.metrics.repeats.Add("failure", 1)
					launch()
				}
				continue
			}
			if d.mayRepeat(result.refusal) && running == 0 {
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
func discardRemaining(results <-chan attemptResult, running int) {
	for range running {
		if result := <-results; result.response != nil {
			_ = result.response.Body.Close()
		}
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

// attempt sends the request to one destination and reports the result to the picker.
func (d *dispatcher) attempt(ctx context.Context, choice balance.Candidate) (*call.Response, *call.Refusal) {
	n := d.node
	attempt := d.entry.body.Attach(d.entry.req)
	attempt.CallID = strconv.FormatUint(n.callSequence.Add(1), 36)
	start := time.Now()
	var response *call.Response
	var err error
	if choice.Node == n.settings().Node {
		attempt.Header = attempt.Header.Clone()
		response, err = n.runLocal(ctx, attempt, slotEvents{func() {}, func() error { return nil }})
	} else {
		to := peer.Destination{Address: choice.Address, Incarnation: choice.Incarnation, Kind: peer.KindRun}
		response, err = n.forwarder.Forward(ctx, to, attempt, forwardWait(time.Until(attempt.Deadline)))
	}
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
	n.picker.Done(attempt.Service, choice.ID, attempt.Route, result, end)
	n.recordLimits(d.entry, choice.Node, refusal.Load, refusal.Limits, end)
	if event := n.log.event("attempt_failed"); event != nil {
		event.Str("request_id", attempt.RequestID).Str("route", attempt.Route).Str("destination", choice.Node).
			Str("code", string(refusal.Code)).Str("outcome", refusal.Outcome.String()).Str("reason", refusal.Message).
			Dur("took_ms", result.Latency).Msg("attempt failed")
	}
	return nil, refusal
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

// mayRepeat records a refusal and reports whether the request may be sent to another destination.
func (d *dispatcher) mayRepeat(refusal *call.Refusal) bool {
	d.last = refusal
	if refusal.Code == call.CodeCanceled || refusal.Code == call.CodeIncompleteBody || !d.entry.body.Replayable() {
		d.mayHaveRun = d.mayHaveRun || refusal.Outcome == call.MayHaveRun
		return false
	}
	if refusal.Outcome == call.NotRun && refusal.Code != call.CodeUpstreamRefused {
		d.reroutes++
		return d.reroutes < maxReroutes && (refusal.Code != call.CodeOverloaded || !d.node.serviceSheds(d.entry.req))
	}
	d.mayHaveRun = d.mayHaveRun || refusal.Outcome == call.MayHaveRun
	if refusal.Outcome == call.MayHaveRun && !d.entry.req.Idempotent {
		return false
	}
	if !d.repeatAllowed(refusal.Outcome == call.MayHaveRun) {
		return false
	}
	d.node.metrics.repeats.Add("refusal", 1)
	return true
}

// repeatAllowed charges one repeated send to the limits of the route and the service, and to the rate of the workspace
// if an earlier send may have run. It reports whether they allow it.
func (d *dispatcher) repeatAllowed(ran bool) bool {
	attempts := d.entry.route.MaxAttempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	if d.repeats+1 >= attempts || !d.node.repeats.AllowRepeat(d.entry.req.Service, ran, time.Now()) {
		return false
	}
	if ran && !d.node.shares.TakeRepeat(d.entry.req.Workspace, time.Now()) {
		d.node.metrics.repeats.Add("above_rate", 1)
		return false
	}
	d.repeats++
	return true
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
