package sidecar

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/internal/responsetest"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

// Guards against merging state from a malformed response of another node.
func TestGossipMalformedResponses(t *testing.T) {
	const fields = "Content-Type: application/protobuf\r\n"
	state, err := proto.Marshal(&gossipv1.State{ConfigurationRevision: 9})
	must.NoError(t, err)
	exchange := func(t *testing.T, raw string) (*gossipv1.State, error) {
		t.Helper()
		return newGossip(&Node{}).rpcClient(responsetest.Start(t, raw)).Exchange(t.Context(), &gossipv1.State{Node: "a"})
	}
	for name, group := range responsetest.Malformed {
		t.Run(name, func(t *testing.T) {
			for _, c := range group(fields, string(state)) {
				t.Run(c.Name, func(t *testing.T) {
					got, err := exchange(t, c.Raw)
					must.Error(t, err, must.Sprint(got))
				})
			}
		})
	}
	for _, c := range responsetest.Sound(fields, string(state)) {
		t.Run("sound/"+c.Name, func(t *testing.T) {
			got, err := exchange(t, c.Raw)
			must.NoError(t, err)
			must.Eq(t, 9, got.ConfigurationRevision)
		})
	}
}

// Guards against a process that ends by what another one has sent: a revision that no node has.
func TestGossipNegativeRevision(t *testing.T) {
	n := testNode("a", 1)
	n.gossip.merge(&gossipv1.State{Node: "b", ConfigurationRevision: -1}, clock.Boot())
	state, _ := n.gossip.stateFor("b")
	must.Eq(t, 0, state.ConfigurationRevision)
	must.SliceEmpty(t, state.Configuration)
}
