package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// boundFleet runs the decisions of a fleet as cowslip-sidecar does, on a fake clock: rounds of exchanges with requests
// and responses under way, loans for waiting requests, repeated sends, kills, restarts and partitions.
type boundFleet struct {
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	quota   Quota
	nodes   []*boundNode
	latency time.Duration // one way, between failure domains
	loss    float64       // fraction of messages that are lost or held up
	// splitDomain is partitioned from the others until healAt.
	splitDomain string
	healAt      time.Time
	// demand is the rate at which requests enter at each node, by its index.
	demand      func(node int) float64
	repeatRatio float64
	// patience is how long a request waits for a loan at most.
	patience time.Duration
	// bucket is what a single token bucket with the quota of the fleet would hold.
	bucket referenceBucket
	lowest float64
	// share is the largest sum of the shares of all nodes, those of killed ones included until they join again.
	share float64
	// wrongful counts refusals while bucket holds a token.
	requests, admitted, repeats, wrongful int
}

// boundNode is a node whose process may be killed and started again.
type boundNode struct {
	Member
	index       int
	shares      *Shares // nil while no process runs
	known       []Member
	complete    bool // has read the registry behind its own entry
	lastContact map[string]time.Time
	lastShare   float64 // of the previous process
	loan        *pendingLoan
	noLoanUntil time.Time
}

// pendingLoan is a loan in progress and the requests that wait for it.
type pendingLoan struct{ waiting []func() }

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newBoundFleet(seed uint64, nodes, domains int, quota Quota) *boundFleet {
	f := &boundFleet{
		random: rand.New(rand.NewPCG(seed, 17)), now: epoch, quota: quota, latency: time.Millisecond, patience: 300 * time.Millisecond,
		demand: func(int) float64 { return 0 }, bucket: referenceBucket{quota: quota, level: float64(quota.Burst), at: epoch},
	}
	f.lowest = f.bucket.level
	for i := range nodes {
		f.nodes = append(f.nodes, &boundNode{index: i, Member: Member{fmt.Sprintf("n%02d", i), fmt.Sprintf("d%d", i%domains)}})
	}
	return f
}

func (f *boundFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{f.now.Add(d), run})
}

func (f *boundFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// start starts a node that knows the given others, and all of them 400 ms later.
func (f *boundFleet) start(n *boundNode, known []*boundNode) {
	config := DefaultSharesConfig()
	config.Process = uint64(f.now.UnixNano())
	n.shares, n.known, n.loan, n.lastContact = NewShares(n.Member, config), nil, nil, map[string]time.Time{}
	s := n.shares
	s.SetWorkspaces(map[string]Quota{"w": f.quota}, f.now)
	learn := func(others []*boundNode) {
		n.known = nil
		for _, other := range others {
			if other != n {
				n.known = append(n.known, other.Member)
			}
		}
		n.complete = true
		s.SetMembers(n.known, true)
	}
	learn(known)
	f.after(400*time.Millisecond, func() {
		if n.shares == s {
			learn(f.nodes)
		}
	})
	f.after(f.upTo(20*time.Millisecond), func() { f.round(n, s) })
	f.after(f.upTo(20*time.Millisecond), func() { f.arrive(n, s) })
}

// restart kills the process of a node and starts another one after a while.
func (f *boundFleet) restart(n *boundNode, down time.Duration) {
	if n.shares.Joined() {
		n.lastShare = n.shares.Status(f.now)["w"].Share
	}
	n.shares = nil
	f.after(down, func() { f.start(n, f.nodes) })
}

func (f *boundFleet) startAll() {
	for _, n := range f.nodes {
		f.start(n, f.nodes)
	}
}

func (f *boundFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(d))
}

func (f *boundFleet) partitioned(a, b *boundNode) bool {
	return f.now.Before(f.healAt) && (a.FailureDomain == f.splitDomain) != (b.FailureDomain == f.splitDomain)
}

// deliver runs receive after the latency between two nodes unless the message is lost or the process has ended.
func (f *boundFleet) deliver(from, to *boundNode, receive func()) {
	s := to.shares
	luck := f.random.Float64()
	if s == nil || f.partitioned(from, to) || luck < f.loss/2 {
		return
	}
	latency := 100 * time.Microsecond
	if from.FailureDomain != to.FailureDomain {
		latency = f.latency
	}
	if luck < f.loss {
		latency = f.upTo(350 * time.Millisecond)
	}
	f.after(latency+f.upTo(latency), func() {
		if to.shares == s && !f.partitioned(from, to) {
			receive()
		}
	})
}

const exchangeTimeout = 400 * time.Millisecond

// round runs a round of exchanges, which takes half of the round interval or of that of joining nodes.
func (f *boundFleet) round(n *boundNode, s *Shares) {
	if n.shares != s {
		return
	}
	config := DefaultSharesConfig()
	local, remote := config.Partners(len(n.known))
	pause := 100 * time.Millisecond
	if s.Joined() {
		pause = config.RoundInterval
	}
	stalled, overdue := time.Duration(0), 2*s.CycleDuration()
	for range local + remote {
		var next *boundNode
		for _, member := range n.known {
			left := remote
			if member.FailureDomain == n.FailureDomain {
				left = local
			}
			other := f.nodes[int(member.Name[1]-'0')*10+int(member.Name[2]-'0')]
			initiates := (n.index+other.index)%2 == 0 == (n.index < other.index)
			if left > 0 && (initiates || f.now.Sub(n.lastContact[other.Name]) > overdue) && n.lastContact[other.Name].Before(f.now) &&
				(next == nil || n.lastContact[other.Name].Before(n.lastContact[next.Name])) {
				next = other
			}
		}
		if next == nil {
			break
		}
		if next.FailureDomain == n.FailureDomain {
			local--
		} else {
			remote--
		}
		n.lastContact[next.Name] = f.now
		if next.shares == nil || f.partitioned(n, next) {
			stalled = exchangeTimeout
		}
		f.exchange(n, next)
	}
	pause += stalled
	f.after(pause/2, func() {
		if n.shares == s {
			s.Reconcile(f.now)
			f.share = max(f.share, f.totalShare())
		}
	})
	f.after(pause+f.upTo(pause/10), func() { f.round(n, s) })
}

func (f *boundFleet) totalShare() (sum float64) {
	for _, n := range f.nodes {
		if n.shares != nil && n.shares.Joined() {
			if b := n.shares.workspaces["w"]; b != nil {
				sum += b.share
			}
		} else {
			sum += n.lastShare
		}
	}
	return sum
}

func (f *boundFleet) exchange(from, to *boundNode) {
	startedAt := f.now
	request := from.shares.PrepareMessage(to.Name, f.now)
	f.deliver(from, to, func() {
		to.meet(from)
		to.lastContact[from.Name] = f.now
		to.shares.Receive(from.Name, request, f.now)
		response := to.shares.PrepareMessage(from.Name, f.now)
		f.deliver(to, from, func() {
			if f.now.Sub(startedAt) < exchangeTimeout {
				from.shares.Receive(to.Name, response, f.now)
			}
		})
	})
}

// meet makes the sender of a message a member, as it tells its registration.
func (n *boundNode) meet(from *boundNode) {
	if !slices.Contains(n.known, from.Member) {
		n.known = append(n.known, from.Member)
		n.shares.SetMembers(n.known, n.complete)
	}
}

// arrive handles a request that enters at a node, and schedules the next one.
func (f *boundFleet) arrive(n *boundNode, s *Shares) {
	if n.shares != s {
		return
	}
	rate := f.demand(n.index)
	if rate <= 0 {
		f.after(10*time.Millisecond, func() { f.arrive(n, s) })
		return
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() { f.arrive(n, s) })
	f.requests++
	if ok, _ := s.Take("w", f.now); ok {
		f.admit(n, s)
	} else {
		f.await(n, s, f.patience)
	}
}

// admit counts an admitted request, which may be sent a second time.
func (f *boundFleet) admit(n *boundNode, s *Shares) {
	f.admitted++
	f.consume()
	if f.random.Float64() < f.repeatRatio {
		f.after(60*time.Millisecond, func() {
			if n.shares != s {
				return
			}
			if s.TakeRepeat("w", f.now) {
				f.repeats++
				f.consume()
			}
		})
	}
}

func (f *boundFleet) consume() { f.lowest = min(f.lowest, f.bucket.consume(f.now)) }

func (f *boundFleet) refuse() {
	if f.bucket.level+f.quota.Rate*f.now.Sub(f.bucket.at).Seconds() >= 1 {
		f.wrongful++
	}
}

// await lets a request wait for a loan, or refuses it.
func (f *boundFleet) await(n *boundNode, s *Shares, patience time.Duration) {
	if n.shares != s {
		return
	}
	if f.now.Before(n.noLoanUntil) || patience <= 0 {
		f.refuse()
		return
	}
	since := f.now
	if n.loan == nil {
		n.loan = &pendingLoan{}
		f.after(0, func() {
			if n.shares == s {
				request := s.PlanLoan("w", len(n.loan.waiting), f.now)
				f.borrow(n, s, request.Lenders, request.Tokens, request.Tokens)
			}
		})
	}
	n.loan.waiting = append(n.loan.waiting, func() {
		left := patience - max(f.now.Sub(since), time.Millisecond)
		if left < 0 {
			f.refuse()
		} else if ok, _ := s.Retake("w", f.now); ok {
			f.admit(n, s)
		} else {
			f.await(n, s, left)
		}
	})
}

// borrow asks lenders in order until enough tokens were borrowed. Each call has a time limit of 100 ms.
func (f *boundFleet) borrow(n *boundNode, s *Shares, lenders []string, wanted, missing float64) {
	if n.shares != s {
		return
	}
	if missing <= 0 || len(lenders) == 0 {
		if missing >= wanted {
			n.noLoanUntil = f.now.Add(100 * time.Millisecond)
		}
		waiting := n.loan.waiting
		n.loan = nil
		for _, retry := range waiting {
			retry()
		}
		return
	}
	lender := f.nodes[int(lenders[0][1]-'0')*10+int(lenders[0][2]-'0')]
	asked, answered := f.now, false
	f.deliver(n, lender, func() {
		given, remaining := lender.shares.Lend("w", missing, f.now)
		f.deliver(lender, n, func() {
			if answered {
				return
			}
			answered = true
			s.RecordLoan(lender.Name, "w", given, remaining, asked)
			f.borrow(n, s, lenders[1:], wanted, missing-given)
		})
	})
	f.after(100*time.Millisecond, func() {
		if !answered && n.shares == s {
			answered = true
			s.LoanFailed(lender.Name)
			f.borrow(n, s, lenders[1:], wanted, missing)
		}
	})
}

// excess returns by how many requests the admissions of some window exceed rate x window + burst.
func (f *boundFleet) excess() float64 { return max(0, -f.lowest) }

// boundScenarios are schedules of faults. Each runs a fleet of 12 nodes in three failure domains.
var boundScenarios = map[string]func(f *boundFleet){
	// Callers leave before a loan from another failure domain comes. Its lender refills while the tokens stay usable.
	"loans": func(f *boundFleet) {
		f.latency, f.patience = 8*time.Millisecond, 30*time.Millisecond
		f.startAll()
		f.run(10 * time.Second)
		for i := range 24 {
			pause := time.Duration(100+400*(i%2)) * time.Millisecond
			f.demand = func(node int) float64 { return 2000 * float64(1-min(1, (node+i)%(12-9*(i%2)))) }
			f.run(40 * time.Millisecond)
			f.demand = func(int) float64 { return 0 }
			f.run(pause)
			f.demand = func(int) float64 { return 200 }
			f.run(200 * time.Millisecond)
			f.demand = func(int) float64 { return 0 }
			f.run(2 * time.Second)
		}
	},
	// The node that has just used most of the burst is killed and comes back.
	"restarts": func(f *boundFleet) {
		f.startAll()
		f.run(6 * time.Second)
		f.demand = func(node int) float64 { return float64(1+node%3) * 60 }
		for i := range 30 {
			f.run(400 * time.Millisecond)
			if i%3 == 0 && f.nodes[i%12].shares != nil {
				f.restart(f.nodes[i%12], f.upTo(time.Second))
			}
		}
	},
	// A node is killed while its share moves to another: not all others know how much it had left.
	"restarts while share moves": func(f *boundFleet) {
		f.latency = 5 * time.Millisecond
		f.startAll()
		f.run(4 * time.Second)
		for i := range 8 {
			f.demand = func(node int) float64 { return 30 + 600*float64(1-min(1, (node+12-i)%12)) }
			f.run(time.Second + f.upTo(700*time.Millisecond))
			for d := range 3 {
				if n := f.nodes[(i+12-d)%12]; n.shares != nil && f.random.IntN(2) == 0 {
					f.restart(n, f.upTo(200*time.Millisecond))
				}
			}
			f.run(500 * time.Millisecond)
		}
	},
	// A node that comes back has no contact for a while.
	"restart in a partition": func(f *boundFleet) {
		f.startAll()
		f.run(6 * time.Second)
		f.demand = func(node int) float64 { return float64(1-min(1, node%3)) * 300 }
		f.run(6 * time.Second)
		f.demand = func(int) float64 { return 100 }
		f.splitDomain, f.healAt = "d1", f.now.Add(5*time.Second)
		for i := 1; i < 12; i += 3 {
			f.restart(f.nodes[i], 300*time.Millisecond)
		}
		f.run(9 * time.Second)
	},
	// All nodes start while a failure domain is partitioned. Each knows at first those that registered before it.
	"start in a partition": func(f *boundFleet) {
		f.splitDomain, f.healAt = "d1", f.now.Add(6*time.Second)
		f.demand = func(int) float64 { return 60 }
		for i, n := range f.nodes {
			f.after(time.Duration(i)*20*time.Millisecond, func() { f.start(n, f.nodes[:i]) })
		}
		f.run(12 * time.Second)
	},
	// As above, and all know each other from the start.
	"start in a partition, known nodes": func(f *boundFleet) {
		f.splitDomain, f.healAt = "d1", f.now.Add(6*time.Second)
		f.demand = func(int) float64 { return 60 }
		f.startAll()
		f.run(12 * time.Second)
	},
	// Messages are lost and held up while demand moves, which moves share.
	"lost messages": func(f *boundFleet) {
		f.loss = 0.2
		f.startAll()
		for i := range 12 {
			f.demand = func(node int) float64 { return float64(max(0, 3-(node+i)%12)) * 150 }
			f.run(1500 * time.Millisecond)
		}
	},
	"all at once": func(f *boundFleet) {
		f.loss = 0.1
		f.startAll()
		f.run(time.Duration(f.random.IntN(8)) * time.Second)
		for range 12 {
			hot, load := f.random.IntN(12), 300+f.random.Float64()*600
			f.demand = func(node int) float64 { return load/12 + load*float64(max(0, 1-(node+hot)%12)) }
			f.run(f.upTo(2 * time.Second))
			if n := f.nodes[f.random.IntN(12)]; n.shares != nil {
				f.restart(n, f.upTo(2*time.Second))
			}
			if f.random.IntN(4) == 0 {
				f.splitDomain, f.healAt = fmt.Sprintf("d%d", f.random.IntN(3)), f.now.Add(f.upTo(4*time.Second))
			}
		}
	},
}

// Guards against admissions above rate x window + burst in any window, whatever fails. Tokens were usable twice while
// they were lent, after a restart, and before a node had joined.
func TestSharesNeverExceedQuota(t *testing.T) {
	for name, scenario := range boundScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worst, share, total := 0.0, 0.0, [3]int{}
			for seed := range uint64(2) {
				f := newBoundFleet(seed, 12, 3, Quota{Rate: 218, Burst: 226})
				f.repeatRatio = 0.2
				scenario(f)
				worst, share = max(worst, f.excess()), max(share, f.share)
				total[0], total[1], total[2] = total[0]+f.requests, total[1]+f.admitted, total[2]+f.repeats
			}
			t.Logf("%d requests, %d admitted, %d repeats, up to %.1f above the quota, shares up to %.4f", total[0], total[1], total[2], worst, share)
			must.LessEq(t, 1, worst, must.Sprint("requests above the quota"))
		})
	}
}

// missingNodes runs a fleet of 83 nodes in which one workspace bursts within its rate. A third of the nodes don't exchange
// messages with the others for 8 s, and a sixth are killed and come back after 4 s.
func missingNodes(seed uint64) *boundFleet {
	f := newBoundFleet(seed, 83, 3, Quota{Rate: 218, Burst: 226})
	f.latency = 500 * time.Microsecond
	f.startAll()
	f.run(5 * time.Second)
	start := f.now
	f.demand = func(node int) float64 {
		if f.now.Sub(start)%(2*time.Second) < time.Second {
			return float64(1-min(1, node%7)) * 0.8 * 1.6 * f.quota.Rate / 12
		}
		return float64(1-min(1, node%7)) * 0.8 * 0.4 * f.quota.Rate / 12
	}
	f.run(5 * time.Second)
	f.requests, f.admitted, f.wrongful = 0, 0, 0
	f.splitDomain, f.healAt = "d1", f.now.Add(8*time.Second)
	for _, i := range f.random.Perm(len(f.nodes))[:14] {
		f.restart(f.nodes[i], 4*time.Second)
	}
	f.run(12 * time.Second)
	return f
}

// Guards against more refusals within the rate, while nodes are missing, than before admissions were held to the quota.
func TestSharesMissingNodesRefusals(t *testing.T) {
	t.Parallel()
	requests, wrongful, excess := 0, 0, 0.0
	for seed := range uint64(2) {
		f := missingNodes(seed)
		t.Logf("seed %d: %d requests, %d refused within the rate, %.1f above the quota", seed, f.requests, f.wrongful, f.excess())
		requests, wrongful, excess = requests+f.requests, wrongful+f.wrongful, max(excess, f.excess())
	}
	t.Logf("%.3f%% refused within the rate, %.1f above the quota", 100*float64(wrongful)/float64(requests), excess)
	// The earlier code refused 2.71% to 4.49% in eight runs, as it depended on the order of maps.
	must.LessEq(t, 0.0271, float64(wrongful)/float64(requests), must.Sprint("refused within the rate"))
	must.LessEq(t, 1, excess, must.Sprint("requests above the quota"))
}
