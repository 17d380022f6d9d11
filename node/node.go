// Package node connects the decision packages to callers, the upstream on the node's VM, other nodes,
// operators and the platform.
//
// A Node owns the goroutines, sockets, clock and random source, so that the decision packages need none.
package node

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/caller"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
	"github.com/cowslipglade/cowslipglade/internal/random"
	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/internal/signature"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/operator"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/quarantine"
	"github.com/cowslipglade/cowslipglade/retry"
	"github.com/cowslipglade/cowslipglade/throttle"
	"github.com/cowslipglade/cowslipglade/upstream"
)

// ErrListen means that a listener could not be opened.
var ErrListen = errors.New("node: cannot listen")

// peerHeaderTimeout closes connections to the peer listener that send no request.
const peerHeaderTimeout = 10 * time.Second

// Node is one process of the system. Its methods are safe for concurrent use.
type Node struct {
	settings *settings.Node
	log      zerolog.Logger
	keyring  *signature.Keyring
	store    kvstore.Store
	// incarnation is the one at the start. identity has the current one, which peers address. It is
	// higher if an earlier process with this name had a higher one.
	incarnation uint64

	peers     *peer.Client
	upstreams *upstream.Client

	configuration *configuration
	membership    *membership
	identity      atomic.Pointer[identity]
	withdrawals   *withdrawals
	quota         *quota
	quarantine    *quarantine.List
	local         upstreamState
	running       runningTable
	roundRobin    atomic.Uint64
	picker        *balance.Picker
	throttle      *throttle.Throttle
	retryBuckets  *retry.Buckets
	retryConfig   retry.Config
	random        *rand.Rand
	metrics       *metrics

	servers  []*server
	requests *requestTracker
	tasks    sync.WaitGroup
	// background ends when the node has stopped.
	background context.Context
	stopTasks  context.CancelFunc
}

// server is an HTTP server and its listener.
type server struct {
	*httpserver.Server
	address  string
	listener net.Listener
}

// New returns a node that is not listening yet. The incarnation must be higher than that of every earlier
// process with the same name; the start time in nanoseconds is suitable.
func New(s *settings.Node, store kvstore.Store, log zerolog.Logger, incarnation uint64) *Node {
	keyring := signature.NewKeyring(s.Secrets)
	n := &Node{
		settings:     s,
		log:          log,
		keyring:      keyring,
		requests:     newRequestTracker(),
		store:        store,
		incarnation:  incarnation,
		peers:        peer.NewClient(s.Name, s.PeerIP(), keyring),
		upstreams:    upstream.NewClient(),
		throttle:     throttle.New(throttle.DefaultConfig()),
		quarantine:   quarantine.NewList(quarantine.DefaultConfig()),
		retryBuckets: retry.NewBuckets(retry.DefaultConfig()),
		retryConfig:  retry.DefaultConfig(),
		random:       random.Shared,
		picker: balance.NewPicker(balanceConfig(s.Policy), balance.Origin{
			Node: s.Name, FailureDomain: s.FailureDomain, Region: s.Region,
		}),
	}
	n.background, n.stopTasks = context.WithCancel(context.Background())
	n.metrics = newMetrics(n)
	n.configuration = newConfiguration(n)
	n.membership = newMembership(n)
	n.identity.Store(newIdentity(n, incarnation))
	n.withdrawals = newWithdrawals(n)
	n.quota = newQuota(n)
	return n
}

// Start opens the listeners and starts the background tasks.
func (n *Node) Start() error {
	n.servers = []*server{
		{address: n.settings.PeerAddress, Server: httpserver.New("peer", &http.Server{Handler: n.peerMux(), ReadHeaderTimeout: peerHeaderTimeout})},
		{address: n.settings.LocalAddress, Server: httpserver.New("local", upstream.NewServer(n))},
		{address: n.settings.CallerAddress, Server: httpserver.New("caller", caller.New(n, n.settings.MaxBodyBytes))},
	}
	for _, s := range n.servers {
		s.BaseContext = func(net.Listener) context.Context { return n.requests.ctx }
		if s.Name != "peer" { // peerMux tracks only forwarded calls
			s.Handler = n.requests.track(s.Handler)
		}
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			n.closeListeners()
			return fmt.Errorf("%w: %s listener: %w", ErrListen, s.Name, err)
		}
		s.listener = listener
	}
	if err := n.membership.listen(); err != nil {
		n.closeListeners()
		return fmt.Errorf("%w: peer UDP socket: %w", ErrListen, err)
	}
	n.startTasks()
	for _, s := range n.servers {
		n.serve(s)
	}
	n.log.Info().Str("node", n.settings.Name).Uint64("incarnation", n.incarnation).
		Str("caller_address", n.settings.CallerAddress).Str("peer_address", n.settings.PeerAddress).
		Str("local_address", n.settings.LocalAddress).Msg("node started")
	return nil
}

func (n *Node) httpServers(names ...string) []*httpserver.Server {
	var servers []*httpserver.Server
	for _, s := range n.servers {
		if slices.Contains(names, s.Name) {
			servers = append(servers, s.Server)
		}
	}
	return servers
}

func (n *Node) closeListeners() {
	for _, s := range n.servers {
		if s.listener != nil {
			_ = s.listener.Close()
		}
	}
}

func (n *Node) startTasks() {
	for _, task := range []func(context.Context){
		n.configuration.run,
		n.membership.run,
		n.sweepQueue,
		n.expire,
		n.withdrawals.run,
		n.quota.run,
		n.quota.shards.run,
	} {
		n.tasks.Go(func() { task(n.background) })
	}
}

func (n *Node) serve(s *server) {
	// By default, net/http would write plain-text errors about broken connections to the JSON log.
	s.ErrorLog = stdlog.New(n.log.With().Str("listener", s.Name).Logger(), "", 0)
	n.tasks.Go(func() {
		if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("listener", s.Name).Msg("listener failed")
		}
	})
}

// peerMux serves forwarded calls, control requests of other nodes, operators and metrics.
func (n *Node) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.requests.track(peer.NewServer(n.keyring, n)))
	n.membership.mount(mux)
	n.configuration.mount(mux)
	n.quota.mount(mux)
	n.mountQuarantine(mux)
	operator.Mount(mux, n, n.settings.OperatorToken)
	mux.Handle("/debug/vars", n.metrics.handler())
	return mux
}

// ReplaceSecrets sets the secrets shared between nodes while the node runs.
func (n *Node) ReplaceSecrets(secrets []string) {
	n.keyring.Replace(secrets)
}

// balanceConfig returns the configuration of the picker. The policy "previous" always chooses the less
// loaded upstream and uses load signals for 2 s.
func balanceConfig(policy settings.Policy) balance.Config {
	config := balance.DefaultConfig()
	if policy == settings.PolicyPrevious {
		config.ChoiceExponent = 0
		config.SignalLifetime = 2 * time.Second
	}
	return config
}
