package node

import (
	"context"
	"encoding/hex"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/keys"
	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

const (
	// pendingInterval is how often withdrawals that the platform lacks are written.
	pendingInterval = 2 * time.Second
	// orphanAge is the age at which a watcher writes a withdrawal that its originating node has not written.
	orphanAge = 5 * time.Second
	// localOnly makes keys.Withdrawals.Pending return only withdrawals made at this node.
	localOnly = -time.Second
)

// withdrawals distributes key withdrawals until the configuration contains them.
type withdrawals struct {
	node *Node
	// size lets requests skip the lock while the set is empty, as it usually is.
	size atomic.Int64

	mu        sync.Mutex
	set       *keys.Withdrawals
	exchanges map[string]bool // peers with an exchange in progress
}

func newWithdrawals(n *Node) *withdrawals {
	return &withdrawals{node: n, set: keys.NewWithdrawals(), exchanges: map[string]bool{}}
}

// withdrawn reports whether the set contains the hash.
func (w *withdrawals) withdrawn(hash string) bool {
	if w.size.Load() == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set.Withdrawn(hash)
}

func (w *withdrawals) digest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set.Digest()
}

// committed reports whether the current configuration contains the withdrawal.
func (w *withdrawals) committed(hash string) bool {
	key, ok := w.node.configuration.document().Keys[hash]
	return ok && key.Withdrawn
}

// withdraw applies a withdrawal here and sends it to others, before the platform write.
func (w *withdrawals) withdraw(ctx context.Context, hash, actor string) error {
	w.mu.Lock()
	added, err := w.set.Withdraw(w.node.now(), hash, actor, w.committed)
	w.size.Store(int64(w.set.Len()))
	w.mu.Unlock()
	if err != nil || !added {
		return err
	}
	raw, err := hex.DecodeString(hash)
	if err != nil {
		return err
	}
	w.node.dropWithdrawn()
	w.node.membership.pushWithdrawals(ctx, [][]byte{raw})
	return nil
}

// merge applies withdrawals from another node and forwards new ones.
func (w *withdrawals) merge(ctx context.Context, hashes [][]byte) {
	w.mu.Lock()
	added, err := w.set.Merge(w.node.now(), hashes, w.committed)
	w.size.Store(int64(w.set.Len()))
	w.mu.Unlock()
	if err != nil {
		w.node.log.Warn().Err(err).Msg("withdrawals from a peer not merged")
	}
	if len(added) > 0 {
		w.node.dropWithdrawn()
		w.node.membership.pushWithdrawals(ctx, added)
	}
}

// configurationApplied drops the withdrawals that a newer configuration contains.
func (w *withdrawals) configurationApplied(*config.Document) {
	w.mu.Lock()
	w.set.Drop(w.committed)
	w.size.Store(int64(w.set.Len()))
	w.mu.Unlock()
	w.node.dropWithdrawn()
}

// handleDigest starts an exchange with a member whose set differs.
func (w *withdrawals) handleDigest(ctx context.Context, address string, digest uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if digest == w.set.Digest() || w.exchanges[address] {
		return
	}
	w.exchanges[address] = true
	local, _ := w.set.Delta(0)
	w.node.tasks.Go(func() {
		client := membershipv1.NewMembershipProtobufClient("http://"+address, w.node.membership.client)
		response, err := client.ExchangeWithdrawals(ctx, &membershipv1.ExchangeWithdrawalsRequest{Hashes: local})
		if err == nil {
			w.merge(ctx, response.GetHashes())
		}
		w.mu.Lock()
		delete(w.exchanges, address)
		w.mu.Unlock()
	})
}

// exchange handles an exchange that another node started.
func (w *withdrawals) exchange(ctx context.Context, req *membershipv1.ExchangeWithdrawalsRequest) *membershipv1.ExchangeWithdrawalsResponse {
	w.merge(ctx, req.GetHashes())
	w.mu.Lock()
	defer w.mu.Unlock()
	hashes, version := w.set.Delta(0)
	return &membershipv1.ExchangeWithdrawalsResponse{Hashes: hashes, Version: version}
}

// run writes withdrawals that the configuration lacks to the platform until ctx ends.
func (w *withdrawals) run(ctx context.Context) {
	for {
		clock.Sleep(ctx, pendingInterval)
		if ctx.Err() != nil {
			return
		}
		age := localOnly
		if w.node.membership.watching() {
			age = orphanAge
		}
		w.mu.Lock()
		pending := w.set.Pending(w.node.now(), age)
		w.mu.Unlock()
		for _, p := range pending {
			w.record(ctx, p)
		}
	}
}

func (w *withdrawals) record(ctx context.Context, p keys.Pending) {
	actor := p.Actor
	if actor == "" {
		actor = "node " + w.node.settings.Name
	}
	_, err := w.node.commit(ctx, config.Change{
		ID: p.ChangeID(), Actor: actor, UnixMS: w.node.now().UnixMilli(), Kind: config.WithdrawKey, Object: p.Hash,
	})
	if err != nil {
		w.node.log.Warn().Err(err).Msg("withdrawal not yet written to the platform")
	}
}

// dropWithdrawn refuses the queued calls of withdrawn keys.
func (n *Node) dropWithdrawn() {
	if local := n.local.current.Load(); local != nil {
		local.gate.DropMatching(func(item *admission.Item) bool { return n.withdrawn(item.KeyHash) })
	}
}

// unavailable reports whether a commit failed because of the platform and not because of the change.
func unavailable(err error) bool {
	return errors.Is(err, config.ErrUnavailable) || errors.Is(err, config.ErrUnknownOutcome) || errors.Is(err, config.ErrContention)
}
