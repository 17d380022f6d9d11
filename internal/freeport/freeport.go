// Package freeport finds free loopback addresses for tests that need an address before they listen on it.
//
// Any outgoing connection of a concurrent test can take an ephemeral port that was free a moment ago. Ports are
// therefore chosen below the ephemeral range, and each process uses its own loopback IP address. Address probes
// a port by connecting instead of listening: a command that is forked meanwhile inherits the listener until it
// calls exec, which keeps the port in use.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	firstPort = 10_000
	// lastPort is below 32768, the lowest ephemeral port on Linux.
	lastPort = 32_000
	// dialTimeout is well above the time in which a loopback connection is refused.
	dialTimeout = time.Second
)

// ErrNone means that no port is free.
var ErrNone = errors.New("freeport: no port is free")

// lastOffset is the offset from firstPort of the last port that was tried, modulo the number of ports.
var lastOffset atomic.Int64

// Address returns a loopback address on which nothing listens. It cycles through all ports before it returns
// one again.
func Address() (string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f)
	for range lastPort - firstPort {
		port := firstPort + lastOffset.Add(1)%(lastPort-firstPort)
		address := net.JoinHostPort(host, strconv.FormatInt(port, 10))
		conn, err := net.DialTimeout("tcp4", address, dialTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return address, nil
		}
		if err == nil {
			_ = conn.Close()
		}
	}
	return "", ErrNone
}
