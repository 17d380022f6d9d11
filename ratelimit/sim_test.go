package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
)

const (
	simWait    = 250 * time.Millisecond // maximum time that a request waits for a token
	simTimeout = 50 * time.Millisecond  // request timeout
	simWarmUp  = 30 * time.Second       // fills the buckets before the first request
	simFault   = 20 * time.Second       // time from the first request to the failure of an owner
)

type simEvent struct {
	at  time.Time
	run func()
}

// sim is a seeded event loop that simulates network delays.
type sim struct {
	now    time.Time
	events []simEvent // in order of time
	random *rand.Rand
}

func newSim(seed uint64) *sim {
	return &sim{now: epoch, random: rand.New(rand.NewPCG(seed, 0))}
}

func (s *sim) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e simEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, simEvent{at, run})
}

func (s *sim) run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.run()
	}
}

// oneWay returns the delay of a message: 0.1 to 0.3 ms within a failure domain, 0.4 to 0.6 ms between
// failure domains.
func (s *sim) oneWay(from, to string) time.Duration {
	base := 400
	if from == to {
		base = 100
	}
	return time.Duration(base+s.random.IntN(200)) * time.Microsecond
}

// scheme is a rate limiting scheme. It calls done once for each request.
type scheme interface {
	request(node int, workspace string, done func(admitted bool))
	fail()
}

func domainNames(n int) []string { return []string{"a", "b", "c", "d"}[:n] }

// staticScheme gives each node a fixed part of the quota.
type staticScheme struct {
	sim   *sim
	parts []referenceBucket
}

func newStaticScheme(s *sim, nodes int, quota Quota) *staticScheme {
	scheme := &staticScheme{sim: s}
	for i := range int64(nodes) {
		part := Quota{Burst: (quota.Burst + int64(nodes) - 1 - i) / int64(nodes)}
		part.Rate = quota.Rate / float64(min(int64(nodes), quota.Burst))
		scheme.parts = append(scheme.parts, referenceBucket{quota: part, level: float64(part.Burst), at: s.now})
	}
	return scheme
}

func (s *staticScheme) request(node int, _ string, done func(bool)) {
	done(s.parts[node].tryConsume(s.sim.now))
}
func (s *staticScheme) fail() {}

func (b *referenceBucket) tryConsume(now time.Time) bool {
	if b.consume(now) >= -1e-9 {
		return true
	}
	b.level++
	return false
}

// ownerScheme asks a single owner on each call.
type ownerScheme struct {
	sim       *sim
	bucket    referenceBucket
	domain    func(int) string
	ownerDown bool
	waits     []time.Duration
}

func (s *ownerScheme) request(node int, _ string, done func(bool)) {
	start := s.sim.now
	there, back := s.sim.oneWay(s.domain(node), "a"), s.sim.oneWay("a", s.domain(node))
	s.sim.after(there, func() {
		if s.ownerDown {
			s.sim.after(simTimeout, func() { done(false) })
			return
		}
		admitted := s.bucket.tryConsume(s.sim.now)
		s.sim.after(back, func() {
			s.waits = append(s.waits, s.sim.now.Sub(start))
			done(admitted)
		})
	})
}

func (s *ownerScheme) fail() { s.ownerDown = true }

type waiter struct {
	workspace string
	start     time.Time
	done      func(bool)
}

// prepaidNode uses a Cache in the way a node does.
type prepaidNode struct {
	cache   *Cache
	domain  string
	waiters []*waiter
	wake    time.Time
}

// prepaidScheme is the mechanism of this package.
type prepaidScheme struct {
	sim       *sim
	shards    map[ShardID]*Shard
	nodes     []*prepaidNode
	waits     []time.Duration
	downShard ShardID
	bytes     int
	sent      int
}

func newPrepaidScheme(s *sim, domains, nodes int, quotas map[string]Quota) *prepaidScheme {
	p := &prepaidScheme{sim: s, shards: map[ShardID]*Shard{}}
	names := domainNames(domains)
	allotment := NewAllotment(names, 4)
	for i, id := range allotment.Shards() {
		shard := NewShard(id, DefaultShardConfig())
		shard.Begin(s.now.Add(-time.Minute), s.now.Add(-time.Minute), 2*time.Hour, 1)
		for w, quota := range quotas {
			shard.Configure(s.now, w, allotment.Divide(w, quota)[i])
		}
		p.shards[id] = shard
	}
	for n := range nodes {
		node := &prepaidNode{domain: names[n%domains]}
		node.cache = NewCache(DefaultCacheConfig(fmt.Sprintf("node-%04d", n), uint64(epoch.UnixNano()), node.domain), allotment)
		for w, quota := range quotas {
			node.cache.Configure(w, quota)
		}
		p.nodes = append(p.nodes, node)
	}
	return p
}

// fail stops an owner that has a part of workspace w.
func (p *prepaidScheme) fail() {
	for _, id := range p.nodes[0].cache.allotment.Shards() {
		if p.shards[id].buckets["w"] != nil {
			p.downShard = id
		}
	}
}

func (p *prepaidScheme) request(n int, workspace string, done func(bool)) {
	node := p.nodes[n]
	taken, plan := node.cache.TryTake(p.sim.now, workspace)
	if taken {
		p.waits = append(p.waits, 0)
		done(true)
	} else {
		w := &waiter{workspace: workspace, start: p.sim.now, done: done}
		node.waiters = append(node.waiters, w)
		node.cache.AddWaiter(workspace)
		p.sim.after(simWait, func() { p.finish(node, w, false) })
	}
	if plan || !taken {
		p.plan(node)
	}
}

func (p *prepaidScheme) finish(node *prepaidNode, w *waiter, admitted bool) {
	i := slices.Index(node.waiters, w)
	if i < 0 {
		return
	}
	node.waiters = slices.Delete(node.waiters, i, i+1)
	node.cache.RemoveWaiter(w.workspace)
	p.waits = append(p.waits, p.sim.now.Sub(w.start))
	w.done(admitted)
	p.plan(node)
}

func (p *prepaidScheme) plan(node *prepaidNode) {
	requests, next := node.cache.Plan(p.sim.now)
	for _, r := range requests {
		p.send(node, r)
	}
	if node.wake.After(p.sim.now) && !next.Before(node.wake) {
		return
	}
	node.wake = next
	p.sim.after(next.Sub(p.sim.now), func() {
		if node.wake.Equal(next) {
			p.plan(node)
		}
	})
}

func (p *prepaidScheme) send(node *prepaidNode, r Request) {
	p.sent++
	p.bytes += proto.Size(EncodeRequest(r))
	p.sim.after(simTimeout, func() {
		node.cache.HandleFailure(p.sim.now, r.Shard, r.Sequence)
		p.plan(node)
	})
	p.sim.after(p.sim.oneWay(node.domain, r.Shard.Domain), func() {
		if r.Shard == p.downShard {
			return
		}
		response := p.shards[r.Shard].Grant(p.sim.now, r)
		p.bytes += proto.Size(EncodeResponse(response))
		p.sim.after(p.sim.oneWay(r.Shard.Domain, node.domain), func() { p.receive(node, r.Shard, response) })
	})
}

func (p *prepaidScheme) receive(node *prepaidNode, shard ShardID, response Response) {
	node.cache.HandleResponse(p.sim.now, shard, response)
	for _, w := range slices.Clone(node.waiters) {
		if node.cache.Retake(p.sim.now, w.workspace) {
			p.finish(node, w, true)
		}
	}
	p.plan(node)
}

// trial holds the parameters of one row of the comparison.
type trial struct {
	burst     int64
	rate      float64
	oneDomain bool
	domains   int
	nodes     int
	fault     bool
	duration  time.Duration
	seed      uint64
}

// run simulates arrivals that a single bucket with the quota would admit, so that every refusal is
// wrongful. It returns the fraction that was refused. Arrivals come singly and in batches of up to half
// the burst, at nine tenths of the rate on average before the bucket drops any.
func (tr trial) run(make func(*sim) scheme) (refused float64, offered int) {
	s := newSim(tr.seed)
	quota := Quota{Rate: tr.rate, Burst: tr.burst}
	scheme := make(s)
	bucket := referenceBucket{quota: quota, level: float64(tr.burst), at: s.now}
	refusals := 0
	maxBatch := max(1, int(tr.burst/2))
	var arrive func()
	arrive = func() {
		n := 1 + s.random.IntN(maxBatch)
		for range n {
			if !bucket.tryConsume(s.now) {
				break
			}
			offered++
			scheme.request(tr.node(s), "w", func(admitted bool) {
				if !admitted {
					refusals++
				}
			})
		}
		gap := s.random.ExpFloat64() * float64(maxBatch+1) / 2 / (0.9 * tr.rate)
		s.after(time.Duration(gap*float64(time.Second)), arrive)
	}
	s.after(simWarmUp, arrive)
	if tr.fault {
		s.after(simWarmUp+simFault, scheme.fail)
	}
	s.run(epoch.Add(simWarmUp + tr.duration))
	return float64(refusals) / float64(max(1, offered)), offered
}

func (tr trial) node(s *sim) int {
	if !tr.oneDomain {
		return s.random.IntN(tr.nodes)
	}
	return tr.domains * s.random.IntN(tr.nodes/tr.domains)
}

func (tr trial) domain(node int) string { return domainNames(tr.domains)[node%tr.domains] }

func (tr trial) static(s *sim) scheme {
	return newStaticScheme(s, tr.nodes, Quota{Rate: tr.rate, Burst: tr.burst})
}

func (tr trial) owner(s *sim) scheme {
	quota := Quota{Rate: tr.rate, Burst: tr.burst}
	return &ownerScheme{
		sim: s, bucket: referenceBucket{quota: quota, level: float64(tr.burst), at: s.now}, domain: tr.domain,
	}
}

func waitAt(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[int(q*float64(len(waits)-1))]
}

// Checks the rate of wrongful refusals with prepaid tokens, and compares it with equal static shares and
// with asking an owner on each call. The log is part of the table in docs/decisions/fleet-rate.md.
func TestWrongfulRefusals(t *testing.T) {
	t.Parallel()
	compareTrials(t, []int64{1, 4, 20, 200}, false)
	compareTrials(t, []int64{1, 4, 20}, true)
}

// Checks the rate of wrongful refusals when all demand for a burst that is divided among all shards
// enters in one failure domain.
func TestWrongfulRefusalsLargeBurstOneDomain(t *testing.T) {
	compareTrials(t, []int64{200}, true)
}

func compareTrials(t *testing.T, bursts []int64, oneDomain bool) {
	var table strings.Builder
	for _, size := range [][2]int{{3, 12}, {4, 16}} {
		for _, burst := range bursts {
			for _, rate := range []float64{10, 100} {
				tr := trial{
					burst: burst, rate: rate, oneDomain: oneDomain,
					domains: size[0], nodes: size[1], duration: time.Minute, seed: uint64(burst),
				}
				tr.compare(t, &table)
			}
		}
	}
	t.Logf("wrongful refusals in %%; waits in ms\n"+
		"| nodes | demand | burst | rate | offered | static | owner | owner dead | prepaid | owner dead | p50 | p99 |\n%s", table.String())
}

func (tr trial) compare(t *testing.T, table *strings.Builder) {
	var p *prepaidScheme
	newScheme := func(s *sim) scheme {
		p = newPrepaidScheme(s, tr.domains, tr.nodes, map[string]Quota{"w": {Rate: tr.rate, Burst: tr.burst}})
		return p
	}
	static, offered := tr.run(tr.static)
	owner, _ := tr.run(tr.owner)
	refused, _ := tr.run(newScheme)
	p50, p99 := waitAt(p.waits, 0.5), waitAt(p.waits, 0.99)
	tr.fault = true
	ownerDead, _ := tr.run(tr.owner)
	refusedDead, _ := tr.run(newScheme)
	demand := "even"
	if tr.oneDomain {
		demand = "one domain"
	}
	fmt.Fprintf(table, "| %d | %s | %d | %g | %d | %.2f | %.2f | %.1f | %.3f | %.1f | %.1f | %.1f |\n",
		tr.nodes, demand, tr.burst, tr.rate, offered, 100*static, 100*owner, 100*ownerDead, 100*refused, 100*refusedDead,
		float64(p50.Microseconds())/1e3, float64(p99.Microseconds())/1e3)
	test.Less(t, 0.001, refused, test.Sprintf("%+v", tr))
}

// Measures the control traffic of a node for docs/decisions/fleet-rate.md.
func TestControlBytes(t *testing.T) {
	var table strings.Builder
	for _, c := range []struct {
		nodes, workspaces int
		perNode           float64
	}{{12, 8, 40}, {16, 8, 40}, {32, 8, 40}, {32, 32, 40}, {32, 128, 40}, {64, 32, 40}} {
		s := newSim(1)
		quotas := map[string]Quota{}
		total := c.perNode * float64(c.nodes)
		for w := range c.workspaces {
			rate := total / float64(c.workspaces) / 0.8
			quotas[fmt.Sprintf("workspace-%03d", w)] = Quota{Rate: rate, Burst: int64(2*rate) + 1}
		}
		p := newPrepaidScheme(s, 4, c.nodes, quotas)
		offered, refusals := 0, 0
		var arrive func()
		arrive = func() {
			offered++
			p.request(s.random.IntN(c.nodes), fmt.Sprintf("workspace-%03d", s.random.IntN(c.workspaces)), func(ok bool) {
				if !ok {
					refusals++
				}
			})
			s.after(time.Duration(s.random.ExpFloat64()/total*float64(time.Second)), arrive)
		}
		s.after(simWarmUp, arrive)
		const seconds = 5
		s.run(epoch.Add(simWarmUp + seconds*time.Second))
		waited := len(slices.DeleteFunc(p.waits, func(w time.Duration) bool { return w == 0 }))
		nodeSeconds := float64(c.nodes * seconds)
		fmt.Fprintf(&table, "| %d | %d | %g | %.1f | %.0f | %.1f | %.3f |\n", c.nodes, c.workspaces, c.perNode,
			float64(p.sent)/nodeSeconds, float64(p.bytes)/nodeSeconds,
			100*float64(waited)/float64(offered), 100*float64(refusals)/float64(offered))
	}
	t.Logf("\n| nodes | workspaces | requests/s per node | messages/s per node | bytes/s per node | waited %% | refused %% |\n%s", table.String())
}

// Checks that requests, responses and states survive encoding and decoding.
func TestWire(t *testing.T) {
	request := Request{
		Node: "n", Incarnation: 3, Shard: ShardID{"a", 2}, Sequence: 9, Accepted: 7,
		Asks:    []Ask{{Workspace: "w", Need: 2, Prefetch: 5}},
		Reports: []Report{{Workspace: "w", Sequence: 8, Spent: 4, Age: time.Millisecond, Closed: true}},
	}
	gotRequest, err := DecodeRequest(EncodeRequest(request))
	must.NoError(t, err)
	test.Eq(t, request, gotRequest)
	response := Response{
		Status: StatusWaiting, Sequence: 9, RetryAfter: time.Second,
		Grants: []Grant{{Workspace: "w", Tokens: 2, Free: 0.5, Contended: true}},
	}
	gotResponse, err := DecodeResponse(EncodeResponse(response))
	must.NoError(t, err)
	test.Eq(t, response, gotResponse)
	state := State{Shard: ShardID{"a", 2}, Term: 4, Workspaces: []WorkspaceState{{
		Workspace: "w", Free: 1.5,
		Outstanding: []OutstandingGrant{{Node: "n", Incarnation: 3, Sequence: 9, Tokens: 5, Spent: 1, Remaining: time.Second}},
	}}}
	gotState, err := DecodeState(EncodeState(state))
	must.NoError(t, err)
	state.Workspaces[0].Outstanding[0].Remaining += time.Millisecond
	test.Eq(t, state, gotState)
}
