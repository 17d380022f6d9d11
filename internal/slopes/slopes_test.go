package slopes

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a wrong slope or intercept, which docs/CAPACITY.md would extrapolate to the target size, and
// against a slope fitted to a single size.
func TestLeastSquares(t *testing.T) {
	slope, intercept, ok := leastSquares([]point{{1, 5}, {2, 7}, {4, 11}})
	must.True(t, ok)
	must.InDelta(t, 2, slope, 1e-9)
	must.InDelta(t, 3, intercept, 1e-9)
	_, _, ok = leastSquares([]point{{3, 1}, {3, 2}})
	must.False(t, ok)
}
