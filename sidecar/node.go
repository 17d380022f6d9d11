// Package sidecar is the node on a VM whose operators write the configuration to a store and whose
// upstreams announce themselves by heartbeats.
//
// One process runs beside each upstream. It takes the requests of the clients and of the upstream on its
// VM, chooses an upstream of the route's service, and hands the call to the node beside that upstream, which
// queues it, runs it and returns the answer. The node beside an upstream is the only way to it, so its
// slots, drain state and crashes have one owner.
//
// The store holds the configuration and one leased entry for each node. Everything else is exchanged
// between nodes directly, so that traffic goes on while the store is away: demand for quotas, the age of
// the configuration, crash marks and who is reachable. Nothing is kept on the VM.
//
// A Node owns its goroutines and sockets. Its methods are safe for concurrent use.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/quarantine"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	"github.com/cowslipglade/cowslipglade/retry"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
	"github.com/cowslipglade/cowslipglade/throttle"
	"github.com/cowslipglade/cowslipglade/upstream"
)

const (
	// maxHeaderBytes is above any limit that operators set for clients.
	maxHeaderBytes = 64 << 10
	// headerTimeout frees connections whose request never comes.
	headerTimeout = 10 * time.Second
	// clientIdle is above the idle time that operators allow clients, 15 s by default.
	clientIdle = 60 * time.Second
	// housekeepingEvery is the time between two sweeps of idle connections and old crash marks.
	housekeepingEvery = time.Second
	// sharesLogEvery is the time between two log lines with the shares of rates.
	sharesLogEvery = 5 * time.Second
	// quarantineMarks and quarantineSuccesses bound the memory of the quarantine to about 1 MB.
	quarantineMarks     = 2048
	quarantineSuccesses = 4096
)

// ErrListen means that a listener could not be opened.
var ErrListen = errors.New("sidecar: cannot listen")

// Ports connects a node with its surroundings.
type Ports struct {
	Store         kvstore.Store
	Configuration ConfigurationSource
	Headers       Headers
	// MountHeartbeats and MountReady add the platform's paths to a server.
	MountHeartbeats func(*echo.Echo, HeartbeatHandler)
	MountReady      func(*echo.Echo, func() bool)
}

// Node is one process of the system.
type Node struct {
	current     atomic.Pointer[Settings]
	ports       Ports
	store       kvstore.Store
	source      ConfigurationSource
	headers     Headers
	log         *decisionLog
	incarnation uint64

	// The steps of a stop, in their order; see Stop.
	stopping  atomic.Bool
	stopTimes atomic.Pointer[stopTimes]
	refusing  atomic.Bool // of forwarded calls
	// runCtx ends when the requests that still run are ended, and cut counts those that may have run.
	runCtx     context.Context
	cutRunning context.CancelFunc
	cut        atomic.Int64
	closing    atomic.Bool // all requests are refused

	configuration *configuration
	registry      *registry
	gossip        *gossip
	local         *local
	shares        *ratelimit.Shares
	loans         *loans
	picker        *balance.LatencyPicker
	repeats       *retry.RepeatLimiter
	overload      *overload
	throttle      *throttle.Throttle
	quarantine    *quarantine.List
	upstreams     *upstream.DirectClient
	forwarder     *peer.Forwarder
	metrics       *metrics
	sequence      atomic.Uint64
	entered       atomic.Int64 // requests in progress that entered here
	accepted      atomic.Int64 // forwarded calls in progress

	servers []*server
	tasks   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// server is one listener with its HTTP server.
type server struct {
	*httpserver.Server
	address  string
	listener net.Listener
}

func newServer(name, address string, s *http.Server) *server {
	return &server{Server: httpserver.New(name, s), address: address}
}

// New returns a node that is not yet listening. The incarnation must be higher than that of every earlier
// process with the same name; the start time in nanoseconds serves.
func New(settings *Settings, ports Ports, log zerolog.Logger, incarnation uint64) *Node {
	n := &Node{
		ports: ports, store: ports.Store, source: ports.Configuration, headers: ports.Headers,
		log: newDecisionLog(log), incarnation: incarnation,
		shares:     newShares(settings),
		picker:     balance.NewLatencyPicker(balance.DefaultLatencyConfig(), balance.Origin{Node: settings.Node, FailureDomain: settings.FailureDomain, Region: settings.Region}),
		repeats:    retry.NewRepeatLimiter(retry.RepeatLimits{}),
		overload:   newOverload(),
		throttle:   throttle.New(throttle.DefaultConfig()),
		quarantine: newQuarantine(),
		forwarder:  peer.NewForwarder(settings.Node),
	}
	n.current.Store(settings)
	n.upstreams = upstream.NewDirectClient(func(answer http.Header, requestID string) bool {
		id := n.headers.ReadAnswer(answer).RequestID
		return id == requestID || id == "" // some refusals of an upstream name no request
	})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.runCtx, n.cutRunning = context.WithCancel(context.Background())
	n.metrics = newMetrics(n)
	n.configuration = newConfiguration(n)
	n.registry = newRegistry(n)
	n.gossip = newGossip(n)
	n.loans = newLoans(n)
	n.local = &local{node: n}
	return n
}

func newQuarantine() *quarantine.List {
	config := quarantine.DefaultConfig()
	config.MarkLimit, config.SuccessLimit = quarantineMarks, quarantineSuccesses
	return quarantine.NewList(config)
}

func (n *Node) settings() *Settings { return n.current.Load() }

// Reload takes in changed settings. Addresses and the node's name stay as they were at the start.
func (n *Node) Reload(next *Settings) {
	old := n.settings()
	merged := *next
	merged.Node, merged.RequestAddress, merged.PeerAddress = old.Node, old.RequestAddress, old.PeerAddress
	merged.ControlAddress, merged.HeartbeatAddress, merged.ReadyAddress = old.ControlAddress, old.HeartbeatAddress, old.ReadyAddress
	merged.AdvertisedPeerAddress, merged.AdvertisedControlAddress = old.AdvertisedPeerAddress, old.AdvertisedControlAddress
	merged.StoreAddress = old.StoreAddress
	n.current.Store(&merged)
	n.log.event("reload").Str("service", merged.Service).Str("upstream", merged.UpstreamAddress).Msg("settings reloaded")
	n.registry.publish()
}

// Start opens the listeners and starts the background tasks.
func (n *Node) Start() error {
	s := n.settings()
	n.servers = []*server{
		newServer("requests", s.RequestAddress, &http.Server{Handler: n, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: clientIdle}),
		newServer("peers", s.PeerAddress, &http.Server{Handler: peer.NewAcceptor(n), MaxHeaderBytes: maxHeaderBytes, IdleTimeout: peer.AcceptorIdleTimeout}),
		newServer("control", s.ControlAddress, &http.Server{Handler: n.controlHandler()}),
		newServer("heartbeats", s.HeartbeatAddress, &http.Server{Handler: n.heartbeatHandler()}),
		newServer("ready", s.ReadyAddress, &http.Server{Handler: n.readyHandler()}),
	}
	for _, server := range n.servers {
		server.ReadHeaderTimeout = headerTimeout
		server.ErrorLog = stdlog.New(n.log.log.With().Str("listener", server.Name).Logger(), "", 0)
		listener, err := net.Listen("tcp4", server.address)
		if err != nil {
			for _, open := range n.servers {
				if open.listener != nil {
					_ = open.listener.Close()
				}
			}
			return fmt.Errorf("%w: %s: %w", ErrListen, server.Name, err)
		}
		server.listener = listener
	}
	n.registry.publish()
	for _, task := range []func(context.Context){
		n.configuration.run, n.registry.runWatch, n.registry.runPublish, n.gossip.run, n.local.sweepQueue, n.housekeeping, n.probeWhenConfigured,
	} {
		n.tasks.Go(func() { task(n.ctx) })
	}
	for _, server := range n.servers {
		n.tasks.Go(func() {
			if err := server.Serve(server.listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.event("listener_failed").Str("listener", server.Name).Err(err).Msg("listener failed")
			}
		})
	}
	n.log.event("start").Uint64("incarnation", n.incarnation).Str("requests", s.RequestAddress).Str("peers", s.PeerAddress).
		Str("service", s.Service).Msg("node started")
	return nil
}

func (n *Node) probeWhenConfigured(ctx context.Context) {
	select {
	case <-n.configuration.known:
		n.local.probe(ctx)
	case <-ctx.Done():
	}
}

func (n *Node) housekeeping(ctx context.Context) {
	var sharesLogged time.Time
	for ctx.Err() == nil {
		n.upstreams.Sweep()
		n.forwarder.Sweep()
		n.quarantine.Expire(time.Now())
		n.throttle.Expire(time.Now())
		n.updateRepeatLimits()
		if time.Since(sharesLogged) >= sharesLogEvery {
			sharesLogged = time.Now()
			n.log.event("quota_shares").Interface("workspaces", n.shares.Status()).Msg("shares of rates")
		}
		clock.Sleep(ctx, housekeepingEvery)
	}
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (n *Node) controlHandler() http.Handler {
	e := newEcho()
	gossipServer := gossipv1.NewGossipServer(n.gossip)
	e.Any(gossipServer.PathPrefix()+"*", echo.WrapHandler(http.MaxBytesHandler(gossipServer, maxGossipBytes)))
	e.GET("/debug/vars", echo.WrapHandler(n.metrics.handler()))
	return e
}

func (n *Node) heartbeatHandler() http.Handler {
	e := newEcho()
	n.ports.MountHeartbeats(e, n)
	return e
}

func (n *Node) readyHandler() http.Handler {
	e := newEcho()
	n.ports.MountReady(e, n.ready)
	return e
}

// ready tells whether clients may use this node.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.configuration.current.Load() != nil
}
