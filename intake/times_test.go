package intake

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
)

// Guards against a panic, and an amount that stays used, after times out of order.
func TestLedgerTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		budgets := Budgets{Connections: 8, UnreadConnections: 4, MinStall: []time.Duration{0, time.Millisecond, time.Second}[random.IntN(3)]}
		for r := range budgets.Amounts {
			budgets.Amounts[r] = int64(random.IntN(1000))
		}
		l := NewLedger(budgets)
		var clients []*Client
		for range 2000 {
			now := times.Next()
			if len(clients) == 0 || random.IntN(8) == 0 {
				c := NewClient(nil, random.IntN(4) == 0)
				if _, ok, _ := l.Open(c, now); ok {
					clients = append(clients, c)
				}
				continue
			}
			c := clients[random.IntN(len(clients))]
			switch random.IntN(12) {
			case 0:
				l.BeginRead(c, []Turn{Sending, Idle, Running}[random.IntN(3)], now)
			case 1:
				l.EndRead(c, random.IntN(4000), random.IntN(2) == 0, now)
			case 2:
				l.BeginWrite(c, now)
			case 3:
				l.EndWrite(c)
			case 4:
				l.HeaderStarted(c, now)
			case 5:
				l.HeaderEnded(c)
			case 6, 7:
				if r, amount := Resource(random.IntN(int(resourceCount))), int64(random.IntN(400)); l.Turn(c) == Running {
					l.Charge(c, r, amount, now)
				}
			case 8:
				for r, held := range c.held {
					if held > 0 {
						l.Release(c, Resource(r), held)
					}
				}
			case 9:
				l.Overdue(config.ClientLimits{HeaderTimeout: times.Duration(), IdleTimeout: times.Duration()}, now)
			case 10:
				l.Keep(c)
			default:
				l.Close(c)
				clients = slices.DeleteFunc(clients, func(other *Client) bool { return other == c })
			}
			for _, used := range l.used {
				must.GreaterEq(t, 0, used)
			}
		}
		for _, c := range clients {
			l.Close(c)
		}
		status := l.Status()
		must.Eq(t, Status{MaxConnections: budgets.Connections}, status)
	})
}
