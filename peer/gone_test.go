package peer

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/signature"
)

// A destination learns at once that the sender of a call that waits for a slot has gone, so that it does not run the call.
func TestQueuedCallEndsWithItsSender(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan bool)
	await := func(ctx context.Context, _ *Incoming) (*call.Response, error) {
		arrived <- struct{}{}
		select {
		case <-ctx.Done():
			ended <- true
		case <-time.After(time.Second):
			ended <- false
		}
		return nil, call.NewRefusal(call.CodeOverloaded, call.NotRun, "no slot")
	}
	address, _, _ := startAcceptor(t, acceptor(func(ctx context.Context, incoming *Incoming, _ func() error) (*call.Response, error) {
		return await(ctx, incoming)
	}))
	forwarder := NewForwarder("n1")
	defer forwarder.Close()
	keyring := signature.NewKeyring([]string{"key"})
	server := httptest.NewServer(NewServer(keyring, handlerFunc(await)))
	defer server.Close()
	client := NewClient("n1", netip.MustParseAddr("127.0.0.1"), keyring)
	defer client.Close()
	for name, send := range map[string]func(context.Context, *call.Request) error{
		"sidecar": func(ctx context.Context, req *call.Request) error {
			_, err := forwarder.Forward(ctx, Destination{Address: address}, req, Wait{Contact: time.Second, Slot: time.Second})
			return err
		},
		"cowslipd": func(ctx context.Context, req *call.Request) error {
			_, err := client.Forward(ctx, Destination{Address: server.Listener.Addr().String()}, req)
			return err
		},
	} {
		for _, body := range []string{"", "x"} {
			t.Run(name+" "+body, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					<-arrived
					cancel()
				}()
				must.Eq(t, call.CodeCanceled, call.AsRefusal(send(ctx, forwardRequest(true, body))).Code)
				must.True(t, <-ended, must.Sprint("the call waited on for a slot"))
			})
		}
	}
}

// A call whose context has ended is not sent, does not use up a pooled connection and does not count as a failure of the
// destination.
func TestEndedCallIsNotSent(t *testing.T) {
	for name, pooled := range map[string]bool{"new connection": false, "pooled connection": true} {
		t.Run(name, func(t *testing.T) {
			const ended = 50
			requests := make(chan string, ended+2)
			address, connections, _ := startAcceptor(t, acceptor(func(ctx context.Context, incoming *Incoming, reserved func() error) (*call.Response, error) {
				requests <- incoming.RequestID
				return echo(ctx, incoming, reserved)
			}))
			f := NewForwarder("n1")
			defer f.Close()
			send := func(ctx context.Context, id string) error {
				req := forwardRequest(true, "")
				req.RequestID = id
				_, err := f.Forward(ctx, Destination{Address: address}, req, Wait{Contact: time.Second, Slot: time.Second})
				return err
			}
			if pooled {
				must.NoError(t, send(t.Context(), "first"))
				must.Eq(t, "first", <-requests)
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			for range ended {
				refusal := call.AsRefusal(send(ctx, "ended"))
				must.Eq(t, call.CodeCanceled, refusal.Code)
				must.Eq(t, call.NotRun, refusal.Outcome)
			}
			must.NoError(t, send(t.Context(), "last"))
			must.Eq(t, "last", <-requests)
			must.Eq(t, 1, connections.Load())
		})
	}
}
