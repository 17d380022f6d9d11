package bench

import (
	"math/rand/v2"
	"time"
)

// arrival is one planned request.
type arrival struct {
	start     time.Duration
	number    uint64
	phase     int
	workspace int
	route     int
	// seed seeds the random choices of this request, so that they do not depend on timing.
	seed uint64
}

// arrivalGenerator generates the planned requests of a plan in time order. It is not safe for concurrent
// use.
type arrivalGenerator struct {
	plan   Plan
	random *rand.Rand
	routes weights

	phase      int
	phaseStart time.Duration
	workspaces weights
	rate       float64
	start      time.Duration
	number     uint64
}

func newArrivalGenerator(plan Plan) *arrivalGenerator {
	a := &arrivalGenerator{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 2)), phase: -1}
	for _, r := range plan.Routes {
		a.routes.add(r.Share)
	}
	a.nextPhase()
	return a
}

// nextPhase moves to the next phase. It returns false after the last one.
func (a *arrivalGenerator) nextPhase() bool {
	if a.phase >= 0 {
		a.phaseStart = a.phaseEnd()
	}
	a.phase++
	if a.phase >= len(a.plan.Phases) {
		return false
	}
	phase := a.plan.Phases[a.phase]
	a.workspaces = weights{}
	totalShare := 0.0
	for _, w := range a.plan.Workspaces {
		factor, ok := phase.Factors[w.Name]
		if !ok {
			factor = 1
		}
		totalShare += w.Share
		a.workspaces.add(w.Share * factor)
	}
	a.rate = 0
	if totalShare > 0 {
		a.rate = phase.Rate * a.workspaces.total() / totalShare
	}
	a.start = a.phaseStart
	return true
}

func (a *arrivalGenerator) phaseEnd() time.Duration {
	return a.phaseStart + time.Duration(a.plan.Phases[a.phase].DurationS*float64(time.Second))
}

// next returns the next planned request, or false after the last one.
func (a *arrivalGenerator) next() (arrival, bool) {
	if a.plan.MaxRequests > 0 && a.number >= uint64(a.plan.MaxRequests) {
		return arrival{}, false
	}
	for a.phase < len(a.plan.Phases) {
		if a.advance() {
			a.number++
			return arrival{
				start:     a.start,
				number:    a.number,
				phase:     a.phase,
				workspace: a.workspaces.pick(a.random.Float64()),
				route:     a.routes.pick(a.random.Float64()),
				seed:      a.random.Uint64(),
			}, true
		}
		a.nextPhase()
	}
	return arrival{}, false
}

// advance moves to the next planned start. It returns false if that lies beyond the current phase.
func (a *arrivalGenerator) advance() bool {
	if a.rate <= 0 {
		return false
	}
	gap := 1 / a.rate
	if a.plan.Arrivals == Poisson {
		gap *= a.random.ExpFloat64()
	}
	a.start += time.Duration(gap * float64(time.Second))
	return a.start < a.phaseEnd()
}

// weights selects indexes with probability proportional to their weights.
type weights struct {
	cumulative []float64
}

func (w *weights) add(weight float64) {
	w.cumulative = append(w.cumulative, w.total()+weight)
}

func (w *weights) total() float64 {
	if len(w.cumulative) == 0 {
		return 0
	}
	return w.cumulative[len(w.cumulative)-1]
}

// pick returns the index that corresponds to a uniform draw in [0, 1).
func (w *weights) pick(draw float64) int {
	point := draw * w.total()
	for i, sum := range w.cumulative {
		if point < sum {
			return i
		}
	}
	return len(w.cumulative) - 1
}
