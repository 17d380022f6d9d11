package throttle

import "time"

// slotCount is the number of slots of a window. Counts expire one slot at a time.
const slotCount = 10

// counts holds counts by an index that the user of the window defines.
type counts [4]int

// Indexes of the results of a class.
const (
	accepted = iota
	overloaded
	refusedLocally
)

// Indexes of the load signals of a key. There is none for Critical, because Critical is never less
// important than the admitted class.
const (
	allSignals = iota
	sheddingNormal
	sheddingSheddable
)

// window is a sliding-window counter over a ring of time slots. It is not safe for concurrent use. If the
// clock steps back, newer slots are left out of the sum until the clock catches up or the ring wraps.
type window struct {
	slots [slotCount]struct {
		number int64 // slot number since the Unix epoch
		counts counts
	}
}

func slotNumber(now time.Time, length time.Duration) int64 {
	return now.UnixNano() / int64(length/slotCount)
}

// add increments the count at index in the current slot.
func (w *window) add(index int, now time.Time, length time.Duration) {
	number := slotNumber(now, length)
	slot := &w.slots[number%slotCount]
	if slot.number != number {
		slot.number = number
		slot.counts = counts{}
	}
	slot.counts[index]++
}

// sum returns the counts of the most recent slots, which cover at most length.
func (w *window) sum(now time.Time, length time.Duration) counts {
	var total counts
	newest := slotNumber(now, length)
	for i := range w.slots {
		if age := newest - w.slots[i].number; age < 0 || age >= slotCount {
			continue
		}
		for index, count := range w.slots[i].counts {
			total[index] += count
		}
	}
	return total
}
