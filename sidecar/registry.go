package sidecar

import (
	"cmp"
	"errors"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// registryPrefix is the store prefix of the node entries, one per node.
const registryPrefix = "cowslipglade/nodes/"

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

	// departures is used by runPublish and, when that has ended, by deregister.
	departures departuresEntry

	members map[string]*member
	// formerMembers holds the departures of nodes that are no longer members.
	formerMembers map[string]formerMember
	dirty         bool
	services      map[string]bool
	// listed means that the entries were read from the store, or that another node was contacted.
	listed bool
	// complete means that the entries were read as they were after this node's own entry had been written. Of two nodes
	// that start, at least one then knows the other, whatever delays their calls.
	complete bool

	changed        chan struct{} // wakes runPublish
	firstPublished chan struct{} // closed when this node's entry is in the store
}

func newRegistry(n *Node) *registry {
	return &registry{node: n, members: map[string]*member{}, formerMembers: map[string]formerMember{}, services: map[string]bool{}, changed: make(chan struct{}, 1), firstPublished: make(chan struct{})}
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
		if n.local.service().WarmUpRate > 0 {
			next.WarmUpMS = n.local.pacer.Cold(time.Now()).Milliseconds()
		}
		next.Serving = !u.leaving()
	}
	return next
}

func (r *registry) registration() Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
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

var errNodeMismatch = errors.New("sidecar: node name does not match the expected node")
