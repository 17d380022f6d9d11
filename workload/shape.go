package workload

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the resolution of a Shape, as a fraction of the usual duration. Ratios above maxRatio count as it.
	ratioUnit = 0.01
	maxRatio  = 1000
	// shapeDigits gives a resolution of 6%, at 2 KB for each histogram.
	shapeDigits = 1
	// A histogram is replaced when it has shapeWindowCalls calls, or shapeWindowMin calls and the age shapeWindow. The
	// one before it still counts, so that the shape covers one to two windows.
	shapeWindowCalls = 4096
	shapeWindowMin   = 256
	shapeWindow      = 20 * time.Second
	// The table divides each doubling of the ratio into tableSteps, from 2^tableLowest on.
	tableSteps  = 8
	tableLowest = -6
	tableSize   = 16*tableSteps + 1
	// spread is how far a value counts to both sides when the table is built. Without it, the hazard of calls whose
	// durations hardly vary would depend on where the limits of the table's steps lie.
	spread = 0.15
	// minRefresh is the number of calls after which the table is built for the first time; then it is built for each
	// 1/refreshDivisor more.
	minRefresh     = 8
	refreshDivisor = 8
	maxRefresh     = 256
)

// Shape is the distribution of durations relative to the usual duration of their class.
type Shape struct {
	recent, earlier *hdrhistogram.Histogram
	recentSince     time.Time
	total           int64
	untabled        int64
	mean            float64
	// steps holds what follows from the distribution for each step of the ratio.
	steps [tableSize]shapeStep
}

type shapeStep struct {
	// hazard is the cumulative hazard: the negative logarithm of the fraction of calls that last longer.
	hazard float32
	// longer is the mean ratio of these calls.
	longer float32
}

func newShape(now time.Time) *Shape {
	s := &Shape{recent: newRatioHistogram(), earlier: newRatioHistogram(), recentSince: now, mean: 1}
	s.tabulate()
	return s
}

func newRatioHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRatio/ratioUnit), shapeDigits)
}

func (s *Shape) add(ratio float64, now time.Time) {
	count := s.recent.TotalCount()
	if count >= shapeWindowCalls || count >= shapeWindowMin && now.Sub(s.recentSince) >= shapeWindow {
		s.earlier, s.recent = s.recent, s.earlier
		s.recent.Reset()
		s.recentSince = now
	}
	_ = s.recent.RecordValue(int64(min(max(ratio, ratioUnit), maxRatio) / ratioUnit)) // cannot fail: the value is within bounds
	s.untabled++
	if s.untabled >= min(maxRefresh, max(minRefresh, s.total/refreshDivisor)) {
		s.tabulate()
	}
}

// samples returns the number of calls that the table covers.
func (s *Shape) samples() int64 { return s.total }

// tabulate computes the steps from the histograms.
func (s *Shape) tabulate() {
	var counts, sums [tableSize + 1]float64 // by the step in which the values lie
	total, sum := 0.0, 0.0
	for _, h := range []*hdrhistogram.Histogram{s.earlier, s.recent} {
		for _, bar := range h.Distribution() {
			if bar.Count == 0 {
				continue
			}
			value := float64(bar.From+bar.To) / 2 * ratioUnit
			for _, factor := range []float64{1 - spread, 1, 1 + spread} {
				step := min(max(int(math.Ceil(stepOf(value*factor))), 0), tableSize)
				counts[step] += float64(bar.Count) / 3
				sums[step] += float64(bar.Count) / 3 * value * factor
			}
			total += float64(bar.Count)
			sum += float64(bar.Count) * value
		}
	}
	s.total, s.untabled = int64(total), 0
	if total > 0 {
		s.mean = sum / total
	}
	above, aboveSum := 0.0, 0.0
	for i := tableSize - 1; i >= 0; i-- {
		above += counts[i+1]
		aboveSum += sums[i+1]
		longer := 2 * ratioAt(float64(i)) // what has outlasted all calls is expected to last as long again
		if above > 0 {
			longer = aboveSum / above
		}
		s.steps[i] = shapeStep{hazard: float32(-math.Log((above + 0.5) / (total + 1))), longer: float32(longer)}
	}
}

// stepOf returns the position of a ratio in the table, below 0 for a ratio of 0, and ratioAt is its inverse.
func stepOf(ratio float64) float64 { return (math.Log2(ratio) - tableLowest) * tableSteps }
func ratioAt(step float64) float64 { return math.Exp2(step/tableSteps + tableLowest) }

// hazard returns the cumulative hazard at a step. Over the duration of a call it grows by 1 on average.
func (s *Shape) hazard(step float64) float64 {
	step = min(max(step, 0), tableSize-1)
	below := min(int(step), tableSize-2)
	low, high := float64(s.steps[below].hazard), float64(s.steps[below+1].hazard)
	return low + (high-low)*(step-float64(below))
}

// remaining returns how much longer a call is expected to last that has lasted for ratio, which is at step.
func (s *Shape) remaining(ratio, step float64) float64 {
	return max(float64(s.steps[int(min(max(step, 0), tableSize-1))].longer)-ratio, 0)
}

// quantile returns the ratio that the fraction q of calls does not exceed, to the next step of the table.
func (s *Shape) quantile(q float64) float64 {
	hazard := -math.Log(1 - q)
	step := sort.Search(tableSize-1, func(i int) bool { return float64(s.steps[i].hazard) >= hazard })
	return ratioAt(float64(step))
}
