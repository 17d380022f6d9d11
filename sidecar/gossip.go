package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/internal/httpconn"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/quarantine"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

const (
	// gossipInterval is the time between two gossip rounds. Changes spread within about one second.
	gossipInterval = 500 * time.Millisecond
	// gossipJoinInterval is the time between rounds while a new node does not know its shares yet.
	gossipJoinInterval = 100 * time.Millisecond
	// maxGossipTargets bounds the exchanges that a node starts per round; each takes about 0.2 ms of CPU
	// time. This covers fleets of up to 17 nodes in every round, and larger fleets in rotation.
	maxGossipTargets = 8
	// gossipTimeout bounds an exchange. Healthy nodes respond within milliseconds.
	gossipTimeout = 400 * time.Millisecond
	// gossipIdleTimeout is how long a connection between nodes may be idle before it is closed.
	gossipIdleTimeout = 10 * time.Second
	// unreachableFailures is the number of consecutive failed exchanges after which a node is unreachable.
	unreachableFailures = 2
	// maxGossipBytes bounds the state in each direction of an exchange. The state may include the
	// configuration, which is up to 1 MB as stored.
	maxGossipBytes = 4 << 20
	// maxGossipMarks bounds the crash marks per message.
	maxGossipMarks = 256
)

// gossip exchanges state with the other nodes. It relays the configuration and its age to nodes that cannot
// read the store, propagates demand for quota shares, and detects unreachable nodes.
type gossip struct {
	node   *Node
	client *http.Client
	// roundCompleted is set after the first round of exchanges with all other nodes, or when there are none.
	roundCompleted atomic.Bool

	// The registry locks mu while it holds its own lock, so no method of it may be called while mu is locked.
	mu    sync.Mutex
	peers map[string]*peerState
}

type peerState struct {
	lastContact time.Time
	lastAttempt time.Time
	failures    int
	revision    int64
	// marksSent is the sequence number of the last crash mark change that the peer has received.
	marksSent uint64
	// knownIncarnation and knownSequence identify the registration of this node that the peer knows.
	knownIncarnation uint64
	knownSequence    int64
	// echo identifies the last message received from the peer, which came at echoAt on the lease clock.
	echo   *gossipv1.Echo
	echoAt time.Time
}

func newGossip(n *Node) *gossip {
	return &gossip{node: n, peers: map[string]*peerState{}, client: &http.Client{
		Transport: boundedResponses{httpconn.StrictTransport{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: gossipIdleTimeout, DisableCompression: true,
			ReadBufferSize: gossipBufferSize, WriteBufferSize: gossipBufferSize, MaxResponseHeaderBytes: maxHeaderBytes,
		}}},
	}}
}

// boundedResponses limits response bodies to maxGossipBytes, because twirp reads the entire body.
type boundedResponses struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b boundedResponses) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := b.next.RoundTrip(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxGossipBytes)
	}
	return response, err
}

// gossipBufferSize is the size of the read and write buffers of a connection in bytes.
const gossipBufferSize = 2 << 10

func (g *gossip) peer(name string) *peerState {
	p := g.peers[name]
	if p == nil {
		p = &peerState{}
		g.peers[name] = p
	}
	return p
}

// contactedWithin reports whether the last contact with a node was less than d ago.
func (g *gossip) contactedWithin(name string, d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[name]
	return p != nil && time.Since(p.lastContact) < d
}

// run performs gossip rounds until ctx ends.
func (g *gossip) run(ctx context.Context) {
	joined := false
	var logged joinLog
	for ctx.Err() == nil {
		var round sync.WaitGroup
		complete := g.node.registry.isComplete()
		for _, target := range g.targets() {
			round.Go(func() { g.node.contain("exchange", func() { g.exchange(ctx, target) }) })
		}
		round.Wait()
		if complete {
			g.roundCompleted.Store(true)
		}
		joinedBefore := joined
		joined = g.node.shares.Reconcile(time.Now())
		g.logJoin(&logged)
		switch {
		case !joined:
			clock.Sleep(ctx, gossipJoinInterval)
		case joinedBefore:
			clock.Sleep(ctx, jittered(gossipInterval))
		default: // start the next round at once, or nodes unaware of the join would allocate the same rates again
		}
	}
}

// hasJoined reports whether the node has learned from the other nodes what they know, as far as it reaches them.
func (g *gossip) hasJoined() bool { return g.roundCompleted.Load() || g.node.shares.Joined() }

// targets returns the nodes to contact in this round, least recently contacted first. In a large fleet, those of
// other failure domains have their turn less often. Of each pair, one node initiates the exchange; the other does
// so only if no exchange has taken place for two share cycles.
func (g *gossip) targets() []Registration {
	self := g.node.settings()
	others := g.node.registry.others()
	overdue := 2 * g.node.shares.CycleDuration()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	known := make(map[string]bool, len(others))
	due := make([]Registration, 0, len(others))
	for _, other := range others {
		known[other.Node] = true
		if p := g.peer(other.Node); initiatesExchange(self.Node, other.Node) || now.Sub(p.lastContact) > overdue {
			due = append(due, other)
		}
	}
	for name := range g.peers {
		if !known[name] {
			delete(g.peers, name)
		}
	}
	slices.SortFunc(due, func(a, b Registration) int {
		return g.peers[a.Node].lastExchange().Compare(g.peers[b.Node].lastExchange())
	})
	config := sharesConfig()
	local, remote := config.Partners(len(others))
	targets := make([]Registration, 0, maxGossipTargets)
	for _, target := range due {
		left := &remote
		if target.FailureDomain == self.FailureDomain {
			left = &local
		}
		if *left == 0 || len(targets) == maxGossipTargets {
			continue
		}
		*left--
		g.peers[target.Node].lastAttempt = now
		targets = append(targets, target)
	}
	return targets
}

// lastExchange returns when either side last attempted an exchange.
func (p *peerState) lastExchange() time.Time {
	if p.lastAttempt.After(p.lastContact) {
		return p.lastAttempt
	}
	return p.lastContact
}

// initiatesExchange assigns one initiator to each pair of nodes, so that each node starts exchanges with
// about half of the others.
func initiatesExchange(self, other string) bool {
	sum := 0
	for i := range len(self) {
		sum += int(self[i])
	}
	for i := range len(other) {
		sum += int(other[i])
	}
	return (sum%2 == 0) == (self < other)
}

// rpcClient returns a client for the node with a control address.
func (g *gossip) rpcClient(address string) gossipv1.Gossip {
	return gossipv1.NewGossipProtobufClient("http://"+address, g.client)
}

func (g *gossip) exchange(ctx context.Context, target Registration) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	startedAt := clock.Boot() // the response is prepared later
	state, marks := g.stateFor(target.Node)
	response, err := g.rpcClient(target.ControlAddress).Exchange(ctx, state)
	if err == nil && response.Node != target.Node {
		err = errNodeMismatch
	}
	if err != nil {
		g.recordFailure(target.Node, err)
		return
	}
	g.mu.Lock()
	g.peer(target.Node).marksSent = marks
	g.mu.Unlock()
	g.merge(response, startedAt)
}

// recordFailure records a failed exchange. After unreachableFailures in a row, the picker treats the node as
// unreachable for calls too.
func (g *gossip) recordFailure(name string, err error) {
	g.mu.Lock()
	p := g.peer(name)
	p.failures++
	failures := p.failures
	g.mu.Unlock()
	if failures < unreachableFailures {
		return
	}
	g.node.picker.SetReachable(name, false, time.Now())
	if failures == unreachableFailures {
		g.node.log.event("peer").Str("peer", name).Str("outcome", "unreachable").Err(err).Msg("node unreachable")
	}
}

// Exchange implements gossipv1.Gossip.
func (g *gossip) Exchange(_ context.Context, state *gossipv1.State) (*gossipv1.State, error) {
	g.merge(state, g.node.preparedAfter(state.Echo, clock.Boot()))
	response, _ := g.stateFor(state.Node)
	return response, nil
}

// stateFor returns the state to send to a peer, and the sequence number of the last crash mark in it.
func (g *gossip) stateFor(peer string) (*gossipv1.State, uint64) {
	n := g.node
	preparedAt := clock.Boot() // before any of the ages in the message is taken
	state := &gossipv1.State{
		Node: n.settings().Node, Incarnation: n.incarnation, PreparedUs: preparedAt.UnixMicro(), ConfigurationAgeUs: -1,
	}
	active, age := n.configuration.snapshot()
	if active != nil {
		state.ConfigurationRevision = active.document.Revision
	}
	if age >= 0 {
		state.ConfigurationAgeUs = age.Microseconds()
	}
	self := n.registry.registration()
	after, registrationKnown := g.addKnown(state, peer, active, &self, preparedAt)
	if u := n.local.current.Load(); u != nil {
		encodeUpstreamLoad(state, u.load(time.Now()), u)
		state.ColdUs = n.local.pacer.Cold(time.Now()).Microseconds()
	}
	state.Evacuation = n.evacuation.encode()
	encodeLimits(state, n.limits.All(time.Now()))
	encodeShares(state, n.shares.PrepareMessage(peer, time.Now()))
	marks, last := n.quarantine.Changes(after, maxGossipMarks)
	for _, m := range marks {
		state.Marks = append(state.Marks, &gossipv1.Mark{
			Fingerprint: m.Fingerprint, Crash: uint64(m.Crash), UnixMs: m.At.UnixMilli(), Weak: m.Weak, Cleared: m.Cleared,
		})
	}
	state.KnownIncarnation, state.KnownSequence = n.registry.known(peer)
	if d := n.registry.earlierDeparture(peer); d.instance != "" {
		state.Departure = &gossipv1.Departure{Instance: d.instance, StartTimeMs: d.startTimeMS}
	}
	if registrationKnown {
		return state, last
	}
	registration, err := json.Marshal(self)
	if err != nil {
		n.log.event("gossip_failed").Err(err).Msg("cannot encode registration")
	}
	state.Registration = registration
	return state, last
}

// addKnown adds what follows from what the peer knows and has sent. It returns the sequence number of the last crash mark
// that the peer has received, and whether it knows this node's registration.
func (g *gossip) addKnown(state *gossipv1.State, peer string, active *activeConfiguration, self *Registration, preparedAt time.Time) (marks uint64, registered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(peer)
	if active != nil && p.revision < state.ConfigurationRevision && !p.lastContact.IsZero() {
		state.Configuration = active.raw
	}
	if p.echo != nil {
		state.Echo = &gossipv1.Echo{
			Incarnation: p.echo.Incarnation, PreparedUs: p.echo.PreparedUs, HeldUs: max(0, preparedAt.Sub(p.echoAt)).Microseconds(),
		}
	}
	return p.marksSent, p.knownIncarnation == self.Incarnation && p.knownSequence >= self.Sequence
}

// preparedAfter returns a time on the lease clock after which a peer has prepared a message that arrives now, or zero if
// that is unknown. A message may have been on its way for as long as its connection lasts, so its arrival tells nothing.
// The peer prepared it after it had received the message of this process that it echoes, and had held it for a while.
func (n *Node) preparedAfter(echo *gossipv1.Echo, now time.Time) time.Time {
	if echo == nil || echo.Incarnation != n.incarnation || echo.HeldUs < 0 {
		return time.Time{}
	}
	at := time.UnixMicro(echo.PreparedUs).Add(peer.DecodeAge(echo.HeldUs))
	if at.After(now) {
		return time.Time{} // no peer sends this
	}
	return at
}

// receive records a message from a peer: a contact, unless it may be so old that its sender has given up, and the echo.
func (g *gossip) receive(state *gossipv1.State, current bool) {
	n := g.node
	now := time.Now()
	g.mu.Lock()
	p := g.peer(state.Node)
	if p.echo == nil || p.echo.Incarnation != state.Incarnation || p.echo.PreparedUs < state.PreparedUs {
		p.echo, p.echoAt = &gossipv1.Echo{Incarnation: state.Incarnation, PreparedUs: state.PreparedUs}, clock.Boot()
	}
	recovered := current && p.failures >= unreachableFailures
	p.revision = max(p.revision, state.ConfigurationRevision)
	if current {
		p.lastContact, p.failures, p.revision = now, 0, state.ConfigurationRevision
		p.knownIncarnation, p.knownSequence = state.KnownIncarnation, state.KnownSequence
	}
	g.mu.Unlock()
	if recovered {
		n.picker.SetReachable(state.Node, true, now)
		n.log.event("peer").Str("peer", state.Node).Str("outcome", "reachable").Msg("node reachable again")
	}
}

// merge applies the state of a peer. preparedAt is a time on the lease clock after which the peer prepared the message,
// or zero if unknown. What a message tells about the present counts from then. One that was held up by the network
// carries only what does not age: the registration, the configuration and the crash marks. Its sender has given up, so
// the share that it transfers may have been restored elsewhere.
func (g *gossip) merge(state *gossipv1.State, preparedAt time.Time) {
	n := g.node
	if len(state.Registration) > 0 || state.Node == "" {
		reg, err := decodeRegistration(state.Registration, state.Node)
		if err != nil {
			n.registry.rejectRegistration("gossip_rejected", state.Node, err)
			return
		}
		n.registry.update(reg, false)
	}
	dated := !preparedAt.IsZero()
	age := clock.Boot().Sub(preparedAt)
	current := !dated || age <= g.node.shares.TransferLifetime()
	if !current {
		n.log.event("gossip_late").Str("peer", state.Node).Dur("age_ms", age).Msg("message was held up; what it tells about the present is ignored")
	}
	g.receive(state, current)
	if d := state.Departure; d != nil && validInstance(d.Instance) && validStartTime(d.StartTimeMs) {
		n.adoptDeparture(departure{d.Instance, d.StartTimeMs}, "peer "+state.Node)
	}
	g.applyConfiguration(state, preparedAt)
	n.evacuation.receive(state.Evacuation, preparedAt, state.Node)
	now := time.Now()
	if current && dated {
		if service := n.registry.serviceOf(state.Node); service != "" {
			n.limits.RecordDestination(service, state.Node, decodeRank(state.ShedFrom), now.Add(-age))
			load, usual := decodeUpstreamLoad(state)
			n.picker.Report(service, state.Node, load, usual, now.Add(-age))
		}
		n.limits.Relay(decodeLimits(state), now.Add(-age))
		n.registry.setCold(state.Node, now.Add(min(peer.DecodeAge(state.ColdUs), maxWarmUp)-age))
	}
	if current {
		n.shares.Receive(state.Node, decodeShares(state, dated), now)
	}
	marks := make([]quarantine.Mark, 0, len(state.Marks))
	for _, m := range state.Marks {
		marks = append(marks, quarantine.Mark{
			Fingerprint: m.Fingerprint, Crash: quarantine.CrashID(m.Crash), At: time.UnixMilli(m.UnixMs), Weak: m.Weak, Cleared: m.Cleared,
		})
	}
	n.quarantine.Merge(marks, now)
}

// encodeLimits adds the limits of overloaded services to the state of an exchange.
func encodeLimits(state *gossipv1.State, limits []call.ServiceLimit) {
	for _, l := range limits {
		state.Limits = append(state.Limits, &gossipv1.ServiceLimit{
			Service: l.Service, ShedFrom: uint32(l.ShedFrom), AgeUs: l.Age.Microseconds(),
		})
	}
}

// decodeLimits returns the limits in the state of an exchange.
func decodeLimits(state *gossipv1.State) []call.ServiceLimit {
	limits := make([]call.ServiceLimit, 0, len(state.Limits))
	for _, l := range state.Limits {
		limits = append(limits, call.ServiceLimit{
			Service: l.Service, ShedFrom: decodeRank(l.ShedFrom), Age: peer.DecodeAge(l.AgeUs),
		})
	}
	return limits
}

func decodeRank(rank uint32) call.Rank { return call.Rank(min(rank, uint32(call.RankLimit))) }

// applyConfiguration applies a newer configuration from a peer, or the age of the peer's configuration if
// the revision is the same. A peer that does not know this node yet sends only the revision.
func (g *gossip) applyConfiguration(state *gossipv1.State, preparedAt time.Time) {
	if state.ConfigurationAgeUs < 0 {
		return
	}
	confirmedAt := time.Time{} // unknown
	if !preparedAt.IsZero() {
		confirmedAt = preparedAt.Add(-peer.DecodeAge(state.ConfigurationAgeUs))
	}
	if len(state.Configuration) > 0 && state.ConfigurationRevision > g.node.configuration.revision() {
		if err := g.node.configuration.update(state.Configuration, confirmedAt, "peer "+state.Node); err != nil {
			g.node.log.event("configuration_rejected").Str("from", state.Node).Err(err).Msg("invalid peer configuration ignored")
		}
		return
	}
	g.node.configuration.confirm(state.ConfigurationRevision, confirmedAt)
}
