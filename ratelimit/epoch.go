package ratelimit

import "time"

// The shares of all nodes are added up in consistent snapshots (Chandy-Lamport). Each message carries the epoch
// of its sender. A node that receives a newer epoch records its shares before it applies the transfers of that
// message. Transfers that were sent in an earlier epoch and arrive later are added to the snapshot. The snapshots
// of all nodes therefore add up to all share that existed, however stale the nodes' information about each other
// is and however much share moves meanwhile.
//
// The node with the lowest name is the coordinator and starts epochs. When all others have reported their
// snapshots, it adds missing share to its own, or starts the next epoch with a factor that all nodes apply.
//
// The snapshot of a node that has joined during the epoch is partial: its earlier process may have transferred share
// after the epoch had begun, which others hold and the snapshot lacks. The same holds for the fleet when a node has
// departed, and for a coordinator that has not read the registry. Nothing is corrected at the end of such an epoch.

// shareTolerance is the deviation of the sum of shares from one that is not corrected.
const shareTolerance = 0.005

// beginEpoch applies the scale factors of the new epoch, then records the shares in its snapshot.
func (s *Shares) beginEpoch(epoch uint64, entries []ShareEntry, now time.Time) {
	s.epoch, s.epochStart, s.snapshotPartial = epoch, now, false
	for _, b := range s.workspaces {
		b.scale = 0
	}
	for _, entry := range entries {
		b := s.workspaces[entry.Workspace]
		if b == nil || entry.Scale <= 0 {
			continue
		}
		b.scale = entry.Scale
		b.share *= entry.Scale
	}
	for _, b := range s.workspaces {
		b.snapshotShare = b.share
	}
}

// snapshotFinal reports whether the snapshot of this epoch can no longer change.
func (s *Shares) snapshotFinal(now time.Time) bool {
	return s.joined && now.Sub(s.epochStart) >= s.config.SnapshotSettleTime
}

// completeEpoch corrects the shares and starts the next epoch once all snapshots are final. It has no effect on
// nodes other than the coordinator.
func (s *Shares) completeEpoch(now time.Time) {
	if s.coordinator != s.self.Name || !s.snapshotFinal(now) {
		return
	}
	partial := s.snapshotPartial || !s.joining.membersKnown // nodes that it does not know may hold share
	for _, m := range s.members {
		if !m.joined || !m.snapshotFinal || m.epoch != s.epoch {
			return
		}
		partial = partial || m.snapshotPartial
	}
	var scales []ShareEntry
	for name, b := range s.workspaces {
		sum, known := s.snapshotSum(name, b)
		switch {
		case s.epoch == 0 || partial || !known:
		case sum < 1-shareTolerance:
			b.refill(now)
			b.share += 1 - sum
			b.corrected += 1 - sum
		case sum > 1+shareTolerance:
			scales = append(scales, ShareEntry{Workspace: name, Scale: 1 / sum})
		}
	}
	s.beginEpoch(s.epoch+1, scales, now)
}

// snapshotSum returns the sum of a workspace's snapshot shares, and whether all nodes have reported theirs. A
// node that does not know the workspace yet takes its even share when it learns of it.
func (s *Shares) snapshotSum(workspace string, b *shareBucket) (sum float64, known bool) {
	sum = b.snapshotShare
	for _, m := range s.members {
		entry, ok := s.entryOf(m, workspace)
		if !ok {
			return 0, false
		}
		sum += entry.SnapshotShare
	}
	return sum, true
}
