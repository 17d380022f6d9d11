package intake

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/config"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func open(t *testing.T, l *Ledger, name string, now time.Time) *Client {
	t.Helper()
	c := NewClient(name, false)
	_, ok, _ := l.Open(c, now)
	must.True(t, ok)
	return c
}

// Guards against closing a connection that waits for the node, or one that is in use while others hold theirs for nothing.
func TestVictims(t *testing.T) {
	l := NewLedger(Budgets{Connections: 10, MinStall: time.Second, UnreadConnections: 100})
	running := open(t, l, "running", at(0))
	l.BeginRead(running, Sending, at(0))
	l.EndRead(running, 100, true, at(0))
	for i := range 5 {
		idle := open(t, l, fmt.Sprint("idle ", i), at(0))
		l.BeginRead(idle, Idle, at(time.Duration(i)))
	}
	slow := open(t, l, "slow", at(0))
	l.BeginRead(slow, Sending, at(0))
	l.EndRead(slow, 10, false, at(2*time.Second)) // too few bytes to count
	l.BeginRead(slow, Sending, at(2*time.Second))
	reader := open(t, l, "reader", at(0))
	l.BeginWrite(reader, at(time.Second))
	steady := open(t, l, "steady", at(0))
	l.BeginRead(steady, Sending, at(0))
	l.EndRead(steady, progressBytes, false, at(2500*time.Millisecond))
	l.BeginRead(steady, Sending, at(2500*time.Millisecond))
	local := NewClient("local", true)
	_, ok, _ := l.Open(local, at(0))
	must.True(t, ok)
	var got []any
	for range 5 {
		c := NewClient("new", false)
		victim, ok, _ := l.Open(c, at(3*time.Second))
		if !ok {
			break
		}
		got = append(got, victim.Owner)
		l.EndRead(c, 1, true, at(3*time.Second)) // it runs, so it is no victim
	}
	must.Eq(t, []any{"slow", "reader", "local", "idle 0"}, got, must.Sprint("too few idle ones are left to close them"))
	victim, ok, _ := l.Open(NewClient("later", false), at(4*time.Second))
	must.True(t, ok)
	must.Eq(t, any("steady"), victim.Owner)
	must.Eq(t, 10, l.Status().Connections)
}

// Guards against counting the time that the node takes as time without progress.
func TestOwnTimeIsNoStall(t *testing.T) {
	l := NewLedger(Budgets{Connections: 1, MinStall: time.Second})
	c := open(t, l, "c", at(0))
	l.EndRead(c, progressBytes, false, at(0))
	l.BeginRead(c, Sending, at(10*time.Second))
	_, ok, _ := l.Open(NewClient("new", false), at(10900*time.Millisecond))
	must.False(t, ok)
	_, ok, _ = l.Open(NewClient("new", false), at(11*time.Second))
	must.True(t, ok)
}

// Guards against closing idle connections that clients may still use, and against keeping overdue ones.
func TestOverdue(t *testing.T) {
	limits := config.ClientLimits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	l := NewLedger(NewBudgets(Requests, 0, 0))
	idle := open(t, l, "idle", at(0))
	l.BeginRead(idle, Idle, at(0))
	header := open(t, l, "header", at(0))
	l.HeaderStarted(header, at(time.Second))
	reader := open(t, l, "reader", at(0))
	l.BeginWrite(reader, at(0))
	running := open(t, l, "running", at(0))
	l.EndRead(running, 1, true, at(0))
	must.MapEmpty(t, l.Overdue(limits, at(3500*time.Millisecond)))
	must.Eq(t, map[*Client]Reason{header: HeaderTimeout}, l.Overdue(limits, at(4500*time.Millisecond)))
	must.MapEmpty(t, l.Overdue(limits, at(14*time.Second)))
	must.Eq(t, map[*Client]Reason{idle: IdleTimeout}, l.Overdue(limits, at(16*time.Second)))
	must.Eq(t, map[*Client]Reason{reader: Stalled}, l.Overdue(limits, at(31*time.Second)))
	must.MapEmpty(t, l.Overdue(limits, at(time.Hour)))
}

// Guards against accounts that exceed the budgets, or that drift from what the clients hold.
func TestAccountsStayWithinBudgets(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		budgets := Budgets{Connections: 20, MinStall: 100 * time.Millisecond, Amounts: [resourceCount]int64{5000, 8000, 3000, 4000}}
		l := NewLedger(budgets)
		var clients []*Client
		now := start
		for range 5000 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			if len(clients) == 0 || random.IntN(4) == 0 {
				c := NewClient(nil, random.IntN(5) == 0)
				if _, ok, _ := l.Open(c, now); ok {
					clients = append(clients, c)
				}
				continue
			}
			c := clients[random.IntN(len(clients))]
			r := Resource(random.IntN(int(resourceCount)))
			switch random.IntN(7) {
			case 0:
				l.BeginRead(c, Turn(1+random.IntN(4)), now)
			case 1:
				l.EndRead(c, random.IntN(3000), random.IntN(2) == 0, now)
			case 2:
				l.BeginWrite(c, now)
			case 3:
				l.EndWrite(c)
			case 4:
				l.Charge(c, r, random.Int64N(2000), now)
			case 5:
				if c.held[r] > 0 {
					l.Release(c, r, 1+random.Int64N(c.held[r]))
				}
			case 6:
				if random.IntN(10) == 0 {
					l.Close(c)
				}
			}
			var sum [resourceCount]int64
			for c := range l.clients {
				for r, bytes := range c.held {
					sum[r] += bytes
				}
			}
			must.Eq(t, sum, l.used, must.Sprint("seed ", seed))
			must.LessEq(t, budgets.Connections, len(l.clients))
			for r := range sum {
				must.LessEq(t, budgets.Amounts[r], sum[r])
			}
		}
		for _, c := range clients {
			l.Close(c)
		}
		must.Eq(t, [resourceCount]int64{}, l.used)
	}
}

// Guards against budgets that a single request within the operators' limits exceeds, and against listeners that use more
// descriptors together than there are.
func TestBudgetsOfTheSmallestVM(t *testing.T) {
	const memory, descriptors = 184 << 20, 4100
	connections := int(Calls(descriptors))
	var bytes int64
	for listener := range listenerCount {
		b := NewBudgets(listener, memory, descriptors)
		connections += b.Connections
		bytes += int64(b.Connections) * connectionBytes
		for _, bound := range b.Amounts[:Uploads] {
			bytes += bound
		}
		must.GreaterEq(t, int64(2*16<<10+250*4096), b.Amounts[HeaderBytes], must.Sprint(listener))
		must.GreaterEq(t, int64(2*64<<10), b.Amounts[BodyBytes], must.Sprint(listener))
	}
	must.LessEq(t, descriptors-reservedDescriptors, connections)
	must.LessEq(t, memory-processBytes, bytes)
}
