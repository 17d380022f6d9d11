// Package throttle refuses calls at the calling node while recent results show that their service is
// overloaded, which saves the destination the work of refusing them.
//
// It implements the adaptive throttling of the "Site Reliability Engineering" book with three changes.
// Each importance class has its own window and factor K, so that the least important class is refused
// first. Calls are counted when their result is known, so that an increase in traffic or latency alone
// causes no refusals. A class is also refused if the load signals of most responses report that it is being
// shed, and a run of accepted calls ends the throttling at once instead of after the window.
//
// The package has no clock, random source or goroutine.
package throttle

import (
	"net/http"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// ClassConfig configures one importance class.
type ClassConfig struct {
	// K is the ratio of calls to accepted calls above which calls are refused locally. Lower values
	// refuse earlier.
	K float64
	// MaxRejectProbability is the largest fraction of calls refused locally, below 1.
	MaxRejectProbability float64
}

// Config configures a Throttle.
type Config struct {
	// Window is how long results are counted. It is shorter than the two minutes of the published
	// algorithm because recovery must be detected within 2 s.
	Window time.Duration
	// MinimumCalls is the number of results in the window below which no call is refused.
	MinimumCalls int
	// ProbeInterval is the longest time for which all calls of a class are refused. An overloaded service
	// still receives one call per interval, key, class and node.
	ProbeInterval time.Duration
	// Throttling ends after RecoveryCalls consecutive accepted calls and no refusal for RecoveryTime.
	RecoveryCalls int
	RecoveryTime  time.Duration
	Classes       [call.ImportanceCount]ClassConfig
}

// DefaultConfig returns the configuration used by cowslipd.
func DefaultConfig() Config {
	return Config{
		Window:        time.Second,
		MinimumCalls:  10,
		ProbeInterval: 250 * time.Millisecond,
		RecoveryCalls: 3,
		RecoveryTime:  500 * time.Millisecond,
		Classes: [call.ImportanceCount]ClassConfig{
			call.Critical:  {K: 3, MaxRejectProbability: 0.7},
			call.Normal:    {K: 1.6, MaxRejectProbability: 0.9},
			call.Sheddable: {K: 1.2, MaxRejectProbability: 0.95},
		},
	}
}

// Feedback classifies the result of a call by what it shows about the load of its service.
type Feedback uint8

// Feedback values.
const (
	// Accepted means that the service accepted the call, whether or not it succeeded.
	Accepted Feedback = iota
	// Overloaded means that the service refused the call for lack of capacity.
	Overloaded
	// Neutral means that the result is not counted.
	Neutral
)

// ResponseFeedback returns the feedback for a response with the given status. Status 503 means that the
// upstream itself sheds load.
func ResponseFeedback(status int) Feedback {
	if status == http.StatusServiceUnavailable {
		return Overloaded
	}
	return Accepted
}

// RefusalFeedback returns the feedback for a refusal. Only overload of the called service itself counts:
// a final refusal comes from a service further downstream, and a missed deadline may have been short.
func RefusalFeedback(refusal *call.Refusal) Feedback {
	switch {
	case refusal.Final:
		return Accepted
	case refusal.Code == call.CodeOverloaded:
		return Overloaded
	}
	return Neutral
}

// Key identifies a unit that is throttled independently. Workspaces are throttled separately because a
// destination refuses those that exceed their share: a common throttle would also refuse the others.
type Key struct {
	Service   string
	Workspace string
}

// Throttle throttles the calls of a node to all services and for all workspaces. It is safe for
// concurrent use; each key has its own lock, which is held while scanning a window of fixed size. A key
// without overload takes no memory; a key with overload takes about 2 KB until Expire removes it.
type Throttle struct {
	config Config
	mu     sync.RWMutex // guards the map; each state has its own lock
	states map[Key]*state
}

type state struct {
	mu      sync.Mutex
	classes [call.ImportanceCount]class
	signals window
	lastUse time.Time
}

// class is the state of one importance class of a key.
type class struct {
	results             window
	lastAllowed         time.Time
	consecutiveAccepted int
	lastOverloaded      time.Time
}

// New returns a Throttle that refuses nothing yet.
func New(config Config) *Throttle {
	return &Throttle{config: config, states: make(map[Key]*state)}
}

// find returns the state of a key, or nil if no overload of it is known.
func (t *Throttle) find(key Key) *state {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.states[key]
}

func (t *Throttle) findOrCreate(key Key) *state {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[key]
	if s == nil {
		s = &state{}
		t.states[key] = s
	}
	return s
}

// Expire removes the keys that were not used for ten windows.
func (t *Throttle) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.states {
		s.mu.Lock()
		unused := now.Sub(s.lastUse)
		s.mu.Unlock()
		if unused > 10*t.config.Window {
			delete(t.states, key)
		}
	}
}

// Allow reports whether a call may be sent. random must be uniform in [0, 1). The result of each allowed
// call should be passed to Observe.
func (t *Throttle) Allow(key Key, importance call.Importance, now time.Time, random float64) bool {
	s := t.find(key)
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUse = now
	importance = min(importance, call.Sheddable)
	c := &s.classes[importance]
	probability := s.rejectProbability(&t.config, importance, now)
	if random >= probability || now.Sub(c.lastAllowed) >= t.config.ProbeInterval {
		c.lastAllowed = now
		return true
	}
	c.results.add(refusedLocally, now, t.config.Window)
	return false
}

// RejectProbability returns the fraction of calls of a class that are currently refused, for metrics.
func (t *Throttle) RejectProbability(key Key, importance call.Importance, now time.Time) float64 {
	s := t.find(key)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectProbability(&t.config, min(importance, call.Sheddable), now)
}

func (s *state) rejectProbability(config *Config, importance call.Importance, now time.Time) float64 {
	classConfig := config.Classes[importance]
	results := s.classes[importance].results.sum(now, config.Window)
	probability := 0.0
	calls := results[accepted] + results[overloaded] + results[refusedLocally]
	if calls >= config.MinimumCalls {
		probability = (float64(calls) - classConfig.K*float64(results[accepted])) / float64(calls+1)
	}
	signals := s.signals.sum(now, config.Window)
	if total := signals[allSignals]; importance > call.Critical && total >= config.MinimumCalls {
		// Load balancing already avoids a minority of shedding upstreams.
		sheddingFraction := float64(signals[sheddingIndex(importance)]) / float64(total)
		probability = max(probability, 2*sheddingFraction-1)
	}
	return min(max(probability, 0), classConfig.MaxRejectProbability)
}

// Observe records the result of an allowed call. load is the load signal of that result, or nil.
func (t *Throttle) Observe(key Key, importance call.Importance, feedback Feedback, load *call.Load, now time.Time) {
	s := t.find(key)
	if s == nil {
		if feedback != Overloaded && (load == nil || load.Admitted == call.Sheddable) {
			return
		}
		s = t.findOrCreate(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUse = now
	if load != nil && load.Limit > 0 {
		s.observeSignal(&t.config, load, now)
	}
	c := &s.classes[min(importance, call.Sheddable)]
	switch feedback {
	case Accepted:
		c.accept(&t.config, load == nil || importance <= load.Admitted, now)
	case Overloaded:
		c.results.add(overloaded, now, t.config.Window)
		c.consecutiveAccepted = 0
		c.lastOverloaded = now
	}
}

func (s *state) observeSignal(config *Config, load *call.Load, now time.Time) {
	s.signals.add(allSignals, now, config.Window)
	if load.Admitted < call.Normal {
		s.signals.add(sheddingNormal, now, config.Window)
	}
	if load.Admitted < call.Sheddable {
		s.signals.add(sheddingSheddable, now, config.Window)
	}
}

func sheddingIndex(importance call.Importance) int {
	if importance == call.Normal {
		return sheddingNormal
	}
	return sheddingSheddable
}

// accept counts an accepted call and discards the counted results once the service has recovered.
// stillAdmitted is false if the same response reports that the class is now being shed.
func (c *class) accept(config *Config, stillAdmitted bool, now time.Time) {
	c.results.add(accepted, now, config.Window)
	if !stillAdmitted {
		c.consecutiveAccepted = 0
		return
	}
	c.consecutiveAccepted++
	if !c.lastOverloaded.IsZero() && c.consecutiveAccepted >= config.RecoveryCalls &&
		now.Sub(c.lastOverloaded) >= config.RecoveryTime {
		c.results = window{}
		c.lastOverloaded = time.Time{}
	}
}
