package workload

import (
	"math"
	"sync"
	"time"
)

const (
	// paceInterval is the least time between two passes over the running calls.
	paceInterval = 10 * time.Millisecond
	// The pace is estimated from a window as long as calls usually take, within these bounds: shorter ones hold too few
	// events, longer ones outlast the disturbance.
	minPaceWindow = 50 * time.Millisecond
	maxPaceWindow = 300 * time.Millisecond
	// slowPrior is the prior probability of each pace below 1. It takes some calls that are clearly late to outweigh it.
	slowPrior = 0.02
	// paceTolerance is the distance from 1 within which a pace counts as 1.
	paceTolerance = 0.1
	// minExpected avoids that a pace is ruled out by a single call that ends early.
	minExpected = 0.5
)

// paces are the paces that are told apart.
var paces = [...]float64{1, 0.7, 0.5, 0.35, 0.25}

// paceSteps is by how many steps of a Shape the age of a call at each pace differs from that at pace 1.
var paceSteps = func() (steps [len(paces)]float64) {
	for i, pace := range paces {
		steps[i] = stepOf(pace) - stepOf(1)
	}
	return steps
}()

// Meter follows the calls of one upstream. It is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	model *Model
	// running is in no order; a call knows its index.
	running []*Call
	waiting int
	// waitingWork is the expected duration of the waiting calls, in seconds at the usual pace.
	waitingWork float64

	// completed is the number of calls that have ended in the window, and expected how many should have at each pace.
	completed float64
	expected  [len(paces)]float64
	passedAt  time.Time
	pace      float64
	left      float64
	// usual is the moving average of the usual duration of the calls that have started, in seconds.
	usual float64
}

// Call is a call that waits or runs at the upstream of a Meter.
type Call struct {
	class   Class
	waiting bool
	work    float64 // expected duration in seconds
	started time.Time
	// usual is the usual duration in seconds, 0 if unknown.
	usual  float64
	shape  *Shape
	hazard [len(paces)]float64
	index  int
}

// Report describes the work of an upstream.
type Report struct {
	// Left is the time that one slot would need at the usual pace for all calls that wait and run.
	Left    time.Duration
	Waiting int
	// Pace is the present speed as a fraction of the usual one, above 0.
	Pace float64
}

// NewMeter returns a Meter without calls.
func NewMeter() *Meter { return &Meter{model: NewModel(), pace: 1} }

// Wait adds a call that waits for a slot. Start or Drop must follow.
func (m *Meter) Wait(class Class) *Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &Call{class: class, waiting: true, work: m.usual}
	if w := m.model.Work(class); w.Known() {
		c.work = w.Mean(nil).Seconds()
	}
	m.waiting++
	m.waitingWork += c.work
	return c
}

// Drop removes a call that has not got a slot.
func (m *Meter) Drop(c *Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaveQueue(c)
}

func (m *Meter) leaveQueue(c *Call) {
	if !c.waiting {
		return
	}
	c.waiting = false
	m.waiting--
	m.waitingWork -= c.work
	if m.waiting == 0 {
		m.waitingWork = 0 // no rounding errors remain
	}
}

// Start records that a call has got a slot and runs.
func (m *Meter) Start(c *Call, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaveQueue(c)
	c.started, c.index = now, len(m.running)
	m.running = append(m.running, c)
	w := m.model.Work(c.class)
	if !w.Known() {
		return
	}
	c.usual, c.shape = w.Usual(nil).Seconds(), w.shape
	if m.usual == 0 {
		m.usual = c.usual
	}
	m.usual += (c.usual - m.usual) * callWeight
}

// Usual returns how long calls of the class of c usually run, 0 if unknown.
func (m *Meter) Usual(c *Call) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.model.Work(c.class); w.Known() {
		return w.Usual(nil)
	}
	return 0
}

// End records that a call no longer runs. completed means that the upstream has ended it by itself. It returns how
// long the call has run and how long calls of its class usually do, 0 if unknown.
func (m *Meter) End(c *Call, completed bool, now time.Time) (ran, usual time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.index < 0 || c.index >= len(m.running) || m.running[c.index] != c {
		return 0, 0
	}
	last := len(m.running) - 1
	m.running[c.index] = m.running[last]
	m.running[c.index].index = c.index
	m.running[last] = nil
	m.running = m.running[:last]
	c.index = -1
	ran = c.age(now)
	if c.usual > 0 {
		m.addHazard(c, stepOf(ran.Seconds()/c.usual))
	}
	if completed {
		if c.expectable() {
			m.completed++
		}
		m.model.Observe(c.class, ran, nil, now)
	}
	if w := m.model.Work(c.class); w.Known() {
		usual = w.Usual(nil)
	}
	return ran, usual
}

// age returns how long the call has run. The time of a report may have been read before that of a call that has started
// meanwhile.
func (c *Call) age(now time.Time) time.Duration { return max(now.Sub(c.started), 0) }

// expectable reports whether enough is known to expect when the call ends.
func (c *Call) expectable() bool {
	return c.usual > 0 && c.shape != nil && c.shape.samples() >= minShapeSamples
}

// addHazard adds to expected what the age of a call, which is at step, has added since the last pass.
func (m *Meter) addHazard(c *Call, step float64) {
	if !c.expectable() {
		return
	}
	for i := range paces {
		hazard := c.shape.hazard(step + paceSteps[i])
		m.expected[i] += max(0, hazard-c.hazard[i])
		c.hazard[i] = hazard
	}
}

// pass updates what follows from the age of the running calls.
func (m *Meter) pass(now time.Time) {
	elapsed := now.Sub(m.passedAt)
	if elapsed < paceInterval {
		return
	}
	m.passedAt = now
	window := min(max(seconds(m.usual), minPaceWindow), maxPaceWindow)
	fade := math.Exp(-elapsed.Seconds() / window.Seconds())
	m.left = 0
	m.completed *= fade
	for i := range m.expected {
		m.expected[i] *= fade
	}
	for _, c := range m.running {
		if c.usual <= 0 {
			continue
		}
		ratio := c.age(now).Seconds() / c.usual
		step, work := stepOf(ratio), 1.0
		if c.shape != nil && c.shape.samples() > 0 {
			work = c.shape.remaining(ratio, step)
		}
		m.addHazard(c, step)
		m.left += work * c.usual
	}
	m.pace = m.estimatePace()
}

// estimatePace returns the mean of the paces, weighted by how likely each makes the number of calls that have ended.
func (m *Meter) estimatePace() float64 {
	var logs [len(paces)]float64
	most := math.Inf(-1)
	for i, expected := range m.expected {
		// The number of ends is about Poisson distributed with what the hazards add up to.
		logs[i] = m.completed*math.Log(expected+minExpected) - expected
		if paces[i] < 1 {
			logs[i] += math.Log(slowPrior)
		}
		most = max(most, logs[i])
	}
	sum, weights := 0.0, 0.0
	for i, pace := range paces {
		weight := math.Exp(logs[i] - most)
		sum += weight * pace
		weights += weight
	}
	if pace := sum / weights; pace < 1-paceTolerance {
		return pace
	}
	return 1
}

// Report returns the work left and the pace.
func (m *Meter) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pass(now)
	return Report{Left: seconds(m.left + m.waitingWork), Waiting: m.waiting, Pace: m.pace}
}

// Routes returns the usual durations of at most limit routes.
func (m *Meter) Routes(limit int) []UsualTime {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.Routes(limit)
}

// Status returns the estimates for operators.
func (m *Meter) Status() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.Status(nil)
}
