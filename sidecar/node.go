// Package sidecar implements the node that runs beside an upstream on a VM. Operators write its
// configuration to a store, and upstreams announce themselves with heartbeats.
//
// One process runs beside each upstream. It accepts requests from clients and from the upstream on its VM,
// chooses an upstream of the route's service, and forwards the call to the node beside that upstream. That
// node queues the call, runs it and returns the response. Because it is the only way to reach the upstream,
// it alone owns the upstream's slots, drain state and crashes.
//
// The store holds the configuration, one leased entry per node, and the departures that nodes have acknowledged.
// All other state is exchanged directly between nodes, so that traffic continues while the store is unavailable:
// quota demand, the age of the configuration, crash marks and reachability. Nothing is persisted on the VM.
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

	"github.com/cowslipglade/cowslipglade/backpressure"
	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/intake"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
	"github.com/cowslipglade/cowslipglade/internal/pipeline"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/lineage"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/quarantine"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	"github.com/cowslipglade/cowslipglade/retry"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
	"github.com/cowslipglade/cowslipglade/upstream"
)

const (
	// maxHeaderBytes exceeds any limit that operators set for clients.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout closes connections that send no request.
	readHeaderTimeout = 10 * time.Second
	// housekeepingInterval is the time between two sweeps of idle connections and expired crash marks.
	housekeepingInterval = time.Second
	// sharesLogInterval is the time between two log lines with the quota shares.
	sharesLogInterval = 5 * time.Second
	// maxQuarantineMarks and maxQuarantineSuccesses bound the memory of the quarantine list to about 1 MB.
	maxQuarantineMarks     = 2048
	maxQuarantineSuccesses = 4096
)

// ErrListen means that a listener could not be opened.
var ErrListen = errors.New("sidecar: cannot listen")

// Dependencies holds the external components that a node uses.
type Dependencies struct {
	Store         kvstore.Restorable
	Configuration ConfigurationSource
	Headers       Headers
	// MountHeartbeats and MountReady register the platform's routes on a server.
	MountHeartbeats func(*echo.Echo, HeartbeatHandler)
	MountReady      func(*echo.Echo, func() bool)
	// EvacuationPrefix is followed by the name of an evacuated failure domain in the keys of the store.
	EvacuationPrefix string
}

// Node is the sidecar process of one VM.
type Node struct {
	currentSettings atomic.Pointer[Settings]
	dependencies    Dependencies
	store           kvstore.Restorable
	generation      *storeGeneration
	source          ConfigurationSource
	headers         Headers
	log             *eventLog
	incarnation     uint64

	// Shutdown state, ordered by the steps of Stop.
	stopping          atomic.Bool
	shutdownSchedule  atomic.Pointer[shutdownSchedule]
	refusingForwarded atomic.Bool // forwarded calls are refused
	// runCtx ends when running requests are aborted. aborted counts the aborted requests that may have run.
	runCtx       context.Context
	abortRunning context.CancelFunc
	// lateCtx ends when the requests accepted after the accept period are aborted. Among them are calls made by
	// running requests, which must be aborted first.
	lateCtx     context.Context
	abortLate   context.CancelFunc
	aborted     atomic.Int64
	refusingAll atomic.Bool // all requests are refused

	configuration     *configuration
	evacuation        *evacuation
	registry          *registry
	gossip            *gossip
	local             *upstreamState
	shares            *ratelimit.Shares
	loans             *loans
	picker            *balance.LatencyPicker
	repeats           *retry.RepeatLimiter
	repeatNodes       atomic.Int64 // the largest number of nodes known
	limits            *backpressure.Limits
	running           lineage.Tracker // requests on the upstream of this VM
	quarantine        *quarantine.List
	identifier        *quarantine.Identifier
	upstreams         *upstream.DirectClient
	forwarder         *peer.Forwarder
	pipeline          *pipeline.Pipeline
	metrics           *metrics
	callSequence      atomic.Uint64
	entryInFlight     atomic.Int64 // requests in progress that entered at this node
	forwardedInFlight atomic.Int64 // forwarded calls in progress

	// calls counts the requests that have calls in progress, maxCalls bounds them.
	calls    atomic.Int64
	maxCalls int64

	servers []*server
	tasks   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// server is an HTTP server and its listener.
type server struct {
	*httpserver.Server
	address  string
	listener net.Listener
	ledger   *intake.Ledger
	guard    *httpserver.Guard
}

// New returns a node that is not listening yet. The incarnation must be higher than that of every earlier
// process with the same name; the start time in nanoseconds is suitable.
func New(settings *Settings, dependencies Dependencies, log zerolog.Logger, incarnation uint64) *Node {
	n := &Node{
		dependencies: dependencies, store: dependencies.Store, source: dependencies.Configuration, headers: dependencies.Headers,
		log: newEventLog(log), incarnation: incarnation, generation: newStoreGeneration(dependencies.Store),
		shares:     newShares(settings, incarnation),
		picker:     balance.NewLatencyPicker(latencyConfig(settings), balance.Origin{Node: settings.Node, FailureDomain: settings.FailureDomain, Region: settings.Region}),
		repeats:    retry.NewRepeatLimiter(retry.RepeatLimits{}),
		limits:     backpressure.New(),
		quarantine: newQuarantine(),
		forwarder:  peer.NewForwarder(settings.Node),
	}
	n.currentSettings.Store(settings)
	n.identifier = quarantine.NewIdentifier(n.quarantine)
	n.maxCalls = intake.Calls(settings.Descriptors)
	n.upstreams = upstream.NewDirectClient(func(response http.Header) (string, bool) {
		fields := n.headers.ReadResponse(response)
		return fields.RequestID, fields.NotRun
	}, func(address string) {
		if address == n.settings().UpstreamAddress {
			n.local.doubt("idle_connection_closed")
		}
	})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.runCtx, n.abortRunning = context.WithCancel(context.Background())
	n.lateCtx, n.abortLate = context.WithCancel(context.Background())
	n.pipeline = newPipeline(n)
	n.metrics = newMetrics(n)
	n.configuration = newConfiguration(n)
	n.evacuation = &evacuation{node: n}
	n.registry = newRegistry(n)
	n.gossip = newGossip(n)
	n.loans = newLoans(n)
	n.local = newUpstreamState(n)
	return n
}

func latencyConfig(settings *Settings) balance.LatencyConfig {
	config := balance.DefaultLatencyConfig()
	if settings.LinkBytesPerSecond > 0 {
		// The links of both nodes carry what crosses a failure domain boundary.
		config.KiBPenalty = time.Duration(2 << 10 / settings.LinkBytesPerSecond * float64(time.Second))
	}
	return config
}

func newQuarantine() *quarantine.List {
	config := quarantine.DefaultConfig()
	config.MarkLimit, config.SuccessLimit = maxQuarantineMarks, maxQuarantineSuccesses
	return quarantine.NewList(config)
}

func (n *Node) settings() *Settings { return n.currentSettings.Load() }

// Reload applies changed settings. The node's name and its addresses keep their initial values.
func (n *Node) Reload(next *Settings) {
	old := n.settings()
	merged := *next
	merged.Node, merged.RequestAddress, merged.PeerAddress = old.Node, old.RequestAddress, old.PeerAddress
	merged.ControlAddress, merged.HeartbeatAddress, merged.ReadyAddress = old.ControlAddress, old.HeartbeatAddress, old.ReadyAddress
	merged.AdvertisedPeerAddress, merged.AdvertisedControlAddress = old.AdvertisedPeerAddress, old.AdvertisedControlAddress
	merged.StoreAddress = old.StoreAddress
	n.currentSettings.Store(&merged)
	n.log.event("reload").Str("service", merged.Service).Str("upstream", merged.UpstreamAddress).Msg("settings reloaded")
	n.local.configurePacer(time.Now())
	n.registry.publish()
}

// Start opens the listeners and starts the background tasks.
func (n *Node) Start() error {
	s := n.settings()
	n.servers = []*server{
		n.newServer(intake.Requests, s.RequestAddress, &http.Server{Handler: n, MaxHeaderBytes: maxHeaderBytes, ConnContext: pipeline.ConnContext}),
		n.newServer(intake.Peers, s.PeerAddress, &http.Server{Handler: peer.NewAcceptor(n), MaxHeaderBytes: maxHeaderBytes, IdleTimeout: peer.AcceptorIdleTimeout}),
		n.newServer(intake.Control, s.ControlAddress, &http.Server{Handler: n.controlHandler(), MaxHeaderBytes: maxHeaderBytes}),
		n.newServer(intake.Heartbeats, s.HeartbeatAddress, &http.Server{Handler: n.heartbeatHandler(), MaxHeaderBytes: maxHeaderBytes}),
		n.newServer(intake.Ready, s.ReadyAddress, &http.Server{Handler: n.readyHandler(), MaxHeaderBytes: maxHeaderBytes}),
	}
	for _, server := range n.servers {
		server.ReadHeaderTimeout = readHeaderTimeout
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
		server.listener = server.guard.Listen(listener)
	}
	n.servers[0].listener = n.pipeline.Listener(n.servers[0].listener)
	n.registry.publish()
	for _, task := range []func(context.Context){
		n.configuration.run, n.evacuation.run, n.registry.runWatch, n.registry.runPublish, n.gossip.run, n.local.sweepQueue, n.housekeeping, n.probeAfterConfiguration, n.local.watchHealth,
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

func (n *Node) probeAfterConfiguration(ctx context.Context) {
	select {
	case <-n.configuration.loaded:
		n.local.probe(ctx)
	case <-ctx.Done():
	}
}

func (n *Node) housekeeping(ctx context.Context) {
	var sharesLogged time.Time
	picks := map[string]balance.PickCounts{}
	for ctx.Err() == nil {
		n.upstreams.Sweep()
		n.forwarder.Sweep()
		n.sweepClients(time.Now())
		n.quarantine.Expire(time.Now())
		n.updateRepeatLimits()
		n.logUpstreamLimit()
		n.logWork(picks, time.Now())
		if time.Since(sharesLogged) >= sharesLogInterval {
			sharesLogged = time.Now()
			n.log.event("quota_shares").Interface("workspaces", n.shares.Status(time.Now())).Msg("quota shares")
		}
		clock.Sleep(ctx, housekeepingInterval)
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
	n.dependencies.MountHeartbeats(e, n)
	return e
}

func (n *Node) readyHandler() http.Handler {
	e := newEcho()
	n.dependencies.MountReady(e, n.ready)
	return e
}

// ready reports whether clients may use this node.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.configuration.current.Load() != nil && n.evacuation.known()
}
