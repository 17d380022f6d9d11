package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

const (
	modelLease  = 8 * time.Second // slightly longer than a new owner waits, so that terms end often
	warmUp      = 12 * time.Second
	modelOwners = 2 // processes that compete for each shard
)

// referenceBucket is a single token bucket. The tokens used in every window w are within burst + rate*w if and
// only if its level never falls below 0.
type referenceBucket struct {
	quota Quota
	level float64
	at    time.Time
}

func (b *referenceBucket) consume(now time.Time) float64 {
	b.level = min(float64(b.quota.Burst), b.level+b.quota.Rate*now.Sub(b.at).Seconds()) - 1
	b.at = now
	return b.level
}

// raise sets a higher quota. The rate includes the drift of an owner with a fast clock.
func (b *referenceBucket) raise(now time.Time, quota Quota, drift float64) {
	b.consume(now)
	b.level += 1 + float64(quota.Burst-b.quota.Burst)
	b.quota = Quota{Rate: quota.Rate * (1 + drift), Burst: quota.Burst}
}

// clockProcess is a process whose clock has an offset and a rate error.
type clockProcess struct {
	speed float64
	shift time.Duration
}

func (p clockProcess) clock(now time.Time) time.Time {
	return epoch.Add(p.shift + time.Duration(float64(now.Sub(epoch))*p.speed))
}

type modelOwner struct {
	clockProcess
	shard *Shard
}

type modelShard struct {
	owners      [modelOwners]modelOwner
	leaseHolder int
	leaseEnd    time.Time
	term        uint64
}

type modelNode struct {
	clockProcess
	cache *Cache
	name  string
}

// message is a request, a response or a handover in transit.
type message struct {
	shard    int
	node     int
	sentAt   time.Time
	request  *Request
	response *Response
	state    *State
}

// boundModel runs caches, shard owners and a platform under arbitrary schedules.
type boundModel struct {
	now               time.Time
	allotment         *Allotment
	quota             Quota
	maxQuota          Quota
	shards            []*modelShard
	nodes             []*modelNode
	network           []message
	reference         referenceBucket
	drift             float64
	consumed          int
	ignoreOutstanding bool
	skipWait          bool
	report            func(*rapid.T, string)
}

func (m *boundModel) newProcess(t *rapid.T) clockProcess {
	return clockProcess{
		speed: 1 + m.drift*rapid.Float64Range(-1, 1).Draw(t, "speed"),
		shift: time.Duration(rapid.IntRange(0, 1000).Draw(t, "shift")) * time.Second,
	}
}

func (m *boundModel) start(t *rapid.T) {
	m.now = epoch
	m.allotment = NewAllotment([]string{"a", "b"}, 2)
	m.quota = Quota{
		Rate:  rapid.SampledFrom([]float64{0.5, 2, 10, 50}).Draw(t, "rate"),
		Burst: rapid.SampledFrom([]int64{1, 2, 5, 20, 40, 60}).Draw(t, "burst"),
	}
	m.maxQuota = m.quota
	m.drift = rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "drift")
	for i, id := range m.allotment.Shards() {
		s := &modelShard{leaseHolder: -1}
		for o := range s.owners {
			s.owners[o] = modelOwner{clockProcess: m.newProcess(t), shard: NewShard(id, DefaultShardConfig())}
			s.owners[o].shard.ignoreOutstanding = m.ignoreOutstanding
			s.owners[o].shard.skipWait = m.skipWait
		}
		m.shards = append(m.shards, s)
		m.configure(i, 0, m.quota)
		m.configure(i, 1, m.quota)
		m.acquire(t, i, rapid.IntRange(0, modelOwners-1).Draw(t, "owner"), warmUp+modelLease)
	}
	for range 3 {
		m.startNode(t, fmt.Sprintf("n%d", len(m.nodes)), 1)
	}
	m.reference = referenceBucket{quota: m.quota, level: float64(m.quota.Burst), at: m.now}
}

func (m *boundModel) configure(shard, owner int, quota Quota) {
	o := m.shards[shard].owners[owner]
	o.shard.Configure(o.clock(m.now), "w", m.allotment.Divide("w", quota)[shard])
}

func (m *boundModel) startNode(t *rapid.T, name string, incarnation uint64) {
	domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
	n := &modelNode{clockProcess: m.newProcess(t), name: name}
	n.cache = NewCache(DefaultCacheConfig(name, incarnation, domain), m.allotment)
	n.cache.Configure("w", m.quota)
	m.nodes = append(m.nodes, n)
}

// acquire grants the lease to an owner if it is free. The owner's call started some time before.
func (m *boundModel) acquire(t *rapid.T, shard, owner int, lease time.Duration) {
	s := m.shards[shard]
	if s.leaseHolder >= 0 && m.now.Before(s.leaseEnd) {
		t.Skip("lease is held")
	}
	o := s.owners[owner]
	s.leaseHolder, s.leaseEnd = owner, m.now.Add(lease)
	s.term++
	asked := m.now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "platform ms")) * time.Millisecond)
	o.shard.Begin(o.clock(asked), o.clock(m.now), lease, s.term)
}

func (m *boundModel) renew(t *rapid.T, shard int) {
	s := m.shards[shard]
	if s.leaseHolder < 0 || !m.now.Before(s.leaseEnd) {
		t.Skip("lease has ended")
	}
	s.leaseEnd = m.now.Add(modelLease)
	if rapid.Bool().Draw(t, "answered") {
		o := s.owners[s.leaseHolder]
		o.shard.Renew(o.clock(m.now), modelLease)
	}
}

func (m *boundModel) handOver(t *rapid.T, shard int) {
	s := m.shards[shard]
	if s.leaseHolder < 0 {
		t.Skip("no owner")
	}
	o := s.owners[s.leaseHolder]
	state, ok := o.shard.Export(o.clock(m.now))
	if !ok {
		t.Skip("no open term")
	}
	m.network = append(m.network, message{shard: shard, sentAt: m.now, state: &state})
	s.leaseHolder = -1
	next := rapid.IntRange(0, modelOwners-1).Draw(t, "next")
	if rapid.Bool().Draw(t, "at once") {
		m.acquire(t, shard, next, modelLease)
	}
}

func (m *boundModel) takeTokens(t *rapid.T, n *modelNode, count int) {
	for range count {
		taken, _ := n.cache.TryTake(n.clock(m.now), "w")
		if !taken {
			return
		}
		m.consumed++
		if m.reference.consume(m.now) < -1e-6 {
			m.report(t, fmt.Sprintf("use %d at %v exceeds burst + rate*w of %+v",
				m.consumed, m.now.Sub(epoch), m.maxQuota))
		}
	}
}

func (m *boundModel) plan(node int) {
	n := m.nodes[node]
	requests, _ := n.cache.Plan(n.clock(m.now))
	for _, r := range requests {
		m.network = append(m.network, message{shard: m.shardIndex(r.Shard), node: node, sentAt: m.now, request: &r})
	}
}

func (m *boundModel) shardIndex(id ShardID) int {
	for i, s := range m.allotment.Shards() {
		if s == id {
			return i
		}
	}
	return -1
}

// receive delivers a message to its destination. Requests and handovers go to the given owner.
func (m *boundModel) receive(msg message, owner int, now time.Time) {
	o := m.shards[msg.shard].owners[owner]
	switch {
	case msg.request != nil:
		response := o.shard.Grant(o.clock(now), *msg.request)
		m.network = append(m.network, message{shard: msg.shard, node: msg.node, sentAt: m.now, response: &response})
	case msg.response != nil:
		n := m.nodes[msg.node]
		n.cache.HandleResponse(n.clock(m.now), m.allotment.Shards()[msg.shard], *msg.response)
	default:
		o.shard.Import(o.clock(m.now), *msg.state)
	}
}

func (m *boundModel) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	msg := m.network[i]
	if rapid.IntRange(0, 3).Draw(t, "doubled") > 0 {
		m.network = append(m.network[:i:i], m.network[i+1:]...)
	}
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		return
	}
	// An owner may be paused after it has read its clock.
	paused := rapid.Float64Range(0, 1).Draw(t, "paused")
	now := m.now.Add(-time.Duration(paused * paused * float64(m.now.Sub(msg.sentAt))))
	m.receive(msg, rapid.IntRange(0, modelOwners-1).Draw(t, "owner"), now)
}

// exchangeReliably delivers a node's requests to the lease holders, and their responses, without faults.
func (m *boundModel) exchangeReliably(node, waiters int) {
	n := m.nodes[node]
	for range waiters {
		n.cache.AddWaiter("w")
	}
	for range 3 {
		from := len(m.network)
		m.plan(node)
		for i := from; i < len(m.network); i++ {
			m.receive(m.network[i], max(0, m.shards[m.network[i].shard].leaseHolder), m.now)
		}
		m.network = m.network[:from]
	}
	for range waiters {
		n.cache.RemoveWaiter("w")
	}
}

func (m *boundModel) failRequest(t *rapid.T) {
	n := m.nodes[m.node(t)]
	l := rapid.SampledFrom(n.cache.links).Draw(t, "link")
	n.cache.HandleFailure(n.clock(m.now), l.id, l.sequence)
}

func (m *boundModel) reconfigure(t *rapid.T) {
	if m.quota.Burst < int64(len(m.shards))*minShardBurst {
		t.Skip("parts are not monotone when the number of holders changes")
	}
	m.quota = Quota{
		Rate:  rapid.SampledFrom([]float64{0.5, 2, 10, 50}).Draw(t, "rate"),
		Burst: rapid.SampledFrom([]int64{40, 45, 60}).Draw(t, "burst"),
	}
	m.maxQuota.Rate = max(m.maxQuota.Rate, m.quota.Rate)
	m.maxQuota.Burst = max(m.maxQuota.Burst, m.quota.Burst)
	m.reference.raise(m.now, m.maxQuota, m.drift)
	for i := range m.shards {
		m.configure(i, rapid.IntRange(0, modelOwners-1).Draw(t, "owner"), m.quota)
	}
	m.nodes[m.node(t)].cache.Configure("w", m.quota)
}

// restart starts a new incarnation of a node. The previous process may still be running.
func (m *boundModel) restart(t *rapid.T) {
	if len(m.nodes) > 6 {
		t.Skip("enough processes")
	}
	m.startNode(t, m.nodes[m.node(t)].name, uint64(len(m.nodes)+1))
}

func (m *boundModel) node(t *rapid.T) int { return rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node") }
func (m *boundModel) shard(t *rapid.T) int {
	return rapid.IntRange(0, len(m.shards)-1).Draw(t, "shard")
}

func (m *boundModel) actions() map[string]func(*rapid.T) {
	advance := func(unit time.Duration) func(*rapid.T) {
		return func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "time")) * unit)
		}
	}
	take := func(t *rapid.T) { m.takeTokens(t, m.nodes[m.node(t)], rapid.IntRange(1, 60).Draw(t, "count")) }
	serve := func(t *rapid.T) {
		node, count := m.node(t), rapid.IntRange(1, 60).Draw(t, "count")
		m.exchangeReliably(node, count)
		m.takeTokens(t, m.nodes[node], count)
	}
	exchange := func(t *rapid.T) { m.exchangeReliably(m.node(t), rapid.IntRange(0, 60).Draw(t, "waiters")) }
	return map[string]func(*rapid.T){
		"pass ms": advance(time.Millisecond), "pass s": advance(6 * time.Millisecond),
		"take": take, "exchange": exchange, "serve": serve, "serve again": serve, "serve more": serve,
		"plan":    func(t *rapid.T) { m.plan(m.node(t)) },
		"deliver": m.deliver, "deliver again": m.deliver, "give up": m.failRequest,
		"acquire":   func(t *rapid.T) { m.acquire(t, m.shard(t), rapid.IntRange(0, 1).Draw(t, "owner"), modelLease) },
		"renew":     func(t *rapid.T) { m.renew(t, m.shard(t)) },
		"hand over": func(t *rapid.T) { m.handOver(t, m.shard(t)) },
		"configure": m.reconfigure,
		"restart":   m.restart,
		"stop":      func(t *rapid.T) { n := m.nodes[m.node(t)]; n.cache.Stop(n.clock(m.now)) },
	}
}

func checkBound(ignoreOutstanding, skipWait bool, report func(*rapid.T, string), used *int) func(*rapid.T) {
	return func(t *rapid.T) {
		m := &boundModel{ignoreOutstanding: ignoreOutstanding, skipWait: skipWait, report: report}
		m.start(t)
		m.now = m.now.Add(warmUp)
		m.reference.raise(m.now, m.quota, m.drift)
		t.Repeat(m.actions())
		*used += m.consumed
	}
}

// Checks that the tokens used on all nodes never exceed burst + rate*w, under any schedule of lost, late,
// duplicated and reordered messages, paused owners and nodes, replaced nodes, handovers, expired leases
// and changed quotas.
func TestBound(t *testing.T) {
	used := 0
	for range 10 {
		rapid.Check(t, checkBound(false, false, func(t *rapid.T, failure string) { t.Fatal(failure) }, &used))
	}
	t.Logf("%d tokens used", used)
}

// Checks that the property test can fail: it must do so with a part of the mechanism disabled.
func TestBoundNeedsMechanism(t *testing.T) {
	for _, off := range []struct {
		name                        string
		ignoreOutstanding, skipWait bool
	}{{"grants not counted", true, false}, {"new owner does not wait", false, true}} {
		violations, used := 0, 0
		for round := 0; round < 200 && violations == 0; round++ {
			rapid.Check(t, checkBound(off.ignoreOutstanding, off.skipWait, func(*rapid.T, string) { violations++ }, &used))
		}
		t.Logf("%s: %d violations in %d tokens", off.name, violations, used)
		test.Positive(t, violations, test.Sprint(off.name))
	}
}

// Checks that a division does not exceed the quota, spreads small bursts over the failure domains, and
// never decreases a shard's part when the burst increases.
func TestDivide(t *testing.T) {
	a := NewAllotment([]string{"a", "b", "c", "d"}, 4)
	r := rand.New(rand.NewPCG(1, 1))
	for n := range 200 {
		name := fmt.Sprint("w", n)
		before, previous := make([]Quota, 16), int64(0)
		for burst := int64(0); burst < 200; burst += 1 + burst/20 {
			quota := Quota{Rate: r.Float64() * 100, Burst: burst}
			total, domains := Quota{}, map[string]int64{}
			parts := a.Divide(name, quota)
			for i, part := range parts {
				total.Rate += part.Rate
				total.Burst += part.Burst
				if part.Burst > 0 {
					domains[a.Shards()[i].Domain] += part.Burst
				}
				if previous >= 16*minShardBurst {
					test.GreaterEq(t, before[i].Burst, part.Burst)
				}
				test.Eq(t, part.Burst > 0, part.Rate > 0)
			}
			test.Eq(t, burst, total.Burst)
			test.LessEq(t, quota.Rate+1e-9, total.Rate)
			if burst >= 4*minShardBurst {
				test.MapLen(t, 4, domains)
				for _, d := range domains {
					test.LessEq(t, burst/2, d)
				}
			}
			before, previous = parts, burst
		}
	}
}
