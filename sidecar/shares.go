package sidecar

import (
	"math"
	"time"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

// newShares returns the quota shares of a node, which are transferred in gossip exchanges.
func newShares(settings *Settings, incarnation uint64) *ratelimit.Shares {
	config := sharesConfig()
	config.Process = incarnation
	return ratelimit.NewShares(ratelimit.Member{Name: settings.Node, FailureDomain: settings.FailureDomain}, config)
}

func sharesConfig() ratelimit.SharesConfig {
	config := ratelimit.DefaultSharesConfig()
	config.Fanout, config.RoundInterval = maxGossipTargets, gossipInterval
	return config
}

// encodeShares adds a share message to the state of an exchange.
func encodeShares(state *gossipv1.State, message ratelimit.ShareMessage) {
	state.SharesJoined, state.SharesRemembered = message.Joined, message.HasReceiverShares
	state.SharesComplete, state.SharesAssigned = message.Complete, message.Assigned
	state.SharesEpoch, state.SharesSettled, state.WorkspacesDigest = message.Epoch, message.SnapshotFinal, message.Workspaces
	state.SharesSequence, state.SharesPartial = message.Sequence, message.SnapshotPartial
	state.SharesReportedIncarnation, state.SharesReportedSequence = message.ReportedProcess, message.ReportedSequence
	state.SharesRosterSize, state.SharesRosterDigest = message.Roster.Size, message.Roster.Digest
	state.SharesRegistrationSurvived = message.RegistrationSurvived
	for _, e := range message.Entries {
		state.Shares = append(state.Shares, &gossipv1.Share{
			Workspace: e.Workspace, Demand: float32(e.Demand), Share: float32(e.Share), Given: float32(e.Transfer),
			Remembered: float32(e.ReceiverShare), Recorded: float32(e.SnapshotShare), Tokens: float32(e.Tokens), Scale: float32(e.Scale),
		})
	}
}

// decodeShares returns the share message in the state of an exchange. It leaves out transfers unless the message is dated:
// the sender of an older one may have restored the share elsewhere.
func decodeShares(state *gossipv1.State, dated bool) ratelimit.ShareMessage {
	message := ratelimit.ShareMessage{
		Joined: state.SharesJoined, HasReceiverShares: state.SharesRemembered, Epoch: state.SharesEpoch, SnapshotFinal: state.SharesSettled,
		Complete: state.SharesComplete, Assigned: state.SharesAssigned, Workspaces: state.WorkspacesDigest, Entries: make([]ratelimit.ShareEntry, 0, len(state.Shares)),
		Process: state.Incarnation, Sequence: state.SharesSequence, SnapshotPartial: state.SharesPartial,
		ReportedProcess: state.SharesReportedIncarnation, ReportedSequence: state.SharesReportedSequence,
		Roster: ratelimit.Roster{Size: state.SharesRosterSize, Digest: state.SharesRosterDigest}, RegistrationSurvived: state.SharesRegistrationSurvived,
	}
	for _, e := range state.Shares {
		entry := ratelimit.ShareEntry{
			Workspace: e.Workspace, Demand: finite(e.Demand), Share: finite(e.Share), Transfer: finite(e.Given),
			ReceiverShare: finite(e.Remembered), SnapshotShare: finite(e.Recorded), Tokens: finite(e.Tokens), Scale: finite(e.Scale),
		}
		if !dated {
			entry.Transfer = 0
		}
		message.Entries = append(message.Entries, entry)
	}
	return message
}

// finite returns a value of a share message, or 0 for one that no node sends. A single NaN would make all later
// shares and tokens of the workspace NaN.
func finite(value float32) float64 {
	if v := float64(value); v >= 0 && !math.IsInf(v, 0) {
		return v
	}
	return 0
}

// Fractions of the operators' quota tolerance that are allocated to nodes. The shares of all nodes add up to
// one, so the remainder only has to cover requests waiting in a queue, and bursts of one request at nodes
// with a small share.
const (
	quotaToleranceFraction = 0.9
	quotaSlackFraction     = 0.4
)

// quotas returns the rate and burst of each workspace across all nodes, increased by the allocated fractions
// of the tolerance.
func (n *Node) quotas(document *config.Document) map[string]ratelimit.Quota {
	s := n.settings()
	factor := 1 + s.QuotaOver*quotaToleranceFraction
	quotas := make(map[string]ratelimit.Quota, len(document.Workspaces))
	for name, w := range document.Workspaces {
		quotas[name] = ratelimit.Quota{Rate: w.Rate * factor, Burst: int64(float64(w.Burst)*factor + s.QuotaSlack*quotaSlackFraction)}
	}
	return quotas
}

// logJoin logs what this node waits for before it holds a share, when that changes and every joinLogInterval, and that it
// has joined.
func (g *gossip) logJoin(last *joinLog) {
	now := time.Now()
	status := g.node.shares.JoinStatus(now)
	if status.Joined == last.joined && status.Wait == last.wait && (status.Joined || now.Sub(last.at) < joinLogInterval) {
		return
	}
	if last.at.IsZero() {
		last.startedAt = now
	}
	last.joined, last.wait, last.at = status.Joined, status.Wait, now
	event := g.node.log.event("quota_join").Bool("joined", status.Joined).Int("members", status.Members).Int("contacted", status.Contacted).
		Int("roster", status.Roster)
	if status.Joined {
		event.Dur("took_ms", now.Sub(last.startedAt)).Msg("node holds its share of the rates")
		return
	}
	event.Str("waiting_for", string(status.Wait)).Strs("nodes", status.Nodes).Int("node_count", status.NodeCount).
		Float64("seconds", status.Seconds).Str("ends_with", status.Ends).Msg("node holds no share yet and refuses requests with a rate")
}

// joinLogInterval is the time between two log lines of a node that waits for the same.
const joinLogInterval = time.Second

// joinLog is what logJoin has logged last.
type joinLog struct {
	joined    bool
	wait      ratelimit.JoinWait
	at        time.Time
	startedAt time.Time
}
