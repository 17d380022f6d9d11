package sidecar

import (
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
	// registryPrefix holds one entry for each node.
	registryPrefix = "cowslipglade/nodes/"
	// leaseTime is above the time after which a cut-off node stops admitting keyed requests, so that its
	// share of quotas is given to others only when it no longer uses it.
	leaseTime = 9 * time.Second
	// renewEvery leaves three tries within the lease.
	renewEvery = 2500 * time.Millisecond
	// watchTime is how long a watch waits. A silent connection is found after it, while exchanges bring the news
	// of nodes that are known.
	watchTime = 15 * time.Second
	// watchPause for each node of the fleet collects changes that come together, since each answer of a watch
	// is a call of every node: all watches together make 50 calls a second at most.
	watchPause = 20 * time.Millisecond
	// watchPauseLimit is the time in which entries that had lapsed are back.
	watchPauseLimit = 2 * time.Second
	// lapsedGrace keeps a node whose entry ended without its leave, because leases may lapse while the
	// store is away and entries come back within about two seconds.
	lapsedGrace = 3 * time.Second
)

// Registration is what a node publishes about itself.
type Registration struct {
	Node string `json:"node"`
	// Incarnation is the start of the node's process in nanoseconds since 1970.
	Incarnation uint64 `json:"incarnation"`
	// Sequence orders the registrations of one incarnation.
	Sequence       int64  `json:"sequence"`
	FailureDomain  string `json:"failure_domain"`
	Region         string `json:"region"`
	PeerAddress    string `json:"peer_address"`
	ControlAddress string `json:"control_address"`
	Service        string `json:"service"`
	Instance       string `json:"instance,omitempty"`
	Slots          int    `json:"slots,omitempty"`
	WarmUpMS       int64  `json:"warm_up_ms,omitempty"`
	// Serving means that the upstream takes calls.
	Serving bool `json:"serving"`
	// Stopping means that the node's process is about to end. It takes calls for a little longer, for those
	// that have no other upstream.
	Stopping bool `json:"stopping,omitempty"`
}

// newerThan tells whether r replaces o.
func (r *Registration) newerThan(o *Registration) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}

// memberNode is another node.
type memberNode struct {
	Registration
	// listed means that the store holds its entry.
	listed bool
	// unlistedSince is when its entry ended or it was first heard of without one.
	unlistedSince time.Time
	servingSince  time.Time
}

// registry publishes this node in the store and knows the others from there and from themselves.
type registry struct {
	node *Node

	mu       sync.Mutex
	own      Registration
	lease    kvstore.LeaseID
	members  map[string]*memberNode
	dirty    bool
	services map[string]bool
	// listed means that the entries of the store, or another node, have been heard.
	listed bool

	changed chan struct{} // wakes the publisher
}

func newRegistry(n *Node) *registry {
	return &registry{node: n, members: map[string]*memberNode{}, services: map[string]bool{}, changed: make(chan struct{}, 1)}
}

// publish brings the own registration up to date and has it written.
func (r *registry) publish() {
	r.mu.Lock()
	r.own = r.describe(r.own.Sequence + 1)
	r.dirty = true
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
	r.apply()
}

// describe returns what others are to know of this node now. The caller holds the lock, so that a later
// sequence number never comes with an earlier state.
func (r *registry) describe(sequence int64) Registration {
	n := r.node
	settings := n.settings()
	next := Registration{
		Node: settings.Node, Incarnation: n.incarnation, FailureDomain: settings.FailureDomain, Region: settings.Region,
		PeerAddress:    cmp.Or(settings.AdvertisedPeerAddress, settings.PeerAddress),
		ControlAddress: cmp.Or(settings.AdvertisedControlAddress, settings.ControlAddress), Service: settings.Service,
		Stopping: n.stopping.Load(), Sequence: sequence,
	}
	if u := n.local.current.Load(); u != nil {
		next.Service, next.Instance, next.Slots = u.Service, u.Instance, u.Slots
		next.WarmUpMS = u.WarmUp.Milliseconds()
		next.Serving = !u.leaving()
	}
	return next
}

func (r *registry) registration() Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// learn takes in a registration from the store or from its node itself.
func (r *registry) learn(reg Registration, listed bool) {
	if reg.Node == "" || reg.Node == r.node.settings().Node {
		return
	}
	now := time.Now()
	r.mu.Lock()
	m := r.members[reg.Node]
	if m == nil {
		m = &memberNode{unlistedSince: now}
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
		m.Registration = reg
		r.dirty = true
	}
	r.mu.Unlock()
	r.apply()
}

// unlist notes that the store no longer holds the entry of a node. One that said that it stops is
// forgotten at once.
func (r *registry) unlist(name string) {
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
	r.apply()
}

// expire forgets nodes without an entry that are not heard of. While the store is away nobody is.
func (r *registry) expire(storeAway bool) {
	now := time.Now()
	r.mu.Lock()
	for name, m := range r.members {
		if m.listed || storeAway || now.Sub(m.unlistedSince) < lapsedGrace {
			continue
		}
		if r.node.gossip.heardWithin(name, lapsedGrace) {
			continue
		}
		delete(r.members, name)
		r.dirty = true
	}
	r.mu.Unlock()
	r.apply()
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

// controlAddress returns where a node takes control messages, empty when it is not known.
func (r *registry) controlAddress(node string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[node]; m != nil {
		return m.ControlAddress
	}
	return ""
}

// apply passes changes on to the picker and the quota shares.
func (r *registry) apply() {
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
			byService[m.Service] = append(byService[m.Service], candidateOf(&m.Registration, m.servingSince))
		}
	}
	if r.own.Serving {
		byService[r.own.Service] = append(byService[r.own.Service], candidateOf(&r.own, time.Time{}))
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
		r.node.shares.SetMembers(members)
	}
}

func candidateOf(r *Registration, since time.Time) balance.Candidate {
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

// runWatch follows the entries of all nodes until ctx ends.
func (r *registry) runWatch(ctx context.Context) {
	reachable := dependency{node: r.node, name: "store watch"}
	var retry storeBackoff
	after := int64(0)
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = r.list(ctx)
		} else {
			after, err = r.watch(ctx, after)
		}
		reachable.report(err)
		r.expire(err != nil)
		if err != nil {
			clock.Sleep(ctx, retry.failed())
			continue
		}
		retry.succeeded()
		clock.Sleep(ctx, r.pause())
	}
}

// pause is the time between two watches.
func (r *registry) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(watchPauseLimit, time.Duration(len(r.members)+1)*watchPause)
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
		seen[entry.Key[len(registryPrefix):]] = true
		r.learnEntry(entry)
	}
	for _, other := range r.others() {
		if !seen[other.Node] {
			r.unlist(other.Node)
		}
	}
	r.mu.Lock()
	r.listed, r.dirty = true, true
	r.mu.Unlock()
	r.apply()
	return revision, nil
}

func (r *registry) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	events, next, err := r.node.store.Watch(ctx, registryPrefix, after)
	if errors.Is(err, kvstore.ErrCompacted) {
		r.node.log.event("watch_compacted").Int64("after", after).Msg("history is gone, entries are read again")
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	for _, event := range events {
		if event.Deleted {
			r.unlist(event.Key[len(registryPrefix):])
		} else {
			r.learnEntry(event)
		}
	}
	return next, nil
}

// learnEntry ignores entries that cannot be read, which other writers may have left.
func (r *registry) learnEntry(entry kvstore.Entry) {
	var reg Registration
	err := json.Unmarshal(entry.Value, &reg)
	if err == nil && reg.Node != entry.Key[len(registryPrefix):] {
		err = errForeignEntry
	}
	if err != nil {
		r.node.log.event("registration_rejected").Str("key", entry.Key).Err(err).Msg("entry ignored")
		return
	}
	r.learn(reg, true)
}

var errForeignEntry = errors.New("sidecar: entry does not belong to its key")

// runPublish keeps the own entry and its lease until ctx ends.
func (r *registry) runPublish(ctx context.Context) {
	p := publisher{registry: r}
	var retry storeBackoff
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := p.step(callCtx)
		cancel()
		if err != nil {
			r.node.log.event("registration_failed").Err(err).Msg("registration not written")
			clock.Sleep(ctx, retry.failed())
			continue
		}
		retry.succeeded()
		p.wait(ctx)
	}
}

// publisher is the state of the own entry in the store.
type publisher struct {
	registry *registry
	lease    kvstore.LeaseID
	renewed  time.Time
	revision int64
	written  int64 // sequence of the written registration
}

// step makes the calls that are due.
func (p *publisher) step(ctx context.Context) error {
	store := p.registry.node.store
	if p.lease == kvstore.NoLease {
		now := clock.Boot()
		lease, err := store.GrantLease(ctx, p.registry.node.settings().leaseTime())
		if err != nil {
			return err
		}
		p.lease, p.renewed, p.written = lease, now, 0
		p.registry.setLease(lease)
	}
	if now := clock.Boot(); now.Sub(p.renewed) >= renewEvery {
		if err := store.KeepAlive(ctx, p.lease); err != nil {
			if errors.Is(err, kvstore.ErrLeaseExpired) {
				p.lease = kvstore.NoLease
			}
			return err
		}
		p.renewed = now
	}
	own := p.registry.registration()
	if own.Sequence == p.written {
		return nil
	}
	return p.write(ctx, own)
}

func (p *publisher) write(ctx context.Context, own Registration) error {
	store := p.registry.node.store
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	key := registryPrefix + own.Node
	revision, err := store.CompareAndSwap(ctx, key, p.revision, value, p.lease)
	switch {
	case err == nil:
		p.revision, p.written = revision, own.Sequence
	case errors.Is(err, kvstore.ErrLeaseExpired):
		p.lease = kvstore.NoLease
	case errors.Is(err, kvstore.ErrConflict):
		// An earlier process or an unanswered write of this one; only this process writes the entry now.
		entry, readErr := store.Get(ctx, key)
		if readErr != nil && !errors.Is(readErr, kvstore.ErrNotFound) {
			return readErr
		}
		p.revision = entry.Revision
		revision, err = store.CompareAndSwap(ctx, key, p.revision, value, p.lease)
		if err == nil {
			p.revision, p.written = revision, own.Sequence
		}
	}
	return err
}

// wait returns when the registration changes or the lease is due.
func (p *publisher) wait(ctx context.Context) {
	timer := time.NewTimer(max(0, renewEvery-clock.Boot().Sub(p.renewed)))
	defer timer.Stop()
	select {
	case <-p.registry.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// leave ends the own entry with its lease.
func (r *registry) leave(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
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
