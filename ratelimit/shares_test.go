package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sharesFleet is a fleet of nodes that exchange reports every round, on a fake clock.
type sharesFleet struct {
	nodes       map[string]*Shares
	names       []string
	now         time.Time
	quota       Quota
	isolated    map[string]bool // nodes that hear and reach nobody
	partitioned bool            // failure domains do not reach each other
	loss        float64         // share of the messages that are lost
	fanout      int             // exchanges that a node starts in a round; 0 with all others
	next        int             // of the rotation over the others
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
		f.start(name)
	}
	return f
}

func (f *sharesFleet) reaches(a, b string) bool {
	return !f.isolated[a] && !f.isolated[b] && (!f.partitioned || f.member(a).FailureDomain == f.member(b).FailureDomain)
}

// member returns a node in one of three failure domains.
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

func (f *sharesFleet) start(name string) {
	s := NewShares(f.member(name), DefaultSharesConfig())
	s.SetMembers(f.others(name))
	s.SetWorkspaces(map[string]Quota{"w": f.quota}, f.now)
	f.nodes[name] = s
}

// round lets 100 ms pass with the given mean numbers of requests at each node, and exchanges reports in
// every fifth round.
func (f *sharesFleet) round(random *rand.Rand, number int, perSecond map[string]float64) {
	const step = 100 * time.Millisecond
	for _, name := range f.names {
		for n := poisson(random, perSecond[name]*step.Seconds()); n > 0; n-- {
			at := f.now.Add(time.Duration(random.Float64() * float64(step)))
			f.requests++
			if ok, _ := f.nodes[name].Take("w", at); ok || f.borrow(random, name, at) {
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
	// All messages of a round cross each other, so each is based on the round before.
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

// partners returns the nodes to which one sends messages in this round: all others, or those that it
// calls and those that call it.
func (f *sharesFleet) partners(i int) []string {
	if f.fanout == 0 {
		return f.names
	}
	var partners []string
	if i == 0 {
		f.next += f.fanout
	}
	for n := range f.fanout {
		step := 1 + (f.next+n)%(len(f.names)/2)
		partners = append(partners, f.names[(i+step)%len(f.names)], f.names[(i+len(f.names)-step)%len(f.names)])
	}
	return partners
}

// borrow asks other nodes for a token, as a node does before it refuses.
func (f *sharesFleet) borrow(random *rand.Rand, name string, now time.Time) bool {
	borrower := f.nodes[name]
	request := borrower.PlanLoan("w", 1, now)
	for _, lender := range request.Lenders {
		if !f.reaches(name, lender) {
			continue
		}
		given, left := f.nodes[lender].Lend("w", request.Tokens, now)
		if random.Float64() < f.loss {
			continue // the answer
		}
		borrower.RecordLoan(lender, "w", given, left, now)
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

// maxAdmitted returns the largest number admitted in any window.
func (f *sharesFleet) maxAdmitted(window time.Duration) int {
	most := 0
	for i := range f.admitted {
		n := 0
		for _, at := range f.admitted {
			if !at.Before(f.admitted[i]) && at.Before(f.admitted[i].Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// The fleet must not admit more than the operators tolerate in any window, whatever the nodes know of
// each other: a fifth more than rate and burst here covers the least burst of each node.
func TestSharesBound(t *testing.T) {
	quota := Quota{Rate: 100, Burst: 100}
	const window = 5 * time.Second
	bound := 1.1*(quota.Rate*window.Seconds()+float64(quota.Burst)) + 20
	even := func(f *sharesFleet, total float64) map[string]float64 {
		demand := map[string]float64{}
		for _, name := range f.names {
			demand[name] = total / float64(len(f.names))
		}
		return demand
	}
	for seed := range uint64(10) {
		for name, play := range map[string]func(f *sharesFleet, random *rand.Rand){
			"one node takes all demand": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					demand := even(f, 60)
					if i >= 50 {
						demand[f.names[3]] = 700
					}
					f.round(random, i, demand)
				}
			},
			"demand moves": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					demand := even(f, 20)
					demand[f.names[(i/30)%len(f.names)]] = 500
					f.round(random, i, demand)
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
					f.round(random, i, even(f, total))
				}
			},
			"messages are lost": func(f *sharesFleet, random *rand.Rand) {
				f.loss = 0.2
				for i := range 200 {
					f.round(random, i, even(f, 500))
				}
			},
			"all restart at once": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					if i%80 == 79 {
						for _, name := range f.names {
							f.start(name)
						}
					}
					f.round(random, i, even(f, 500))
				}
			},
			"nodes restart in turn under high demand": func(f *sharesFleet, random *rand.Rand) {
				for i := range 200 {
					if i%20 == 19 {
						f.start(f.names[(i/20)%len(f.names)])
					}
					f.round(random, i, even(f, 500))
				}
			},
		} {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				f := newSharesFleet(12, quota)
				play(f, rand.New(rand.NewPCG(seed, 1)))
				must.LessEq(t, int(bound), f.maxAdmitted(window))
			})
		}
	}
}

// skewedDemand enters mostly at two of twelve nodes.
func skewedDemand(f *sharesFleet, total float64) map[string]float64 {
	return map[string]float64{
		f.names[0]: 0.5 * total, f.names[1]: 0.3 * total, f.names[2]: 0.15 * total, f.names[3]: 0.05 * total,
	}
}

// startIdle lets the fleet exchange messages for two seconds before its clients come.
func startIdle(random *rand.Rand, quota Quota) *sharesFleet {
	f := newSharesFleet(12, quota)
	for i := range 20 {
		f.round(random, i, nil)
	}
	return f
}

// Requests within the rate are admitted, also where a few nodes have most of them from one moment to the
// next. The operators' goal is 0.1%.
func TestSharesWrongfulRefusals(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := startIdle(random, Quota{Rate: 106, Burst: 118})
	for i := range 400 {
		f.round(random, i, skewedDemand(f, 63))
	}
	must.LessEq(t, 0.001, float64(f.refused)/float64(f.requests), must.Sprint("refused within the rate"))
}

// The same clients three seconds after they came are refused nothing.
func TestSharesSteadyRefusals(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := startIdle(random, Quota{Rate: 106, Burst: 118})
	for i := range 400 {
		if i == 30 {
			f.requests, f.refused = 0, 0
		}
		f.round(random, i, skewedDemand(f, 63))
	}
	must.LessEq(t, 0.001, float64(f.refused)/float64(f.requests), must.Sprint("refused within the rate"))
}

// Above the rate the fleet admits nearly all of it.
func TestSharesRateUtilization(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := startIdle(random, Quota{Rate: 106, Burst: 118})
	for i := range 400 {
		f.round(random, i, skewedDemand(f, 252))
	}
	must.GreaterEq(t, 0.95, float64(len(f.admitted))/(40*f.quota.Rate), must.Sprint("share of the rate that is used"))
}

// Without demand the shares become even and stay so, though all nodes move share at the same time. Each
// transfer used to be made as if it were the only one, and the shares swung between 0 and 0.2.
func TestSharesConverge(t *testing.T) {
	f := newSharesFleet(16, Quota{Rate: 100, Burst: 100})
	random := rand.New(rand.NewPCG(3, 4))
	for i := range 10 {
		f.round(random, i, nil)
	}
	first := f.nodes[f.names[0]].workspaces["w"]
	for _, name := range f.names[1:] {
		b := f.nodes[name].workspaces["w"]
		first.share += b.share
		b.share = 0
	}
	for i := range 60 {
		f.round(random, i, nil)
		if i < 30 {
			continue
		}
		for _, name := range f.names {
			share := f.nodes[name].workspaces["w"].share
			must.Between(t, 0.5/16, share, 2.0/16, must.Sprintf("%s in round %d", name, i))
		}
	}
}

// In a fleet where a round of exchanges reaches a part of the others, share that was lost with a node that
// is gone for good is found again. Reports used to count as fresh for less time than a turn of the rotation
// takes, and the share stayed lost.
func TestSharesLargeFleet(t *testing.T) {
	const nodes, targets, gone = 84, 8, 10
	f := newSharesFleet(nodes, Quota{Rate: 100, Burst: 100})
	f.fanout = targets
	random := rand.New(rand.NewPCG(5, 6))
	demand := map[string]float64{}
	for i, name := range f.names {
		demand[name] = float64(i%3) * 0.8
	}
	f.setMembers()
	for i := range 200 {
		f.round(random, i, demand)
	}
	must.Between(t, 0.97, f.totalShare(), 1.02, must.Sprint("before"))
	for _, name := range f.names[:gone] {
		delete(f.nodes, name)
	}
	f.names = f.names[gone:]
	f.setMembers()
	for i := range 400 {
		f.round(random, i, demand)
	}
	must.Between(t, 0.97, f.totalShare(), 1.02, must.Sprint("after"))
	must.LessEq(t, int(1.1*(100*5+100)+20), f.maxAdmitted(5*time.Second))
}

// In a large fleet a workspace's burst is less than a token for each node. Requests within the rate are
// admitted nevertheless, from the first moment on. They used to be refused for the most part.
func TestSharesManyNodes(t *testing.T) {
	for _, quota := range []Quota{{Rate: 35, Burst: 43}, {Rate: 5, Burst: 13}, {Rate: 400, Burst: 408}} {
		t.Run(fmt.Sprint(quota.Rate), func(t *testing.T) {
			f := newSharesFleet(84, quota)
			f.fanout = 8
			random := rand.New(rand.NewPCG(9, 10))
			for i := range 40 {
				f.round(random, i, nil)
			}
			const clients = 11
			demand := map[string]float64{}
			for i := range clients {
				demand[f.names[i*7]] = quota.Rate / 1.6 / clients
			}
			for i := range 300 {
				f.round(random, i, demand)
			}
			must.LessEq(t, 0.001, float64(f.refused)/float64(f.requests), must.Sprint("refused within the rate"))
		})
	}
}

// partitionedFleet is a large fleet whose failure domains have just been cut off from each other, with demand
// within the rate and above it.
func partitionedFleet() (f *sharesFleet, random *rand.Rand, within, above map[string]float64) {
	f = newSharesFleet(84, Quota{Rate: 35, Burst: 43})
	f.fanout = 8
	random = rand.New(rand.NewPCG(13, 14))
	within, above = map[string]float64{}, map[string]float64{}
	for i := range 12 {
		within[f.names[i*7]], above[f.names[i*7]] = 1.8, 10
	}
	for i := range 100 {
		f.round(random, i, within)
	}
	f.partitioned, f.requests, f.refused = true, 0, 0
	return f, random, within, above
}

// Failure domains that are cut off from each other go on within the rate with what their holders have.
func TestSharesDomainsPartedRefusals(t *testing.T) {
	f, random, within, _ := partitionedFleet()
	for i := range 100 {
		f.round(random, i, within)
	}
	must.LessEq(t, 0.001, float64(f.refused)/float64(f.requests), must.Sprint("refused within the rate"))
}

// Failure domains that are cut off from each other admit no more together than before.
func TestSharesDomainsPartitioned(t *testing.T) {
	f, random, within, above := partitionedFleet()
	for i := range 100 {
		f.round(random, i, within)
	}
	for i := range 200 {
		f.round(random, i, above)
	}
	f.partitioned = false
	for i := range 200 {
		f.round(random, i, above)
	}
	must.LessEq(t, 1.1*(35*5+43)+20, float64(f.maxAdmitted(5*time.Second)))
	must.Between(t, 0.99, f.totalShare(), 1.01)
}

// A node that was taken for gone and comes back with its share makes the shares add up to more than one,
// which is corrected.
func TestSharesReturningNode(t *testing.T) {
	f := newSharesFleet(12, Quota{Rate: 100, Burst: 100})
	random := rand.New(rand.NewPCG(7, 8))
	demand := map[string]float64{f.names[11]: 40, f.names[5]: 20}
	for i := range 50 {
		f.round(random, i, demand)
	}
	all, back := f.names, f.names[11]
	f.names, f.isolated[back] = all[:11], true
	f.setMembers()
	for i := range 100 {
		f.round(random, i, demand)
	}
	must.Greater(t, 1.3, f.totalShare(), must.Sprint("the others have taken over what the node still holds"))
	f.names, f.isolated[back] = all, false
	f.setMembers()
	for i := range 100 {
		f.round(random, i, demand)
	}
	must.Between(t, 0.99, f.totalShare(), 1.01)
}

// A node gets its share at a start of the whole fleet also if the first node that it meets has only just
// joined itself and does not know what others hold. It used to be told that it held nothing.
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
		sum += f.nodes[name].Status()["w"].Share
	}
	must.InDelta(t, 1, sum, 1e-6)
}

// A restarted node takes no equal share while another, which has not noticed the restart, holds some.
func TestSharesRestartUnnoticed(t *testing.T) {
	f := newSharesFleet(2, Quota{Rate: 40, Burst: 40})
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 20 {
		f.round(random, i, nil)
	}
	f.start("n01")
	restarted, other := f.nodes["n01"], f.nodes["n00"]
	restarted.Receive("n00", other.PrepareMessage("n01", f.now), f.now)
	must.False(t, restarted.Reconcile(f.now))
	other.Receive("n01", restarted.PrepareMessage("n00", f.now), f.now)
	restarted.Receive("n00", other.PrepareMessage("n01", f.now), f.now)
	must.True(t, restarted.Reconcile(f.now))
	must.InDelta(t, 1, restarted.Status()["w"].Share+other.Status()["w"].Share, 1e-6)
}

// A new node beside one that has just restarted holds nothing until others give, and does not wait for ever.
func TestSharesNewNodeContactsNewlyJoined(t *testing.T) {
	f := newSharesFleet(3, Quota{Rate: 40, Burst: 40})
	f.names = f.names[:2]
	for _, name := range f.names {
		f.nodes[name].SetMembers(f.others(name))
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 20 {
		f.round(random, i, nil)
	}
	f.start("n01")
	f.nodes["n01"].Receive("n00", f.nodes["n00"].PrepareMessage("n01", f.now), f.now)
	f.names = append(f.names, "n02")
	f.start("n02")
	for _, name := range f.names[:2] {
		f.nodes[name].SetMembers(f.others(name))
	}
	// Only the restarted node reaches the new one.
	for i := range 20 {
		f.nodes["n02"].Receive("n01", f.nodes["n01"].PrepareMessage("n02", f.now), f.now)
		joined := f.nodes["n02"].Reconcile(f.now)
		must.LessEq(t, 0.5, f.nodes["n02"].Status()["w"].Share, must.Sprint("round ", i))
		if joined {
			return
		}
		f.now = f.now.Add(DefaultSharesConfig().RoundInterval)
		f.nodes["n01"].Receive("n02", f.nodes["n02"].PrepareMessage("n01", f.now), f.now)
	}
	t.Fatal("the new node has not joined")
}

// A workspace that nodes learn of at different times is not lost share. The first node used to take what the
// others did not know of yet, and the workspace had nearly twice its rate.
func TestSharesWorkspaceLearnedLate(t *testing.T) {
	f := newSharesFleet(12, Quota{Rate: 100, Burst: 100})
	random := rand.New(rand.NewPCG(11, 12))
	learn := func(name string) {
		f.nodes[name].SetWorkspaces(map[string]Quota{"w": f.quota, "x": f.quota}, f.now)
	}
	for i := range 500 {
		switch i {
		case 50, 200, 350: // again after its removal
			learn(f.names[0])
		case 80, 230, 380:
			for _, name := range f.names[1:] {
				learn(name)
			}
		case 150, 300:
			for _, name := range f.names {
				f.nodes[name].SetWorkspaces(map[string]Quota{"w": f.quota}, f.now)
			}
		}
		f.round(random, i, nil)
		total := 0.0
		for _, s := range f.nodes {
			total += s.Status()["x"].Share
		}
		must.LessEq(t, 1.01, total, must.Sprintf("in round %d", i))
	}
}

func (f *sharesFleet) setMembers() {
	for _, name := range f.names {
		f.nodes[name].SetMembers(f.others(name))
	}
}

func (f *sharesFleet) totalShare() float64 {
	total := 0.0
	for _, s := range f.nodes {
		total += s.workspaces["w"].share
	}
	return total
}

// A node that starts before it knows the others must not take the whole rate.
func TestSharesUnknownMembers(t *testing.T) {
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	now := time.Unix(1, 0)
	s.SetWorkspaces(map[string]Quota{"w": {Rate: 100, Burst: 100}}, now)
	must.False(t, s.Reconcile(now))
	must.Eq(t, 0, s.Status()["w"].Share)
	s.SetMembers([]Member{{"b", "d"}, {"c", "d"}})
	must.False(t, s.Reconcile(now))
}

// A workspace that is added later may be used at once. It used to have no tokens at first.
func TestSharesNewWorkspace(t *testing.T) {
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	now := time.Unix(1, 0)
	s.SetMembers(nil)
	must.True(t, s.Reconcile(now))
	s.SetWorkspaces(map[string]Quota{"w": {Rate: 10, Burst: 5}}, now)
	for range 5 {
		ok, _ := s.Take("w", now)
		must.True(t, ok)
	}
	ok, wait := s.Take("w", now)
	must.False(t, ok)
	must.Eq(t, 100*time.Millisecond, wait)
}

// A node that forgets the rate of a removed workspace must not panic or keep it.
func TestSharesRemovedWorkspace(t *testing.T) {
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	now := time.Unix(1, 0)
	s.SetMembers(nil)
	s.SetWorkspaces(map[string]Quota{"w": {Rate: 1, Burst: 1}}, now)
	s.Reconcile(now)
	ok, _ := s.Take("w", now.Add(2*time.Second))
	must.True(t, ok)
	s.SetWorkspaces(nil, now)
	must.SliceEmpty(t, s.PrepareMessage("b", now.Add(time.Second)).Entries)
}
