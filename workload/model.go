package workload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxClasses bounds the memory of a Model. Calls of further classes count for their route only, and calls of further
	// routes are not estimated.
	maxClasses = 128
	// classIdle is the time without calls after which the place of a class may be given to another.
	classIdle = time.Minute
	// minSamples is the number of calls of a class from which on its usual duration is known.
	minSamples = 8
	// minShapeSamples is the number of calls from which on the shape of a class is used in place of that of all.
	minShapeSamples = 64
	// callWeight is the least weight of a single call in the usual duration, usualWeight that of a report, which stands
	// for many calls.
	callWeight  = 1.0 / 128
	usualWeight = 1.0 / 32
	// speedWeight is the least weight of a report in the speed of an upstream, speedCallWeight that of a single call.
	speedWeight     = 0.1
	speedCallWeight = 0.02
	// maxLogStep bounds what one report or call changes, so that an outlier does not disturb a speed.
	maxLogStep = 1.0
)

// Speed is the estimated speed of an upstream relative to the others of its service. The zero value is unknown
// and counts as average.
type Speed struct {
	log     float64
	samples float64
}

// Model holds the estimates for the calls of one service. It is not safe for concurrent use.
type Model struct {
	classes map[Class]*estimate
	// all is the shape of the calls of all classes.
	all *Shape
}

// estimate describes one class.
type estimate struct {
	// logWork is the mean of the logarithm of the work in seconds. Unlike the mean, few calls that cost many times the
	// usual hardly change it.
	logWork float64
	samples float64
	shape   *Shape
	usedAt  time.Time
}

// NewModel returns a Model without estimates.
func NewModel() *Model { return &Model{classes: map[Class]*estimate{}} }

// entry returns the estimate of a class, which it creates if there is room, or nil.
func (m *Model) entry(c Class, now time.Time) *estimate {
	e := m.classes[c]
	if e == nil {
		if len(m.classes) >= maxClasses && !m.evict(now) {
			return nil
		}
		e = &estimate{}
		m.classes[c] = e
	}
	e.usedAt = now
	return e
}

// evict removes the class that has been idle for the longest time, if that is at least classIdle.
func (m *Model) evict(now time.Time) bool {
	var idlest Class
	idleSince := now.Add(-classIdle)
	found := false
	for c, e := range m.classes {
		if e.usedAt.Before(idleSince) {
			idlest, idleSince, found = c, e.usedAt, true
		}
	}
	if found {
		delete(m.classes, idlest)
	}
	return found
}

// find returns the estimate to use for a class: its own, or that of its route. It returns nil if neither is known.
func (m *Model) find(c Class) *estimate {
	if e := m.classes[c]; e != nil && e.samples >= minSamples {
		return e
	}
	if e := m.classes[c.route()]; e != nil && e.samples >= minSamples {
		return e
	}
	return nil
}

func (m *Model) shapeOf(e *estimate) *Shape {
	if e.shape != nil && e.shape.samples() >= minShapeSamples {
		return e.shape
	}
	return m.all
}

// Observe records a call of a class that took d on an upstream. Speed is nil for a model of one upstream.
func (m *Model) Observe(c Class, d time.Duration, speed *Speed, now time.Time) {
	if d <= 0 {
		return
	}
	x := math.Log(d.Seconds())
	if e := m.find(c); e != nil {
		m.observeShape(c, e, math.Exp(x-e.logWork+speed.logOf()), now)
	}
	m.learn(c, x, speed, callWeight, speedCallWeight, now)
}

// ObserveShape is like Observe for a call whose upstream has reported the usual duration of the class, see ObserveUsual.
func (m *Model) ObserveShape(c Class, d time.Duration, speed *Speed, now time.Time) {
	if e := m.find(c); e != nil && d > 0 {
		m.observeShape(c, e, d.Seconds()/math.Exp(e.logWork-speed.logOf()), now)
	}
}

func (m *Model) observeShape(c Class, e *estimate, ratio float64, now time.Time) {
	if m.all == nil {
		m.all = newShape(now)
	}
	m.all.add(ratio, now)
	if own := m.classes[c]; own == e {
		if e.shape == nil {
			e.shape = newShape(now)
		}
		e.shape.add(ratio, now)
	}
}

// ObserveUsual records that calls of a class usually take d on an upstream, as its node has reported.
func (m *Model) ObserveUsual(c Class, d time.Duration, speed *Speed, now time.Time) {
	if d > 0 {
		m.learn(c, math.Log(d.Seconds()), speed, usualWeight, speedWeight, now)
	}
}

// learn updates the estimates of a class and its route, and the speed, with the logarithm of a duration. All of them
// move towards what explains it, those with fewer samples by more.
func (m *Model) learn(c Class, x float64, speed *Speed, least, speedLeast float64, now time.Time) {
	surprise, known := 0.0, false
	update := func(c Class) {
		e := m.entry(c, now)
		if e == nil {
			return
		}
		work := x + speed.logOf()
		if e.samples == 0 {
			e.logWork = work
		} else if !known {
			surprise, known = clampStep(x-(e.logWork-speed.logOf())), e.samples >= minSamples
		}
		e.samples++
		e.logWork += clampStep(work-e.logWork) * max(1/e.samples, least)
	}
	update(c)
	if c != c.route() {
		update(c.route())
	}
	if speed != nil && known {
		speed.samples++
		speed.log -= surprise * max(1/(speed.samples+1), speedLeast)
	}
}

func clampStep(x float64) float64 { return min(max(x, -maxLogStep), maxLogStep) }

func (s *Speed) logOf() float64 {
	if s == nil {
		return 0
	}
	return s.log
}

// Known reports whether anything is known about the speed.
func (s *Speed) Known() bool { return s.samples > 0 }

// Assume sets an unknown speed to the mean of others.
func (s *Speed) Assume(others []*Speed) {
	sum, count := 0.0, 0.0
	for _, other := range others {
		if other.Known() {
			sum += other.log
			count++
		}
	}
	if !s.Known() && count > 0 {
		s.log = sum / count
	}
}

// Ratio returns the speed as a multiple of another.
func (s *Speed) Ratio(other *Speed) float64 { return math.Exp(s.log - other.log) }

// Work is what a Model knows about a class. The zero value knows nothing.
type Work struct {
	estimate *estimate
	shape    *Shape
}

// Work returns what is known about a class.
func (m *Model) Work(c Class) Work {
	e := m.find(c)
	if e == nil {
		return Work{}
	}
	return Work{e, m.shapeOf(e)}
}

// Known reports whether the usual duration is known.
func (w Work) Known() bool { return w.estimate != nil }

// Usual returns the usual duration on an upstream of the given speed: half of the calls take longer, about.
func (w Work) Usual(speed *Speed) time.Duration {
	return seconds(math.Exp(w.estimate.logWork - speed.logOf()))
}

// Mean returns the mean duration on an upstream of the given speed.
func (w Work) Mean(speed *Speed) time.Duration {
	mean := 1.0
	if w.shape != nil && w.shape.samples() >= minShapeSamples {
		mean = w.shape.mean
	}
	return seconds(math.Exp(w.estimate.logWork-speed.logOf()) * mean)
}

// Quantile returns the duration on an upstream of the given speed that the fraction q of calls does not exceed. It
// reports false if there are too few samples to tell.
func (w Work) Quantile(speed *Speed, q float64) (time.Duration, bool) {
	if !w.Known() || w.shape == nil || float64(w.shape.samples())*(1-q) < minTailSamples {
		return 0, false
	}
	return seconds(math.Exp(w.estimate.logWork-speed.logOf()) * w.shape.quantile(q)), true
}

// minTailSamples is the least number of calls above a quantile that is told.
const minTailSamples = 4

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// UsualTime is the usual duration of the calls of a route on one upstream.
type UsualTime struct {
	Route string
	Usual time.Duration
}

// Routes returns the usual durations of at most limit routes, those with the most calls first.
func (m *Model) Routes(limit int) []UsualTime {
	type counted struct {
		UsualTime
		samples float64
	}
	var routes []counted
	for c, e := range m.classes {
		if c == c.route() && e.samples >= minSamples {
			routes = append(routes, counted{UsualTime{c.Route, Work{estimate: e}.Usual(nil)}, e.samples})
		}
	}
	slices.SortFunc(routes, func(a, b counted) int {
		return cmp.Or(cmp.Compare(b.samples, a.samples), cmp.Compare(a.Route, b.Route))
	})
	list := make([]UsualTime, 0, limit)
	for _, r := range routes[:min(limit, len(routes))] {
		list = append(list, r.UsualTime)
	}
	return list
}

// Status describes the estimate of one class for operators. Times are in milliseconds.
type Status struct {
	Route   string  `json:"route"`
	Method  string  `json:"method,omitempty"`
	Caller  string  `json:"caller,omitempty"`
	Size    uint8   `json:"size_class,omitempty"`
	Samples float64 `json:"samples"`
	Usual   float64 `json:"usual_ms"`
	Mean    float64 `json:"mean_ms"`
	P99     float64 `json:"p99_ms,omitempty"`
}

// Status returns the estimates on an upstream of the given speed, in the order of their names.
func (m *Model) Status(speed *Speed) []Status {
	list := make([]Status, 0, len(m.classes))
	for c, e := range m.classes {
		if e.samples < minSamples {
			continue
		}
		w := Work{e, m.shapeOf(e)}
		p99, _ := w.Quantile(speed, 0.99)
		list = append(list, Status{
			Route: c.Route, Method: c.Method, Caller: c.Caller, Size: c.Size, Samples: e.samples,
			Usual: milliseconds(w.Usual(speed)), Mean: milliseconds(w.Mean(speed)), P99: milliseconds(p99),
		})
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Size, b.Size))
	})
	return list
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
