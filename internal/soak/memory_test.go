package soak

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

func TestPeakMemory(t *testing.T) {
	status, err := os.ReadFile("/proc/self/status")
	must.NoError(t, err)
	peak, ok := peakMemory(status)
	must.True(t, ok)
	must.Between(t, 1<<20, peak, 1<<40)
	peak, ok = peakMemory([]byte("Name:\tnode\nVmPeak:\t 99 kB\nVmHWM:\t    2048 kB\n"))
	must.True(t, ok)
	must.Eq(t, 2<<20, peak)
	_, ok = peakMemory([]byte("Name:\tnode\nState:\tZ (zombie)\n"))
	must.False(t, ok)
}
