// Package freeport finds loopback addresses for tests that must name an address before they listen on it.
//
// A port that was free a moment ago can be taken by any outgoing connection of a test that runs at the same
// time. Ports are therefore taken below the range of outgoing connections, and each process takes them on a
// loopback address of its own. Whether one is free is found out by a connection and not by listening: a
// command that is started meanwhile holds a copy of the listener until it runs, and keeps the port taken.
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
	// lastPort is below the lowest port of outgoing connections on Linux, 32768.
	lastPort = 32_000
	// dialTimeout is far above a refusal on loopback.
	dialTimeout = time.Second
)

// ErrNone means that no port is free.
var ErrNone = errors.New("freeport: no port is free")

// next is the port that is tried next. It is safe for concurrent use.
var next atomic.Int64

// Address returns a loopback address that this process has not returned lately and nobody listens on.
func Address() (string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f)
	for range lastPort - firstPort {
		port := firstPort + next.Add(1)%(lastPort-firstPort)
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
