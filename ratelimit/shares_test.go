package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sharesFleet is a fleet of nodes that exchange messages in rounds, on a fake clock.
type sharesFleet struct {
	nodes       map[string]*Shares
	names       []string
	now         time.Time
	quota       Quota
	isolated    map[string]bool // nodes partitioned from all others
	partitioned bool            // whether the failure domains are partitioned from each other
	loss        float64         // fraction of messages that are lost
	fanout      int             // exchanges that a node initiates per round; 0 for all others
	rotation    int             // offset of the next exchange partners
	admitted    []time.Time
	refused     int
	requests    int
}

func newSharesFleet(count int, quota Quota) *sharesFleet {
	f := &sharesFleet{nodes: map[string]*Shares{}, now: time.Unix(1000, 0), quota: quota, isolated: map[string]bool{}}
	for i := range count {
		f.names = append(f.names, fmt.Sprintf("n%02d", i))
	}
	for _, name := range f.names {
		f.startNode(name)
	}
	return f
}

func (f *sharesFleet) reaches(a, b string) bool {
	return !f.isolated[a] && !f.isolated[b] && (!f.partitioned || f.member(a).FailureDomain == f.member(b).FailureDomain)
}

// member returns the Member of a node. Nodes are spread over three failure domains.
func (f *sharesFleet) member(name string) Member {
	return Member{Name: name, FailureDomain: fmt.Sprintf("d%d", name[len(name)-1]%3)}
}

func (f *sharesFleet) others(name string) []Member {
	var others []Member
	for _, other := range f.names {
		if other != name {
			others = append(others, f.member(other))
		}
	}
	return others
}

func (f *sharesFleet) startNode(name string) {
	s := NewShares(f.member(name), DefaultSharesConfig())
	s.SetMembers(f.others(name), true)
	s.SetWorkspaces(map[string]Quota{"w": f.quota}, f.now)
	f.nodes[name] = s
}

// runRound simulates 100 ms with the given mean request rates at the nodes. Every fifth call ends with a round
// of exchanges.
func (f *sharesFleet) runRound(random *rand.Rand, number int, perSecond map[string]float64) {
	const step = 100 * time.Millisecond
	for _, name := range f.names {
		for n := poisson(random, perSecond[name]*step.Seconds()); n > 0; n-- {
			at := f.now.Add(time.Duration(random.Float64() * float64(step)))
			f.requests++
			if ok, _ := f.nodes[name].Take("w", at); ok || f.borrowToken(random, name, at) {
				f.admitted = append(f.admitted, at)
			} else {
				f.refused++
			}
		}
	}
	f.now = f.now.Add(step)
	if number%5 != 0 {
		return
	}
	// The messages of a round are sent concurrently, so each is based on the previous round.
	type delivery struct {
		from, to string
		message  ShareMessage
	}
	var deliveries []delivery
	for i, name := range f.names {
		for _, other := range f.partners(i) {
			if name != other && f.reaches(name, other) && random.Float64() >= f.loss {
				deliveries = append(deliveries, delivery{name, other, f.nodes[name].PrepareMessage(other, f.now)})
			}
		}
	}
	for _, d := range deliveries {
		f.nodes[d.to].Receive(d.from, d.message, f.now)
	}
	for _, name := range f.names {
		f.nodes[name].Reconcile(f.now)
	}
}

// partners returns the nodes to which node i sends messages in this round: all nodes, or those that it calls
// and those that call it.
func (f *sharesFleet) partners(i int) []string {
	if f.fanout == 0 {
		return f.names
	}
	var partners []string
	if i == 0 {
		f.rotation += f.fanout
	}
	for n := range f.fanout {
		step := 1 + (f.rotation+n)%(len(f.names)/2)
		partners = append(partners, f.names[(i+step)%len(f.names)], f.names[(i+len(f.names)-step)%len(f.names)])
	}
	return partners
}

// borrowToken asks other nodes for a token, as a node does before it refuses a request.
func (f *sharesFleet) borrowToken(random *rand.Rand, name string, now time.Time) bool {
	borrower := f.nodes[name]
	request := borrower.PlanLoan("w", 1, now)
	for _, lender := range request.Lenders {
		if !f.reaches(name, lender) {
			continue
		}
		given, remaining := f.nodes[lender].Lend("w", request.Tokens, now)
		if random.Float64() < f.loss {
			continue // the response is lost
		}
		borrower.RecordLoan(lender, "w", given, remaining, now)
		if ok, _ := borrower.Retake("w", now); ok {
			return true
		}
	}
	return false
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		n++
	}
	return n
}

// maxAdmitted returns the largest number of requests admitted in any window.
func (f *sharesFleet) maxAdmitted(window time.Duration) int {
	times := slices.SortedFunc(slices.Values(f.admitted), time.Time.Compare)
	highest, first := 0, 0
	for i, at := range times {
		for !at.Before(times[first].Add(window)) {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// Checks that the fleet admits no more than operators tolerate in any window, whatever the nodes know of each
// other. The margin above rate and burst covers the minimum burst of each node.
func TestSharesBound(t *testing.T) {
	quota := Quota{Rate: 100, Burst: 100}
	const window = 5 * time.Second
	bound := 1.1*(quota.Rate*window.Seconds()+float64(quota.Burst)) + 20
	evenDemand := func(f *sharesFleet, total float64) map[string]float64 {
		demand := map[string]float64{}
		for _, name := range f.names {
			demand[name] = total / float64(len(f.names))
		}
		return demand
	}
	for seed := range uint64(10) {
		for name, scenario := range map[string]func(f *sharesFleet, random *rand.Rand){
			"one node takes all demand": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					demand := evenDemand(f, 60)
					if i >= 50 {
						demand[f.names[3]] = 700
					}
					f.runRound(random, i, demand)
				}
			},
			"demand moves": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					demand := evenDemand(f, 20)
					demand[f.names[(i/30)%len(f.names)]] = 500
					f.runRound(random, i, demand)
				}
			},
			"a third is cut off under high demand": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					if i == 50 {
						for _, name := range f.names[:4] {
							f.isolated[name] = true
						}
					}
					total := 60.0
					if i >= 50 {
						total = 700
					}
					f.runRound(random, i, evenDemand(f, total))
				}
			},
			"messages are lost": func(f *sharesFleet, random *rand.Rand) {
				f.loss = 0.2
				for i := range 200 {
					f.runRound(random, i, evenDemand(f, 500))
				}
			},
			"all restart at once": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					if i%80 == 79 {
						for _, name := range f.names {
							f.startNode(name)
						}
					}
					f.runRound(random, i, evenDemand(f, 500))
				}
			},
			"nodes restart in turn under high demand": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					if i%20 == 19 {
						f.startNode(f.names[(i/20)%len(f.names)])
					}
					f.runRound(random, i, evenDemand(f, 500))
				}
			},
		} {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				f := newSharesFleet(12, quota)
				scenario(f, rand.New(rand.NewPCG(seed, 1)))
				must.LessEq(t, int(bound), f.maxAdmitted(window))
			})
		}
	}
}

// skewedDemand returns demand that enters mostly at two of twelve nodes.
func skewedDemand(f *sharesFleet, total float64) map[string]float64 {
	return map[string]float64{
		f.names[0]: 0.5 * total, f.names[1]: 0.3 * total, f.names[2]: 0.15 * total, f.names[3]: 0.05 * total,
	}
}

// startIdle returns a fleet that has exchanged messages for two seconds without requests.
func startIdle(random *rand.Rand, quota Quota) *sharesFleet {
	f := newSharesFleet(12, quota)
	for i := range 20 {
		f.runRound(random, i, nil)
	}
	return f
}

// Checks that requests within the rate are admitted even if most of them suddenly enter at a few nodes. The
// operators' objective is at most 0.1% refusals.
func TestSharesWrongfulRefusals(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := startIdle(random, Quota{Rate: 106, Burst: 118})
	for i := range 400 {
		f.runRound(random, i, skewedDemand(f, 63))
	}
	must.LessEq(t, 0.001, float64(f.refused)/float64(f.requests), must.Sprint("refused within the rate"))
}

// Checks that the same demand stays within the objective when its first three seconds are not counted.
func TestSharesSteadyRefusals(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := startIdle(random, Quota{Rate: 106, Burst: 118})
	for i := range 400 {
		if i == 30 {
			f.requests, f.refused = 0, 0
		}
		f.runRound(random, i, skewedDemand(f, 63))
	}
	must.LessEq(t, 0.001, float64(f.refused)/float64(f.requests), must.Sprint("refused within the rate"))
}

// Checks that a fleet under demand above the rate uses nearly the entire rate.
func TestSharesRateUtilization(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := startIdle(random, Quota{Rate: 106, Burst: 118})
	for i := range 400 {
		f.runRound(random, i, skewedDemand(f, 252))
	}
	must.GreaterEq(t, 0.95, float64(len(f.admitted))/(40*f.quota.Rate), must.Sprint("share of the rate that is used"))
}

// Checks that shares without demand converge to even values and stay there although all nodes transfer share
// concurrently. When each transfer was computed as if it were the only one, shares oscillated between 0 and 0.2.
func TestSharesConverge(t *testing.T) {
	f := newSharesFleet(16, Quota{Rate: 100, Burst: 100})
	random := rand.New(rand.NewPCG(3, 4))
	for i := range 10 {
		f.runRound(random, i, nil)
	}
	first := f.nodes[f.names[0]].workspaces["w"]
	for _, name := range f.names[1:] {
		b := f.nodes[name].workspaces["w"]
		first.share += b.share
		b.share = 0
	}
	for i := range 60 {
		f.runRound(random, i, nil)
		if i < 30 {
			continue
		}
		for _, name := range f.names {
			share := f.nodes[name].workspaces["w"].share
			must.Between(t, 0.5/16, share, 2.0/16, must.Sprintf("%s in round %d", name, i))
		}
	}
}

// Checks that share lost with permanently departed nodes is restored in a fleet where a round of exchanges covers
// only some of the nodes. It stayed lost when reports were considered fresh for less than a cycle of rounds.
func TestSharesLargeFleet(t *testing.T) {
	const nodes, fanout, departed = 84, 8, 10
	f := newSharesFleet(nodes, Quota{Rate: 100, Burst: 100})
	f.fanout = fanout
	random := rand.New(rand.NewPCG(5, 6))
	demand := map[string]float64{}
	for i, name := range f.names {
		demand[name] = float64(i%3) * 0.8
	}
	f.setMembers()
	for i := range 200 {
		f.runRound(random, i, demand)
	}
	must.Between(t, 0.97, f.totalShare(), 1.02, must.Sprint("before"))
	for _, name := range f.names[:departed] {
		delete(f.nodes, name)
	}
	f.names = f.names[departed:]
	f.setMembers()
	for i := range 400 {
		f.runRound(random, i, demand)
	}
	must.Between(t, 0.97, f.totalShare(), 1.02, must.Sprint("after"))
	must.LessEq(t, int(1.1*(100*5+100)+20), f.maxAdmitted(5*time.Second))
}

// Checks that requests within the rate are admitted from the start in a large fleet, where a workspace's burst is
// less than one token per node. Most of them used to be refused.
func TestSharesManyNodes(t *testing.T) {
	for _, quota := range []Quota{{Rate: 35, Burst: 43}, {Rate: 5, Burst: 13}, {Rate: 400, Burst: 408}} {
		t.Run(fmt.Sprint(quota.Rate), func(t *testing.T) {
			f := newSharesFleet(84, quota)
			f.fanout = 8
			random := rand.New(rand.NewPCG(9, 10))
			for i := range 40 {
				f.runRound(random, i, nil)
			}
			const clients = 11
			demand := map[string]float64{}
			for i := range clients {
				demand[f.names[i*7]] = quota.Rate / 1.6 / clients
			}
			for i := range 300 {
				f.runRound(random, i, demand)
			}
			must.LessEq(t, 0.001, float64(f.refused)/float64(f.requests), must.Sprint("refused within the rate"))
		})
	}
}

// partitionedFleet returns a large fleet whose failure domains have just been partitioned from each other, and
// demand within the rate and above it.
func partitionedFleet() (f *sharesFleet, random *rand.Rand, within, above map[string]float64) {
	f = newSharesFleet(84, Quota{Rate: 35, Burst: 43})
	f.fanout = 8
	random = rand.New(rand.NewPCG(13, 14))
	within, above = map[string]float64{}, map[string]float64{}
	for i := range 12 {
		within[f.names[i*7]], above[f.names[i*7]] = 1.8, 10
	}
	for i := range 100 {
		f.runRound(random, i, within)
	}
	f.partitioned, f.requests, f.refused = true, 0, 0
	return f, random, within, above
}

// Checks that partitioned failure domains keep admitting requests within the rate, with the shares of their
// holders.
func TestSharesDomainsPartedRefusals(t *testing.T) {
	f, random, within, _ := partitionedFleet()
	for i := range 100 {
		f.runRound(random, i, within)
	}
	must.LessEq(t, 0.001, float64(f.refused)/float64(f.requests), must.Sprint("refused within the rate"))
}

// Checks that partitioned failure domains together admit no more than before the partition.
func TestSharesDomainsPartitioned(t *testing.T) {
	f, random, within, above := partitionedFleet()
	for i := range 100 {
		f.runRound(random, i, within)
	}
	for i := range 200 {
		f.runRound(random, i, above)
	}
	f.partitioned = false
	for i := range 200 {
		f.runRound(random, i, above)
	}
	must.LessEq(t, 1.1*(35*5+43)+20, float64(f.maxAdmitted(5*time.Second)))
	must.Between(t, 0.99, f.totalShare(), 1.01)
}

// Checks that the sum of shares is corrected after a node that was considered departed returns with its share,
// which makes the sum exceed one.
func TestSharesReturningNode(t *testing.T) {
	f := newSharesFleet(12, Quota{Rate: 100, Burst: 100})
	random := rand.New(rand.NewPCG(7, 8))
	demand := map[string]float64{f.names[11]: 40, f.names[5]: 20}
	for i := range 50 {
		f.runRound(random, i, demand)
	}
	all, returning := f.names, f.names[11]
	f.names, f.isolated[returning] = all[:11], true
	f.setMembers()
	for i := range 100 {
		f.runRound(random, i, demand)
	}
	must.Greater(t, 1.3, f.totalShare(), must.Sprint("the others have taken over what the node still holds"))
	f.names, f.isolated[returning] = all, false
	f.setMembers()
	for i := range 100 {
		f.runRound(random, i, demand)
	}
	must.Between(t, 0.99, f.totalShare(), 1.01)
}

// Checks that a node gets its share at a start of the entire fleet even if its first contact has only just joined
// and does not know the shares of others. Such a contact used to report a share of zero.
func TestSharesStartContactsNewlyJoined(t *testing.T) {
	f := newSharesFleet(3, Quota{Rate: 40, Burst: 40})
	send := func(from, to string) {
		f.nodes[to].Receive(from, f.nodes[from].PrepareMessage(to, f.now), f.now)
	}
	send("n01", "n00")
	send("n02", "n00")
	must.True(t, f.nodes["n00"].Reconcile(f.now))
	send("n00", "n01")
	must.True(t, f.nodes["n01"].Reconcile(f.now))
	send("n01", "n02")
	f.nodes["n02"].Reconcile(f.now)
	send("n02", "n00")
	send("n00", "n02")
	must.True(t, f.nodes["n02"].Reconcile(f.now))
	sum := 0.0
	for _, name := range f.names {
		sum += f.nodes[name].Status(f.now)["w"].Share
	}
	must.InDelta(t, 1, sum, 1e-6)
}

// Checks that a restarted node takes no even share while another node, which has not noticed the restart, holds
// some.
func TestSharesRestartUnnoticed(t *testing.T) {
	f := newSharesFleet(2, Quota{Rate: 40, Burst: 40})
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 20 {
		f.runRound(random, i, nil)
	}
	f.startNode("n01")
	restarted, other := f.nodes["n01"], f.nodes["n00"]
	restarted.Receive("n00", other.PrepareMessage("n01", f.now), f.now)
	must.False(t, restarted.Reconcile(f.now))
	other.Receive("n01", restarted.PrepareMessage("n00", f.now), f.now)
	restarted.Receive("n00", other.PrepareMessage("n01", f.now), f.now)
	must.True(t, restarted.Reconcile(f.now))
	must.InDelta(t, 1, restarted.Status(f.now)["w"].Share+other.Status(f.now)["w"].Share, 1e-6)
}

// Checks that a new node whose only contact has just restarted takes no even share, and joins eventually.
func TestSharesNewNodeContactsNewlyJoined(t *testing.T) {
	f := newSharesFleet(3, Quota{Rate: 40, Burst: 40})
	f.names = f.names[:2]
	for _, name := range f.names {
		f.nodes[name].SetMembers(f.others(name), true)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 20 {
		f.runRound(random, i, nil)
	}
	f.startNode("n01")
	f.nodes["n01"].Receive("n00", f.nodes["n00"].PrepareMessage("n01", f.now), f.now)
	f.names = append(f.names, "n02")
	f.startNode("n02")
	for _, name := range f.names[:2] {
		f.nodes[name].SetMembers(f.others(name), true)
	}
	// Only the restarted node reaches the new one.
	for i := range 20 {
		f.nodes["n02"].Receive("n01", f.nodes["n01"].PrepareMessage("n02", f.now), f.now)
		joined := f.nodes["n02"].Reconcile(f.now)
		must.LessEq(t, 0.5, f.nodes["n02"].Status(f.now)["w"].Share, must.Sprint("round ", i))
		if joined {
			return
		}
		f.now = f.now.Add(DefaultSharesConfig().RoundInterval)
		f.nodes["n01"].Reconcile(f.now)
		f.nodes["n01"].Receive("n02", f.nodes["n02"].PrepareMessage("n01", f.now), f.now)
	}
	t.Fatal("the new node has not joined")
}

// Checks that share is not considered lost while nodes learn of a workspace at different times. The coordinator
// used to take the share of nodes that did not know the workspace yet, which nearly doubled its rate.
func TestSharesWorkspaceLearnedLate(t *testing.T) {
	f := newSharesFleet(12, Quota{Rate: 100, Burst: 100})
	random := rand.New(rand.NewPCG(11, 12))
	addWorkspace := func(name string) {
		f.nodes[name].SetWorkspaces(map[string]Quota{"w": f.quota, "x": f.quota}, f.now)
	}
	for i := range 500 {
		switch i {
		case 50, 200, 350: // the last two add the workspace again after its removal
			addWorkspace(f.names[0])
		case 80, 230, 380:
			for _, name := range f.names[1:] {
				addWorkspace(name)
			}
		case 150, 300:
			for _, name := range f.names {
				f.nodes[name].SetWorkspaces(map[string]Quota{"w": f.quota}, f.now)
			}
		}
		f.runRound(random, i, nil)
		total := 0.0
		for _, s := range f.nodes {
			total += s.Status(f.now)["x"].Share
		}
		must.LessEq(t, 1.01, total, must.Sprintf("in round %d", i))
	}
}

func (f *sharesFleet) setMembers() {
	for _, name := range f.names {
		f.nodes[name].SetMembers(f.others(name), true)
	}
}

func (f *sharesFleet) totalShare() float64 {
	total := 0.0
	for _, s := range f.nodes {
		total += s.workspaces["w"].share
	}
	return total
}

// Checks that a node that starts before it knows the other members does not take the entire rate.
func TestSharesUnknownMembers(t *testing.T) {
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	now := time.Unix(1, 0)
	s.SetWorkspaces(map[string]Quota{"w": {Rate: 100, Burst: 100}}, now)
	must.False(t, s.Reconcile(now))
	must.Eq(t, 0, s.Status(now)["w"].Share)
	admitted, _ := s.Take("w", now.Add(time.Second))
	must.False(t, admitted, must.Sprint("others may hold the entire rate"))
	s.SetMembers([]Member{{"b", "d"}, {"c", "d"}}, true)
	must.False(t, s.Reconcile(now))
}

// Checks that a workspace that is added later is usable at once. It used to start without tokens.
func TestSharesNewWorkspace(t *testing.T) {
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	now := time.Unix(1, 0)
	s.SetWorkspaces(map[string]Quota{"v": {Rate: 10, Burst: 5}}, now)
	s.SetMembers(nil, true)
	must.True(t, s.Reconcile(now))
	s.SetWorkspaces(map[string]Quota{"v": {Rate: 10, Burst: 5}, "w": {Rate: 10, Burst: 5}}, now)
	for range 5 {
		ok, _ := s.Take("w", now)
		must.True(t, ok)
	}
	ok, wait := s.Take("w", now)
	must.False(t, ok)
	must.Eq(t, 100*time.Millisecond, wait)
}

// Checks that removing a workspace does not cause a panic and removes its share entries.
func TestSharesRemovedWorkspace(t *testing.T) {
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	now := time.Unix(1, 0)
	s.SetMembers(nil, true)
	s.SetWorkspaces(map[string]Quota{"w": {Rate: 1, Burst: 1}}, now)
	s.Reconcile(now)
	ok, _ := s.Take("w", now.Add(2*time.Second))
	must.True(t, ok)
	s.SetWorkspaces(nil, now)
	must.SliceEmpty(t, s.PrepareMessage("b", now.Add(time.Second)).Entries)
}

// In a large fleet a message carries only the workspaces in which its sender has share or demand, and share still
// moves to a node that reported none.
func TestSharesMessagesLeaveOutEmptyEntries(t *testing.T) {
	f := newSharesFleet(84, Quota{Rate: 35, Burst: 43})
	f.fanout = 8
	random := rand.New(rand.NewPCG(11, 12))
	for i := range 100 {
		f.runRound(random, i, nil)
	}
	withEntry := 0
	for i, name := range f.names {
		withEntry += len(f.nodes[name].PrepareMessage(f.names[(i+1)%len(f.names)], f.now).Entries)
	}
	must.Between(t, 1, withEntry, 15)
	last := f.names[len(f.names)-1]
	for i := range 200 {
		f.runRound(random, i, map[string]float64{last: 20})
	}
	must.Greater(t, 0.3, f.nodes[last].workspaces["w"].share)
	must.Between(t, 0.97, f.totalShare(), 1.02)
}

// Checks the bound when all nodes are killed while a workspace uses its whole burst and rate. Each used to start
// again with its part of the full burst.
func TestSharesBoundWhenAllNodesRestart(t *testing.T) {
	const rate, bound = 400, 2668                         // the bound is 1.1 * (5 * rate + burst) + 20, with a burst of 408
	f := newSharesFleet(16, Quota{Rate: 436, Burst: 452}) // with what nodes use of the tolerance
	random := rand.New(rand.NewPCG(13, 14))
	for i := range 40 {
		f.runRound(random, i, nil)
	}
	demand := map[string]float64{}
	for _, name := range f.names {
		demand[name] = 4 * rate / 16
	}
	for i := range 40 {
		f.runRound(random, i, demand)
	}
	f.now = f.now.Add(500 * time.Millisecond)
	for _, name := range f.names {
		f.startNode(name)
	}
	for i := range 100 {
		f.runRound(random, i, demand)
	}
	must.LessEq(t, bound, f.maxAdmitted(5*time.Second))
	must.Between(t, 0.97, f.totalShare(), 1.02)
}

// Guards against tokens for the time before a transfer of share: its sender has had them.
func TestTransferEarnsNoPastTokens(t *testing.T) {
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	now := time.Unix(1, 0)
	s.SetWorkspaces(map[string]Quota{"w": {Rate: 100, Burst: 1000}}, now)
	s.SetMembers([]Member{{"b", "d"}}, true)
	s.Receive("b", ShareMessage{}, now)
	must.True(t, s.Reconcile(now))
	must.Eq(t, 0.5, s.Status(now)["w"].Share)
	now = now.Add(time.Second)
	s.Receive("b", ShareMessage{Joined: true, Entries: []ShareEntry{{Workspace: "w", Transfer: 0.25}}}, now)
	must.Eq(t, 0.75, s.Status(now)["w"].Share)
	must.Eq(t, 50, s.Status(now)["w"].Tokens)
}
