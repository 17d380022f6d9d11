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
	quotaNodes    = 16
	quotaSeconds  = 10
	quotaTick     = time.Millisecond
	targetNodes   = 4900
	quotaWarmUp   = 3 * time.Second
	responseDelay = time.Millisecond
	waitLimit     = 250 * time.Millisecond
)

// quotaCase is one workload. By default the quotas are those of an entire fleet of targetNodes, of which only
// quotaNodes run, so that a small burst does not limit prefetch. Shards then never run out of tokens; with
// fleetNodes, where all nodes that share the quotas run, they can.
type quotaCase struct {
	label           string
	workspaces      int
	rate            float64 // requests per second per node
	reportDelay     time.Duration
	prefetchHorizon time.Duration
	minPlanInterval time.Duration // minimum time between two rounds of quota requests of a node; 0 means no minimum
	fleetNodes      int           // number of nodes if all that share the quotas run; 0 means quotaNodes of targetNodes
	numericNames    bool          // use short numbers instead of workspace names in messages
}

type quotaNode struct {
	cache      *ratelimit.Cache
	nextPlan   time.Time
	planWanted bool
	lastPlan   time.Time
	responses  []quotaResponse
	waiters    []quotaWaiter
}

type quotaResponse struct {
	arrivesAt time.Time
	shard     ratelimit.ShardID
	response  ratelimit.Response
}

type quotaWaiter struct {
	workspace string
	deadline  time.Time
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
	if c.numericNames {
		return strconv.FormatInt(int64(i), 36)
	}
	return workspaceName(i)
}

func newQuotaRun(c quotaCase) *quotaRun {
	q := &quotaRun{quotaCase: c, random: rand.New(rand.NewPCG(1, 1)), shards: map[ratelimit.ShardID]*ratelimit.Shard{}}
	domains := []string{"zone-0", "zone-1", "zone-2", "zone-3"}
	allotment := ratelimit.NewAllotment(domains, 4)
	start := epoch.Add(-time.Minute)
	runningNodes, fleetNodes := quotaNodes, targetNodes
	if c.fleetNodes > 0 {
		runningNodes, fleetNodes = c.fleetNodes, c.fleetNodes
	}
	rate := c.rate * float64(fleetNodes) / float64(c.workspaces) / 0.8
	fleetQuota := ratelimit.Quota{Rate: rate, Burst: int64(2*rate) + 1}
	for i, id := range allotment.Shards() {
		shard := ratelimit.NewShard(id, ratelimit.DefaultShardConfig())
		shard.Begin(start, start, 2*time.Hour, 1)
		for w := range c.workspaces {
			shard.Configure(start, c.name(w), allotment.Divide(c.name(w), fleetQuota)[i])
		}
		q.shards[id] = shard
	}
	for i := range runningNodes {
		config := ratelimit.DefaultCacheConfig(nodeName(i), incarnationOf(i), domains[i%4])
		if c.reportDelay > 0 {
			config.ReportDelay = c.reportDelay
		}
		if c.prefetchHorizon > 0 {
			config.PrefetchHorizon = c.prefetchHorizon
			config.IdleTimeout = max(config.IdleTimeout, c.prefetchHorizon)
		}
		n := &quotaNode{cache: ratelimit.NewCache(config, allotment)}
		for w := range c.workspaces {
			n.cache.Configure(c.name(w), fleetQuota)
		}
		q.nodes = append(q.nodes, n)
	}
	return q
}

func (q *quotaRun) takeToken(now time.Time, n *quotaNode) {
	w := q.name(q.random.IntN(q.workspaces))
	q.requests++
	taken, planNow := n.cache.TryTake(now, w)
	n.planWanted = n.planWanted || planNow || !taken
	if !taken {
		q.waited++
		n.cache.AddWaiter(w)
		n.waiters = append(n.waiters, quotaWaiter{w, now.Add(waitLimit)})
	}
}

func (q *quotaRun) handleResponses(now time.Time, n *quotaNode) {
	for len(n.responses) > 0 && !n.responses[0].arrivesAt.After(now) {
		n.cache.HandleResponse(now, n.responses[0].shard, n.responses[0].response)
		n.responses = n.responses[1:]
		n.planWanted = true
	}
	remaining := n.waiters[:0]
	for _, w := range n.waiters {
		taken := n.cache.Retake(now, w.workspace)
		if !taken && now.Before(w.deadline) {
			remaining = append(remaining, w)
			continue
		}
		n.cache.RemoveWaiter(w.workspace)
		if !taken {
			q.refused++
		}
	}
	n.waiters = remaining
}

func (q *quotaRun) sendRequests(now time.Time, n *quotaNode) {
	if !n.planWanted && now.Before(n.nextPlan) || now.Sub(n.lastPlan) < q.minPlanInterval {
		return
	}
	n.planWanted, n.lastPlan = false, now
	var requests []ratelimit.Request
	requests, n.nextPlan = n.cache.Plan(now)
	for _, r := range requests {
		response := q.shards[r.Shard].Grant(now, r)
		q.messages++
		q.bytes += proto.Size(ratelimit.EncodeRequest(r)) + proto.Size(ratelimit.EncodeResponse(response))
		n.responses = append(n.responses, quotaResponse{now.Add(responseDelay), r.Shard, response})
	}
}

func (q *quotaRun) run(from time.Time, duration time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(duration)); now = now.Add(quotaTick) {
		for _, n := range q.nodes {
			if q.random.Float64() < q.rate*quotaTick.Seconds() {
				q.takeToken(now, n)
			}
			q.handleResponses(now, n)
			q.sendRequests(now, n)
		}
	}
	return now
}

func measureQuota(r *recorder) error {
	for _, c := range []quotaCase{
		{label: "default", workspaces: 8, rate: 66}, {label: "default", workspaces: 32, rate: 66},
		{label: "default", workspaces: 128, rate: 66}, {label: "default", workspaces: 512, rate: 66},
		{label: "default", workspaces: 1000, rate: 66}, {label: "default, 20 requests/s", workspaces: 128, rate: 20},
		{label: "default, 265 requests/s", workspaces: 128, rate: 265},
		{label: "report delay 2 s", workspaces: 128, rate: 66, reportDelay: 2 * time.Second},
		{label: "report delay 2 s, horizon 2 s", workspaces: 128, rate: 66, reportDelay: 2 * time.Second, prefetchHorizon: 2 * time.Second},
		{label: "round each 100 ms", workspaces: 128, rate: 66, minPlanInterval: 100 * time.Millisecond},
		{label: "round each 100 ms, report delay 2 s, horizon 2 s", workspaces: 128, rate: 66, reportDelay: 2 * time.Second, prefetchHorizon: 2 * time.Second, minPlanInterval: 100 * time.Millisecond},
		{label: "round each 100 ms, horizon 2 s, numbers", workspaces: 128, rate: 66, prefetchHorizon: 2 * time.Second, minPlanInterval: 100 * time.Millisecond, numericNames: true},
		{label: "horizon 2 s", workspaces: 13, rate: 66, prefetchHorizon: 2 * time.Second},
		{label: "horizon 2 s, numbers", workspaces: 13, rate: 66, prefetchHorizon: 2 * time.Second, numericNames: true},
		{label: "horizon 2 s, round each 20 ms, numbers", workspaces: 13, rate: 66, prefetchHorizon: 2 * time.Second, minPlanInterval: 20 * time.Millisecond, numericNames: true},
		{label: "whole fleet of 64", workspaces: 13, rate: 66, fleetNodes: 64},
		{label: "whole fleet of 64, horizon 1 s, numbers", workspaces: 13, rate: 66, prefetchHorizon: time.Second, fleetNodes: 64, numericNames: true},
		{label: "whole fleet of 64, horizon 2 s, numbers", workspaces: 13, rate: 66, prefetchHorizon: 2 * time.Second, fleetNodes: 64, numericNames: true},
		{label: "whole fleet of 16, horizon 1 s, numbers", workspaces: 3, rate: 66, prefetchHorizon: time.Second, fleetNodes: 16, numericNames: true},
	} {
		measureQuotaTraffic(r, c)
	}
	for _, w := range []int{100, 500, 1000} {
		measureQuotaMemory(r, w)
	}
	for _, n := range []int{100, 306, 612} {
		measureShardOwner(r, n)
	}
	return nil
}

func measureQuotaTraffic(r *recorder, c quotaCase) {
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

// measureQuotaMemory measures the heap of one shard and of one cache without grants.
func measureQuotaMemory(r *recorder, workspaces int) {
	size, x := fmt.Sprint(workspaces, " workspaces"), float64(workspaces)
	before := heapBytes()
	q := newQuotaRun(quotaCase{workspaces: workspaces, rate: 66})
	shards := len(q.shards)
	full := heapBytes() - before
	q.nodes = nil
	without := heapBytes() - before
	r.add("heap of one shard without grants", "bytes", size, x, without/float64(shards))
	r.add("heap of one cache without grants", "bytes", size, x, (full-without)/quotaNodes)
	runtime.KeepAlive(q)
}

// measureShardOwner measures a shard that receives requests from many nodes, each request with one ask. In
// the second run, each request also reports the grant of an earlier one. The heap is measured with an open
// grant for each request that a node sends in 5 s.
func measureShardOwner(r *recorder, nodes int) {
	const workspaces, rounds = 1000, 50
	q := newQuotaRun(quotaCase{workspaces: workspaces, rate: 66})
	id := ratelimit.ShardID{Domain: "zone-0"}
	shard := q.shards[id]
	q.nodes, q.shards = nil, nil
	size, x := fmt.Sprint(nodes, " nodes, 50 open grants each"), float64(nodes)
	sendRequest := func(i int, reports []ratelimit.Report) {
		n, round := i%nodes, i/nodes
		shard.Grant(epoch, ratelimit.Request{
			Node: nodeName(n), Incarnation: incarnationOf(n), Shard: id, Sequence: uint64(round + 1), Accepted: uint64(round),
			Asks: []ratelimit.Ask{{Workspace: workspaceName((n*31 + round) % workspaces), Need: 1}}, Reports: reports,
		})
	}
	before := heapBytes()
	cpu := cpuPerOperation(nodes*rounds, func(i int) { sendRequest(i, nil) })
	r.add("owner: heap of open grants", "bytes", size, x, heapBytes()-before)
	r.add("owner: processor time of Grant", "ns", size, x, cpu)
	r.add("owner: processor time of Grant with a report", "ns", size, x, cpuPerOperation(nodes*rounds, func(i int) {
		n, round := i%nodes, i/nodes
		report := ratelimit.Report{Workspace: workspaceName((n*31 + round) % workspaces), Sequence: uint64(round + 1), Spent: 1, Closed: true}
		sendRequest(i+nodes*rounds, []ratelimit.Report{report})
	}))
	runtime.KeepAlive(shard)
}
