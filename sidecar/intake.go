package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/intake"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
	"github.com/cowslipglade/cowslipglade/peer"
)

const (
	// internalIdleTimeout exceeds the time after which other nodes and upstreams close idle connections, 90 s.
	internalIdleTimeout = 2 * time.Minute
	// maxReadyBytes bounds the body of a readiness check, which needs none.
	maxReadyBytes = 4 << 10
	// maxHeartbeatBytes exceeds the size that the platform's heartbeats may have.
	maxHeartbeatBytes = 64 << 10
)

// newServer returns a server whose clients are bounded by the budgets of a listener. The budgets follow from the settings
// at the start of the node.
func (n *Node) newServer(listener intake.Listener, address string, s *http.Server) *server {
	settings := n.settings()
	ledger := intake.NewLedger(intake.NewBudgets(listener, settings.MemoryBytes, settings.Descriptors))
	guarded := httpserver.GuardConfig{
		Ledger: ledger,
		Limits: func() config.ClientLimits { return n.clientLimits(listener) },
		Closed: func(remote net.Addr, reason intake.Reason, turn intake.Turn) {
			n.clientClosed(listener, remote, reason, turn)
		},
		Unanswered: func(u *httpserver.Unanswered) { n.recordUnanswered(listener, u) },
	}
	if listener == intake.Requests {
		guarded.Refuse, guarded.Local = n.refuseIntake, n.isLocal
	}
	guard := httpserver.NewGuard(guarded)
	guard.Attach(s)
	return &server{Server: httpserver.New(listener.String(), s), address: address, ledger: ledger, guard: guard}
}

// clientLimits returns the limits in force at a listener. Other nodes send what they have let in.
func (n *Node) clientLimits(listener intake.Listener) config.ClientLimits {
	switch listener {
	case intake.Requests:
		return n.configuration.document().ClientLimits
	case intake.Peers:
		return config.ClientLimits{HeaderTimeout: readHeaderTimeout, IdleTimeout: peer.AcceptorIdleTimeout}
	}
	limits := config.ClientLimits{HeaderTimeout: readHeaderTimeout, IdleTimeout: internalIdleTimeout, BodyBytes: maxReadyBytes}
	switch listener {
	case intake.Control:
		limits.BodyBytes = maxGossipBytes
	case intake.Heartbeats:
		limits.BodyBytes = maxHeartbeatBytes
	}
	return limits
}

// isLocal reports whether an address is that of the upstream on this VM.
func (n *Node) isLocal(address netip.Addr) bool {
	upstream, err := netip.ParseAddrPort(n.settings().UpstreamAddress)
	return err == nil && upstream.Addr() == address
}

func (n *Node) clientClosed(listener intake.Listener, remote net.Addr, reason intake.Reason, turn intake.Turn) {
	n.metrics.clientsClosed.Add(listener.String()+"/"+string(reason), 1)
	if event := n.log.event("client_closed"); event != nil {
		event.Str("listener", listener.String()).Str("remote", remote.String()).Str("reason", string(reason)).Str("turn", turn.String()).
			Msg("connection of a client closed")
	}
}

// recordUnanswered counts requests that got no response, and logs those whose client has not left by itself.
func (n *Node) recordUnanswered(listener intake.Listener, u *httpserver.Unanswered) {
	n.metrics.unanswered.Add(listener.String()+"/"+string(u.Cause), int64(u.Requests))
	if u.Cause == httpserver.ByClient {
		return
	}
	event := n.log.event("request_unanswered")
	if event == nil {
		return
	}
	event.Str("listener", listener.String()).Str("remote", u.Remote.String()).Str("cause", string(u.Cause)).Int("requests", u.Requests).
		Dur("since_read_ms", u.SinceRead).Bool("stopping", n.stopping.Load())
	if u.BeforeRead >= 0 {
		event.Dur("unread_ms", u.BeforeRead)
	}
	if e, ok := u.Details.(*entryRequest); ok {
		event.Str("request_id", e.fields.ID).Int("sends", e.sends)
		if e.route != nil {
			event.Str("route", e.route.Name)
		}
	}
	event.Msg("connection closed before the response to a request")
}

// sweepClients closes connections whose time is over.
func (n *Node) sweepClients(now time.Time) {
	for _, server := range n.servers {
		server.guard.Sweep(now)
	}
}

// clientStatus returns what the clients hold, by listener.
func (n *Node) clientStatus() map[string]intake.Status {
	status := map[string]intake.Status{}
	for _, server := range n.servers {
		status[server.Name] = server.ledger.Status()
	}
	return status
}

// refuseIntake refuses a client's request that the limits or budgets of the listener do not allow.
func (n *Node) refuseIntake(w http.ResponseWriter, r *http.Request, refused httpserver.Refused) {
	e := &entryRequest{fields: n.headers.TakeRequest(r.Header), start: time.Now()}
	refusal := call.NewRefusal(call.CodeOverloaded, call.NotRun, "too many request bodies are being read")
	limits := n.clientLimits(intake.Requests)
	switch refused {
	case httpserver.HeaderTooLarge:
		refusal = call.NewRefusal(call.CodeHeaderTooLarge, call.NotRun, "request header is above %d bytes", limits.HeaderBytes)
	case httpserver.BodyTooLarge:
		refusal = call.NewRefusal(call.CodeBodyTooLarge, call.NotRun, "request body is above %d bytes", limits.BodyBytes)
	}
	n.metrics.recordRequest(refusal, 0)
	n.logRequest(r, e, nil, refusal, 0)
	n.writeRefusal(w, e, refusal)
}

// beginCalls returns the function that ends the part of a request in which it has calls, or a refusal if the descriptors for
// calls, or the slots for incomplete uploads, are used up.
func (n *Node) beginCalls(ctx context.Context, e *entryRequest) (end func(), refusal *call.Refusal) {
	endUpload := func() {}
	if !e.body.Buffered() {
		waitCtx, cancel := context.WithDeadline(ctx, n.giveUpAt(e))
		defer cancel()
		var err error
		if endUpload, err = httpserver.BeginUpload(waitCtx); err != nil {
			return nil, call.NewRefusal(call.CodeOverloaded, call.NotRun, "too many request bodies are incomplete: %v", err)
		}
		e.incoming.AfterEnd(endUpload)
	}
	if n.calls.Add(1) > n.maxCalls {
		n.calls.Add(-1)
		endUpload()
		return nil, call.NewRefusal(call.CodeOverloaded, call.NotRun, "node %s has %d requests with calls", n.settings().Node, n.maxCalls)
	}
	return func() {
		n.calls.Add(-1)
		endUpload()
	}, nil
}
