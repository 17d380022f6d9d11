// Package slopes measures what the control plane costs a node at several state sizes: bytes, processor time
// and memory. It runs the decision packages on a fake clock with simulated peers, so that message and byte
// counts do not depend on the load of the machine. Processor time is measured for the entire process and
// includes the simulated peers.
package slopes

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// Measurement is one figure at one state size, or the slope fitted over several sizes.
type Measurement struct {
	Area   string  `json:"area"`
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Size   string  `json:"size,omitempty"`
	X      float64 `json:"x,omitempty"`
	Value  float64 `json:"value"`
	// Fitted means that Value is the least-squares slope over X and Intercept the fitted value at X = 0.
	Fitted    bool    `json:"fitted,omitempty"`
	Intercept float64 `json:"intercept,omitempty"`
}

// Emit receives measurements in the order in which they are taken.
type Emit func(Measurement)

// Run takes all measurements in a fixed order and stops at the first error.
func Run(emit Emit) error {
	for _, area := range []struct {
		name    string
		measure func(*recorder) error
	}{
		{"membership", measureMembership},
		{"configuration", measureConfiguration},
		{"quota", measureQuota},
		{"transport", measureTransport},
		{"local", measureLocal},
	} {
		r := &recorder{area: area.name, emit: emit, points: map[string][]point{}}
		if err := area.measure(r); err != nil {
			return fmt.Errorf("slopes: %s: %w", area.name, err)
		}
		r.fit()
	}
	return nil
}

type point struct{ x, y float64 }

// recorder emits the measurements of one area and fits a slope to each figure.
type recorder struct {
	area string
	emit Emit
	// figures holds the first measurement of each figure.
	figures []Measurement
	points  map[string][]point
}

func (r *recorder) add(figure, unit, size string, x, value float64) {
	m := Measurement{Area: r.area, Figure: figure, Unit: unit, Size: size, X: x, Value: value}
	r.emit(m)
	if _, known := r.points[figure]; !known {
		r.figures = append(r.figures, m)
	}
	r.points[figure] = append(r.points[figure], point{x, value})
}

func (r *recorder) fit() {
	for _, m := range r.figures {
		slope, intercept, ok := leastSquares(r.points[m.Figure])
		if !ok {
			continue
		}
		m.Size, m.X, m.Fitted, m.Value, m.Intercept = "", 0, true, slope, intercept
		m.Unit += " per unit of x"
		r.emit(m)
	}
}

// leastSquares fits a line to points. It reports false unless they have at least two distinct values of x.
func leastSquares(points []point) (slope, intercept float64, ok bool) {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, p := range points {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	determinant := n*sxx - sx*sx
	if determinant <= 0 {
		return 0, 0, false
	}
	slope = (n*sxy - sx*sy) / determinant
	return slope, (sy - slope*sx) / n, true
}

// heapBytes returns the size of the live heap. The second collection frees objects that finalizers and pools
// kept alive during the first.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime returns the user and system processor time of the process while f runs.
func cpuTime(f func()) time.Duration {
	before := processCPUTime()
	f()
	return processCPUTime() - before
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerOperation returns the processor time of f in nanoseconds, averaged over n calls.
func cpuPerOperation(n int, f func(i int)) float64 {
	return float64(cpuTime(func() {
		for i := range n {
			f(i)
		}
	})) / float64(n)
}
