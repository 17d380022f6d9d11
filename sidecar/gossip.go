package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/quarantine"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

const (
	// gossipEvery is the time between two rounds of exchanges, in which changes spread within about a second.
	gossipEvery = 500 * time.Millisecond
	// gossipJoining is that time while a new node does not know its shares yet.
	gossipJoining = 100 * time.Millisecond
	// gossipTargets bounds the exchanges that a node starts in a round, each about 0.2 ms of processor time. It
	// covers fleets of 17 nodes in each round, and larger ones in turn.
	gossipTargets = 8
	// gossipTimeout bounds an exchange. A node that is alive answers in milliseconds.
	gossipTimeout = 400 * time.Millisecond
	// gossipIdle closes unused connections between nodes.
	gossipIdle = 10 * time.Second
	// gossipFailures in a row mean that a node is unreachable.
	gossipFailures = 2
	// maxGossipBytes bounds the state in each direction of an exchange. It may hold the configuration, 1 MB as stored.
	maxGossipBytes = 4 << 20
	// gossipMarks bounds the crash marks in one message.
	gossipMarks = 256
)

// gossip exchanges state with the other nodes. It relays the configuration and how fresh it is to nodes
// that cannot read the store, carries demand for the shares of quotas, and detects unreachable nodes.
type gossip struct {
	node   *Node
	client *http.Client

	mu    sync.Mutex
	peers map[string]*peerState
}

type peerState struct {
	heard    time.Time
	tried    time.Time
	failures int
	revision int64
	// marksSent is the number of the last change of the crash marks that the peer has.
	marksSent uint64
}

func newGossip(n *Node) *gossip {
	return &gossip{node: n, peers: map[string]*peerState{}, client: &http.Client{
		Transport: boundedAnswers{&http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: gossipIdle, DisableCompression: true,
			ReadBufferSize: gossipBuffer, WriteBufferSize: gossipBuffer, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}}
}

// boundedAnswers ends the bodies of answers at maxGossipBytes with an error; twirp reads them whole.
type boundedAnswers struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b boundedAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := b.next.RoundTrip(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxGossipBytes)
	}
	return response, err
}

// gossipBuffer is the size of a connection's buffers in bytes.
const gossipBuffer = 2 << 10

func (g *gossip) peer(name string) *peerState {
	p := g.peers[name]
	if p == nil {
		p = &peerState{}
		g.peers[name] = p
	}
	return p
}

// heardWithin tells whether a node has been heard within d.
func (g *gossip) heardWithin(name string, d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[name]
	return p != nil && time.Since(p.heard) < d
}

// run exchanges state in rounds until ctx ends.
func (g *gossip) run(ctx context.Context) {
	joined := false
	for ctx.Err() == nil {
		var round sync.WaitGroup
		for _, target := range g.targets() {
			round.Go(func() { g.exchange(ctx, target) })
		}
		round.Wait()
		joinedBefore := joined
		joined = g.node.shares.Reconcile(time.Now())
		switch {
		case !joined:
			clock.Sleep(ctx, gossipJoining)
		case joinedBefore:
			clock.Sleep(ctx, jittered(gossipEvery))
		default: // no pause: nodes that have not heard of the join would divide the same rates again
		}
	}
}

// targets returns the nodes to call in this round, those first whose last exchange is the longest ago. Of two
// nodes one calls the other, and the other calls back only when it has not been called.
func (g *gossip) targets() []Registration {
	own := g.node.settings().Node
	others := g.node.registry.others()
	late := 2 * g.node.shares.CycleDuration()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	known := make(map[string]bool, len(others))
	due := make([]Registration, 0, len(others))
	for _, other := range others {
		known[other.Node] = true
		if p := g.peer(other.Node); callsFirst(own, other.Node) || now.Sub(p.heard) > late {
			due = append(due, other)
		}
	}
	for name := range g.peers {
		if !known[name] {
			delete(g.peers, name)
		}
	}
	slices.SortFunc(due, func(a, b Registration) int { return g.peers[a.Node].met().Compare(g.peers[b.Node].met()) })
	due = due[:min(gossipTargets, len(due))]
	for _, target := range due {
		g.peers[target.Node].tried = now
	}
	return due
}

// met is when an exchange with a peer was last tried by either side.
func (p *peerState) met() time.Time {
	if p.tried.After(p.heard) {
		return p.tried
	}
	return p.heard
}

// callsFirst splits the pairs evenly: a node starts the exchange with about half of the others.
func callsFirst(own, other string) bool {
	sum := 0
	for i := range len(own) {
		sum += int(own[i])
	}
	for i := range len(other) {
		sum += int(other[i])
	}
	return (sum%2 == 0) == (own < other)
}

// rpc returns the calls of the node with a control address.
func (g *gossip) rpc(address string) gossipv1.Gossip {
	return gossipv1.NewGossipProtobufClient("http://"+address, g.client)
}

func (g *gossip) exchange(ctx context.Context, target Registration) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	sent := clock.Boot()
	state, marks := g.state(target.Node)
	answer, err := g.rpc(target.ControlAddress).Exchange(ctx, state)
	if err == nil && answer.Node != target.Node {
		err = errForeignEntry
	}
	if err != nil {
		g.failed(target.Node, err)
		return
	}
	g.mu.Lock()
	g.peer(target.Node).marksSent = marks
	g.mu.Unlock()
	g.learn(answer, sent)
}

// failed counts a failed exchange. Two in a row make the node unreachable for calls as well.
func (g *gossip) failed(name string, err error) {
	g.mu.Lock()
	p := g.peer(name)
	p.failures++
	failures := p.failures
	g.mu.Unlock()
	if failures < gossipFailures {
		return
	}
	g.node.picker.SetReachable(name, false, time.Now())
	if failures == gossipFailures {
		g.node.log.event("peer").Str("peer", name).Str("outcome", "unreachable").Err(err).Msg("node does not answer")
	}
}

// Exchange implements gossipv1.Gossip.
func (g *gossip) Exchange(_ context.Context, state *gossipv1.State) (*gossipv1.State, error) {
	g.learn(state, clock.Boot())
	answer, _ := g.state(state.Node)
	return answer, nil
}

// state returns what this node tells a peer, with the number of the last crash mark in it.
func (g *gossip) state(peer string) (*gossipv1.State, uint64) {
	n := g.node
	state := &gossipv1.State{
		Node: n.settings().Node, Incarnation: n.incarnation,
		ConfigurationRevision: n.configuration.revision(), ConfigurationAgeUs: -1,
	}
	if age, ok := n.configuration.age(); ok {
		state.ConfigurationAgeUs = age.Microseconds()
	}
	g.mu.Lock()
	p := g.peer(peer)
	if p.revision < state.ConfigurationRevision && !p.heard.IsZero() {
		state.Configuration = n.configuration.current.Load().raw
	}
	after := p.marksSent
	g.mu.Unlock()
	state.OverloadedServices = n.overload.own(time.Now())
	addShares(state, n.shares.PrepareMessage(peer, time.Now()))
	marks, last := n.quarantine.Changes(after, gossipMarks)
	for _, m := range marks {
		state.Marks = append(state.Marks, &gossipv1.Mark{
			Fingerprint: m.Fingerprint, Crash: uint64(m.Crash), UnixMs: m.At.UnixMilli(), Weak: m.Weak, Cleared: m.Cleared,
		})
	}
	registration, err := json.Marshal(n.registry.registration())
	if err != nil {
		n.log.event("gossip_failed").Err(err).Msg("registration not encoded")
	}
	state.Registration = registration
	return state, last
}

// learn takes in the state of a peer that was asked for at a time of the lease clock.
func (g *gossip) learn(state *gossipv1.State, asked time.Time) {
	n := g.node
	now := time.Now()
	var reg Registration
	if err := json.Unmarshal(state.Registration, &reg); err != nil || reg.Node != state.Node {
		n.log.event("gossip_rejected").Str("peer", state.Node).AnErr("error", err).Msg("state ignored")
		return
	}
	n.registry.learn(reg, false)
	g.mu.Lock()
	p := g.peer(state.Node)
	regained := p.failures >= gossipFailures
	p.heard, p.failures, p.revision = now, 0, state.ConfigurationRevision
	g.mu.Unlock()
	if regained {
		n.picker.SetReachable(state.Node, true, now)
		n.log.event("peer").Str("peer", state.Node).Str("outcome", "reachable").Msg("node answers again")
	}
	g.learnConfiguration(state, asked)
	n.overload.hear(state.OverloadedServices, now)
	n.shares.Receive(state.Node, shareMessage(state), now)
	marks := make([]quarantine.Mark, 0, len(state.Marks))
	for _, m := range state.Marks {
		marks = append(marks, quarantine.Mark{
			Fingerprint: m.Fingerprint, Crash: quarantine.CrashID(m.Crash), At: time.UnixMilli(m.UnixMs), Weak: m.Weak, Cleared: m.Cleared,
		})
	}
	n.quarantine.Merge(marks, now)
}

// learnConfiguration takes in a newer configuration and how fresh the peer's is.
func (g *gossip) learnConfiguration(state *gossipv1.State, asked time.Time) {
	if state.ConfigurationAgeUs < 0 {
		return
	}
	at := asked.Add(-time.Duration(state.ConfigurationAgeUs) * time.Microsecond)
	if len(state.Configuration) > 0 && state.ConfigurationRevision > g.node.configuration.revision() {
		if err := g.node.configuration.offer(state.Configuration, at, "peer "+state.Node); err != nil {
			g.node.log.event("configuration_rejected").Str("from", state.Node).Err(err).Msg("configuration ignored")
		}
		return
	}
	g.node.configuration.confirm(state.ConfigurationRevision, at)
}
