package freeport

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Addresses must be distinct, free to listen on, and below the ephemeral port range.
func TestAddress(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address, err := Address()
		must.NoError(t, err)
		must.False(t, seen[address])
		seen[address] = true
		listener, err := net.Listen("tcp4", address)
		must.NoError(t, err)
		port := listener.Addr().(*net.TCPAddr).Port
		must.Between(t, firstPort, port, lastPort)
		must.NoError(t, listener.Close())
	}
}

// A port that is in use must be skipped.
func TestAddressInUse(t *testing.T) {
	address, err := Address()
	must.NoError(t, err)
	listener, err := net.Listen("tcp4", address)
	must.NoError(t, err)
	defer listener.Close()
	lastOffset.Add(-1)
	again, err := Address()
	must.NoError(t, err)
	must.NotEq(t, address, again)
}
