package faultmatrix

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

// pollInterval is how often a node reads the configuration from the platform. Polling stands in for the
// watches of cowslipd.
const pollInterval = 2000 * time.Millisecond

// platformView is the platform as seen by one process.
type platformView struct {
	kvstore.Store
	p *process
}

// errPartitioned is returned for platform calls of a process that is partitioned from the platform.
var errPartitioned = fmt.Errorf("faultmatrix: partitioned from the platform: %w", kvstore.ErrUnavailable)

func (v platformView) partitioned() bool { return v.p.sim.platformPartitioned[v.p.name] }

// Get implements kvstore.Store.
func (v platformView) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if v.partitioned() {
		return kvstore.Entry{}, errPartitioned
	}
	return v.Store.Get(ctx, key)
}

// List implements kvstore.Store.
func (v platformView) List(ctx context.Context, prefix string) ([]kvstore.Entry, int64, error) {
	if v.partitioned() {
		return nil, 0, errPartitioned
	}
	return v.Store.List(ctx, prefix)
}

// CompareAndSwap implements kvstore.Store. A pending racing write runs before a log entry is written.
func (v platformView) CompareAndSwap(ctx context.Context, key string, previous int64, value []byte, lease kvstore.LeaseID) (int64, error) {
	if strings.HasPrefix(key, config.LogPrefix) {
		v.p.sim.injectAt(ConfigWrite, v.p)
		if race := v.p.sim.race; race != nil {
			v.p.sim.race = nil
			race()
		}
	}
	if v.partitioned() {
		return 0, errPartitioned
	}
	return v.Store.CompareAndSwap(ctx, key, previous, value, lease)
}

// GrantLease implements kvstore.Store.
func (v platformView) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if v.partitioned() {
		return 0, errPartitioned
	}
	return v.Store.GrantLease(ctx, ttl)
}

// KeepAlive implements kvstore.Store.
func (v platformView) KeepAlive(ctx context.Context, lease kvstore.LeaseID) error {
	if v.partitioned() {
		return errPartitioned
	}
	return v.Store.KeepAlive(ctx, lease)
}

// RevokeLease implements kvstore.Store.
func (v platformView) RevokeLease(ctx context.Context, lease kvstore.LeaseID) error {
	if v.partitioned() {
		return errPartitioned
	}
	return v.Store.RevokeLease(ctx, lease)
}

// callPlatform makes platform calls that take effect after one latency, even if the process stops in the
// meantime, and passes their result to then after another.
func (p *process) callPlatform(do func(kvstore.Store) any, then func(any)) {
	p.sim.after(p.sim.platformLatency(), func() {
		result := do(platformView{p.sim.store, p})
		p.after(p.sim.platformLatency(), func() { then(result) })
	})
}

// commitResult is the result of a commit or of a read of newer changes.
type commitResult struct {
	config.CommitResult
	err error
}

func (p *process) commit(change config.Change, done func(commitResult)) {
	document := p.replica.Document()
	p.callPlatform(func(s kvstore.Store) any { return p.write(s, document, change) }, func(result any) {
		p.applyCommit(result.(commitResult))
		done(result.(commitResult))
	})
}

func (p *process) write(s kvstore.Store, document *config.Document, change config.Change) commitResult {
	result, err := config.Writer{Store: s}.CommitChanges(context.Background(), document, change)
	var conflict *config.ConflictError
	if p.sim.mutations.RebaseOnConflict && errors.As(err, &conflict) {
		if newest, loadErr := (config.Reader{Store: s}).Load(context.Background()); loadErr == nil {
			change.BaseRevision = newest.Workspaces[change.Workspace.Name].Revision
			result, err = config.Writer{Store: s}.CommitChanges(context.Background(), newest, change)
			result.Changes = nil
		}
	}
	return commitResult{result, err}
}

// applyCommit applies committed changes to the local replica and pushes a new revision to peers.
func (p *process) applyCommit(result commitResult) {
	if result.err != nil {
		return
	}
	before := p.replica.Revision()
	if result.Changes == nil {
		p.replica.InstallDocument(result.Document)
	} else if _, err := p.replica.ApplyChanges(result.Changes); err != nil {
		p.sim.violate(ConfigConsistent, "%s: committed changes do not apply: %v", p.name, err)
	}
	p.configurationChanged()
	if p.replica.Revision() > before {
		p.push()
	}
}

// push exchanges configuration and withdrawals with random members.
func (p *process) push() {
	for _, target := range p.machine.Targets(2) {
		p.reachStep(ConfigPropagation, func() { p.exchange(target.GetName()) })
	}
}

// exchangeMessage is the request or response of an exchange of configuration and withdrawals.
type exchangeMessage struct {
	revision  int64
	changes   [][]byte
	snapshot  []byte
	withdrawn [][]byte
}

// exchangeMessageFor returns what a peer at the revision may lack. Only a response carries a snapshot.
func (p *process) exchangeMessageFor(revision int64, snapshot bool) exchangeMessage {
	e := exchangeMessage{revision: p.replica.Revision()}
	kept := true
	if revision < e.revision {
		e.changes, kept = p.replica.ChangesSince(revision)
	}
	if snapshot && !kept || p.sim.mutations.AcceptLowerRevision {
		e.snapshot, _ = p.replica.Document().EncodeSnapshot()
	}
	e.withdrawn, _ = p.withdrawals.Delta(0)
	return e
}

func (p *process) applyExchange(from string, e exchangeMessage) {
	p.peerRevisions[from] = e.revision
	p.replica.ObserveRevision(e.revision)
	if _, err := p.replica.ApplyEncodedChanges(e.changes); err != nil {
		p.sim.violate(ConfigConsistent, "%s: changes from a peer do not apply: %v", p.name, err)
	}
	if e.snapshot != nil {
		p.installSnapshot(e.snapshot)
	}
	p.configurationChanged()
	p.mergeWithdrawals(e.withdrawn)
}

func (p *process) installSnapshot(snapshot []byte) {
	if p.sim.mutations.AcceptLowerRevision {
		document, _ := config.DecodeSnapshot(snapshot)
		p.replica = config.NewReplica(1000)
		p.replica.InstallDocument(document)
		return
	}
	if _, err := p.replica.InstallSnapshot(snapshot); err != nil {
		p.sim.violate(ConfigConsistent, "%s: snapshot from a peer: %v", p.name, err)
	}
}

// exchange synchronizes configuration and withdrawals with a peer in both directions.
func (p *process) exchange(to string) {
	request := p.exchangeMessageFor(p.peerRevisions[to], false)
	p.rpc(to, kindExchange, grantTimeout, func(q *process, respond func(any)) {
		q.applyExchange(p.name, request)
		respond(q.exchangeMessageFor(request.revision, true))
	}, func(payload any, err sendError) {
		if err == delivered {
			p.applyExchange(to, payload.(exchangeMessage))
		}
	})
}

// gossip periodically exchanges with a random member, or joins the other nodes if it knows no member.
func (p *process) gossip() {
	if targets := p.machine.Targets(1); len(targets) > 0 {
		p.exchange(targets[0].GetName())
	} else {
		p.handleOutput(p.machine.Join(p.now(), slices.DeleteFunc(slices.Clone(nodeNames), func(n string) bool { return n == p.name })))
	}
	p.after(p.sim.jitter(300*time.Millisecond, 500*time.Millisecond), p.gossip)
}

func (p *process) poll() {
	document := p.replica.Document()
	p.callPlatform(func(s kvstore.Store) any {
		newer, changes, err := config.Reader{Store: s}.Advance(context.Background(), document)
		return commitResult{config.CommitResult{Document: newer, Changes: changes}, err}
	}, func(result any) {
		p.applyCommit(result.(commitResult))
	})
	p.after(pollInterval, p.poll)
}

// configurationChanged applies a new configuration revision to quotas, shards and withdrawals.
func (p *process) configurationChanged() {
	revision := p.replica.Revision()
	p.sim.checkRevision(p)
	if revision <= p.configuredRevision {
		return
	}
	p.configuredRevision = revision
	quotas := p.quotas()
	for _, name := range slices.Sorted(maps.Keys(quotas)) {
		p.cache.Configure(name, quotas[name])
	}
	for _, number := range slices.Sorted(maps.Keys(p.ownedShards)) {
		p.configureShard(number, p.ownedShards[number].shard)
	}
	for hash, key := range p.replica.Document().Keys {
		if key.Withdrawn {
			p.knownWithdrawn[hash] = true
		}
	}
	p.withdrawals.Drop(p.withdrawnInReplica)
	p.dropWithdrawn()
}

func (p *process) withdrawnInReplica(hash string) bool {
	return p.replica.Document().Keys[hash].Withdrawn
}

// withdraw handles a key withdrawal that an operator sends to this node.
func (p *process) withdraw(hash string) {
	if _, err := p.withdrawals.Withdraw(p.now(), hash, "operator", p.withdrawnInReplica); err != nil {
		p.sim.violate(WithdrawnKeyStops, "%s: withdrawal rejected: %v", p.name, err)
	}
	delta, _ := p.withdrawals.Delta(0)
	p.propagateWithdrawals(delta)
}

func (p *process) mergeWithdrawals(hashes [][]byte) {
	fresh, err := p.withdrawals.Merge(p.now(), hashes, p.withdrawnInReplica)
	if err != nil {
		p.sim.violate(WithdrawnKeyStops, "%s: merging withdrawals: %v", p.name, err)
	}
	if len(fresh) > 0 {
		p.propagateWithdrawals(fresh)
	}
}

func (p *process) propagateWithdrawals(hashes [][]byte) {
	for _, hash := range hashes {
		p.knownWithdrawn[fmt.Sprintf("%x", hash)] = true
	}
	p.sim.logf("%s knows of %d withdrawn keys", p.name, len(p.knownWithdrawn))
	p.dropWithdrawn()
	p.handleOutput(p.machine.PushWithdrawals(p.now(), hashes))
}

// dropWithdrawn refuses queued work of withdrawn keys immediately.
func (p *process) dropWithdrawn() {
	if p.sim.mutations.SkipDequeueCheck {
		return
	}
	p.queue.DropMatching(p.now(), admission.Withdrawn, func(i *admission.Item) bool { return p.withdrawn(i.KeyHash) })
	p.handleDecisions()
}

// recordWithdrawals periodically commits withdrawals to the platform: those made at this node, and older
// ones of other nodes.
func (p *process) recordWithdrawals() {
	for _, pending := range p.withdrawals.Pending(p.now(), 600*time.Millisecond) {
		change := config.Change{ID: pending.ChangeID(), Actor: "operator", Kind: config.WithdrawKey, Object: pending.Hash}
		p.commit(change, func(commitResult) {})
	}
	p.after(300*time.Millisecond, p.recordWithdrawals)
}
