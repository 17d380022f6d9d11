package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/ratelimit"
)

const (
	// registryPrefix is the store prefix of the node entries, one per node.
	registryPrefix = "cowslipglade/nodes/"
	// minLeaseTTL is longer than the time after which a partitioned node stops admitting keyed requests, so
	// that its quota share is reassigned only when it no longer uses it.
	minLeaseTTL = 9 * time.Second
	// leaseRenewInterval allows three renewal attempts within the lease.
	leaseRenewInterval = 2500 * time.Millisecond
	// watchTimeout bounds a watch request. A dead connection is detected after this time; meanwhile gossip
	// delivers updates of known nodes.
	watchTimeout = 15 * time.Second
	// watchDelayPerNode is multiplied by the number of nodes to give the delay between two watches. It
	// batches changes that occur together, because each watch response costs one call per node; all watches
	// together make about 10 calls per second. Nodes announce changes to each other meanwhile.
	watchDelayPerNode = 100 * time.Millisecond
	// maxWatchDelay bounds that delay to less than half of the history that a store keeps, 20 s.
	maxWatchDelay = 8 * time.Second
	// readerWatchDelayPerNode and maxReaderWatchDelay apply to readers, which restore lapsed entries and the
	// shares of departed nodes within that time.
	readerWatchDelayPerNode = 20 * time.Millisecond
	maxReaderWatchDelay     = 2 * time.Second
	// lapsedEntryGrace is how long a node is kept after its entry has lapsed without the node departing.
	// Leases may lapse while the store is unavailable, and entries are restored within about two seconds.
	lapsedEntryGrace = 3 * time.Second
)

// Registration is the information that a node publishes about itself.
type Registration struct {
	Node string `json:"node"`
	// Incarnation is the start time of the node's process in nanoseconds since the Unix epoch.
	Incarnation uint64 `json:"incarnation"`
	// Sequence orders the registrations of one incarnation.
	Sequence       int64  `json:"sequence"`
	FailureDomain  string `json:"failure_domain"`
	Region         string `json:"region"`
	PeerAddress    string `json:"peer_address"`
	ControlAddress string `json:"control_address"`
	Service        string `json:"service"`
	Instance       string `json:"instance,omitempty"`
	// StartTimeMS is when the upstream started, in Unix milliseconds, or 0 if unknown.
	StartTimeMS int64 `json:"start_time_ms,omitempty"`
	Slots       int   `json:"slots,omitempty"`
	WarmUpMS    int64 `json:"warm_up_ms,omitempty"`
	// Serving means that the upstream accepts calls.
	Serving bool `json:"serving"`
	// Stopping means that the node is shutting down. It accepts calls for a short time, for callers that
	// have no other upstream.
	Stopping bool `json:"stopping,omitempty"`
}

// newerThan reports whether r supersedes o.
func (r *Registration) newerThan(o *Registration) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// departure returns the departure of the upstream, and false if it has not departed.
func (r *Registration) departure() (departure, bool) {
	return departure{r.Instance, r.StartTimeMS}, r.Instance != "" && !r.Serving
}

// member is the known state of another node.
type member struct {
	Registration
	// earlier is the departure that an earlier process of the node published. The current process may not know it.
	earlier departure
	// listed means that the store holds the node's entry.
	listed bool
	// unlistedSince is when the node's entry ended, or when the node was first seen without one.
	unlistedSince time.Time
	servingSince  time.Time
}

// registry publishes this node's registration in the store and tracks the registrations of other nodes, as
// received from the store and from the nodes themselves.
type registry struct {
	node *Node

	mu    sync.Mutex
	self  Registration
	lease kvstore.LeaseID // NoLease before the first grant and after deregistration
	// published is the value of this node's entry as last written, publishedRevision its revision or 0 if none is
	// confirmed. displaced means that another writer has changed or deleted the entry since.
	published         []byte
	publishedRevision int64
	displaced         bool

	members  map[string]*member
	dirty    bool
	services map[string]bool
	// listed means that the entries were read from the store, or that another node was contacted.
	listed bool
	// complete means that the entries were read as they were after this node's own entry had been written. Of two nodes
	// that start, at least one then knows the other, whatever delays their calls.
	complete bool

	changed        chan struct{} // wakes runPublish
	firstPublished chan struct{} // closed when this node's entry is in the store
}

func newRegistry(n *Node) *registry {
	return &registry{node: n, members: map[string]*member{}, services: map[string]bool{}, changed: make(chan struct{}, 1), firstPublished: make(chan struct{})}
}

// publish updates this node's registration and schedules its write to the store.
func (r *registry) publish() {
	r.mu.Lock()
	r.self = r.buildRegistration(r.self.Sequence + 1)
	r.dirty = true
	r.mu.Unlock()
	r.wakePublisher()
	r.applyMembership()
}

func (r *registry) wakePublisher() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// buildRegistration returns the current registration of this node. The caller must hold the lock, so that a
// later sequence number never describes an earlier state.
func (r *registry) buildRegistration(sequence int64) Registration {
	n := r.node
	settings := n.settings()
	next := Registration{
		Node: settings.Node, Incarnation: n.incarnation, FailureDomain: settings.FailureDomain, Region: settings.Region,
		PeerAddress:    cmp.Or(settings.AdvertisedPeerAddress, settings.PeerAddress),
		ControlAddress: cmp.Or(settings.AdvertisedControlAddress, settings.ControlAddress), Service: settings.Service,
		Stopping: n.stopping.Load(), Sequence: sequence,
	}
	if u := n.local.current.Load(); u != nil {
		next.Service, next.Instance, next.StartTimeMS, next.Slots = u.Service, u.Instance, u.StartTimeMS, u.Slots
		next.WarmUpMS = u.WarmUp.Milliseconds()
		next.Serving = !u.leaving()
	}
	return next
}

func (r *registry) registration() Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// update applies a registration received from the store (listed) or from the node itself.
func (r *registry) update(reg Registration, listed bool) {
	if reg.Node == "" || reg.Node == r.node.settings().Node {
		return
	}
	now := time.Now()
	r.mu.Lock()
	m := r.members[reg.Node]
	if m == nil {
		m = &member{unlistedSince: now}
		r.members[reg.Node] = m
		r.dirty = true
	}
	if listed {
		m.listed = true
	} else {
		r.listed = true
	}
	if m.Node == "" || reg.newerThan(&m.Registration) {
		if reg.Serving && (!m.Serving || m.Instance != reg.Instance) {
			m.servingSince = now
		}
		m.keepDeparture(&reg)
		m.Registration = reg
		r.dirty = true
	}
	r.mu.Unlock()
	r.applyMembership()
}

// keepDeparture keeps the departure that the node published before next, until next shows that the node knows it.
func (m *member) keepDeparture(next *Registration) {
	if d, departed := m.departure(); departed && next.Incarnation != m.Incarnation {
		m.earlier = d
	}
	if _, departed := next.departure(); departed || next.Instance != "" && next.Instance != m.earlier.instance {
		m.earlier = departure{}
	}
}

// earlierDeparture returns the departure that a node may have acknowledged before it restarted, or a zero value.
func (r *registry) earlierDeparture(node string) departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[node]; m != nil {
		return m.earlier
	}
	return departure{}
}

// adoptEarlier applies what an earlier process of this node has published about the upstream.
func (r *registry) adoptEarlier(entry kvstore.Entry) {
	if entry.Deleted || len(entry.Value) == 0 {
		return
	}
	reg, err := decodeRegistration(entry.Value, r.node.settings().Node)
	if err != nil {
		r.rejectRegistration("registration_rejected", entry.Key, err)
		return
	}
	if d, departed := reg.departure(); departed && reg.Incarnation != r.node.incarnation {
		r.node.adoptDeparture(d, "store")
	}
}

// markUnlisted records that the store no longer holds the entry of a node. A node that announced its
// shutdown is removed immediately.
func (r *registry) markUnlisted(name string) {
	r.mu.Lock()
	if m := r.members[name]; m != nil {
		m.listed = false
		m.unlistedSince = time.Now()
		if m.Stopping {
			delete(r.members, name)
		}
		r.dirty = true
	}
	r.mu.Unlock()
	r.applyMembership()
}

// expire removes nodes that have no entry and were not contacted recently. It removes none while the store
// is unavailable.
func (r *registry) expire(storeUnavailable bool) {
	now := time.Now()
	r.mu.Lock()
	for name, m := range r.members {
		if m.listed || storeUnavailable || now.Sub(m.unlistedSince) < lapsedEntryGrace {
			continue
		}
		if r.node.gossip.contactedWithin(name, lapsedEntryGrace) {
			continue
		}
		delete(r.members, name)
		r.dirty = true
	}
	r.mu.Unlock()
	r.applyMembership()
}

// others returns the registrations of the other nodes.
func (r *registry) others() []Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Registration, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m.Registration)
	}
	return list
}

// isComplete reports whether every other node is known, or knows this one.
func (r *registry) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// controlAddress returns the address for control messages to a node, or an empty string if the node is
// unknown.
func (r *registry) controlAddress(node string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[node]; m != nil {
		return m.ControlAddress
	}
	return ""
}

// known returns the incarnation and sequence of the registration that this node knows of another, or zeros.
func (r *registry) known(node string) (incarnation uint64, sequence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[node]; m != nil {
		return m.Incarnation, m.Sequence
	}
	return 0, 0
}

// serviceOf returns the service of a node's upstream, or an empty string if the node is unknown.
func (r *registry) serviceOf(node string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[node]; m != nil {
		return m.Service
	}
	return ""
}

// applyMembership passes membership changes to the picker and the quota shares.
func (r *registry) applyMembership() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dirty {
		return
	}
	r.dirty = false
	byService := map[string][]balance.Candidate{}
	members := make([]ratelimit.Member, 0, len(r.members))
	for name, m := range r.members {
		members = append(members, ratelimit.Member{Name: name, FailureDomain: m.FailureDomain})
		if m.Serving {
			byService[m.Service] = append(byService[m.Service], newCandidate(&m.Registration, m.servingSince))
		}
	}
	if r.self.Serving {
		byService[r.self.Service] = append(byService[r.self.Service], newCandidate(&r.self, time.Time{}))
	}
	for service := range r.services {
		if len(byService[service]) == 0 {
			r.node.picker.SetCandidates(service, nil)
			delete(r.services, service)
		}
	}
	for service, candidates := range byService {
		r.node.picker.SetCandidates(service, candidates)
		r.services[service] = true
	}
	if r.listed {
		r.node.shares.SetMembers(members, r.complete)
	}
}

func newCandidate(r *Registration, since time.Time) balance.Candidate {
	return balance.Candidate{
		ID:            balance.ID{Node: r.Node, Incarnation: r.Incarnation},
		Address:       r.PeerAddress,
		FailureDomain: r.FailureDomain,
		Region:        r.Region,
		Slots:         r.Slots,
		WarmUp:        time.Duration(r.WarmUpMS) * time.Millisecond,
		FirstSeen:     since,
		Stopping:      r.Stopping,
	}
}

// runWatch watches the entries of all nodes until ctx ends. It lists them again after a restore of the store, whose new
// changes may have revisions up to the one it has read.
func (r *registry) runWatch(ctx context.Context) {
	monitor := dependencyMonitor{node: r.node, name: "store watch"}
	r.node.generation.forEach(ctx, func(ctx context.Context) { r.follow(ctx, &monitor) })
}

func (r *registry) follow(ctx context.Context, monitor *dependencyMonitor) {
	var retry storeBackoff
	after := int64(0)
	for ctx.Err() == nil {
		var err error
		after, err = r.read(ctx, after)
		r.node.checkStoreGeneration()
		if ctx.Err() != nil {
			return
		}
		monitor.report(err)
		r.expire(err != nil)
		if err != nil {
			clock.Sleep(ctx, retry.failed())
			continue
		}
		retry.succeeded()
		r.pause(ctx, r.watchDelay())
	}
}

// read applies the changes after a revision of the store, or all entries if it is 0, and returns the revision read.
func (r *registry) read(ctx context.Context, after int64) (next int64, err error) {
	if after == 0 {
		next, err = r.list(ctx)
	} else {
		next, err = r.watch(ctx, after)
	}
	if err == nil {
		r.recordRead(next)
	}
	return next, err
}

// recordRead records that all changes of the entries up to a revision of the store are known.
func (r *registry) recordRead(revision int64) {
	r.mu.Lock()
	if r.complete || r.publishedRevision == 0 || revision < r.publishedRevision {
		r.mu.Unlock()
		return
	}
	r.complete, r.dirty = true, true
	others := len(r.members)
	r.mu.Unlock()
	if others == 0 {
		r.node.gossip.roundCompleted.Store(true)
	}
	r.node.log.event("membership").Int("others", others).Int64("revision", revision).Msg("all entries known since the own one was written")
	r.applyMembership()
	r.node.updateRepeatLimits()
}

// pause waits for d, or until this node's entry is written if it waits for that to know all others.
func (r *registry) pause(ctx context.Context, d time.Duration) {
	r.mu.Lock()
	var published chan struct{}
	if !r.complete {
		published = r.firstPublished
	}
	r.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-published:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchDelay returns the delay between two watches.
func (r *registry) watchDelay() time.Duration {
	reader := r.isReader()
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := time.Duration(len(r.members) + 1)
	if reader {
		return min(maxReaderWatchDelay, nodes*readerWatchDelayPerNode)
	}
	return min(maxWatchDelay, nodes*watchDelayPerNode)
}

// isReader reports whether this node reads the store for its failure domain. The others learn from it in
// exchanges, and read themselves when what they know is older than it should be.
func (r *registry) isReader() bool {
	settings := r.node.settings()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, m := range r.members {
		if m.FailureDomain == settings.FailureDomain && name < settings.Node && !m.Stopping {
			return false
		}
	}
	return true
}

func (r *registry) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, revision, err := r.node.store.List(ctx, registryPrefix)
	if err != nil {
		return 0, err
	}
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if node, ok := nodeOfKey(entry.Key); ok {
			seen[node] = true
		}
		r.applyEntry(entry)
	}
	if self := r.node.settings().Node; !seen[self] {
		r.checkOwnEntry(kvstore.Entry{Revision: revision, Deleted: true})
	}
	for _, other := range r.others() {
		if !seen[other.Node] {
			r.markUnlisted(other.Node)
		}
	}
	r.mu.Lock()
	r.listed, r.dirty = true, true
	r.mu.Unlock()
	r.applyMembership()
	return revision, nil
}

func (r *registry) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	events, next, err := r.node.store.Watch(ctx, registryPrefix, after)
	if errors.Is(err, kvstore.ErrCompacted) {
		r.node.log.event("watch_compacted").Int64("after", after).Msg("watch history compacted; rereading all entries")
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	for _, event := range events {
		r.applyEntry(event)
	}
	return next, nil
}

// applyEntry applies a node's entry, or its deletion, from the store. It ignores invalid entries, as other writers
// may have created them.
func (r *registry) applyEntry(entry kvstore.Entry) {
	node, ok := nodeOfKey(entry.Key)
	switch {
	case !ok:
		r.rejectRegistration("registration_rejected", entry.Key, errRegistryKey)
	case node == r.node.settings().Node:
		r.checkOwnEntry(entry)
	case entry.Deleted:
		r.markUnlisted(node)
	default:
		reg, err := decodeRegistration(entry.Value, node)
		if err != nil {
			r.rejectRegistration("registration_rejected", entry.Key, err)
			return
		}
		r.update(reg, true)
	}
}

// checkOwnEntry schedules a write of this node's entry if another writer has changed or deleted it, or if its lease
// has ended.
func (r *registry) checkOwnEntry(change kvstore.Entry) {
	r.adoptEarlier(change)
	r.mu.Lock()
	displaced := r.lease != kvstore.NoLease && r.publishedRevision != 0 &&
		(change.Revision == 0 || change.Revision > r.publishedRevision) &&
		(change.Deleted || !bytes.Equal(change.Value, r.published))
	r.displaced = r.displaced || displaced
	r.mu.Unlock()
	if displaced {
		r.node.log.event("registration_displaced").Int64("revision", change.Revision).Bool("deleted", change.Deleted).
			Msg("registry entry of this node overwritten, deleted or expired")
		r.wakePublisher()
	}
}

// takeDisplaced reports whether another writer has changed this node's entry since the last call.
func (r *registry) takeDisplaced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	displaced := r.displaced
	r.displaced = false
	return displaced
}

var errNodeMismatch = errors.New("sidecar: node name does not match the expected node")

// runPublish keeps this node's entry and its lease current until ctx ends. After a restore of the store it writes the
// entry again under a new lease: the entry may be lost or outdated, and another node may hold a lease with the same ID.
func (r *registry) runPublish(ctx context.Context) {
	r.node.generation.forEach(ctx, r.publishEntry)
}

func (r *registry) publishEntry(ctx context.Context) {
	r.setLease(kvstore.NoLease)
	p := publisher{registry: r}
	var retry storeBackoff
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := p.step(callCtx)
		cancel()
		r.node.checkStoreGeneration()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.node.log.event("registration_failed").Err(err).Msg("cannot write registration")
			clock.Sleep(ctx, retry.failed())
			continue
		}
		retry.succeeded()
		p.wait(ctx)
	}
}

// publisher holds the state of this node's entry in the store.
type publisher struct {
	registry        *registry
	lease           kvstore.LeaseID
	renewed         time.Time
	revision        int64
	writtenSequence int64     // sequence number of the registration in the store
	rewrittenAt     time.Time // last write after another writer had displaced the entry
}

// step performs the store calls that are due.
func (p *publisher) step(ctx context.Context) error {
	store := p.registry.node.store
	if p.lease == kvstore.NoLease {
		now := clock.Boot()
		lease, err := store.GrantLease(ctx, p.registry.node.settings().leaseTTL())
		if err != nil {
			return err
		}
		p.lease, p.renewed, p.writtenSequence = lease, now, 0
		p.registry.setLease(lease)
	}
	if now := clock.Boot(); now.Sub(p.renewed) >= leaseRenewInterval {
		if err := store.KeepAlive(ctx, p.lease); err != nil {
			if errors.Is(err, kvstore.ErrLeaseExpired) {
				p.lease = kvstore.NoLease
			}
			return err
		}
		p.renewed = now
	}
	// Restoring at the pace of renewals keeps two processes with the same name from writing in turns without a pause.
	if now := clock.Boot(); now.Sub(p.rewrittenAt) >= leaseRenewInterval && p.registry.takeDisplaced() {
		p.rewrittenAt, p.writtenSequence = now, 0
	}
	self := p.registry.registration()
	if self.Sequence == p.writtenSequence {
		return nil
	}
	return p.write(ctx, self)
}

func (p *publisher) write(ctx context.Context, self Registration) error {
	store := p.registry.node.store
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := registryPrefix + self.Node
	p.registry.setPublishing(value)
	revision, err := store.CompareAndSwap(ctx, key, p.revision, value, p.lease)
	if errors.Is(err, kvstore.ErrConflict) {
		// The entry was written by an earlier process, or by a write of this process whose response was
		// lost. This process is now the only writer of the entry.
		entry, readErr := store.Get(ctx, key)
		if readErr != nil && !errors.Is(readErr, kvstore.ErrNotFound) {
			return readErr
		}
		p.revision = entry.Revision
		p.registry.adoptEarlier(entry)
		revision, err = store.CompareAndSwap(ctx, key, p.revision, value, p.lease)
	}
	switch {
	case err == nil:
		p.written(revision, self)
	case errors.Is(err, kvstore.ErrLeaseExpired):
		p.lease = kvstore.NoLease
	}
	return err
}

func (p *publisher) written(revision int64, self Registration) {
	p.revision, p.writtenSequence = revision, self.Sequence
	p.registry.setPublished(revision)
}

// wait blocks until the registration changes or the lease is due for renewal.
func (p *publisher) wait(ctx context.Context) {
	timer := time.NewTimer(max(0, leaseRenewInterval-clock.Boot().Sub(p.renewed)))
	defer timer.Stop()
	select {
	case <-p.registry.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// deregister removes this node's entry by revoking its lease.
func (r *registry) deregister(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.lease = kvstore.NoLease
	r.mu.Unlock()
	if lease == kvstore.NoLease {
		return nil
	}
	return r.node.store.RevokeLease(ctx, lease)
}

func (r *registry) setLease(lease kvstore.LeaseID) {
	r.mu.Lock()
	r.lease = lease
	r.mu.Unlock()
}

// setPublishing records the value of this node's entry that is about to be written.
func (r *registry) setPublishing(value []byte) {
	r.mu.Lock()
	r.published = value
	r.mu.Unlock()
}

// setPublished records the revision of the last confirmed write of this node's entry.
func (r *registry) setPublished(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishedRevision = revision
	select {
	case <-r.firstPublished:
	default:
		close(r.firstPublished)
	}
}
