package node

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stopping is a planned stop of one node of a fleet.
type stopping struct {
	t     *testing.T
	node  *Node
	began time.Time
	done  chan error
}

// beginStop stops node i with the shutdown timeout and returns once the node drains.
func (f *fleet) beginStop(t *testing.T, i int, timeout time.Duration) *stopping {
	s := &stopping{t: t, node: f.nodes[i], began: time.Now(), done: make(chan error, 1)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		s.done <- s.node.Stop(ctx)
	}()
	t.Cleanup(func() { f.nodes = slices.DeleteFunc(f.nodes, func(n *Node) bool { return n == s.node }) })
	f.eventually("node drains", s.node.local.isDraining)
	return s
}

// end waits for the end of the stop and returns its error.
func (s *stopping) end() error {
	select {
	case err := <-s.done:
		return err
	case <-time.After(20 * time.Second):
		s.t.Fatal("the stop does not end")
		return nil
	}
}

// Connections on which nothing came used to prolong a stop by up to 5 s for each listener.
func TestStopWithSilentConnections(t *testing.T) {
	f := newFleet(t, 1)
	for _, address := range []string{f.nodes[0].settings.CallerAddress, f.nodes[0].settings.PeerAddress, f.nodes[0].settings.LocalAddress} {
		connection, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer connection.Close()
	}
	s := f.beginStop(t, 0, 20*time.Second)
	must.NoError(t, s.end())
	must.Less(t, 3*time.Second, time.Since(s.began))
}
