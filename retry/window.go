package retry

import (
	"sync"
	"time"
)

// Window bounds the repeated sends to each service by a share of the requests for it within a sliding
// window. Each node applies it to what it sends itself, so the bound holds for the sum over all nodes.
// It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	limits   WindowLimits
	services map[string]*windowCounts
}

// WindowLimits are the operators' limits for one node.
type WindowLimits struct {
	// Length of the window.
	Length time.Duration
	// Ratio is the allowed number of repeated sends for each request.
	Ratio float64
	// Slack is the number of repeated sends that is always allowed.
	Slack float64
	// AfterRunShare is the part of Ratio and Slack for requests that may have run. Such a request makes its
	// own calls once more, which count as repeats at every service below it, where no node can tell them from
	// others. The part must therefore be small enough for a chain of calls that fail at every depth.
	AfterRunShare float64
}

// windowSlots is the number of parts of a window; the part that is leaving it counts whole.
const windowSlots = 10

type windowCounts struct {
	slot     int64
	requests [windowSlots]float64
	repeats  [windowSlots + 1]float64
	// afterRun is the part of repeats that may make their calls once more.
	afterRun [windowSlots + 1]float64
}

// NewWindow returns a Window.
func NewWindow(limits WindowLimits) *Window {
	return &Window{limits: limits, services: map[string]*windowCounts{}}
}

// SetLimits changes the limits.
func (w *Window) SetLimits(limits WindowLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = limits
}

// Request counts a request for a service.
func (w *Window) Request(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service, now)
	c.requests[c.slot%windowSlots]++
}

// Repeat reports whether a request may be sent once more, and counts it if so. ran tells that an earlier
// send may have run.
func (w *Window) Repeat(service string, ran bool, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service, now)
	allowed := w.limits.Ratio*sum(c.requests[:]) + w.limits.Slack
	if sum(c.repeats[:])+1 > allowed || ran && sum(c.afterRun[:])+1 > allowed*w.limits.AfterRunShare {
		return false
	}
	slot := c.slot % (windowSlots + 1)
	c.repeats[slot]++
	if ran {
		c.afterRun[slot]++
	}
	return true
}

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// counts returns the counts of a service after forgetting what has left the window.
func (w *Window) counts(service string, now time.Time) *windowCounts {
	slot := now.UnixNano() / max(1, int64(w.limits.Length)/windowSlots)
	c := w.services[service]
	if c == nil {
		c = &windowCounts{slot: slot}
		w.services[service] = c
	}
	for skipped := 0; c.slot < slot && skipped <= windowSlots; skipped++ {
		c.slot++
		c.requests[c.slot%windowSlots] = 0
		c.repeats[c.slot%(windowSlots+1)] = 0
		c.afterRun[c.slot%(windowSlots+1)] = 0
	}
	c.slot = max(c.slot, slot)
	return c
}
