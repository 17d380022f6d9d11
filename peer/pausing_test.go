package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/cowslipglade/cowslipglade/call"
)

// A destination that does not read a long body for a while keeps its connection, as it still acknowledges what it gets. One that
// acknowledges nothing loses it long before the deadline.
func TestForwardToPausingDestination(t *testing.T) {
	for name, silent := range map[string]bool{"pausing": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const bodyBytes, pause = 32 << 20, 2 * forwardUserTimeout
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			server := &http.Server{
				Handler: NewAcceptor(acceptor(func(ctx context.Context, incoming *Incoming, reserved func() error) (*call.Response, error) {
					if err := reserved(); err != nil {
						return nil, err
					}
					if silent {
						dropSegments(ctx)
					}
					time.Sleep(pause)
					n, err := io.Copy(io.Discard, incoming.Body)
					if err != nil || n != bodyBytes {
						return nil, call.NewRefusal(call.CodeIncompleteBody, call.MayHaveRun, "%d bytes, %v", n, err)
					}
					return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: call.BytesBody(nil), Buffered: true}, nil
				})),
				ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
			}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			f := NewForwarder("n1")
			defer f.Close()
			req := forwardRequest(false, string(make([]byte, bodyBytes)))
			req.Deadline = time.Now().Add(4 * pause)
			start := time.Now()
			_, err = f.Forward(t.Context(), Destination{Address: listener.Addr().String()}, req, Wait{Contact: time.Second, Slot: time.Second})
			if !silent {
				must.NoError(t, err)
				return
			}
			must.Eq(t, call.CodePeerFailed, call.AsRefusal(err).Code)
			must.Eq(t, call.MayHaveRun, call.AsRefusal(err).Outcome)
			must.Between(t, forwardUserTimeout, time.Since(start), 2*forwardUserTimeout)
		})
	}
}

type connKey struct{}

// dropSegments lets the kernel drop all that the connection of a request receives.
func dropSegments(ctx context.Context) {
	raw, err := ctx.Value(connKey{}).(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
}
