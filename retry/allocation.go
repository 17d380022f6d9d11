package retry

import (
	"math"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// The allocation divides the repeats that a RepeatLimiter allows among the calls that want one. It is made for a
// service whose upstreams refuse about half of all calls for seconds, so that a call needs 1.2 repeats on average where
// a fifth is allowed. Spent evenly, the budget lets nearly no request through that needs eight such calls. The allocation
// serves the calls by rank, so the calls of one request are all served or none is.
//
// The repeats that calls of each rank have wanted lately, granted or not, tell what the more important ranks will want.
// A repeat is granted if that leaves room within the rate at which the budget may be spent. While all that is wanted
// fits, all is granted.

const (
	// PaceFraction is the fraction of the budget that the allocation spends evenly over a window. With what is spent
	// before scarcity shows, the budget lasts for a window, and the most important calls find some left at its end.
	PaceFraction = 0.85
	// freeFraction is the fraction of the budget up to which repeats are granted without regard to rank, as a short burst
	// of refusals isn't scarcity. Of a small budget, half is granted so, up to freeRepeats: a node that makes few calls
	// cannot tell scarcity from chance.
	freeFraction = 0.1
	freeRepeats  = 10.0
	// minRoom is the least number of repeats wanted lately that is granted.
	minRoom = 5.0
	// The time constant of the demand covers demandSample granted repeats, within these bounds. Before it has passed,
	// more than the pace is granted.
	demandSample    = 20.0
	minDemandMemory = 500 * time.Millisecond
	maxDemandMemory = 2 * time.Second
	// demandStep is the time between two updates of the decay.
	demandStep = 50 * time.Millisecond
	// maxDeniedWeight bounds the repeats that a denied call is expected to have wanted after the denied one.
	maxDeniedWeight = 10.0
	// lastPace bounds the pace to what is left in the window, as a multiple of it per window. It spreads the shortage at
	// the end of a window over its time.
	lastPace = 3.0
	// startedShare is the part of the last rank served that is left to requests of which something is done.
	startedShare = 0.5
)

// demand holds the repeats wanted lately by rank. It takes 18 KB.
type demand struct {
	updated time.Time
	memory  time.Duration
	wanted  [call.RankLimit]float32
	granted [call.RankLimit]float32
	// sends, repeats and grants are totals of the sends, the repeats that these wanted, and those granted. total is the
	// sum of wanted.
	sends, repeats, total float64
}

// decay ages the counts.
func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updated)
	if elapsed < demandStep {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / d.memory.Seconds())
	d.updated = now
	d.sends *= factor
	d.repeats *= factor
	d.total = 0
	for rank := range d.wanted {
		d.wanted[rank] *= float32(factor)
		d.granted[rank] *= float32(factor)
		d.total += float64(d.wanted[rank])
	}
}

// Pace returns the number of repeats to spend evenly over a window, of which allowed may be granted and used have been in
// the one that ends now.
func Pace(allowed, used float64) float64 {
	return max(0, min(PaceFraction*allowed, lastPace*(allowed-used)))
}

// room returns the number of repeats that may be granted within the memory of the demand, if allowed may be granted in
// a window and used have been.
func (d *demand) room(repeat Repeat, allowed, used float64, window time.Duration) float64 {
	pace := Pace(allowed, used) / window.Seconds()
	memory := min(demandSample/max(pace, 1), maxDemandMemory.Seconds())
	d.memory = max(minDemandMemory, time.Duration(memory*float64(time.Second)))
	return max(pace*d.memory.Seconds(), minRoom)
}

// free returns the number of repeats in a window, of those allowed, that are granted without regard to rank.
func free(allowed float64) float64 {
	if allowed <= freeRepeats {
		return allowed
	}
	return max(freeFraction*allowed, min(allowed/2, freeRepeats))
}

// allows reports whether one more repeat of a rank fits into the room that more important ranks leave.
func (d *demand) allows(repeat Repeat, room float64) bool {
	if d.total+1 <= room {
		return true
	}
	rank := clampRank(repeat.Rank)
	for _, wanted := range d.wanted[:rank] {
		room -= float64(wanted)
		if room <= 0 {
			return false
		}
	}
	if float64(d.wanted[rank])+1 > room {
		room *= 1 - startedShare/float64(1+max(0, repeat.Answered))
	}
	return float64(d.granted[rank]) < room
}

// record adds a wanted repeat. A denied call would have wanted more if it had been refused again.
func (d *demand) record(rank call.Rank, granted bool) {
	rank = clampRank(rank)
	weight := 1.0
	d.repeats++
	if granted {
		d.granted[rank]++
		d.sends++
	} else {
		refused := min(1, d.repeats/max(1, d.sends))
		weight = 1 / max(1/maxDeniedWeight, 1-refused)
	}
	d.wanted[rank] += float32(weight)
	d.total += weight
}

func clampRank(rank call.Rank) call.Rank { return min(rank, call.RankLimit-1) }
