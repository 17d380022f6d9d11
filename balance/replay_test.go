package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/workload"
)

// replayFleet is a fleet whose nodes all send calls to the upstreams of one service. Times are in seconds.
type replayFleet struct {
	nodes, upstreams int
	oneWay           float64 // between failure domains
	load             float64 // demand as a fraction of the capacity
	wave             float64 // amplitude of the demand of a domain; the domains are out of phase
	minSpeed, spread float64 // speeds are from minSpeed to minSpeed+spread
	minSlots, slots  int     // slots are from minSlots to minSlots+slots-1
	sigma            float64 // of the logarithm of the work
	expensive        float64 // fraction of calls that cost 7 times the work
	slow             float64 // fraction of the time in which an upstream is 2.5 times as slow, for 0.6 s each
	duration         float64
}

// heavyFleet is deployment L of docs/design/hard-load.md with fewer slots.
var heavyFleet = replayFleet{nodes: 63, upstreams: 15, oneWay: 0.0054, load: 0.72, wave: 0.55, minSpeed: 0.5, spread: 1.2,
	minSlots: 8, slots: 28, sigma: 0.5, expensive: 0.03, slow: 0.15, duration: 10}

// calmFleet has upstreams of one speed and calls that hardly vary.
var calmFleet = replayFleet{nodes: 42, upstreams: 9, oneWay: 0.0005, load: 0.25, minSpeed: 1, minSlots: 20, slots: 1, sigma: 0.1, duration: 10}

var replayWork = [...]float64{0.04, 0.12, 0.4}

const (
	replayDomains = 3
	slowTime      = 0.6
	slowFactor    = 2.5
	replayNear    = 0.0002 // one way within a failure domain
	replayLimit   = 8      // time limit of a call as a multiple of its route's work, besides 0.1 s
	replayWarmUp  = 2.0    // calls that start before are not counted
)

// replayUpstream is an upstream and the node beside it, which holds the queue.
type replayUpstream struct {
	candidate Candidate
	speed     float64
	slowAt    []float64
	busy      int
	busyTime  float64
	queue     []*replayCall
	meter     *workload.Meter
}

type replayCall struct {
	at       float64 // of the next event
	step     int     // see the step constants
	node     int
	route    int
	u        int
	work     float64
	began    float64
	deadline float64
	arrived  float64
	started  float64
	metered  *workload.Call
	result   LatencyResult
}

const (
	stepSend = iota
	stepArrive
	stepEnd
	stepReturn
)

type replayQueue []*replayCall

func (q replayQueue) Len() int           { return len(q) }
func (q replayQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q replayQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(c any)        { *q = append(*q, c.(*replayCall)) }
func (q *replayQueue) Pop() any {
	last := len(*q) - 1
	c := (*q)[last]
	*q = (*q)[:last]
	return c
}

// replayPolicy chooses upstreams for one node.
type replayPolicy interface {
	pick(route int, now time.Time, random *rand.Rand) int
	done(u, route int, result LatencyResult, now time.Time)
}

type replayFigures struct {
	inTime, mean, p99, busiest, remote float64
	shares                             []float64 // of the calls, by upstream
}

func (f replayFigures) String() string {
	return fmt.Sprintf("in time %.4f, mean %.3f s, p99 %.3f s, busiest over mean %.2f, left the domain %.3f", f.inTime, f.mean, f.p99, f.busiest, f.remote)
}

func replayTime(at float64) time.Time { return epoch.Add(time.Duration(at * float64(time.Second))) }

// ended returns when an upstream has done an amount of work that it starts now.
func (u *replayUpstream) ended(now, work float64) float64 {
	i, _ := slices.BinarySearch(u.slowAt, now-slowTime)
	for {
		if i >= len(u.slowAt) || now+work/u.speed <= u.slowAt[i] {
			return now + work/u.speed
		}
		if u.slowAt[i] > now {
			work -= (u.slowAt[i] - now) * u.speed
			now = u.slowAt[i]
		}
		end := u.slowAt[i] + slowTime
		if at := now + work*slowFactor/u.speed; at <= end {
			return at
		}
		work -= (end - now) * u.speed / slowFactor
		now = end
		i++
	}
}

type replay struct {
	fleet     replayFleet
	random    *rand.Rand // of the fleet and its calls, the same for all policies
	choices   *rand.Rand
	upstreams []*replayUpstream
	policies  []replayPolicy
	events    replayQueue
	latencies []float64
	inTime    int
	remote    int
	sent      []float64
	reports   bool // of work and pace
}

func newReplay(fleet replayFleet, seed uint64) *replay {
	r := &replay{fleet: fleet, random: rand.New(rand.NewPCG(seed, 1)), choices: rand.New(rand.NewPCG(seed, 2)), sent: make([]float64, fleet.upstreams)}
	for i := range fleet.upstreams {
		u := &replayUpstream{
			speed: fleet.minSpeed + fleet.spread*r.random.Float64(), meter: workload.NewMeter(),
			candidate: Candidate{
				ID: ID{Node: fmt.Sprintf("n%d", i), Incarnation: 1}, FailureDomain: fmt.Sprintf("d%d", i%replayDomains), Region: "r",
				Slots: fleet.minSlots + r.random.IntN(fleet.slots),
			},
		}
		if fleet.slow > 0 {
			for at := 0.0; at < fleet.duration; at += slowTime {
				at += r.random.ExpFloat64() * slowTime * (1/fleet.slow - 1)
				u.slowAt = append(u.slowAt, at)
			}
		}
		r.upstreams = append(r.upstreams, u)
	}
	return r
}

func (r *replay) candidates() []Candidate {
	var list []Candidate
	for _, u := range r.upstreams {
		list = append(list, u.candidate)
	}
	return list
}

// run replays the fleet with one policy per node.
func (r *replay) run(policies []replayPolicy) replayFigures {
	r.policies = policies
	capacity := 0.0
	for _, u := range r.upstreams {
		capacity += u.speed * float64(u.candidate.Slots) / (1 + r.fleet.slow*(slowFactor-1)/slowFactor)
	}
	rate := r.fleet.load * capacity / r.meanWork() / float64(r.fleet.nodes)
	next := func(node int, at float64) {
		// Calls that exceed the present demand of the domain are left out.
		for phase := 2 * math.Pi * float64(node%replayDomains) / replayDomains; at < r.fleet.duration; {
			at += r.random.ExpFloat64() / (rate * (1 + r.fleet.wave))
			if r.random.Float64()*(1+r.fleet.wave) < 1+r.fleet.wave*math.Sin(at+phase) {
				break
			}
		}
		if at < r.fleet.duration {
			heap.Push(&r.events, &replayCall{at: at, node: node})
		}
	}
	for node := range r.fleet.nodes {
		next(node, 0)
	}
	for len(r.events) > 0 {
		c := heap.Pop(&r.events).(*replayCall)
		if c.step == stepSend {
			next(c.node, c.at)
		}
		r.step(c)
	}
	return r.figures()
}

func (r *replay) step(c *replayCall) {
	now := replayTime(c.at)
	switch c.step {
	case stepSend:
		c.route = r.random.IntN(len(replayWork))
		s := r.fleet.sigma
		c.work = replayWork[c.route] * math.Exp(s*r.random.NormFloat64()-s*s/2)
		if r.random.Float64() < r.fleet.expensive {
			c.work *= 7
		}
		c.began, c.deadline = c.at, c.at+0.1+replayLimit*replayWork[c.route]
		c.u = r.policies[c.node].pick(c.route, now, r.choices)
		c.at += r.oneWay(c)
		c.step = stepArrive
		heap.Push(&r.events, c)
	case stepArrive:
		u := r.upstreams[c.u]
		c.arrived = c.at
		if r.reports {
			c.metered = u.meter.Wait(workload.Class{Route: replayRoute(c.route)})
		}
		u.queue = append(u.queue, c)
		r.start(u, c.at)
	case stepEnd:
		u := r.upstreams[c.u]
		u.busy--
		u.busyTime += c.at - c.started
		if r.reports {
			ran, usual := u.meter.End(c.metered, true, now)
			c.result.Load = r.load(u, now)
			c.result.Load.Waited, c.result.Load.Ran, c.result.Load.Usual = time.Duration((c.started-c.arrived)*float64(time.Second)), ran, usual
		} else {
			c.result.Load = r.load(u, now)
		}
		r.start(u, c.at)
		r.answer(c, c.at)
	case stepReturn:
		c.result.Latency = now.Sub(replayTime(c.began))
		r.policies[c.node].done(c.u, c.route, c.result, now)
		if c.began < replayWarmUp {
			return
		}
		r.latencies = append(r.latencies, c.at-c.began)
		r.sent[c.u]++
		if c.result.Outcome == Succeeded && c.at <= c.deadline {
			r.inTime++
		}
		if c.node%replayDomains != c.u%replayDomains {
			r.remote++
		}
	}
}

// start starts waiting calls while slots are free, and refuses those that are too late.
func (r *replay) start(u *replayUpstream, at float64) {
	for len(u.queue) > 0 {
		c := u.queue[0]
		if at > c.deadline {
			u.queue = u.queue[1:]
			if r.reports {
				u.meter.Drop(c.metered)
			}
			c.result = LatencyResult{Outcome: Declined, Load: r.load(u, replayTime(at))}
			r.answer(c, at)
			continue
		}
		if u.busy >= u.candidate.Slots {
			return
		}
		u.queue = u.queue[1:]
		u.busy++
		if r.reports {
			u.meter.Start(c.metered, replayTime(at))
		}
		c.started, c.at, c.step = at, u.ended(at, c.work), stepEnd
		heap.Push(&r.events, c)
	}
}

func (r *replay) answer(c *replayCall, at float64) {
	c.at, c.step = at+r.oneWay(c), stepReturn
	heap.Push(&r.events, c)
}

func (r *replay) oneWay(c *replayCall) float64 {
	if c.node%replayDomains == c.u%replayDomains {
		return replayNear
	}
	return r.fleet.oneWay
}

func (r *replay) load(u *replayUpstream, now time.Time) *call.Load {
	mean := r.meanWork() / u.speed / float64(u.candidate.Slots)
	load := &call.Load{
		InFlight: u.busy, Limit: u.candidate.Slots, Admitted: call.Sheddable, QueueDelay: time.Duration(float64(len(u.queue)) * mean * float64(time.Second)),
		Waiting: len(u.queue),
	}
	if r.reports {
		report := u.meter.Report(now)
		load.WorkLeft, load.Pace = report.Left, report.Pace
	}
	return load
}

func (r *replay) meanWork() float64 {
	work := 0.0
	for _, w := range replayWork {
		work += w * (1 + 6*r.fleet.expensive) / float64(len(replayWork))
	}
	return work
}

func (r *replay) figures() replayFigures {
	slices.Sort(r.latencies)
	count := len(r.latencies)
	f := replayFigures{inTime: float64(r.inTime) / float64(count), p99: r.latencies[count*99/100], remote: float64(r.remote) / float64(count)}
	for _, latency := range r.latencies {
		f.mean += latency / float64(count)
	}
	most, sum := 0.0, 0.0
	for i, u := range r.upstreams {
		busy := u.busyTime / float64(u.candidate.Slots)
		most, sum = max(most, busy), sum+busy
		f.shares = append(f.shares, r.sent[i]/float64(count))
	}
	f.busiest = most / sum * float64(len(r.upstreams))
	return f
}

func replayRoute(route int) string { return [...]string{"a", "b", "c"}[route] }

// pickerPolicy uses a LatencyPicker.
type pickerPolicy struct {
	picker     *LatencyPicker
	candidates []Candidate
}

func (p pickerPolicy) pick(route int, now time.Time, random *rand.Rand) int {
	limit := time.Duration((0.1 + replayLimit*replayWork[route]) * float64(time.Second))
	choice, _ := p.picker.Pick("s", LatencyQuery{Route: replayRoute(route), TimeLeft: limit}, now, random)
	return slices.IndexFunc(p.candidates, func(c Candidate) bool { return c.ID == choice.ID })
}

func (p pickerPolicy) done(u, route int, result LatencyResult, now time.Time) {
	p.picker.Done("s", p.candidates[u].ID, replayRoute(route), result, now)
}

// countPolicy chooses among all upstreams, or two random ones, the one with the fewest calls for its slots. It counts the own
// calls, and with reports those that the upstream last told too.
type countPolicy struct {
	candidates []Candidate
	own        []int
	reported   []int // by others, at the last report
	two        bool
}

func (p *countPolicy) pick(_ int, _ time.Time, random *rand.Rand) int {
	order := random.Perm(len(p.candidates))
	if p.two {
		order = order[:2]
	}
	best := slices.MinFunc(order, func(a, b int) int {
		return (p.own[a]+p.reported[a])*p.candidates[b].Slots - (p.own[b]+p.reported[b])*p.candidates[a].Slots
	})
	p.own[best]++
	return best
}

func (p *countPolicy) done(u, _ int, result LatencyResult, _ time.Time) {
	p.own[u]--
	if p.two {
		p.reported[u] = max(0, result.Load.InFlight+result.Load.Waiting-p.own[u])
	}
}

// replayWith replays a fleet with the policy of a name.
func replayWith(fleet replayFleet, seed uint64, name string) replayFigures {
	r := newReplay(fleet, seed)
	r.reports = name == "expected" // without, the picker gets what nodes told before they reported work and pace
	candidates := r.candidates()
	var policies []replayPolicy
	for node := range fleet.nodes {
		switch name {
		case "expected", "today":
			picker := NewLatencyPicker(DefaultLatencyConfig(), Origin{Node: fmt.Sprintf("n%d", node), FailureDomain: fmt.Sprintf("d%d", node%replayDomains), Region: "r"})
			picker.SetCandidates("s", candidates)
			policies = append(policies, pickerPolicy{picker, candidates})
		default:
			policies = append(policies, &countPolicy{candidates: candidates, own: make([]int, len(candidates)), reported: make([]int, len(candidates)), two: name == "two"})
		}
	}
	return r.run(policies)
}

// The picker must not serve fewer calls in time than without the reports of work and pace, in any replay, and must be
// better on average.
func TestReplayHeavy(t *testing.T) {
	means := map[string]replayFigures{}
	seeds := []uint64{1, 2, 3}
	for _, seed := range seeds {
		got := map[string]replayFigures{}
		for _, name := range []string{"expected", "today", "least", "two"} {
			got[name] = replayWith(heavyFleet, seed, name)
			t.Logf("seed %d, %-8s %v", seed, name, got[name])
			m := means[name]
			m.inTime += got[name].inTime / float64(len(seeds))
			m.p99 += got[name].p99 / float64(len(seeds))
			means[name] = m
		}
		must.GreaterEq(t, got["today"].inTime, got["expected"].inTime, must.Sprint("in time, seed ", seed))
	}
	must.True(t, means["expected"].inTime > means["today"].inTime || means["expected"].p99 < means["today"].p99)
}

// Where upstreams and calls are alike and the load is low or usual, calls must spread over the upstreams as evenly, and stay in their
// failure domain as much, as without reports.
func TestReplayCalm(t *testing.T) {
	for _, load := range []float64{calmFleet.load, 0.7} {
		fleet := calmFleet
		fleet.load = load
		for _, seed := range []uint64{1, 2} {
			expected, today := replayWith(fleet, seed, "expected"), replayWith(fleet, seed, "today")
			t.Logf("load %v, seed %d, expected %v; today %v", load, seed, expected, today)
			uneven := func(f replayFigures) float64 { // the largest distance of a share from the even one
				even := 1 / float64(len(f.shares))
				return max(slices.Max(f.shares)-even, even-slices.Min(f.shares))
			}
			must.LessEq(t, uneven(today)+0.01, uneven(expected))
			must.LessEq(t, today.remote+0.01, expected.remote)
			must.LessEq(t, today.p99*1.02, expected.p99)
			must.GreaterEq(t, today.inTime, expected.inTime)
		}
	}
}
