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

// pollInterval is how often a node reads the platform, which stands for the watches of cowslipd.
const pollInterval = 2000 * time.Millisecond

// platformView is the platform as one process reaches it.
type platformView struct {
	kvstore.Store
	p *process
}

// errCut is what a process sees of a platform that it does not reach.
var errCut = fmt.Errorf("faultmatrix: cut from platform: %w", kvstore.ErrUnavailable)

func (v platformView) cut() bool { return v.p.w.noPlatform[v.p.name] }

// Get implements kvstore.Store.
func (v platformView) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if v.cut() {
		return kvstore.Entry{}, errCut
	}
	return v.Store.Get(ctx, key)
}

// List implements kvstore.Store.
func (v platformView) List(ctx context.Context, prefix string) ([]kvstore.Entry, int64, error) {
	if v.cut() {
		return nil, 0, errCut
	}
	return v.Store.List(ctx, prefix)
}

// CompareAndSwap implements kvstore.Store. A racing writer gets its turn before a log entry is made.
func (v platformView) CompareAndSwap(ctx context.Context, key string, previous int64, value []byte, lease kvstore.LeaseID) (int64, error) {
	if strings.HasPrefix(key, config.LogPrefix) {
		v.p.w.reach(ConfigWrite, v.p)
		if race := v.p.w.race; race != nil {
			v.p.w.race = nil
			race()
		}
	}
	if v.cut() {
		return 0, errCut
	}
	return v.Store.CompareAndSwap(ctx, key, previous, value, lease)
}

// GrantLease implements kvstore.Store.
func (v platformView) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if v.cut() {
		return 0, errCut
	}
	return v.Store.GrantLease(ctx, ttl)
}

// KeepAlive implements kvstore.Store.
func (v platformView) KeepAlive(ctx context.Context, lease kvstore.LeaseID) error {
	if v.cut() {
		return errCut
	}
	return v.Store.KeepAlive(ctx, lease)
}

// RevokeLease implements kvstore.Store.
func (v platformView) RevokeLease(ctx context.Context, lease kvstore.LeaseID) error {
	if v.cut() {
		return errCut
	}
	return v.Store.RevokeLease(ctx, lease)
}

// onPlatform makes platform calls that take effect after one latency, also when the process stops in
// the meantime, and passes their result on after another.
func (p *process) onPlatform(calls func(kvstore.Store) any, then func(any)) {
	p.w.after(p.w.platformLatency(), func() {
		result := calls(platformView{p.w.store, p})
		p.after(p.w.platformLatency(), func() { then(result) })
	})
}

// commitResult is the outcome of a commit at a node.
type commitResult struct {
	config.CommitResult
	err error
}

func (p *process) commit(change config.Change, done func(commitResult)) {
	document := p.replica.Document()
	p.onPlatform(func(s kvstore.Store) any { return p.write(s, document, change) }, func(result any) {
		p.committed(result.(commitResult))
		done(result.(commitResult))
	})
}

func (p *process) write(s kvstore.Store, document *config.Document, change config.Change) commitResult {
	result, err := config.Writer{Store: s}.CommitChanges(context.Background(), document, change)
	var conflict *config.ConflictError
	if p.w.switches.FreshBase && errors.As(err, &conflict) {
		if newest, loadErr := (config.Reader{Store: s}).Load(context.Background()); loadErr == nil {
			change.BaseRevision = newest.Workspaces[change.Workspace.Name].Revision
			result, err = config.Writer{Store: s}.CommitChanges(context.Background(), newest, change)
			result.Changes = nil
		}
	}
	return commitResult{result, err}
}

// committed puts the outcome of a commit in force here and pushes it to peers.
func (p *process) committed(result commitResult) {
	if result.err != nil {
		return
	}
	before := p.replica.Revision()
	if result.Changes == nil {
		p.replica.InstallDocument(result.Document)
	} else if _, err := p.replica.ApplyChanges(result.Changes); err != nil {
		p.w.violate(ConfigKept, "%s: committed changes do not fit: %v", p.name, err)
	}
	p.configurationChanged()
	if p.replica.Revision() > before {
		p.push()
	}
}

// push tells some random members of this node's configuration and withdrawals.
func (p *process) push() {
	for _, target := range p.machine.Targets(2) {
		p.step(ConfigSpread, func() { p.exchange(target.GetName()) })
	}
}

// exchanged is one side of an exchange of configuration and withdrawals.
type exchanged struct {
	revision  int64
	changes   [][]byte
	snapshot  []byte
	withdrawn [][]byte
}

// offerTo returns what a peer at the revision may lack. Only an answer carries a snapshot.
func (p *process) offerTo(revision int64, snapshot bool) exchanged {
	e := exchanged{revision: p.replica.Revision()}
	kept := true
	if revision < e.revision {
		e.changes, kept = p.replica.ChangesSince(revision)
	}
	if snapshot && !kept || p.w.switches.TakeLowerRevision {
		e.snapshot, _ = p.replica.Document().EncodeSnapshot()
	}
	e.withdrawn, _ = p.withdrawals.Delta(0)
	return e
}

func (p *process) takeOffer(from string, e exchanged) {
	p.heard[from] = e.revision
	p.replica.ObserveRevision(e.revision)
	if _, err := p.replica.ApplyEncodedChanges(e.changes); err != nil {
		p.w.violate(ConfigKept, "%s: changes of a peer do not fit: %v", p.name, err)
	}
	if e.snapshot != nil {
		p.takeSnapshot(e.snapshot)
	}
	p.configurationChanged()
	p.mergeWithdrawals(e.withdrawn)
}

func (p *process) takeSnapshot(snapshot []byte) {
	if p.w.switches.TakeLowerRevision {
		document, _ := config.DecodeSnapshot(snapshot)
		p.replica = config.NewReplica(1000)
		p.replica.InstallDocument(document)
		return
	}
	if _, err := p.replica.InstallSnapshot(snapshot); err != nil {
		p.w.violate(ConfigKept, "%s: snapshot of a peer: %v", p.name, err)
	}
}

// exchange compares configuration and withdrawals with a peer; both sides take what is new.
func (p *process) exchange(to string) {
	request := p.offerTo(p.heard[to], false)
	p.rpc(to, kindSpread, grantTimeout, func(q *process, back func(any)) {
		q.takeOffer(p.name, request)
		back(q.offerTo(request.revision, true))
	}, func(payload any, err sendError) {
		if err == delivered {
			p.takeOffer(to, payload.(exchanged))
		}
	})
}

// gossip exchanges with a random member and reads the platform now and then.
func (p *process) gossip() {
	if targets := p.machine.Targets(1); len(targets) > 0 {
		p.exchange(targets[0].GetName())
	} else {
		p.carryOut(p.machine.Join(p.now(), slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == p.name })))
	}
	p.after(p.w.jitter(300*time.Millisecond, 500*time.Millisecond), p.gossip)
}

func (p *process) poll() {
	document := p.replica.Document()
	p.onPlatform(func(s kvstore.Store) any {
		newer, changes, err := config.Reader{Store: s}.Advance(context.Background(), document)
		return commitResult{config.CommitResult{Document: newer, Changes: changes}, err}
	}, func(result any) {
		p.committed(result.(commitResult))
	})
	p.after(pollInterval, p.poll)
}

// configurationChanged puts a new revision in force in the other packages.
func (p *process) configurationChanged() {
	revision := p.replica.Revision()
	p.w.checkRevision(p)
	if revision <= p.configured {
		return
	}
	p.configured = revision
	quotas := p.quotas()
	for _, name := range slices.Sorted(maps.Keys(quotas)) {
		p.cache.Configure(name, quotas[name])
	}
	for _, number := range slices.Sorted(maps.Keys(p.owned)) {
		p.configureShard(number, p.owned[number].shard)
	}
	for hash, key := range p.replica.Document().Keys {
		if key.Withdrawn {
			p.reached[hash] = true
		}
	}
	p.withdrawals.Drop(p.held)
	p.dropWithdrawn()
}

func (p *process) held(hash string) bool { return p.replica.Document().Keys[hash].Withdrawn }

// withdraw takes an operator's withdrawal at this node.
func (p *process) withdraw(hash string) {
	if _, err := p.withdrawals.Withdraw(p.now(), hash, "operator", p.held); err != nil {
		p.w.violate(WithdrawnStops, "%s: withdrawal not taken: %v", p.name, err)
	}
	delta, _ := p.withdrawals.Delta(0)
	p.spreadWithdrawals(delta)
}

func (p *process) mergeWithdrawals(hashes [][]byte) {
	fresh, err := p.withdrawals.Merge(p.now(), hashes, p.held)
	if err != nil {
		p.w.violate(WithdrawnStops, "%s: merge: %v", p.name, err)
	}
	if len(fresh) > 0 {
		p.spreadWithdrawals(fresh)
	}
}

func (p *process) spreadWithdrawals(hashes [][]byte) {
	for _, hash := range hashes {
		p.reached[fmt.Sprintf("%x", hash)] = true
	}
	p.w.logf("%s knows of %d withdrawn keys", p.name, len(p.reached))
	p.dropWithdrawn()
	p.carryOut(p.machine.PushWithdrawals(p.now(), hashes))
}

// dropWithdrawn refuses queued work of withdrawn keys at once.
func (p *process) dropWithdrawn() {
	if p.w.switches.SkipDequeueCheck {
		return
	}
	p.queue.DropMatching(p.now(), admission.Withdrawn, func(i *admission.Item) bool { return p.withdrawn(i.KeyHash) })
	p.pump()
}

// recordWithdrawals writes withdrawals to the platform: those of this node, and old ones of others.
func (p *process) recordWithdrawals() {
	for _, pending := range p.withdrawals.Pending(p.now(), 600*time.Millisecond) {
		change := config.Change{ID: pending.ChangeID(), Actor: "operator", Kind: config.WithdrawKey, Object: pending.Hash}
		p.commit(change, func(commitResult) {})
	}
	p.after(300*time.Millisecond, p.recordWithdrawals)
}
