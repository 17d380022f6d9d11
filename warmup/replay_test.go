package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/backpressure"
	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/warmup"
)

const (
	entryCount, upstreamCount = 12, 12
	slots                     = 8
	meanWork                  = 40 * time.Millisecond
	coldRate, coldBound       = 13, 27
	warmUpTime                = 3 * time.Second
	restartTime               = 500 * time.Millisecond
	usualRate                 = 40.0 // requests per second and upstream, a fifth of what it can do when warm
	timeout                   = 2 * time.Second
	hop                       = time.Millisecond
	second                    = time.Second
	crashAt                   = 7 * second // of all upstreams, under load
	simTime                   = 16 * second
	service, routeName        = "s", "route"
)

type event struct {
	at time.Time
	do func()
}

// fleet replays a fleet without a network: requests enter at entry nodes, which choose an upstream and limit by rank; the
// node beside each upstream queues and paces. An upstream that receives more than its bound while it is cold crashes.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	begin     time.Time
	events    []event // by time
	entries   []*entry
	upstreams []*simUpstream
	crashes   int
	// offered and answered count by the second in which a request enters; the critical ones of the warm-up also apart.
	offered, answered                 [int(simTime / second)]int
	offeredCritical, answeredCritical int
}

type entry struct {
	limits *backpressure.Limits
	picker *balance.LatencyPicker
}

type simUpstream struct {
	fleet     *fleet
	name      string
	queue     *admission.Queue
	pacer     *warmup.Pacer
	start     int // number of the start
	downUntil time.Time
	coldUntil time.Time
	arrivals  []time.Time
	waiting   map[*admission.Work]func(*call.Refusal)
}

func (f *fleet) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.events, at, func(e event, at time.Time) int { return e.at.Compare(at) })
	f.events = slices.Insert(f.events, i, event{at, do})
}

func newFleet(t *testing.T, seed uint64, paced bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0)}
	f.begin = f.now
	for range entryCount {
		f.entries = append(f.entries, &entry{backpressure.New(), balance.NewLatencyPicker(balance.DefaultLatencyConfig(), balance.Origin{})})
	}
	for i := range upstreamCount {
		u := &simUpstream{fleet: f, name: fmt.Sprint("u", i), pacer: warmup.New(f.now), waiting: map[*admission.Work]func(*call.Refusal){}}
		if paced {
			u.pacer.Configure(warmup.Config{Rate: coldRate, Duration: warmUpTime, Over: 1.5, Slack: 8}, f.now)
		}
		cfg := admission.DefaultConfig(slots)
		cfg.TargetWork, cfg.Level, cfg.Pace = 3, admission.DefaultLevelConfig(), u.pacer
		var err error
		u.queue, err = admission.NewQueue(cfg, admission.NewFixedLimiter(slots))
		must.NoError(t, err)
		u.coldUntil = f.now.Add(warmUpTime)
		f.upstreams = append(f.upstreams, u)
		f.after(0, u.sweep)
		f.after(0, u.askHealth)
		f.after(crashAt, u.crash)
	}
	f.publish()
	return f
}

// publish tells the entry nodes what registrations say, half a second late, and the limits of some upstreams, as exchanges
// do.
func (f *fleet) publish() {
	candidates := make([]balance.Candidate, 0, upstreamCount)
	for i, u := range f.upstreams {
		c := balance.Candidate{ID: balance.ID{Node: u.name, Incarnation: uint64(i)}, Slots: slots}
		if left := u.pacer.Cold(f.now); left > 0 {
			c.ColdRate, c.ColdUntil = coldRate, f.now.Add(left)
		}
		candidates = append(candidates, c)
	}
	for _, e := range f.entries {
		f.after(second/2, func() { e.picker.SetCandidates(service, candidates) })
		for range 4 {
			u := f.upstreams[f.random.IntN(upstreamCount)]
			e.limits.RecordDestination(service, u.name, u.queue.Load(f.now).ShedFrom, f.now)
		}
	}
	f.after(second/4, f.publish)
}

func (u *simUpstream) sweep() {
	u.queue.Sweep(u.fleet.now)
	u.decide()
	u.fleet.after(20*time.Millisecond, u.sweep)
}

func (u *simUpstream) askHealth() {
	f := u.fleet
	interval := second / 4
	if u.pacer.Cold(f.now) > 0 {
		interval = second
	}
	defer f.after(interval, u.askHealth)
	if f.now.Before(u.downUntil) || u.pacer.Send(f.now) > 0 {
		return
	}
	u.arrive()
	u.pacer.RecordAnswer(f.now, f.now, max(0, u.coldUntil.Sub(f.now)))
}

// arrive counts a request and reports whether the upstream is up after it.
func (u *simUpstream) arrive() bool {
	now := u.fleet.now
	if now.Before(u.downUntil) {
		return false
	}
	u.arrivals = append(u.arrivals, now)
	for now.Sub(u.arrivals[0]) >= second {
		u.arrivals = u.arrivals[1:]
	}
	if now.Before(u.coldUntil) && len(u.arrivals) > coldBound {
		u.crash()
		return false
	}
	return true
}

// crash ends the process of the upstream. Its node notices at once that the health connection is closed.
func (u *simUpstream) crash() {
	u.fleet.crashes++
	u.start++
	u.arrivals = nil
	u.downUntil = u.fleet.now.Add(restartTime)
	u.coldUntil = u.downUntil.Add(warmUpTime)
	u.pacer.Doubt(u.fleet.now)
}

// run sends a call that has a slot.
func (u *simUpstream) run(done func(*call.Refusal)) {
	f := u.fleet
	if wait := u.pacer.Send(f.now); wait > 0 {
		f.after(wait, func() { u.run(done) })
		return
	}
	started, start := f.now, u.start
	work := time.Duration(f.random.ExpFloat64() * float64(meanWork))
	if !u.arrive() {
		start, work = -1, hop
	}
	f.after(work, func() {
		result, refusal := admission.Succeeded, (*call.Refusal)(nil)
		if u.start != start {
			result, refusal = admission.Failed, call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "crashed")
		}
		u.queue.Finish(f.now, started, routeName, 0, result)
		u.decide()
		done(refusal)
	})
}

func (u *simUpstream) decide() {
	for w := u.queue.NextDecided(); w != nil; w = u.queue.NextDecided() {
		done, known := u.waiting[w]
		if !known {
			continue // Offer has returned the decision
		}
		delete(u.waiting, w)
		if w.State == admission.Running {
			u.run(done)
		} else {
			done(u.queue.Refusal(u.fleet.now, w.Reason, 0))
		}
	}
}

func (u *simUpstream) offer(item admission.Item, done func(*call.Refusal)) {
	w := &admission.Work{Item: item}
	switch u.queue.Offer(u.fleet.now, w) {
	case admission.Running:
		u.run(done)
	case admission.Refused:
		done(u.queue.Refusal(u.fleet.now, w.Reason, 0))
	default:
		u.waiting[w] = done
		u.fleet.after(item.Deadline.Sub(u.fleet.now)/2, func() { // the patience of the caller
			if u.waiting[w] != nil && u.queue.Cancel(u.fleet.now, w, admission.Canceled) {
				delete(u.waiting, w)
				done(u.queue.Refusal(u.fleet.now, admission.Canceled, 0))
			}
		})
	}
	u.decide()
}

// request enters a request and sends it on until it is answered or refused.
func (f *fleet) request() {
	e := f.entries[f.random.IntN(entryCount)]
	item := admission.Item{Route: routeName, Deadline: f.now.Add(timeout), ShedOrder: uint16(f.random.IntN(256))}
	if x := f.random.Float64(); x > 0.6 {
		item.Importance = call.Sheddable
	} else if x > 0.15 {
		item.Importance = call.Normal
	}
	bucket := int(f.now.Sub(f.begin) / second)
	critical := 0
	if item.Importance == call.Critical && bucket < int(warmUpTime/second) {
		critical = 1
	}
	f.offered[bucket]++
	f.offeredCritical += critical
	f.dispatch(e, item, f.now.Add(timeout/2), nil, func(ok bool) {
		if ok {
			f.answered[bucket]++
			f.answeredCritical += critical
		}
	})
}

func (f *fleet) dispatch(e *entry, item admission.Item, giveUpAt time.Time, tried []balance.ID, done func(bool)) {
	rank := call.Rank(item.Importance)*call.RanksPerClass + call.Rank(item.ShedOrder)
	if rank >= e.limits.Strictest(routeName, service, f.now).ShedFrom || len(tried) >= 6 {
		done(false)
		return
	}
	choice, err := e.picker.Pick(service, balance.LatencyQuery{
		Route: routeName, Importance: item.Importance, Rank: rank, TimeLeft: item.Deadline.Sub(f.now), Exclude: tried,
	}, f.now, f.random)
	if err != nil {
		if f.now.After(giveUpAt) {
			done(false)
			return
		}
		f.after(25*time.Millisecond, func() { f.dispatch(e, item, giveUpAt, nil, done) })
		return
	}
	u, sent := f.upstreams[choice.Incarnation], f.now
	f.after(hop, func() {
		u.offer(item, func(refusal *call.Refusal) {
			load := u.queue.Load(f.now)
			f.after(hop, func() {
				result := balance.LatencyResult{Latency: f.now.Sub(sent), Load: &load}
				if refusal != nil {
					result.Outcome = balance.Declined
				}
				e.picker.Done(service, choice.ID, routeName, result, f.now)
				e.limits.RecordDestination(service, u.name, load.ShedFrom, f.now)
				if refusal == nil || refusal.Outcome == call.MayHaveRun {
					done(refusal == nil)
					return
				}
				f.dispatch(e, item, giveUpAt, append(tried, choice.ID), done)
			})
		})
	})
}

func (f *fleet) run(load float64) {
	rate := load * usualRate * upstreamCount
	var next func()
	next = func() {
		f.request()
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(second)), next)
	}
	f.after(0, next)
	for end := f.begin.Add(simTime); ; {
		e := f.events[0]
		f.events = f.events[1:]
		if !e.at.Before(end) {
			return
		}
		f.now = e.at
		e.do()
	}
}

// Guards against a fleet that never comes up when all nodes and upstreams start at once under the usual load and twice that,
// or when all upstreams crash at once, against a cold fleet that serves much less than it sustains or refuses important requests for others, and against a late return
// of the full rate.
func TestAllColdAtOnce(t *testing.T) {
	for _, load := range []float64{1, 2} {
		for seed := range uint64(5) {
			f := newFleet(t, seed, true)
			f.run(load)
			note := must.Sprint("load ", load, " seed ", seed, " answered ", f.answered, " of ", f.offered)
			t.Log("load ", load, " seed ", seed, " answered ", f.answered, " of ", f.offered, ", critical ", f.answeredCritical, " of ", f.offeredCritical)
			must.Eq(t, upstreamCount, f.crashes, note) // those at crashAt
			sustained := 2 * coldRate * upstreamCount  // in the first second after the start of the nodes nothing is sent
			must.GreaterEq(t, 0.8*float64(sustained), float64(f.answered[0]+f.answered[1]+f.answered[2]), note)
			// Requests of the first second use the pace of the next two. Health requests take one of the 13 that an upstream
			// sustains each second.
			possible := min(f.offeredCritical, 2*(coldRate-1)*upstreamCount)
			must.GreaterEq(t, 0.8*float64(possible), float64(f.answeredCritical), note)
			for _, second := range []int{5, 13, 14} { // in second 6 some run when the upstreams crash
				must.GreaterEq(t, 0.99*float64(f.offered[second]), float64(f.answered[second]), note)
			}
		}
	}
}

// Guards against a replay that would not show the fault: without a pace the same fleet keeps crashing.
func TestAllColdAtOnceWithoutPace(t *testing.T) {
	f := newFleet(t, 1, false)
	f.run(1)
	must.Greater(t, 3*upstreamCount, f.crashes) // those at crashAt included
}
