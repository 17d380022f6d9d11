package faultmatrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/keys"
	"github.com/cowslipglade/cowslipglade/member"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	"github.com/cowslipglade/cowslipglade/requestid"
	"github.com/cowslipglade/cowslipglade/retry"
	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

// Parameters of the simulated nodes. Leases and grants are short, so that a run covers several of them.
const (
	shardsPerDomain   = 2
	tickInterval      = 125 * time.Millisecond
	shardLease        = 1200 * time.Millisecond
	shardRenewal      = 400 * time.Millisecond
	shardInterval     = 150 * time.Millisecond
	grantLifetime     = 500 * time.Millisecond
	grantTimeout      = 200 * time.Millisecond
	tokenWait         = 100 * time.Millisecond
	requestTimeout    = 800 * time.Millisecond
	requestIDLifetime = 30 * time.Second
	seenRetention     = 10 * time.Second
	ejectionTime      = 300 * time.Millisecond
	serviceTimeMin    = 10 * time.Millisecond
	serviceTimeMax    = 60 * time.Millisecond
	upstreamSlots     = 1
	retryRatio        = 0.5
	retryLimit        = 2
)

// Kinds of messages between nodes.
const (
	kindRequest  = "request"
	kindIssue    = "issue"
	kindHome     = "home"
	kindRun      = "run"
	kindGrant    = "grant"
	kindHandOver = "hand-over"
	kindExchange = "spread"
	kindMembers  = "members"
	kindCommit   = "commit"
	kindWithdraw = "withdraw"
)

var rpcKinds = []string{
	kindRequest, kindIssue, kindHome, kindRun, kindGrant, kindHandOver, kindExchange, kindMembers, kindCommit, kindWithdraw,
}

const (
	serviceFront = "front"
	serviceBack  = "back"
)

// process is one incarnation of a node, with the decision packages that cowslipd connects.
type process struct {
	sim         *simulation
	name        string
	domain      string
	service     string
	incarnation uint64
	alive       bool
	frozen      bool
	draining    bool
	deferred    []func()
	pending     map[connection][]*pendingCall

	replica *config.Replica
	// peerRevisions holds the last known configuration revision of each peer.
	peerRevisions      map[string]int64
	withdrawals        *keys.Withdrawals
	machine            *member.Machine
	picker             *balance.Picker
	queue              *admission.Queue
	queued             map[*admission.Work]*arrivedCall
	buckets            *retry.Buckets
	issuer             *requestid.Issuer
	requestTable       *requestid.Table
	seenCalls          *requestid.SeenSet
	allotment          *ratelimit.Allotment
	cache              *ratelimit.Cache
	waiters            map[string][]func() bool
	planScheduled      bool
	ownedShards        map[int]*ownedShard
	configuredRevision int64

	// knownWithdrawn holds the hashes of the withdrawn keys that this process knows.
	knownWithdrawn map[string]bool
	// drainedAt is when the upstream started to drain.
	drainedAt       time.Time
	highestRevision int64
}

// upstreamResponse is the response of an upstream. Its body names the request.
type upstreamResponse struct {
	body    string
	length  int
	unspent int
	load    call.Load
}

func newUpstreamResponse(r *request) *upstreamResponse {
	body := "response to " + r.name
	return &upstreamResponse{body: body, length: len(body)}
}

// truncated returns the response as it arrives if the connection breaks after half of the body.
func (r *upstreamResponse) truncated() *upstreamResponse {
	partial := *r
	partial.body = r.body[:r.length/2]
	return &partial
}

// respondFunc receives the *upstreamResponse or *call.Refusal of a call.
type respondFunc func(any)

// callAttempt describes one attempt of a call.
type callAttempt struct {
	id          string
	request     *request
	incarnation uint64
	budget      int
	deadline    time.Time
}

// arrivedCall is a call attempt at its destination node.
type arrivedCall struct {
	admission.Work
	call    callAttempt
	respond respondFunc
}

func (sim *simulation) newProcess(name string, incarnation uint64) *process {
	p := &process{
		sim: sim, name: name, domain: domainOf(name), service: serviceOf(name), incarnation: incarnation, alive: true,
		pending:        map[connection][]*pendingCall{},
		replica:        config.NewReplica(1000),
		peerRevisions:  map[string]int64{},
		withdrawals:    keys.NewWithdrawals(),
		queued:         map[*admission.Work]*arrivedCall{},
		buckets:        retry.NewBuckets(retry.DefaultConfig()),
		seenCalls:      requestid.NewSeenSet(100_000, seenRetention),
		allotment:      ratelimit.NewAllotment(domains, shardsPerDomain),
		waiters:        map[string][]func() bool{},
		ownedShards:    map[int]*ownedShard{},
		knownWithdrawn: map[string]bool{},
	}
	origin := balance.Origin{Node: name, FailureDomain: p.domain}
	picker := balance.DefaultConfig()
	picker.EjectionTime, picker.MaxEjectionTime, picker.ProbeTimeout = ejectionTime, 2*ejectionTime, requestTimeout
	p.picker = balance.NewPicker(picker, origin)
	p.queue, _ = admission.NewQueue(admission.DefaultConfig(upstreamSlots), admission.NewFixedLimiter(upstreamSlots))
	secret := []byte(fmt.Sprintf("%016x", incarnation))
	p.issuer, _ = requestid.NewIssuer(name, incarnation, secret, requestIDLifetime)
	p.requestTable = requestid.NewTable(p.issuer, requestid.DefaultTableConfig())
	cache := ratelimit.DefaultCacheConfig(name, incarnation, p.domain)
	cache.GrantLifetime, cache.IdleTimeout, cache.BackoffMax = grantLifetime, grantLifetime, grantLifetime
	p.cache = ratelimit.NewCache(cache, p.allotment)
	members := member.DefaultConfig()
	members.Name, members.FailureDomain, members.PeerAddress, members.Incarnation = name, p.domain, name, incarnation
	members.ProbeInterval, members.ProbeTimeout, members.PauseLimit = 300*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond
	members.Suspicion, members.AnnounceTimeout, members.SyncInterval = 600*time.Millisecond, 600*time.Millisecond, 800*time.Millisecond
	p.machine, _ = member.New(members, sim.random)
	return p
}

// after runs f at this process after d, unless the process has stopped by then. A frozen process runs it
// when it thaws.
func (p *process) after(d time.Duration, f func()) {
	p.sim.after(d, func() { p.exec(f) })
}

func (p *process) exec(f func()) {
	switch {
	case !p.alive:
	case p.frozen:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

// reachStep injects the faults of the cell if they are due at this step, and then runs next as exec does.
func (p *process) reachStep(s Step, next func()) {
	p.sim.injectAt(s, p)
	p.exec(next)
}

func (p *process) now() time.Time { return p.sim.now }

// withdrawn reports whether the process knows that the key is withdrawn, or does not know the key.
func (p *process) withdrawn(hash string) bool {
	key, ok := p.replica.Document().Keys[hash]
	return !ok || key.Withdrawn || p.withdrawals.Withdrawn(hash)
}

// admit handles a request from a caller at its entry node.
func (p *process) admit(r *request, done respondFunc) {
	outcome := call.NotRun
	if !r.idempotent {
		outcome = call.MayHaveRun
	}
	p.reachStep(Arrival, func() {
		if p.replica.Revision() == 0 || p.replica.Ready() != nil {
			done(call.NewRefusal(call.CodeStaleConfiguration, outcome, "no configuration"))
			return
		}
		p.reachStep(KeyCheck, func() {
			if p.withdrawn(r.keyHash) {
				done(call.NewRefusal(call.CodeWithdrawnKey, outcome, "key withdrawn"))
				return
			}
			deadline := p.now().Add(requestTimeout)
			if r.idempotent {
				p.runRoot(r, deadline, nil, done)
				return
			}
			p.routeToHome(r, deadline, done)
		})
	})
}

// routeToHome runs a non-idempotent request at the home node of its request id.
func (p *process) routeToHome(r *request, deadline time.Time, done respondFunc) {
	if r.id.Node == p.name {
		p.handleAtHome(r, deadline, done)
		return
	}
	home := p.machine.Member(r.id.Node)
	if home == nil || home.GetIncarnation() != r.id.Incarnation {
		done(call.NewRefusal(call.CodeRequestIDLost, call.MayHaveRun, "home unknown"))
		return
	}
	p.sim.calls++
	id := fmt.Sprintf("home-%d", p.sim.calls)
	p.rpc(r.id.Node, kindHome, deadline.Sub(p.now()), func(q *process, respond func(any)) {
		switch {
		case q.incarnation != r.id.Incarnation && !p.sim.mutations.SkipIncarnationCheck:
			respond(call.NewRefusal(call.CodeWrongIncarnation, call.MayHaveRun, "home replaced"))
		case !p.sim.mutations.SkipHomeDuplicateCheck && q.isDuplicate(id):
			respond(call.NewRefusal(call.CodeDuplicate, call.MayHaveRun, "doubled"))
		case q.withdrawn(r.keyHash):
			respond(call.NewRefusal(call.CodeWithdrawnKey, call.MayHaveRun, "key withdrawn"))
		default:
			q.handleAtHome(r, deadline, respond)
		}
	}, func(payload any, err sendError) {
		if err != delivered {
			// An earlier presentation may have run, so the outcome is open even if this message was not sent.
			payload = call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "home not reached")
		}
		done(payload)
	})
}

func (p *process) isDuplicate(id string) bool {
	return p.seenCalls.Add(p.now(), id) != requestid.SeenNew && !p.sim.mutations.SkipDuplicateCheck
}

// handleAtHome handles a presentation of a request id that this incarnation issued.
func (p *process) handleAtHome(r *request, deadline time.Time, done respondFunc) {
	decision := p.requestTable.Begin(p.now(), r.id, r.workspace, requestid.Digest{1})
	switch decision.Action {
	case requestid.Replay:
		done(decision.Response.Value)
	case requestid.Refuse:
		done(decision.Refusal)
	case requestid.Wait:
		if !p.now().Before(deadline) {
			done(call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "still running"))
			return
		}
		p.after(20*time.Millisecond, func() { p.handleAtHome(r, deadline, done) })
	default:
		attempt := decision.Attempt
		p.runRoot(r, deadline, attempt, func(result any) {
			p.reachStep(DedupeRecord, func() {
				if refusal, ok := result.(*call.Refusal); ok {
					if refusal.Outcome == call.NotRun {
						attempt.FinishNotRun()
					} else {
						// Close decides by whether the attempt was marked as dispatched, as it does when a caller
						// disconnects.
						attempt.Close()
					}
				} else {
					attempt.Finish(requestid.Response{Value: result, Size: 100})
				}
				done(result)
			})
		})
	}
}

// runRoot takes a rate token and dispatches a request with a reserved retry budget.
func (p *process) runRoot(r *request, deadline time.Time, attempt *requestid.Attempt, done respondFunc) {
	p.reachStep(Rate, func() {
		p.takeToken(r.workspace, func(taken bool) {
			if !taken {
				done(call.NewRefusal(call.CodeRateExceeded, call.NotRun, "above rate"))
				return
			}
			p.sim.checkRateBound(r.workspace)
			key := retry.Key{Workspace: r.workspace, Route: "front"}
			rules := retry.Rules{Ratio: retryRatio, Limit: retryLimit}
			p.sim.rootCalls++
			budget := p.buckets.Reserve(key, rules)
			r.reservedTokens += budget.Remaining()
			d := &dispatcher{
				p: p, request: r, service: serviceFront, budget: budget, deadline: deadline, record: attempt,
				topUp: func() {
					before := budget.Remaining()
					p.buckets.TopUp(key, rules, budget)
					r.reservedTokens += budget.Remaining() - before
				},
			}
			d.done = func(result any) {
				p.sim.checkBudgetReturn(r, budget.Remaining())
				p.buckets.Return(key, budget)
				done(result)
			}
			d.try()
		})
	})
}

// dispatcher makes the attempts of one call at one hop.
type dispatcher struct {
	p        *process
	request  *request
	service  string
	budget   *retry.Budget
	topUp    func()
	deadline time.Time
	record   *requestid.Attempt
	excluded []balance.ID
	attempts int
	// outcome is the worst outcome of all attempts.
	outcome call.Outcome
	done    respondFunc
}

func (d *dispatcher) try() {
	p := d.p
	d.attempts++
	p.reachStep(Choice, func() {
		choice, err := p.picker.Pick(d.service, balance.Query{Exclude: d.excluded, NoProbe: !d.request.idempotent}, p.now(), p.sim.random)
		if err != nil {
			d.handleFailure(call.NewRefusal(call.CodeNoUpstream, call.NotRun, "no upstream"))
			return
		}
		if d.record != nil && !p.sim.mutations.SkipMarkDispatched {
			d.record.MarkDispatched()
		}
		p.reachStep(Dispatch, func() { d.send(choice) })
	})
}

func (d *dispatcher) send(choice balance.Choice) {
	p, sim := d.p, d.p.sim
	sim.calls++
	grant := d.budget.Grant()
	c := callAttempt{
		id: fmt.Sprintf("call-%d", sim.calls), request: d.request, incarnation: choice.Incarnation,
		budget: grant.Tokens(), deadline: d.deadline,
	}
	if sim.mutations.UnboundedRetries {
		c.budget = retryLimit
	}
	started := p.now()
	sim.recordAttempt(d.request, d.service, d.attempts)
	finish := func(payload any, err sendError) {
		took := p.now().Sub(started)
		if response, ok := payload.(*upstreamResponse); ok && err == delivered {
			d.settle(grant, response.unspent)
			p.picker.Done(d.service, choice.ID, balance.Result{Outcome: balance.Succeeded, Latency: took, Load: &response.load}, p.now())
			d.done(response)
			return
		}
		refusal, ok := payload.(*call.Refusal)
		switch {
		case err == notSent:
			refusal = call.NewRefusal(call.CodePeerFailed, call.NotRun, "not sent")
			grant.SettleUnsent()
		case err == lost || !ok:
			refusal = call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "connection lost")
			if sim.mutations.ReportLostAsNotRun {
				refusal.Outcome = call.NotRun
			}
			d.settle(grant, 0)
		default:
			d.settle(grant, refusal.UnspentBudget)
		}
		d.excluded = append(d.excluded, choice.ID)
		p.picker.Done(d.service, choice.ID, balance.RefusalResult(refusal, took), p.now())
		d.handleFailure(refusal)
	}
	if choice.Node == p.name {
		p.handleCall(c, false, func(result any) { finish(result, delivered) })
		return
	}
	p.rpc(choice.Node, kindRun, max(0, d.deadline.Sub(p.now())), func(q *process, respond func(any)) {
		q.handleCall(c, true, respond)
	}, finish)
}

func (d *dispatcher) settle(grant *retry.Grant, unspent int) {
	if d.p.sim.mutations.RefundSpentGrants {
		unspent = grant.Tokens()
	}
	grant.Settle(unspent)
}

// handleFailure retries the call, or refuses it with the worst outcome of all attempts.
func (d *dispatcher) handleFailure(refusal *call.Refusal) {
	p, sim := d.p, d.p.sim
	d.outcome = max(d.outcome, refusal.Outcome)
	failure := retry.Failure{
		Outcome: refusal.Outcome, Code: refusal.Code, Idempotent: d.request.idempotent, Final: refusal.Final,
		Attempt: d.attempts, Remaining: d.deadline.Sub(p.now()),
	}
	if sim.mutations.RetryMayHaveRun {
		failure.Outcome = call.NotRun
	}
	if d.topUp != nil {
		d.topUp()
	}
	decision := retry.DefaultConfig().Decide(failure, d.budget, sim.random)
	if decision.Retry {
		p.after(decision.Wait, d.try)
		return
	}
	final := *refusal
	final.Final = true
	if !sim.mutations.ReportLastOutcome {
		final.Outcome = d.outcome
	}
	d.done(&final)
}

// handleCall handles a call attempt at its destination node.
func (p *process) handleCall(c callAttempt, remote bool, respond respondFunc) {
	sim := p.sim
	refuse := func(code call.Code, outcome call.Outcome, text string) {
		refusal := call.NewRefusal(code, outcome, "%s", text)
		if code != call.CodeDuplicate || sim.mutations.RefundDuplicates {
			// The first copy of a duplicated call may still spend its budget.
			refusal.UnspentBudget = c.budget
		}
		respond(refusal)
	}
	switch {
	case remote && c.incarnation != p.incarnation && !sim.mutations.SkipIncarnationCheck:
		refuse(call.CodeWrongIncarnation, call.MayHaveRun, "restarted")
	case remote && (!c.request.idempotent || !sim.mutations.TrackNonIdempotentOnly) && p.isDuplicate(c.id):
		refuse(call.CodeDuplicate, call.MayHaveRun, "doubled")
	case !p.now().Before(c.deadline):
		refuse(call.CodeDeadline, call.NotRun, "deadline passed")
	default:
		p.reachStep(Queue, func() { p.enqueue(c, respond) })
	}
}

func (p *process) enqueue(c callAttempt, respond respondFunc) {
	a := &arrivedCall{call: c, respond: respond}
	a.Item = admission.Item{
		Workspace: c.request.workspace, KeyHash: c.request.keyHash, Route: "front",
		Importance: call.Normal, Deadline: c.deadline,
	}
	p.queued[&a.Work] = a
	waited := p.queue.Offer(p.now(), &a.Work) == admission.Queued
	if !waited {
		p.handleDecision(a, !p.sim.mutations.CheckQueuedOnly)
	}
	p.handleDecisions()
}

// handleDecisions handles the work that the queue has admitted or refused.
func (p *process) handleDecisions() {
	for work := p.queue.NextDecided(); work != nil; work = p.queue.NextDecided() {
		if a := p.queued[work]; a != nil {
			p.handleDecision(a, true)
		}
	}
}

func (p *process) handleDecision(a *arrivedCall, check bool) {
	delete(p.queued, &a.Work)
	if a.State == admission.Refused {
		refusal := p.queue.Refusal(p.now(), a.Reason, p.sim.random.Float64())
		refusal.UnspentBudget = a.call.budget
		a.respond(refusal)
		return
	}
	if check && !p.sim.mutations.SkipDequeueCheck && p.withdrawn(a.KeyHash) {
		p.queue.Finish(p.now(), a.Started, a.Route, 0, admission.Ignored)
		refusal := p.queue.Refusal(p.now(), admission.Withdrawn, p.sim.random.Float64())
		refusal.UnspentBudget = a.call.budget
		a.respond(refusal)
		p.handleDecisions()
		return
	}
	p.sim.recordExecution(p, a)
	p.reachStep(Run, func() {
		p.after(p.sim.jitter(serviceTimeMin, serviceTimeMax), func() { p.callDownstream(a) })
	})
}

// callDownstream makes the child call of a request, if it has one, while the request holds its slot.
func (p *process) callDownstream(a *arrivedCall) {
	budget := retry.NewBudget(a.call.budget)
	if p.service == serviceBack || !a.call.request.hasChild {
		p.complete(a, budget, nil)
		return
	}
	d := &dispatcher{p: p, request: a.call.request, service: serviceBack, budget: budget, deadline: a.call.deadline}
	d.done = func(result any) {
		refusal, _ := result.(*call.Refusal)
		p.complete(a, budget, refusal)
	}
	d.try()
}

func (p *process) complete(a *arrivedCall, budget *retry.Budget, failure *call.Refusal) {
	p.queue.Finish(p.now(), a.Started, a.Route, 0, admission.Succeeded)
	p.handleDecisions()
	p.reachStep(ResponseSent, func() {
		if failure != nil {
			// The upstream ran the request, regardless of the outcome of its child call.
			final := call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "child call failed: %s", failure.Code)
			a.respond(retry.FinalRefusal(final, budget))
			return
		}
		result := newUpstreamResponse(a.call.request)
		result.unspent = budget.Close()
		result.load = p.queue.Load(p.now())
		a.respond(result)
	})
}

// setDraining starts a graceful shutdown.
func (p *process) setDraining() {
	p.draining = true
	p.drainedAt = p.now()
	if !p.sim.mutations.SkipDrain {
		p.queue.SetDraining(true)
	}
	p.handleOutput(p.machine.SetDraining(p.now(), true))
}

// tick runs the periodic work of cowslipd.
func (p *process) tick() {
	p.handleOutput(p.machine.Announce(p.now(), &membershipv1.Upstream{Service: p.service, Slots: upstreamSlots, Draining: p.draining}))
	p.machine.SetPiggyback(&membershipv1.Piggyback{ConfigRevision: p.replica.Revision(), WithdrawalDigest: p.withdrawals.Digest()})
	p.handleOutput(p.machine.Tick(p.now()))
	p.updateCandidates()
	p.queue.Sweep(p.now())
	p.handleDecisions()
	p.schedulePlan()
	p.after(tickInterval, p.tick)
}

func (p *process) members() []*member.Member {
	all := p.machine.Members()
	all = append(all, p.machine.Self())
	slices.SortFunc(all, func(a, b *member.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	return slices.DeleteFunc(all, func(m *member.Member) bool { return m.GetState() != membershipv1.State_STATE_ALIVE })
}

func (p *process) updateCandidates() {
	candidates := map[string][]balance.Candidate{}
	for _, m := range p.members() {
		for _, u := range m.GetUpstreams() {
			candidates[u.GetService()] = append(candidates[u.GetService()], balance.Candidate{
				ID:            balance.ID{Node: m.GetName(), Incarnation: m.GetIncarnation()},
				FailureDomain: m.GetFailureDomain(), Slots: int(u.GetSlots()), Draining: m.GetDraining() || u.GetDraining(),
			})
		}
	}
	for _, service := range []string{serviceFront, serviceBack} {
		p.picker.SetCandidates(service, candidates[service])
	}
}

// handleOutput handles the events and sends the messages of the membership machine.
func (p *process) handleOutput(output member.Output) {
	for _, e := range output.Events {
		switch e.Kind {
		case member.WithdrawalsReceived:
			p.mergeWithdrawals(e.Withdrawn)
		case member.PiggybackReceived:
			p.peerRevisions[e.Member.GetName()] = e.Piggyback.GetConfigRevision()
			p.replica.ObserveRevision(e.Piggyback.GetConfigRevision())
		}
	}
	for _, send := range output.Sends {
		p.sim.deliver(p, send.To, kindMembers, func(q *process) {
			q.handleOutput(q.machine.HandleMessage(q.now(), p.name, send.Packet))
		})
	}
	for _, sync := range output.Syncs {
		p.rpc(sync.To, kindMembers, grantTimeout, func(q *process, respond func(any)) {
			response, output := q.machine.HandleSyncRequest(q.now(), sync.Request)
			q.handleOutput(output)
			respond(response)
		}, func(payload any, err sendError) {
			if err == delivered {
				p.handleOutput(p.machine.HandleSyncResponse(p.now(), sync.To, payload.(*membershipv1.SyncResponse)))
			}
		})
	}
}
