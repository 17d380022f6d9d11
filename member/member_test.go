package member

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/keys"
	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

var (
	sizes = flag.String("sizes", "50", "comma-separated member counts of the scenarios")
	seed  = flag.Uint64("seed", 1, "seed of the scenarios")
)

const (
	tick = 100 * time.Millisecond
	// packetOverhead is IP and UDP headers and the signature, callOverhead the headers of an HTTP call.
	packetOverhead = 28 + 40
	callOverhead   = 600
	racks          = 10
)

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type node struct {
	*Machine
	withdrawals  *keys.Withdrawals
	up, frozen   bool
	partition    int
	buffered     []func() // messages received while frozen
	bytes        int
	pauses       int
	nextExchange time.Time
}

// cluster simulates nodes and a network that loses, duplicates and reorders messages.
type cluster struct {
	t           testing.TB
	random      *rand.Rand
	now         time.Time
	queue       eventQueue
	order       int
	nodes       []*node
	byAddr      map[string]*node
	loss        float64
	duplication float64
	delay       time.Duration
	// suspicions and deaths count false claims about nodes that are up and not frozen.
	suspicions, deaths int
}

func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(*seed, uint64(n))), now: time.Unix(1e9, 0), byAddr: map[string]*node{}, delay: 2 * time.Millisecond}
	for range n {
		c.start(fmt.Sprint("node-", len(c.nodes)), uint64(len(c.nodes)+1))
	}
	return c
}

func (c *cluster) start(name string, incarnation uint64) *node {
	config := DefaultConfig()
	config.Name, config.PeerAddress, config.Incarnation = name, name+":7000", incarnation
	config.FailureDomain, config.Region = fmt.Sprint("zone-", len(c.nodes)%4), "qc-est"
	machine, err := New(config, rand.New(rand.NewPCG(*seed, c.random.Uint64())))
	must.NoError(c.t, err)
	n := &node{Machine: machine, withdrawals: keys.NewWithdrawals(), up: true}
	c.nodes = append(c.nodes, n)
	c.byAddr[config.PeerAddress] = n
	c.after(time.Duration(c.random.Int64N(int64(tick))), func() { c.tick(n) })
	c.act(n, n.Join(c.now, []string{c.nodes[0].config.PeerAddress}))
	return n
}

func (c *cluster) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, event{c.now.Add(d), c.order, run})
}

func (c *cluster) tick(n *node) {
	if !n.up {
		return
	}
	if !n.frozen {
		c.act(n, n.Tick(c.now))
		c.act(n, n.Announce(c.now, &membershipv1.Upstream{Service: "s", Slots: 100, Connections: 700}))
	}
	c.after(tick, func() { c.tick(n) })
}

// deliver calls f at the node after the delay, unless the message is lost.
func (c *cluster) deliver(from, to *node, f func()) {
	if to == nil || c.random.Float64() < c.loss {
		return
	}
	c.after(c.delay/2+time.Duration(c.random.Int64N(int64(c.delay))), func() {
		switch {
		case !to.up || from.partition != to.partition:
		case to.frozen && len(to.buffered) < 200:
			to.buffered = append(to.buffered, f)
		case !to.frozen:
			f()
		}
	})
}

func (c *cluster) act(n *node, out Output) {
	for _, e := range out.Events {
		c.handle(n, e)
	}
	for _, s := range out.Sends {
		data, err := proto.Marshal(s.Packet)
		must.NoError(c.t, err)
		must.LessEq(c.t, n.config.PacketBytes+200, len(data))
		n.bytes += len(data) + packetOverhead
		to := c.byAddr[s.To]
		copies := 1
		if c.random.Float64() < c.duplication {
			copies = 2
		}
		for range copies {
			c.deliver(n, to, func() {
				packet := &Packet{}
				must.NoError(c.t, proto.Unmarshal(data, packet))
				to.bytes += len(data) + packetOverhead
				c.act(to, to.HandleMessage(c.now, n.config.PeerAddress, packet))
			})
		}
	}
	for _, s := range out.Syncs {
		c.call(n, c.byAddr[s.To], proto.Size(s.Request), func(to *node) (int, func()) {
			response, out := to.HandleSyncRequest(c.now, s.Request)
			c.act(to, out)
			return proto.Size(response), func() { c.act(n, n.HandleSyncResponse(c.now, s.To, response)) }
		})
	}
}

// call delivers a request and its response and counts their bytes at both nodes.
func (c *cluster) call(from, to *node, size int, serve func(*node) (int, func())) {
	c.deliver(from, to, func() {
		responseSize, done := serve(to)
		from.bytes += size + responseSize + callOverhead
		to.bytes += size + responseSize + callOverhead
		c.deliver(to, from, done)
	})
}

func (c *cluster) handle(n *node, e Event) {
	switch e.Kind {
	case Paused:
		n.pauses++
	case Changed:
		if c.now.Sub(n.lastContact) >= isolationTimeout {
			return // an isolated node reverts its claims later; checked by converged
		}
		subject := c.byAddr[e.Member.PeerAddress]
		if subject != nil && subject.up && !subject.frozen && subject.partition == n.partition && n.pauses == 0 && e.Member.Incarnation == subject.Self().Incarnation {
			switch e.Member.State {
			case membershipv1.State_STATE_SUSPECT:
				c.suspicions++
			case membershipv1.State_STATE_DEAD:
				c.deaths++
			}
		}
	case WithdrawalsReceived:
		c.merge(n, e.Withdrawn)
	case PiggybackReceived:
		if e.Piggyback.WithdrawalDigest != n.withdrawals.Digest() && !c.now.Before(n.nextExchange) {
			n.nextExchange = c.now.Add(200 * time.Millisecond)
			local, _ := n.withdrawals.Delta(0)
			c.call(n, c.byAddr[e.Member.PeerAddress], 32*len(local), func(to *node) (int, func()) {
				c.merge(to, local)
				remote, _ := to.withdrawals.Delta(0)
				return 32 * len(remote), func() { c.merge(n, remote) }
			})
		}
	}
}

func (c *cluster) merge(n *node, hashes [][]byte) {
	newHashes, err := n.withdrawals.Merge(c.now, hashes, func(string) bool { return false })
	must.NoError(c.t, err)
	n.SetPiggyback(&Piggyback{ConfigRevision: 1000, ConfigAgeMs: 1500, WithdrawalDigest: n.withdrawals.Digest(), QuarantineDigest: 1})
	if len(newHashes) > 0 {
		c.act(n, n.PushWithdrawals(c.now, newHashes))
	}
}

func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// waitUntil runs the cluster until done returns true and returns the time that took.
func (c *cluster) waitUntil(what string, limit time.Duration, done func() bool) time.Duration {
	c.t.Helper()
	start := c.now
	for !done() {
		must.Less(c.t, limit, c.now.Sub(start), must.Sprint(what))
		c.run(tick)
	}
	took := c.now.Sub(start)
	c.t.Logf("n=%d %s: %.1f s", len(c.nodes), what, took.Seconds())
	return took
}

// all reports whether f returns true for every running node.
func (c *cluster) all(f func(*node) bool) bool {
	for _, n := range c.nodes {
		if n.up && !n.frozen && !f(n) {
			return false
		}
	}
	return true
}

// converged reports whether every node has exactly the running nodes as alive members, in their newest version.
func (c *cluster) converged() bool {
	return c.all(func(n *node) bool {
		for _, other := range c.nodes {
			if other == n || c.byAddr[other.config.PeerAddress] != other {
				continue
			}
			r := n.table.byName[other.config.Name]
			running := other.up && !other.frozen && other.partition == n.partition
			if running != (r != nil && isAlive(r)) || running && r.Version != other.Self().Version {
				return false
			}
		}
		return true
	})
}

func (c *cluster) measure(what string, d time.Duration) float64 {
	for _, n := range c.nodes {
		n.bytes = 0
	}
	c.suspicions, c.deaths = 0, 0
	c.run(d)
	total, most := 0, 0
	for _, n := range c.nodes {
		total += n.bytes
		most = max(most, n.bytes)
	}
	mean := float64(total) / float64(len(c.nodes)) / d.Seconds()
	c.t.Logf("n=%d %s: sent and received %.0f B/s per node, most %.0f B/s, false suspicions %d, false deaths %d",
		len(c.nodes), what, mean, float64(most)/d.Seconds(), c.suspicions, c.deaths)
	return mean
}

// Guards against faults after which nodes do not converge in time, remove running members, or exceed the
// traffic budget of 7 KB/s. All steps run in one cluster, so that each fault follows the earlier ones.
func TestScenarios(t *testing.T) {
	for size := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(size)
		must.NoError(t, err)
		t.Run(size, func(t *testing.T) { runScenarios(t, newCluster(t, n), n) })
	}
}

func runScenarios(t *testing.T, c *cluster, n int) {
	budget := func(what string, d time.Duration) { must.Less(t, 7000, c.measure(what, d)) }
	c.waitUntil("simultaneous join of all", time.Minute, c.converged)
	c.run(time.Minute)
	budget("idle", time.Minute)
	must.Eq(t, 0, c.suspicions)
	request := c.nodes[0].syncRequest()
	response, _ := c.nodes[1].HandleSyncRequest(c.now, request)
	must.True(t, response.Equal)
	t.Logf("n=%d sync of equal lists: %d bytes without headers", n, proto.Size(request)+proto.Size(response))

	c.start("late", 1)
	c.waitUntil("join of one more node", 30*time.Second, c.converged)
	c.act(c.nodes[1], c.nodes[1].SetDraining(c.now, true))
	c.waitUntil("drain received by all", 20*time.Second, func() bool {
		return c.all(func(n *node) bool { return n == c.nodes[1] || n.Member("node-1").GetDraining() })
	})
	c.act(c.nodes[2], c.nodes[2].Leave(c.now))
	c.run(time.Second)
	c.nodes[2].up = false
	c.waitUntil("leave received by all, after 1 s", 20*time.Second, c.converged)
	c.nodes[3].up = false
	c.waitUntil("killed node detected by all", 20*time.Second, c.converged)
	must.Eq(t, 0, c.deaths)
	replaced := c.start("node-3", 99)
	c.waitUntil("replacement received by all", 30*time.Second, c.converged)
	must.Eq(t, 0, replaced.pauses)

	frozen := c.nodes[4]
	frozen.frozen = true
	c.waitUntil("frozen node detected by all", 20*time.Second, c.converged)
	c.run(20 * time.Second)
	frozen.frozen = false
	c.deaths = 0
	for _, f := range frozen.buffered {
		f()
	}
	c.waitUntil("recovery of the frozen node", 30*time.Second, c.converged)
	must.Eq(t, 1, frozen.pauses)
	must.Eq(t, 0, c.deaths)

	for i := 0; i < len(c.nodes); i += racks {
		c.nodes[i].up = false
	}
	c.waitUntil("simultaneous loss of a tenth detected by all", 40*time.Second, c.converged)
	must.Eq(t, 0, c.deaths)

	c.loss, c.duplication, c.delay = 0.05, 0.05, 50*time.Millisecond
	budget("5% lost, 5% duplicated, reordered", time.Minute)
	must.Eq(t, 0, c.deaths)
	source := c.nodes[7]
	hash := keys.Hash("key")
	_, err := source.withdrawals.Withdraw(c.now, hash, "op", func(string) bool { return false })
	must.NoError(t, err)
	hashes, _ := source.withdrawals.Delta(0)
	source.SetPiggyback(&Piggyback{WithdrawalDigest: source.withdrawals.Digest()})
	c.act(source, source.PushWithdrawals(c.now, hashes))
	c.waitUntil("withdrawal received by all under loss", 5*time.Second, func() bool {
		return c.all(func(n *node) bool { return n.withdrawals.Withdrawn(hash) })
	})
	c.loss, c.duplication, c.delay = 0, 0, 2*time.Millisecond
	c.waitUntil("convergence after loss", 30*time.Second, c.converged)

	for range 2 {
		partitionAndHeal(c, n, 2, "half")
	}
	c.nodes[5].partition = 1
	c.waitUntil("partition of one node detected by all", 30*time.Second, func() bool {
		return c.all(func(n *node) bool {
			return n.partition == 1 || n.Member("node-5").State == membershipv1.State_STATE_DEAD
		})
	})
	c.run(30 * time.Second)
	c.nodes[5].partition, c.deaths = 0, 0
	c.waitUntil("convergence after the partition of one node", 40*time.Second, c.converged)
	must.Eq(t, 0, c.deaths)
}

// partitionAndHeal separates every parts-th node from the others by a network partition and heals it.
func partitionAndHeal(c *cluster, n, parts int, what string) {
	for i, node := range c.nodes {
		if i%parts == 1 {
			node.partition = 1
		}
	}
	c.waitUntil(what+" partitioned, detected by all", 2*time.Minute, c.converged)
	c.run(time.Minute)
	for _, node := range c.nodes {
		node.partition, node.bytes = 0, 0
	}
	c.suspicions, c.deaths = 0, 0
	c.waitUntil(what+" healed, converged", 2*time.Minute, c.converged)
	total := 0
	for _, node := range c.nodes {
		total += node.bytes
	}
	c.t.Logf("n=%d %s healed: %d bytes per node, false deaths %d", len(c.nodes), what, total/n, c.deaths)
}

// BenchmarkSecond measures the work of a node in one second with 4,900 members: 10 ticks, an announcement, and
// a probe and an acknowledgement in each direction.
func BenchmarkSecond(b *testing.B) {
	m, now := newMachine(b, "self"), time.Unix(1e9, 0)
	for i := range 4900 {
		m.merge(now, recordOf(fmt.Sprint("node-", i), 1, membershipv1.State_STATE_ALIVE))
	}
	m.queue = nil
	b.ReportAllocs()
	for b.Loop() {
		m.Announce(now, &membershipv1.Upstream{Service: "s"})
		m.HandleMessage(now, "node-1:1", &Packet{Kind: membershipv1.Kind_KIND_PROBE, Sender: "node-1", SenderIncarnation: 7, Target: "self"})
		for range 10 {
			now = now.Add(tick)
			for _, s := range m.Tick(now).Sends {
				if s.Packet.Kind == membershipv1.Kind_KIND_PROBE {
					m.HandleMessage(now, s.To, &Packet{Kind: membershipv1.Kind_KIND_ACK, Sender: s.Packet.Target, SenderIncarnation: 7, Sequence: s.Packet.Sequence, Target: s.Packet.Target})
				}
			}
		}
	}
}
