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

// Times of the model. Leases and grants are short, so that a run covers several of them.
const (
	shardsPerDomain = 2
	tickInterval    = 125 * time.Millisecond
	shardLease      = 1200 * time.Millisecond
	shardRenewal    = 400 * time.Millisecond
	shardInterval   = 150 * time.Millisecond
	grantLifetime   = 500 * time.Millisecond
	grantTimeout    = 200 * time.Millisecond
	tokenWait       = 100 * time.Millisecond
	requestTimeout  = 800 * time.Millisecond
	idLifetime      = 30 * time.Second
	seenRetention   = 10 * time.Second
	ejectionTime    = 300 * time.Millisecond
	serviceMin      = 10 * time.Millisecond
	serviceMax      = 60 * time.Millisecond
	upstreamSlots   = 1
	retryRatio      = 0.5
	retryLimit      = 2
)

// Kinds of messages between nodes.
const (
	kindRequest  = "request"
	kindIssue    = "issue"
	kindHome     = "home"
	kindRun      = "run"
	kindGrant    = "grant"
	kindHandOver = "hand-over"
	kindSpread   = "spread"
	kindMembers  = "members"
	kindCommit   = "commit"
	kindWithdraw = "withdraw"
)

var rpcKinds = []string{
	kindRequest, kindIssue, kindHome, kindRun, kindGrant, kindHandOver, kindSpread, kindMembers, kindCommit, kindWithdraw,
}

const (
	serviceFront = "front"
	serviceBack  = "back"
)

// process is one run of one node, with the decision packages that cowslipd connects.
type process struct {
	w           *world
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
	// heard holds the revisions that peers told of.
	heard       map[string]int64
	withdrawals *keys.Withdrawals
	machine     *member.Machine
	picker      *balance.Picker
	queue       *admission.Queue
	queued      map[*admission.Work]*arrival
	buckets     *retry.Buckets
	issuer      *requestid.Issuer
	table       *requestid.Table
	seen        *requestid.SeenSet
	allotment   *ratelimit.Allotment
	cache       *ratelimit.Cache
	waiters     map[string][]func() bool
	planned     bool
	owned       map[int]*ownedShard
	configured  int64

	// reached holds the hashes of withdrawn keys that this process has heard of.
	reached map[string]bool
	// drainedAt is when the upstream began to drain.
	drainedAt time.Time
	highest   int64
}

// answer is what an upstream returns. Its body names the request that it answers.
type answer struct {
	body    string
	length  int
	unspent int
	load    call.Load
}

func newAnswer(r *request) *answer {
	body := "answer to " + r.name
	return &answer{body: body, length: len(body)}
}

// half returns the answer as it arrives when its connection breaks.
func (a *answer) half() *answer {
	broken := *a
	broken.body = a.body[:a.length/2]
	return &broken
}

// reply takes *answer or *call.Refusal.
type reply func(any)

// runCall is the context of one attempt.
type runCall struct {
	id          string
	request     *request
	incarnation uint64
	budget      int
	deadline    time.Time
}

// arrival is a call at its destination.
type arrival struct {
	admission.Work
	call  runCall
	reply reply
}

func (w *world) newProcess(name string, incarnation uint64) *process {
	p := &process{
		w: w, name: name, domain: domainOf(name), service: serviceOf(name), incarnation: incarnation, alive: true,
		pending:     map[connection][]*pendingCall{},
		replica:     config.NewReplica(1000),
		heard:       map[string]int64{},
		withdrawals: keys.NewWithdrawals(),
		queued:      map[*admission.Work]*arrival{},
		buckets:     retry.NewBuckets(retry.DefaultConfig()),
		seen:        requestid.NewSeenSet(100_000, seenRetention),
		allotment:   ratelimit.NewAllotment(domains, shardsPerDomain),
		waiters:     map[string][]func() bool{},
		owned:       map[int]*ownedShard{},
		reached:     map[string]bool{},
	}
	origin := balance.Origin{Node: name, FailureDomain: p.domain}
	picker := balance.DefaultConfig()
	picker.EjectionTime, picker.MaxEjectionTime, picker.ProbeTimeout = ejectionTime, 2*ejectionTime, requestTimeout
	p.picker = balance.NewPicker(picker, origin)
	p.queue, _ = admission.NewQueue(admission.DefaultConfig(upstreamSlots), admission.NewFixedLimiter(upstreamSlots))
	secret := []byte(fmt.Sprintf("%016x", incarnation))
	p.issuer, _ = requestid.NewIssuer(name, incarnation, secret, idLifetime)
	p.table = requestid.NewTable(p.issuer, requestid.DefaultTableConfig())
	cache := ratelimit.DefaultCacheConfig(name, incarnation, p.domain)
	cache.GrantLifetime, cache.IdleTimeout, cache.BackoffMax = grantLifetime, grantLifetime, grantLifetime
	p.cache = ratelimit.NewCache(cache, p.allotment)
	members := member.DefaultConfig()
	members.Name, members.FailureDomain, members.PeerAddress, members.Incarnation = name, p.domain, name, incarnation
	members.ProbeInterval, members.ProbeTimeout, members.PauseLimit = 300*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond
	members.Suspicion, members.AnnounceTimeout, members.SyncInterval = 600*time.Millisecond, 600*time.Millisecond, 800*time.Millisecond
	p.machine, _ = member.New(members, w.random)
	return p
}

// after runs f at this process unless it has ended by then; a frozen process runs it when it thaws.
func (p *process) after(d time.Duration, f func()) {
	p.w.after(d, func() { p.exec(f) })
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

// step tells the world that the process reached a step, and goes on if it may.
func (p *process) step(s Step, next func()) {
	p.w.reach(s, p)
	p.exec(next)
}

func (p *process) now() time.Time { return p.w.now }

// withdrawn tells whether the process knows that the key is withdrawn.
func (p *process) withdrawn(hash string) bool {
	key, ok := p.replica.Document().Keys[hash]
	return !ok || key.Withdrawn || p.withdrawals.Withdrawn(hash)
}

// admit handles a request of a caller at its entry node.
func (p *process) admit(r *request, done reply) {
	outcome := call.NotRun
	if !r.idempotent {
		outcome = call.MayHaveRun
	}
	p.step(Arrival, func() {
		if p.replica.Revision() == 0 || p.replica.Ready() != nil {
			done(call.NewRefusal(call.CodeStaleConfiguration, outcome, "no configuration"))
			return
		}
		p.step(KeyCheck, func() {
			if p.withdrawn(r.keyHash) {
				done(call.NewRefusal(call.CodeWithdrawnKey, outcome, "key withdrawn"))
				return
			}
			deadline := p.now().Add(requestTimeout)
			if r.idempotent {
				p.root(r, deadline, nil, done)
				return
			}
			p.identified(r, deadline, done)
		})
	})
}

// identified runs a non-idempotent request at the home of its id.
func (p *process) identified(r *request, deadline time.Time, done reply) {
	if r.id.Node == p.name {
		p.home(r, deadline, done)
		return
	}
	home := p.machine.Member(r.id.Node)
	if home == nil || home.GetIncarnation() != r.id.Incarnation {
		done(call.NewRefusal(call.CodeRequestIDLost, call.MayHaveRun, "home unknown"))
		return
	}
	p.w.calls++
	id := fmt.Sprintf("home-%d", p.w.calls)
	p.rpc(r.id.Node, kindHome, deadline.Sub(p.now()), func(q *process, back func(any)) {
		switch {
		case q.incarnation != r.id.Incarnation && !p.w.switches.SkipIncarnation:
			back(call.NewRefusal(call.CodeWrongIncarnation, call.MayHaveRun, "home replaced"))
		case !p.w.switches.SkipHomeSeen && q.doubled(id):
			back(call.NewRefusal(call.CodeDuplicate, call.MayHaveRun, "doubled"))
		case q.withdrawn(r.keyHash):
			back(call.NewRefusal(call.CodeWithdrawnKey, call.MayHaveRun, "key withdrawn"))
		default:
			q.home(r, deadline, back)
		}
	}, func(payload any, err sendError) {
		if err != delivered {
			// An earlier presentation may have run, so even an unsent message proves nothing.
			payload = call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "home not reached")
		}
		done(payload)
	})
}

func (p *process) doubled(id string) bool {
	return p.seen.Add(p.now(), id) != requestid.SeenNew && !p.w.switches.SkipSeen
}

// home decides about a presentation of an id that this incarnation issued.
func (p *process) home(r *request, deadline time.Time, done reply) {
	decision := p.table.Begin(p.now(), r.id, r.workspace, requestid.Digest{1})
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
		p.after(20*time.Millisecond, func() { p.home(r, deadline, done) })
	default:
		attempt := decision.Attempt
		p.root(r, deadline, attempt, func(result any) {
			p.step(DedupeRecord, func() {
				if refusal, ok := result.(*call.Refusal); ok {
					if refusal.Outcome == call.NotRun {
						attempt.FinishNotRun()
					} else {
						// Close goes by the mark of the dispatch, as for a caller that went away.
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

// root takes a token and dispatches a request with a reserved retry budget.
func (p *process) root(r *request, deadline time.Time, attempt *requestid.Attempt, done reply) {
	p.step(Rate, func() {
		p.takeToken(r.workspace, func(taken bool) {
			if !taken {
				done(call.NewRefusal(call.CodeRateExceeded, call.NotRun, "above rate"))
				return
			}
			p.w.tokenTaken(r.workspace)
			key := retry.Key{Workspace: r.workspace, Route: "front"}
			rules := retry.Rules{Ratio: retryRatio, Limit: retryLimit}
			p.w.roots++
			budget := p.buckets.Reserve(key, rules)
			r.reserved += budget.Remaining()
			d := &dispatcher{
				p: p, request: r, service: serviceFront, budget: budget, deadline: deadline, record: attempt,
				topUp: func() {
					before := budget.Remaining()
					p.buckets.TopUp(key, rules, budget)
					r.reserved += budget.Remaining() - before
				},
			}
			d.done = func(result any) {
				p.w.returned(r, budget.Remaining())
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
	failed   []balance.ID
	attempts int
	// outcome is the worst one of all attempts.
	outcome call.Outcome
	done    reply
}

func (d *dispatcher) try() {
	p := d.p
	d.attempts++
	p.step(Choice, func() {
		choice, err := p.picker.Pick(d.service, balance.Query{Exclude: d.failed, NoProbe: !d.request.idempotent}, p.now(), p.w.random)
		if err != nil {
			d.failedWith(call.NewRefusal(call.CodeNoUpstream, call.NotRun, "no upstream"))
			return
		}
		if d.record != nil && !p.w.switches.SkipMarkDispatched {
			d.record.MarkDispatched()
		}
		p.step(Dispatch, func() { d.send(choice) })
	})
}

func (d *dispatcher) send(choice balance.Choice) {
	p, w := d.p, d.p.w
	w.calls++
	grant := d.budget.Grant()
	c := runCall{
		id: fmt.Sprintf("call-%d", w.calls), request: d.request, incarnation: choice.Incarnation,
		budget: grant.Tokens(), deadline: d.deadline,
	}
	if w.switches.UnboundedRetries {
		c.budget = retryLimit
	}
	started := p.now()
	w.attempt(d.request, d.service, d.attempts)
	finish := func(payload any, err sendError) {
		took := p.now().Sub(started)
		if a, ok := payload.(*answer); ok && err == delivered {
			d.settle(grant, a.unspent)
			p.picker.Done(d.service, choice.ID, balance.Result{Outcome: balance.Succeeded, Latency: took, Load: &a.load}, p.now())
			d.done(a)
			return
		}
		refusal, ok := payload.(*call.Refusal)
		switch {
		case err == notSent:
			refusal = call.NewRefusal(call.CodePeerFailed, call.NotRun, "not sent")
			grant.SettleUnsent()
		case err == lost || !ok:
			refusal = call.NewRefusal(call.CodePeerFailed, call.MayHaveRun, "connection lost")
			if w.switches.ClaimNotRun {
				refusal.Outcome = call.NotRun
			}
			d.settle(grant, 0)
		default:
			d.settle(grant, refusal.UnspentBudget)
		}
		d.failed = append(d.failed, choice.ID)
		p.picker.Done(d.service, choice.ID, balance.RefusalResult(refusal, took), p.now())
		d.failedWith(refusal)
	}
	if choice.Node == p.name {
		p.destination(c, false, func(result any) { finish(result, delivered) })
		return
	}
	p.rpc(choice.Node, kindRun, max(0, d.deadline.Sub(p.now())), func(q *process, back func(any)) {
		q.destination(c, true, back)
	}, finish)
}

func (d *dispatcher) settle(grant *retry.Grant, unspent int) {
	if d.p.w.switches.KeepGrants {
		unspent = grant.Tokens()
	}
	grant.Settle(unspent)
}

// failedWith retries or passes the refusal up, with the worst outcome of all attempts.
func (d *dispatcher) failedWith(refusal *call.Refusal) {
	p, w := d.p, d.p.w
	d.outcome = max(d.outcome, refusal.Outcome)
	failure := retry.Failure{
		Outcome: refusal.Outcome, Code: refusal.Code, Idempotent: d.request.idempotent, Final: refusal.Final,
		Attempt: d.attempts, Remaining: d.deadline.Sub(p.now()),
	}
	if w.switches.RetryMayHaveRun {
		failure.Outcome = call.NotRun
	}
	if d.topUp != nil {
		d.topUp()
	}
	decision := retry.DefaultConfig().Decide(failure, d.budget, w.random)
	if decision.Retry {
		p.after(decision.Wait, d.try)
		return
	}
	final := *refusal
	final.Final = true
	if !w.switches.ForgetOutcomes {
		final.Outcome = d.outcome
	}
	d.done(&final)
}

// destination handles a forwarded call.
func (p *process) destination(c runCall, remote bool, back reply) {
	w := p.w
	refuse := func(code call.Code, outcome call.Outcome, text string) {
		refusal := call.NewRefusal(code, outcome, "%s", text)
		if code != call.CodeDuplicate || w.switches.RefundDoubled {
			// The first copy of a doubled call may still spend its budget.
			refusal.UnspentBudget = c.budget
		}
		back(refusal)
	}
	switch {
	case remote && c.incarnation != p.incarnation && !w.switches.SkipIncarnation:
		refuse(call.CodeWrongIncarnation, call.MayHaveRun, "restarted")
	case remote && (!c.request.idempotent || !w.switches.SeenOnce) && p.doubled(c.id):
		refuse(call.CodeDuplicate, call.MayHaveRun, "doubled")
	case !p.now().Before(c.deadline):
		refuse(call.CodeDeadline, call.NotRun, "deadline passed")
	default:
		p.step(Queue, func() { p.offer(c, back) })
	}
}

func (p *process) offer(c runCall, back reply) {
	a := &arrival{call: c, reply: back}
	a.Item = admission.Item{
		Workspace: c.request.workspace, KeyHash: c.request.keyHash, Route: "front",
		Importance: call.Normal, Deadline: c.deadline,
	}
	p.queued[&a.Work] = a
	waited := p.queue.Offer(p.now(), &a.Work) == admission.Queued
	if !waited {
		p.decided(a, !p.w.switches.CheckQueuedOnly)
	}
	p.pump()
}

// pump carries out what the queue has decided.
func (p *process) pump() {
	for work := p.queue.NextDecided(); work != nil; work = p.queue.NextDecided() {
		if a := p.queued[work]; a != nil {
			p.decided(a, true)
		}
	}
}

func (p *process) decided(a *arrival, check bool) {
	delete(p.queued, &a.Work)
	if a.State == admission.Refused {
		refusal := p.queue.Refusal(p.now(), a.Reason, p.w.random.Float64())
		refusal.UnspentBudget = a.call.budget
		a.reply(refusal)
		return
	}
	if check && !p.w.switches.SkipDequeueCheck && p.withdrawn(a.KeyHash) {
		p.queue.Finish(p.now(), a.Started, a.Route, 0, admission.Ignored)
		refusal := p.queue.Refusal(p.now(), admission.Withdrawn, p.w.random.Float64())
		refusal.UnspentBudget = a.call.budget
		a.reply(refusal)
		p.pump()
		return
	}
	p.w.ran(p, a)
	p.step(Run, func() {
		p.after(p.w.jitter(serviceMin, serviceMax), func() { p.downstream(a) })
	})
}

// downstream makes the child call of a request that has one, while the request holds its slot.
func (p *process) downstream(a *arrival) {
	budget := retry.NewBudget(a.call.budget)
	if p.service == serviceBack || !a.call.request.child {
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

func (p *process) complete(a *arrival, budget *retry.Budget, failure *call.Refusal) {
	p.queue.Finish(p.now(), a.Started, a.Route, 0, admission.Succeeded)
	p.pump()
	p.step(AnswerSent, func() {
		if failure != nil {
			// The upstream ran the request, whatever became of its child call.
			final := call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "child call failed: %s", failure.Code)
			a.reply(retry.FinalRefusal(final, budget))
			return
		}
		result := newAnswer(a.call.request)
		result.unspent = budget.Close()
		result.load = p.queue.Load(p.now())
		a.reply(result)
	})
}

// setDraining begins a planned stop.
func (p *process) setDraining() {
	p.draining = true
	p.drainedAt = p.now()
	if !p.w.switches.SkipDrain {
		p.queue.SetDraining(true)
	}
	p.carryOut(p.machine.SetDraining(p.now(), true))
}

// tick runs what cowslipd does periodically.
func (p *process) tick() {
	p.carryOut(p.machine.Announce(p.now(), &membershipv1.Upstream{Service: p.service, Slots: upstreamSlots, Draining: p.draining}))
	p.machine.SetPiggyback(&membershipv1.Piggyback{ConfigRevision: p.replica.Revision(), WithdrawalDigest: p.withdrawals.Digest()})
	p.carryOut(p.machine.Tick(p.now()))
	p.publishCandidates()
	p.queue.Sweep(p.now())
	p.pump()
	p.plan()
	p.after(tickInterval, p.tick)
}

func (p *process) members() []*member.Member {
	all := p.machine.Members()
	all = append(all, p.machine.Self())
	slices.SortFunc(all, func(a, b *member.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	return slices.DeleteFunc(all, func(m *member.Member) bool { return m.GetState() != membershipv1.State_STATE_ALIVE })
}

func (p *process) publishCandidates() {
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

// carryOut does what the membership machine asks for.
func (p *process) carryOut(output member.Output) {
	for _, e := range output.Events {
		switch e.Kind {
		case member.WithdrawalsReceived:
			p.mergeWithdrawals(e.Withdrawn)
		case member.PiggybackReceived:
			p.heard[e.Member.GetName()] = e.Piggyback.GetConfigRevision()
			p.replica.ObserveRevision(e.Piggyback.GetConfigRevision())
		}
	}
	for _, send := range output.Sends {
		p.w.deliver(p, send.To, kindMembers, func(q *process) {
			q.carryOut(q.machine.HandleMessage(q.now(), p.name, send.Packet))
		})
	}
	for _, sync := range output.Syncs {
		p.rpc(sync.To, kindMembers, grantTimeout, func(q *process, back func(any)) {
			response, output := q.machine.HandleSyncRequest(q.now(), sync.Request)
			q.carryOut(output)
			back(response)
		}, func(payload any, err sendError) {
			if err == delivered {
				p.carryOut(p.machine.HandleSyncResponse(p.now(), sync.To, payload.(*membershipv1.SyncResponse)))
			}
		})
	}
}
