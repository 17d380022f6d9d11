package upstream

import (
	"fmt"
	"sync"
	"time"
)

// Behavior holds the settings that an experiment can change while the upstream runs.
type Behavior struct {
	// SlowFactor multiplies the service time, including that of running requests. A very large factor
	// freezes them until it is lowered.
	SlowFactor float64 `json:"slow_factor"`
	// Shed refuses requests that find no free slot instead of queueing them.
	Shed bool `json:"shed"`
	// LoadLagMS is the age of the load that the load and health endpoints use.
	LoadLagMS int64 `json:"load_lag_ms"`
	// Health overrides the result of the health endpoint: "ok", "failing", or empty for no override.
	Health string `json:"health"`
	// ReportIdle makes the load and health endpoints use zero running and queued requests.
	ReportIdle bool `json:"report_idle"`
}

func (b Behavior) check() error {
	if b.SlowFactor <= 0 {
		return fmt.Errorf("slow_factor %v: must be positive", b.SlowFactor)
	}
	if b.Health != "" && b.Health != "ok" && b.Health != "failing" {
		return fmt.Errorf("health %q: must be empty, ok or failing", b.Health)
	}
	if b.LoadLagMS < 0 || b.LoadLagMS > maxLoadLag.Milliseconds() {
		return fmt.Errorf("load_lag_ms %d: must be in 0..%d", b.LoadLagMS, maxLoadLag.Milliseconds())
	}
	return nil
}

// behaviorState holds the current Behavior. It is safe for concurrent use.
type behaviorState struct {
	mutex   sync.Mutex
	current Behavior
	changed chan struct{}
}

func newBehaviorState() *behaviorState {
	return &behaviorState{current: Behavior{SlowFactor: 1}, changed: make(chan struct{})}
}

// get returns the current behavior and a channel that is closed when it changes.
func (b *behaviorState) get() (Behavior, <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.current, b.changed
}

func (b *behaviorState) set(next Behavior) error {
	if err := next.check(); err != nil {
		return err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.current = next
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

// Load is the response of the load endpoint.
type Load struct {
	Running  int  `json:"running"`
	Queued   int  `json:"queued"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// Parameters of the load history, which serves delayed load reports.
const (
	loadSampleInterval = 100 * time.Millisecond
	maxLoadLag         = 30 * time.Second
)

// loadHistory keeps the load of the last maxLoadLag. It is safe for concurrent use.
type loadHistory struct {
	mutex   sync.Mutex
	samples []Load
}

func (h *loadHistory) add(load Load) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.samples = append(h.samples, load)
	if limit := int(maxLoadLag / loadSampleInterval); len(h.samples) > limit {
		h.samples = append(h.samples[:0], h.samples[len(h.samples)-limit:]...)
	}
}

// at returns the load at the given lag before now, or the oldest sample if the history is shorter. It
// returns false if there are no samples.
func (h *loadHistory) at(lag time.Duration) (Load, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.samples) == 0 {
		return Load{}, false
	}
	samplesBack := int(lag / loadSampleInterval)
	return h.samples[max(len(h.samples)-1-samplesBack, 0)], true
}
