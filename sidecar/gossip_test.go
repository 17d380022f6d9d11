package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/endlesstest"
	"github.com/cowslipglade/cowslipglade/kvstore"
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

// A registration is sent until the peer knows it, and again after a change or when the peer has restarted.
func TestGossipSendsRegistrationOnce(t *testing.T) {
	nodes := map[string]*Node{}
	start := func(name string, incarnation uint64) {
		settings := DefaultSettings()
		settings.Node, settings.FailureDomain = name, "d"
		nodes[name] = New(settings, Dependencies{Store: kvstore.NewMemory(nil)}, zerolog.Nop(), incarnation)
		nodes[name].registry.publish()
	}
	// exchange returns whether a and b sent their registrations.
	exchange := func() (a, b bool) {
		request, _ := nodes["a"].gossip.stateFor("b")
		response, err := nodes["b"].gossip.Exchange(t.Context(), request)
		must.NoError(t, err)
		nodes["a"].gossip.merge(response, time.Now())
		return len(request.Registration) > 0, len(response.Registration) > 0
	}
	start("a", 1)
	start("b", 1)
	for _, test := range []struct {
		name   string
		before func()
		a, b   bool
	}{
		{"first contact", func() {}, true, true},
		{"known", func() {}, false, false},
		{"changed", nodes["a"].registry.publish, true, false},
		{"known again", func() {}, false, false},
		{"restarted", func() { start("b", 2) }, false, true},
		{"after the restart", func() {}, true, false},
		{"known to both", func() {}, false, false},
	} {
		test.before()
		a, b := exchange()
		must.Eq(t, test.a, a, must.Sprint(test.name))
		must.Eq(t, test.b, b, must.Sprint(test.name))
		must.Eq(t, 1, len(nodes["a"].registry.others()))
	}
}
