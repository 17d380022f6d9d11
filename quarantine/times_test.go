package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/clock/clocktest"
)

// Guards against a panic, a suspect that is held for good, and a mark that never expires, after times out of order.
func TestTrackerTimesOutOfOrder(t *testing.T) {
	clocktest.Run(t, func(t *testing.T, random *rand.Rand, times *clocktest.Times) {
		config := DefaultConfig()
		config.MarkLimit, config.SuccessLimit = 64, 64
		list := NewList(config)
		tracker, peer := NewTracker(list), NewList(config)
		var inFlight []Ticket
		sent, received := uint64(0), 0
		fingerprint := func() uint64 { return uint64(random.IntN(100)) | uint64(random.IntN(2))*beginningBit }
		for range 1000 {
			now := times.Next()
			switch random.IntN(10) {
			case 0, 1, 2:
				ticket, decision := tracker.Start(fingerprint(), random.IntN(2), now)
				switch decision.Action {
				case Run:
					inFlight = append(inFlight, ticket)
				case Hold:
					inFlight = append(inFlight, tracker.ForceStart(fingerprint()))
				case Refuse:
					must.Between(t, 0, decision.RetryAfter, config.RefusalTime+time.Hour)
				}
			case 3, 4:
				if len(inFlight) > 0 {
					tracker.End(inFlight[0], random.IntN(2) == 0, now)
					inFlight = inFlight[1:]
				}
			case 5:
				if len(inFlight) > 0 {
					tracker.identify(inFlight[random.IntN(len(inFlight))], uint64(random.IntN(100)), now)
				}
			case 6:
				tracker.Crash(CrashID(random.IntN(20)), now)
			case 7:
				list.Expire(now)
				list.SetCrashes(random.IntN(4))
				list.Refusals(now)
			case 8:
				marks, next := list.Changes(sent, 1+random.IntN(5))
				must.GreaterEq(t, sent, next)
				sent = next
				received += peer.Merge(marks, times.Next())
				list.Merge(marks, now)
			default:
				list.Success(fingerprint(), now)
				list.Release(fingerprint())
			}
		}
		for _, ticket := range inFlight {
			tracker.End(ticket, false, times.Next())
		}
		must.Eq(t, 0, tracker.suspects.Load())
		for i := range tracker.shards {
			must.MapEmpty(t, tracker.shards[i].inFlight)
		}
		list.Expire(times.After(config.MarkLifetime + config.ClockSkew + time.Minute))
		must.Eq(t, 0, list.Count())
		ticket, decision := tracker.Start(1, 0, times.After(time.Second))
		must.Eq(t, Run, decision.Action)
		tracker.End(ticket, true, times.Next())
	})
}
