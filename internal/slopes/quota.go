package slopes

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/ratelimit"
)

const (
	quotaNodes   = 16
	quotaSeconds = 10
	quotaStep    = time.Millisecond
	targetNodes  = 4900
	quotaWarmUp  = 3 * time.Second
	answerDelay  = time.Millisecond
	waitLimit    = 250 * time.Millisecond
)

// quotaCase is one load. The quotas are those of the whole fleet of targetNodes, of which quotaNodes run,
// so that prefetch is not bounded by a burst that is too small. Shards
// are then never short, which a fleet of its own (field fleet) may be.
type quotaCase struct {
	label       string
	workspaces  int
	rate        float64 // requests per second and node
	reportDelay time.Duration
	horizon     time.Duration
	planEvery   time.Duration // least time between two rounds of messages of a node; 0 is none
	fleet       int           // nodes that share the quotas and all run; 0 means quotaNodes of targetNodes
	numbered    bool          // workspaces travel as short numbers instead of names
}

type quotaNode struct {
	cache   *ratelimit.Cache
	next    time.Time
	wanted  bool
	last    time.Time
	answers []quotaAnswer
	waiting []quotaWaiter
}

type quotaAnswer struct {
	at       time.Time
	shard    ratelimit.ShardID
	response ratelimit.Response
}

type quotaWaiter struct {
	workspace string
	until     time.Time
}

type quotaRun struct {
	quotaCase
	random   *rand.Rand
	shards   map[ratelimit.ShardID]*ratelimit.Shard
	nodes    []*quotaNode
	messages int
	bytes    int
	requests int
	waited   int
	refused  int
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%04d", i) }

func (c *quotaCase) name(i int) string {
	if c.numbered {
		return strconv.FormatInt(int64(i), 36)
	}
	return workspaceName(i)
}

func newQuotaRun(c quotaCase) *quotaRun {
	q := &quotaRun{quotaCase: c, random: rand.New(rand.NewPCG(1, 1)), shards: map[ratelimit.ShardID]*ratelimit.Shard{}}
	domains := []string{"zone-0", "zone-1", "zone-2", "zone-3"}
	allotment := ratelimit.NewAllotment(domains, 4)
	start := epoch.Add(-time.Minute)
	nodes, share := quotaNodes, targetNodes
	if c.fleet > 0 {
		nodes, share = c.fleet, c.fleet
	}
	rate := c.rate * float64(share) / float64(c.workspaces) / 0.8
	whole := ratelimit.Quota{Rate: rate, Burst: int64(2*rate) + 1}
	for i, id := range allotment.Shards() {
		shard := ratelimit.NewShard(id, ratelimit.DefaultShardConfig())
		shard.Begin(start, start, 2*time.Hour, 1)
		for w := range c.workspaces {
			shard.Configure(start, c.name(w), allotment.Divide(c.name(w), whole)[i])
		}
		q.shards[id] = shard
	}
	for i := range nodes {
		config := ratelimit.DefaultCacheConfig(nodeName(i), incarnationOf(i), domains[i%4])
		if c.reportDelay > 0 {
			config.ReportDelay = c.reportDelay
		}
		if c.horizon > 0 {
			config.PrefetchHorizon = c.horizon
			config.IdleTimeout = max(config.IdleTimeout, c.horizon)
		}
		n := &quotaNode{cache: ratelimit.NewCache(config, allotment)}
		for w := range c.workspaces {
			n.cache.Configure(c.name(w), whole)
		}
		q.nodes = append(q.nodes, n)
	}
	return q
}

func (q *quotaRun) request(now time.Time, n *quotaNode) {
	w := q.name(q.random.IntN(q.workspaces))
	q.requests++
	taken, plan := n.cache.TryTake(now, w)
	n.wanted = n.wanted || plan || !taken
	if !taken {
		q.waited++
		n.cache.AddWaiter(w)
		n.waiting = append(n.waiting, quotaWaiter{w, now.Add(waitLimit)})
	}
}

func (q *quotaRun) receive(now time.Time, n *quotaNode) {
	for len(n.answers) > 0 && !n.answers[0].at.After(now) {
		n.cache.HandleResponse(now, n.answers[0].shard, n.answers[0].response)
		n.answers = n.answers[1:]
		n.wanted = true
	}
	keep := n.waiting[:0]
	for _, w := range n.waiting {
		taken := n.cache.Retake(now, w.workspace)
		if !taken && now.Before(w.until) {
			keep = append(keep, w)
			continue
		}
		n.cache.RemoveWaiter(w.workspace)
		if !taken {
			q.refused++
		}
	}
	n.waiting = keep
}

func (q *quotaRun) plan(now time.Time, n *quotaNode) {
	if !n.wanted && now.Before(n.next) || now.Sub(n.last) < q.planEvery {
		return
	}
	n.wanted, n.last = false, now
	var requests []ratelimit.Request
	requests, n.next = n.cache.Plan(now)
	for _, r := range requests {
		response := q.shards[r.Shard].Grant(now, r)
		q.messages++
		q.bytes += proto.Size(ratelimit.EncodeRequest(r)) + proto.Size(ratelimit.EncodeResponse(response))
		n.answers = append(n.answers, quotaAnswer{now.Add(answerDelay), r.Shard, response})
	}
}

func (q *quotaRun) run(from time.Time, duration time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(duration)); now = now.Add(quotaStep) {
		for _, n := range q.nodes {
			if q.random.Float64() < q.rate*quotaStep.Seconds() {
				q.request(now, n)
			}
			q.receive(now, n)
			q.plan(now, n)
		}
	}
	return now
}

func quota(r *recorder) error {
	for _, c := range []quotaCase{
		{label: "default", workspaces: 8, rate: 66}, {label: "default", workspaces: 32, rate: 66},
		{label: "default", workspaces: 128, rate: 66}, {label: "default", workspaces: 512, rate: 66},
		{label: "default", workspaces: 1000, rate: 66}, {label: "default, 20 requests/s", workspaces: 128, rate: 20},
		{label: "default, 265 requests/s", workspaces: 128, rate: 265},
		{label: "report delay 2 s", workspaces: 128, rate: 66, reportDelay: 2 * time.Second},
		{label: "report delay 2 s, horizon 2 s", workspaces: 128, rate: 66, reportDelay: 2 * time.Second, horizon: 2 * time.Second},
		{label: "round each 100 ms", workspaces: 128, rate: 66, planEvery: 100 * time.Millisecond},
		{label: "round each 100 ms, report delay 2 s, horizon 2 s", workspaces: 128, rate: 66, reportDelay: 2 * time.Second, horizon: 2 * time.Second, planEvery: 100 * time.Millisecond},
		{label: "round each 100 ms, horizon 2 s, numbers", workspaces: 128, rate: 66, horizon: 2 * time.Second, planEvery: 100 * time.Millisecond, numbered: true},
		{label: "horizon 2 s", workspaces: 13, rate: 66, horizon: 2 * time.Second},
		{label: "horizon 2 s, numbers", workspaces: 13, rate: 66, horizon: 2 * time.Second, numbered: true},
		{label: "horizon 2 s, round each 20 ms, numbers", workspaces: 13, rate: 66, horizon: 2 * time.Second, planEvery: 20 * time.Millisecond, numbered: true},
		{label: "whole fleet of 64", workspaces: 13, rate: 66, fleet: 64},
		{label: "whole fleet of 64, horizon 1 s, numbers", workspaces: 13, rate: 66, horizon: time.Second, fleet: 64, numbered: true},
		{label: "whole fleet of 64, horizon 2 s, numbers", workspaces: 13, rate: 66, horizon: 2 * time.Second, fleet: 64, numbered: true},
		{label: "whole fleet of 16, horizon 1 s, numbers", workspaces: 3, rate: 66, horizon: time.Second, fleet: 16, numbered: true},
	} {
		quotaTraffic(r, c)
	}
	for _, w := range []int{100, 500, 1000} {
		quotaMemory(r, w)
	}
	for _, n := range []int{100, 306, 612} {
		ownerLoad(r, n)
	}
	return nil
}

func quotaTraffic(r *recorder, c quotaCase) {
	q := newQuotaRun(c)
	now := q.run(epoch, quotaWarmUp)
	q.messages, q.bytes, q.requests, q.waited, q.refused = 0, 0, 0, 0, 0
	cpu := cpuTime(func() { q.run(now, quotaSeconds*time.Second) })
	size := fmt.Sprintf("%d workspaces, %g requests/s per node", c.workspaces, c.rate)
	x, nodeSeconds := float64(c.workspaces), float64(len(q.nodes)*quotaSeconds)
	prefix := c.label + ": "
	r.add(prefix+"messages", "messages/s per node", size, x, float64(q.messages)/nodeSeconds)
	r.add(prefix+"protobuf of requests and answers", "bytes/s per node", size, x, float64(q.bytes)/nodeSeconds)
	r.add(prefix+"requests that waited", "%", size, x, 100*float64(q.waited)/float64(q.requests))
	r.add(prefix+"requests refused", "%", size, x, 100*float64(q.refused)/float64(q.requests))
	r.add(prefix+"processor time of both sides", "ns per message", size, x, float64(cpu)/float64(max(1, q.messages)))
}

// quotaMemory measures the state of a workspace in one cache and in one shard, and what each node that asks
// a shard adds to it.
func quotaMemory(r *recorder, workspaces int) {
	size, x := fmt.Sprint(workspaces, " workspaces"), float64(workspaces)
	before := heap()
	q := newQuotaRun(quotaCase{workspaces: workspaces, rate: 66})
	shards := len(q.shards)
	full := heap() - before
	q.nodes = nil
	without := heap() - before
	r.add("heap of one shard without grants", "bytes", size, x, without/float64(shards))
	r.add("heap of one cache without grants", "bytes", size, x, (full-without)/quotaNodes)
	runtime.KeepAlive(q)
}

// ownerLoad measures a shard that many nodes ask: one request of a node has one ask and reports the grant
// before. Heap is that with one open grant of each node for each request of 5 s.
func ownerLoad(r *recorder, nodes int) {
	const workspaces, rounds = 1000, 50
	q := newQuotaRun(quotaCase{workspaces: workspaces, rate: 66})
	id := ratelimit.ShardID{Domain: "zone-0"}
	shard := q.shards[id]
	q.nodes, q.shards = nil, nil
	size, x := fmt.Sprint(nodes, " nodes, 50 open grants each"), float64(nodes)
	ask := func(i int, reports []ratelimit.Report) {
		n, round := i%nodes, i/nodes
		shard.Grant(epoch, ratelimit.Request{
			Node: nodeName(n), Incarnation: incarnationOf(n), Shard: id, Sequence: uint64(round + 1), Accepted: uint64(round),
			Asks: []ratelimit.Ask{{Workspace: workspaceName((n*31 + round) % workspaces), Need: 1}}, Reports: reports,
		})
	}
	before := heap()
	cpu := perOperation(nodes*rounds, func(i int) { ask(i, nil) })
	r.add("owner: heap of open grants", "bytes", size, x, heap()-before)
	r.add("owner: processor time of Grant", "ns", size, x, cpu)
	r.add("owner: processor time of Grant with a report", "ns", size, x, perOperation(nodes*rounds, func(i int) {
		n, round := i%nodes, i/nodes
		report := ratelimit.Report{Workspace: workspaceName((n*31 + round) % workspaces), Sequence: uint64(round + 1), Spent: 1, Closed: true}
		ask(i+nodes*rounds, []ratelimit.Report{report})
	}))
	runtime.KeepAlive(shard)
}
