package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const memoryPollInterval = 50 * time.Millisecond

// watchMemory polls the peak memory of a process until it exits. It kills a process above the limit, as the
// platform does.
func (n *node) watchMemory(pid int, ended <-chan struct{}) {
	ticker := time.NewTicker(memoryPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue // the process has just exited
		}
		peak, ok := peakMemory(status)
		if ok && peak > memoryLimitMiB<<20 {
			n.deployment.history.recordMemoryExceeded(n.name, peak)
			n.signal(syscall.SIGKILL)
			return
		}
	}
}

// peakMemory returns the peak resident memory in bytes from the status file of a process. It returns false if the
// file has none, as that of a process that has exited and is not yet reaped.
func peakMemory(status []byte) (int64, bool) {
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		value, found := strings.CutPrefix(lines.Text(), "VmHWM:")
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
		return kib << 10, err == nil
	}
	return 0, false
}

// recordMemoryExceeded records a process whose peak memory exceeded its limit.
func (h *history) recordMemoryExceeded(node string, peak int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation("a process stays within its memory", node, "%d MiB", peak>>20)
}
