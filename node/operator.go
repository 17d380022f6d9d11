package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/operator"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// ApplyChange implements operator.Backend. A key withdrawal is in force before it is written to the
// platform. If the platform is unavailable, the revision is 0 and the withdrawal is written later.
func (n *Node) ApplyChange(ctx context.Context, change config.Change) (int64, error) {
	if change.Kind == config.WithdrawKey {
		if err := n.withdrawals.withdraw(ctx, change.Object, change.Actor); err != nil {
			return 0, err
		}
	}
	revision, err := n.commit(ctx, change)
	if change.Kind == config.WithdrawKey && err != nil && unavailable(err) {
		return 0, nil
	}
	return revision, err
}

// commit writes a change to the platform, puts it in force here and pushes it to others.
func (n *Node) commit(ctx context.Context, change config.Change) (int64, error) {
	result, err := config.Writer{Store: n.store}.CommitChanges(ctx, n.configuration.document(), change)
	event := n.log.Info()
	if err != nil {
		event = n.log.Warn().Err(err)
	} else {
		n.configuration.applyChanges(result.Changes, 0)
		n.configuration.installDocument(result.Document, 0)
	}
	event.Str("change_id", change.ID).Str("actor", change.Actor).Str("kind", string(change.Kind)).
		Str("object", change.ObjectName()).Int64("revision", result.Revision).Msg("configuration change")
	return result.Revision, err
}

// Document implements operator.Backend.
func (n *Node) Document() *config.Document { return n.configuration.document() }

// Changes implements operator.Backend. The log is read from the platform in blocks.
func (n *Node) Changes(ctx context.Context, after int64, limit int) ([]config.CommittedChange, error) {
	reader := config.Reader{Store: n.store}
	var found []config.CommittedChange
	for len(found) < limit {
		block, err := reader.List(ctx, after+1)
		if err != nil {
			return nil, err
		}
		before := after
		for _, change := range block {
			if change.Revision > after {
				found = append(found, change)
				after = change.Revision
			}
		}
		if after == before {
			break
		}
	}
	return found[:min(limit, len(found))], nil
}

// SetDraining implements operator.Backend. It cannot end the draining of a planned stop.
func (n *Node) SetDraining(draining bool) int {
	draining = draining || n.requests.stopping()
	n.local.setDraining(draining)
	n.membership.setDraining(draining)
	return n.running.count()
}

// Status implements operator.Backend.
func (n *Node) Status() *operatorv1.GetStatusResponse {
	return &operatorv1.GetStatusResponse{
		Node:           n.settings.Name,
		ConfigRevision: n.configuration.document().Revision,
		ConfigAgeS:     n.configuration.age().Seconds(),
		Members:        n.membership.status(),
		Draining:       n.local.isDraining(),
		Admission:      n.admissionStatus(),
	}
}

// admissionStatus returns the state of the admission queue, or nil before the first announcement.
func (n *Node) admissionStatus() *operatorv1.Admission {
	local := n.local.current.Load()
	if local == nil {
		return nil
	}
	load := local.gate.Load()
	return &operatorv1.Admission{
		Service:         local.Service,
		UpstreamAddress: local.Address,
		Available:       n.local.available(n.now()) != nil,
		Slots:           int32(local.Slots),
		InFlight:        int32(load.InFlight),
		Limit:           int32(load.Limit),
		QueueDelayMs:    float64(load.QueueDelay) / float64(time.Millisecond),
		LeastAdmitted:   operator.Importance(load.Admitted),
	}
}

// ReleaseShards implements operator.Backend. It deletes the owner keys of the node's shards. Terms
// remain on the platform, so that the next owner waits for one grant lifetime before it grants.
func (n *Node) ReleaseShards(ctx context.Context, name, actor string) ([]string, error) {
	entries, _, err := n.store.List(ctx, shardOwnerPrefix)
	if err != nil {
		return nil, fmt.Errorf("%w: list shard owners: %w", config.ErrUnavailable, err)
	}
	released, kept := []string{}, []string{}
	for _, entry := range entries {
		shard := strings.TrimPrefix(entry.Key, shardOwnerPrefix)
		var record shardRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			n.log.Warn().Str("shard", shard).Err(err).Msg("owner of quota shard is malformed; skipped")
			continue
		}
		if record.Node != name {
			continue
		}
		if n.membership.holdsShard(shard, record) {
			kept = append(kept, shard)
			continue
		}
		if err := n.releaseShard(ctx, entry); err != nil {
			return released, err
		}
		n.log.Warn().Str("shard", shard).Str("owner", name).Str("actor", actor).Msg("quota shard released")
		released = append(released, shard)
	}
	if len(kept) > 0 && len(released) == 0 {
		return nil, fmt.Errorf("%w: %s owns quota shards %s; stop it instead, which hands them over", operator.ErrNodeAlive, name, strings.Join(kept, ", "))
	}
	return released, nil
}

// releaseShard deletes an owner key. On a conflict, the shard is already free or has a new owner.
func (n *Node) releaseShard(ctx context.Context, entry kvstore.Entry) error {
	err := n.store.CompareAndDelete(ctx, entry.Key, entry.Revision)
	switch {
	case err == nil, errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrNotFound):
		return nil
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		return fmt.Errorf("%w: release of %s", config.ErrUnknownOutcome, entry.Key)
	default:
		return fmt.Errorf("%w: release of %s: %w", config.ErrUnavailable, entry.Key, err)
	}
}
