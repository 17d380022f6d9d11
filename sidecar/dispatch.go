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
	// maxReroutes bounds the destinations that refuse one request before it reached an upstream.
	maxReroutes = 6
	// rerouteWait is the wait when no destination is left, before all are tried again.
	rerouteWait = 25 * time.Millisecond
	// holdShare is the part of the target latency for which a request waits for a token or a destination.
	holdShare = 8
	// holdDefault is that wait for routes without a target latency.
	holdDefault = 100 * time.Millisecond
	// defaultAttempts holds for routes that set no number of attempts.
	defaultAttempts = 2
	// hedgeFactor times the expected latency is when a second upstream is asked as well.
	hedgeFactor = 4
	// hedgeMinimum keeps hedges away from the usual spread of short calls.
	hedgeMinimum = 60 * time.Millisecond
	// hedgeShare of the target latency is when the second upstream is asked at the earliest.
	hedgeShare = 3
	// repeatShare is the part of the operators' limit for repeated sends that is used. The rest is for calls
	// made by repeated requests, which count as repeats but cannot be told from others.
	repeatShare = 0.6
	// afterRunShare of that is for requests that may have run and make their calls once more: with four
	// services in a chain, 0.6 + 3 * 0.6 * 0.2 stays within the limit.
	afterRunShare = 0.2
	// reserveSlack is added to the longest queue delay for the way to the destination and back.
	reserveSlack = 200 * time.Millisecond
)

// updateRepeatLimits gives this node its part of the operators' limit for repeated sends.
func (n *Node) updateRepeatLimits() {
	s := n.settings()
	nodes := float64(len(n.registry.others()) + 1)
	n.repeats.SetLimits(retry.RepeatLimits{
		Window: s.RetryWindow, Ratio: s.RetryRatio * repeatShare, Slack: s.RetrySlack * repeatShare / nodes, MayHaveRunFraction: afterRunShare,
	})
}

// dispatcher is the state of one request over its attempts.
type dispatcher struct {
	node  *Node
	entry *entry
	// tried are the destinations that have had the request.
	tried []balance.ID
	// runs counts sends that may have reached an upstream.
	runs       int
	reroutes   int
	last       *call.Refusal
	mayHaveRun bool
}

// outcome is the end of one attempt.
type outcome struct {
	answer  *call.Response
	refusal *call.Refusal
}

// dispatch runs a request at an upstream of its service.
func (n *Node) dispatch(ctx context.Context, e *entry) (*call.Response, *call.Refusal) {
	n.repeats.RecordRequest(e.req.Service, time.Now())
	d := &dispatcher{node: n, entry: e}
	if e.req.Idempotent && e.body.Buffered() {
		return d.runRepeatable(ctx)
	}
	return d.runOnce()
}

// runOnce runs a request that must not run twice: it is sent again only when it has certainly not run.
func (d *dispatcher) runOnce() (*call.Response, *call.Refusal) {
	ctx, cancel := d.node.detached(d.entry.req.Deadline)
	for {
		choice, ok := d.choose(ctx)
		if !ok {
			cancel()
			return nil, d.exhausted()
		}
		answer, refusal := d.attempt(ctx, choice)
		if refusal == nil {
			answer.Body = call.OnClose(answer.Body, cancel)
			return answer, nil
		}
		if !d.mayRepeat(refusal) {
			cancel()
			return nil, d.final(refusal)
		}
	}
}

// runRepeatable runs a request that may run more than once. When the answer is late, a second upstream
// is asked as well, and the first good answer counts.
func (d *dispatcher) runRepeatable(ctx context.Context) (*call.Response, *call.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, d.entry.req.Deadline)
	results := make(chan outcome, defaultAttempts+maxReroutes)
	running := 0
	launch := func() bool {
		choice, ok := d.choose(ctx)
		if !ok {
			return false
		}
		running++
		go func() {
			answer, refusal := d.attempt(ctx, choice)
			results <- outcome{answer, refusal}
		}()
		return true
	}
	if !launch() {
		cancel()
		return nil, d.exhausted()
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
			if result.refusal == nil && !serverError(result.answer) {
				d.discard(failed)
				go drain(results, running)
				answer := result.answer
				answer.Body = call.OnClose(answer.Body, cancel)
				return answer, nil
			}
			if result.refusal == nil {
				d.discard(failed)
				failed = result.answer
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
	return nil, d.final(d.last)
}

// drain closes the answers of attempts that are no longer needed. Their context has ended or will when
// the chosen answer has been delivered.
func drain(results <-chan outcome, running int) {
	for range running {
		if result := <-results; result.answer != nil {
			_ = result.answer.Body.Close()
		}
	}
}

func (d *dispatcher) discard(answer *call.Response) {
	if answer != nil {
		_ = answer.Body.Close()
	}
}

func serverError(answer *call.Response) bool { return answer.Status >= http.StatusInternalServerError }

// hedgeDelay is the time after which the first attempt counts as late.
func (d *dispatcher) hedgeDelay() time.Duration {
	expected := d.node.picker.ExpectedLatency(d.entry.req.Service, d.entry.req.Route)
	return max(hedgeFactor*expected, d.entry.route.TargetLatency/hedgeShare, hedgeMinimum)
}

// holdTime is how long after its arrival a request may wait before it is refused.
func (e *entry) holdTime() time.Duration {
	if e.route.TargetLatency > 0 {
		return e.route.TargetLatency / holdShare
	}
	return holdDefault
}

// choose picks a destination. When none is left it waits a little and tries all again, for a part of the
// target latency.
func (d *dispatcher) choose(ctx context.Context) (balance.Candidate, bool) {
	req := d.entry.req
	hold := d.entry.holdTime()
	for ctx.Err() == nil {
		choice, err := d.node.picker.Pick(req.Service, balance.LatencyQuery{
			Route: req.Route, Importance: req.Importance, Bytes: max(0, req.ContentLength), Exclude: d.tried,
		}, time.Now(), random.Shared)
		if err == nil {
			d.tried = append(d.tried, choice.ID)
			return choice, true
		}
		if d.runs > 0 || time.Since(d.entry.start) >= hold || d.reroutes >= maxReroutes {
			return balance.Candidate{}, false
		}
		clock.Sleep(ctx, rerouteWait)
		d.tried = d.tried[:0]
	}
	return balance.Candidate{}, false // the request's time is over, its client has left, or the node stops
}

// attempt sends the request to one destination and tells the picker how it ended.
func (d *dispatcher) attempt(ctx context.Context, choice balance.Candidate) (*call.Response, *call.Refusal) {
	n := d.node
	attempt := d.entry.body.Attach(d.entry.req)
	attempt.CallID = strconv.FormatUint(n.sequence.Add(1), 36)
	start := time.Now()
	var answer *call.Response
	var err error
	if choice.Node == n.settings().Node {
		attempt.Header = attempt.Header.Clone()
		answer, err = n.runLocal(ctx, attempt, func() error { return nil })
	} else {
		to := peer.Destination{Address: choice.Address, Incarnation: choice.Incarnation, Kind: peer.KindRun}
		answer, err = n.forwarder.Forward(ctx, to, attempt, queueDelay(attempt.Importance)+reserveSlack)
	}
	end := time.Now()
	result := balance.LatencyResult{Latency: end.Sub(start)}
	if err == nil {
		result.Bytes, result.Load = max(0, answer.ContentLength), &answer.Load
		if serverError(answer) {
			result.Outcome = balance.Failed
		}
		n.picker.Done(attempt.Service, choice.ID, attempt.Route, result, end)
		n.overload.observe(attempt.Service, false, end)
		return answer, nil
	}
	refusal := call.AsRefusal(err)
	result.Load, result.Outcome = refusal.Load, refusalOutcome(refusal)
	n.picker.Done(attempt.Service, choice.ID, attempt.Route, result, end)
	n.overload.observe(attempt.Service, lacksRoom(refusal), end)
	if event := n.log.event("attempt_failed"); event != nil {
		event.Str("request_id", attempt.RequestID).Str("route", attempt.Route).Str("destination", choice.Node).
			Str("code", string(refusal.Code)).Str("outcome", refusal.Outcome.String()).Str("reason", refusal.Message).
			Dur("took_ms", result.Latency).Msg("attempt failed")
	}
	return nil, refusal
}

// refusalOutcome tells what a refusal says about the destination.
func refusalOutcome(refusal *call.Refusal) balance.Outcome {
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

// mayRepeat takes in a refusal and tells whether the request may be sent to another destination.
func (d *dispatcher) mayRepeat(refusal *call.Refusal) bool {
	d.last = refusal
	if refusal.Code == call.CodeCanceled || refusal.Code == call.CodeIncompleteBody || !d.entry.body.Replayable() {
		d.mayHaveRun = d.mayHaveRun || refusal.Outcome == call.MayHaveRun
		return false
	}
	if refusal.Outcome == call.NotRun && refusal.Code != call.CodeUpstreamRefused {
		d.reroutes++
		return d.reroutes < maxReroutes
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

// repeatAllowed takes one repeated send from the limits of the route and the service. ran tells that an
// earlier send may have run.
func (d *dispatcher) repeatAllowed(ran bool) bool {
	attempts := d.entry.route.MaxAttempts
	if attempts <= 0 {
		attempts = defaultAttempts
	}
	if d.runs+1 >= attempts || !d.node.repeats.AllowRepeat(d.entry.req.Service, ran, time.Now()) {
		return false
	}
	d.runs++
	return true
}

// final returns the refusal for the client: it has the worst outcome of all attempts.
func (d *dispatcher) final(refusal *call.Refusal) *call.Refusal {
	if d.mayHaveRun {
		refusal.Outcome = call.MayHaveRun
	}
	return refusal
}

// exhausted returns the refusal when no destination is left.
func (d *dispatcher) exhausted() *call.Refusal {
	if d.last != nil {
		return d.final(d.last)
	}
	return call.NewRefusal(call.CodeNoUpstream, call.NotRun, "no upstream of %s is available", d.entry.req.Service)
}
