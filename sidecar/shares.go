package sidecar

import (
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

// newShares returns the shares of a node, which its exchanges move.
func newShares(settings *Settings) *ratelimit.Shares {
	config := ratelimit.DefaultSharesConfig()
	config.Fanout, config.RoundInterval = gossipTargets, gossipEvery
	return ratelimit.NewShares(ratelimit.Member{Name: settings.Node, FailureDomain: settings.FailureDomain}, config)
}

// addShares puts a message of shares into an exchange.
func addShares(state *gossipv1.State, message ratelimit.ShareMessage) {
	state.SharesJoined, state.SharesRemembered = message.Joined, message.HasReceiverShares
	state.SharesEpoch, state.SharesSettled = message.Epoch, message.SnapshotFinal
	for _, e := range message.Entries {
		state.Shares = append(state.Shares, &gossipv1.Share{
			Workspace: e.Workspace, Demand: float32(e.Demand), Share: float32(e.Share), Given: float32(e.Transfer),
			Remembered: float32(e.ReceiverShare), Recorded: float32(e.SnapshotShare), Tokens: float32(e.Tokens), Scale: float32(e.Scale),
		})
	}
}

// shareMessage returns the message of shares in an exchange.
func shareMessage(state *gossipv1.State) ratelimit.ShareMessage {
	message := ratelimit.ShareMessage{
		Joined: state.SharesJoined, HasReceiverShares: state.SharesRemembered, Epoch: state.SharesEpoch, SnapshotFinal: state.SharesSettled,
		Entries: make([]ratelimit.ShareEntry, 0, len(state.Shares)),
	}
	for _, e := range state.Shares {
		message.Entries = append(message.Entries, ratelimit.ShareEntry{
			Workspace: e.Workspace, Demand: float64(e.Demand), Share: float64(e.Share), Transfer: float64(e.Given),
			ReceiverShare: float64(e.Remembered), SnapshotShare: float64(e.Recorded), Tokens: float64(e.Tokens), Scale: float64(e.Scale),
		})
	}
	return message
}

// Parts of the operators' tolerance of rates that are given out. Shares of all nodes add up to one, so the
// rest only covers requests that wait in a queue, and a burst of one request at nodes with a small share.
const (
	overShare  = 0.9
	slackShare = 0.4
)

// quotas returns the rate and burst of each workspace over all nodes, raised by a part of the tolerance.
func (n *Node) quotas(document *config.Document) map[string]ratelimit.Quota {
	s := n.settings()
	raised := 1 + s.QuotaOver*overShare
	quotas := make(map[string]ratelimit.Quota, len(document.Workspaces))
	for name, w := range document.Workspaces {
		quotas[name] = ratelimit.Quota{Rate: w.Rate * raised, Burst: int64(float64(w.Burst)*raised + s.QuotaSlack*slackShare)}
	}
	return quotas
}
