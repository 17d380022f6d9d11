package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/endlesstest"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

// Guards against buffering the endless response of a peer until the exchange times out.
func TestGossipEndlessResponse(t *testing.T) {
	for name, test := range map[string]struct {
		first, unit string
		most        int64
	}{
		"header line":  {"HTTP/1.1 200 OK\r\nA: ", "x", 1 << 20},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: x\r\n", 1 << 20},
		"body":         {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", "x", 12 << 20},
		"failure":      {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x", 12 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, test.first, test.unit)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := newGossip(&Node{}).rpcClient(server.Address).Exchange(ctx, &gossipv1.State{})
			must.Error(t, err)
			must.Less(t, test.most, server.Sent())
			must.NoError(t, ctx.Err())
		})
	}
}
