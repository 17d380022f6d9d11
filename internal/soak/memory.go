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

// memoryEvery is the time between two looks at a process's memory.
const memoryEvery = 50 * time.Millisecond

// watchMemory compares the most memory that a process has had with its limit until it ends. A process above
// the limit is killed, as the platform would.
func (n *node) watchMemory(pid int, ended <-chan struct{}) {
	ticker := time.NewTicker(memoryEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue // it has just ended
		}
		most, ok := peakMemory(status)
		if ok && most > memoryMiB<<20 {
			n.world.ledger.overMemory(n.name, most)
			n.signal(syscall.SIGKILL)
			return
		}
	}
}

// peakMemory returns the bytes of resident memory at their highest, from a process's status. A process that
// has ended and is not yet reaped has none.
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

// overMemory notes that a process has had more memory than it may.
func (l *ledger) overMemory(node string, most int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate("a process stays within its memory", node, "%d MiB", most>>20)
}
