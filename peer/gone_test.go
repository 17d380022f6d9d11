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
