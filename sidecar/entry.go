package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
	"github.com/cowslipglade/cowslipglade/internal/random"
	"github.com/cowslipglade/cowslipglade/keys"
	"github.com/cowslipglade/cowslipglade/quarantine"
)

const (
	// defaultTimeout holds when neither client nor route sets one.
	defaultTimeout = 10 * time.Second
	// unknownRetry is the suggested wait while the configuration is unknown or too old: the time between two
	// reads of it.
	unknownRetry = configurationEvery / 2
	// overloadRetry is the least wait suggested after a refusal for lack of room; up to as much again is
	// added at random.
	overloadRetry = 400 * time.Millisecond
	// quotaRetryLimit is the longest wait suggested after a refusal for the rate.
	quotaRetryLimit = 2 * time.Second
)

// entry is a request that entered at this node.
type entry struct {
	fields RequestFields
	route  *config.Route
	req    *call.Request
	body   *call.ReplayBody
	start  time.Time
	// throttled means that the request was refused because of how others ended.
	throttled bool
	// cut means that the stop of this node has ended the request.
	cut bool
}

// ServeHTTP takes the requests of clients and of the upstream on this VM.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.entered.Add(1)
	defer n.entered.Add(-1)
	start := time.Now()
	e := &entry{fields: n.headers.TakeRequest(r.Header), start: start}
	ctx, cancel := n.untilCut(r.Context())
	defer cancel()
	answer, refusal := n.serve(ctx, w, r, e)
	e.cut = n.endedByStop(r.Context(), refusal)
	took := time.Since(start)
	n.observeRequest(e, answer, refusal)
	n.metrics.request(refusal, took)
	n.logRequest(r, e, answer, refusal, took)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if refusal != nil {
		n.writeRefusal(w, e.fields.ID, refusal)
		return
	}
	if !answer.Buffered {
		stream := &streamedBody{ReadCloser: answer.Body}
		answer.Body = stream
		defer func() { n.logBroken(r.Context(), &e.req.Context, stream) }()
	}
	httpresponse.Write(w, r.Method, answer)
}

// streamedBody remembers how far an answer was passed on and why it broke off.
type streamedBody struct {
	io.ReadCloser
	bytes int64
	err   error
}

// Read reads from the body.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// logBroken writes a line for an answer of which the receiver has got a part, unless the receiver has left.
func (n *Node) logBroken(receiver context.Context, c *call.Context, stream *streamedBody) {
	if stream.err == nil || receiver.Err() != nil {
		return
	}
	if n.runCtx.Err() != nil {
		n.cut.Add(1)
	}
	n.metrics.outcomes.Add("answer_broken", 1)
	n.log.event("answer_broken").Str("request_id", c.RequestID).Str("route", c.Route).Int64("bytes", stream.bytes).
		Bool("stopping", n.stopping.Load()).Err(stream.err).Msg("answer broke off; the receiver's connection is closed")
}

func (n *Node) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, e *entry) (*call.Response, *call.Refusal) {
	if refusal := n.admit(r, e); refusal != nil {
		return nil, refusal
	}
	if refusal := n.refuseLate(e); refusal != nil {
		return nil, refusal
	}
	if refusal := n.throttled(e); refusal != nil {
		return nil, refusal
	}
	body, err := n.readBody(w, r, e.req.Deadline)
	if err != nil {
		return nil, n.bodyRefusal(err)
	}
	e.body = body
	if !e.route.Open || e.req.Workspace != "" {
		if refusal := n.takeQuota(ctx, e); refusal != nil {
			return nil, refusal
		}
	}
	e.req.Fingerprint = quarantine.Fingerprint(e.req.Workspace+"|"+e.req.CallerService, e.req.Method, e.req.Target, quarantine.BodyHash(body.Data(), r.ContentLength))
	if standing, left := n.quarantine.Standing(e.req.Fingerprint, time.Now()); standing == quarantine.Quarantined {
		refusal := call.NewRefusal(call.CodeQuarantined, call.NotRun, "the request has crashed upstreams")
		refusal.RetryAfter = min(left, quotaRetryLimit)
		return nil, refusal
	}
	return n.dispatch(ctx, e)
}

// readBody reads a body that fits into memory, until the deadline or the end of a stop. The bound on its time ends
// with it, because net/http would otherwise take the deadline for the client's departure.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*call.ReplayBody, error) {
	if r.ContentLength == 0 {
		return call.NewReplayBody(&call.Request{})
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	stopCut := context.AfterFunc(n.runCtx, func() {
		_ = controller.SetReadDeadline(time.Now()) // fails only when the connection has gone
	})
	body, err := call.NewReplayBody(&call.Request{Body: r.Body, ContentLength: r.ContentLength})
	stopCut()
	if err == nil && body.Buffered() {
		err = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// admit finds route and workspace of a request and sets its deadline.
func (n *Node) admit(r *http.Request, e *entry) *call.Refusal {
	p := n.configuration.current.Load()
	if p == nil {
		refusal := call.NewRefusal(call.CodeStaleConfiguration, call.NotRun, "no configuration is known yet")
		refusal.RetryAfter = unknownRetry
		return refusal
	}
	// A route or key that is not known may be in a configuration that has not been read yet.
	current := n.configuration.freshWithin(n.settings().ConfigApplyTime)
	route := p.routes.match(r.Host, r.RequestURI)
	if route == nil {
		return n.unknown(current, call.CodeUnknownRoute, "no route for host and path")
	}
	e.route = route
	timeout := e.fields.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	header := http.Header{}
	call.CopyHeader(header, r.Header)
	e.req = &call.Request{
		Context: call.Context{
			RequestID: e.fields.ID, Route: route.Name, Service: chooseService(route, random.Shared.Float64()),
			Importance: route.Importance, Idempotent: route.Idempotent, Deadline: e.start.Add(timeout),
			CallerService: n.settings().Service,
		},
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, ContentLength: r.ContentLength,
	}
	if route.Open || p.document.Keyless {
		if route.Open {
			// A call of a running request: what was spent on the request is lost with it.
			e.req.Importance = call.Critical
		}
		return nil
	}
	if !n.configuration.keysUsable() {
		age, _ := n.configuration.age()
		refusal := call.NewRefusal(call.CodeStaleConfiguration, call.NotRun, "configuration was last confirmed %v ago", age.Round(time.Millisecond))
		refusal.RetryAfter = unknownRetry
		return refusal
	}
	if e.fields.Key == "" {
		return n.unknown(current, call.CodeMissingKey, "the route needs a key")
	}
	key, ok := p.document.Keys[keys.Hash(e.fields.Key)]
	if !ok || key.Withdrawn {
		return n.unknown(current, call.CodeUnknownKey, "the key is not known")
	}
	e.req.Workspace, e.req.KeyHash = key.Workspace, key.SHA256
	if class := p.document.Workspaces[key.Workspace].Importance; class != nil {
		e.req.Importance = *class
	}
	return nil
}

// unknown refuses what the configuration does not hold, for good only if the configuration is current.
func (n *Node) unknown(current bool, code call.Code, reason string) *call.Refusal {
	if current {
		return call.NewRefusal(code, call.NotRun, "%s", reason)
	}
	refusal := call.NewRefusal(call.CodeStaleConfiguration, call.NotRun, "%s, and the configuration is old", reason)
	refusal.RetryAfter = unknownRetry
	return refusal
}

// takeQuota admits a request of a workspace within this node's share of its rate, or with a token that
// another node lends.
func (n *Node) takeQuota(ctx context.Context, e *entry) *call.Refusal {
	workspace := e.req.Workspace
	admitted, wait := n.shares.Take(workspace, time.Now())
	if admitted {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, e.start.Add(e.holdTime()))
	defer cancel()
	for !admitted && n.loans.await(ctx, workspace) {
		admitted, wait = n.shares.Retake(workspace, time.Now())
	}
	if admitted {
		return nil
	}
	refusal := call.NewRefusal(call.CodeRateExceeded, call.NotRun, "workspace %s is above this node's share of its rate", workspace)
	refusal.RetryAfter = min(max(wait, overloadRetry), quotaRetryLimit)
	return refusal
}

// bodyRefusal turns a failed read of a client's body into a refusal.
func (n *Node) bodyRefusal(err error) *call.Refusal {
	if n.runCtx.Err() != nil {
		return call.NewRefusal(call.CodeDraining, call.NotRun, "node %s stopped before the body arrived", n.settings().Node)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return call.NewRefusal(call.CodeDeadline, call.NotRun, "request body did not arrive within the deadline")
	}
	return call.NewRefusal(call.CodeIncompleteBody, call.NotRun, "request body ended early: %v", err)
}

// writeRefusal answers with a status that promises no more than is certain.
func (n *Node) writeRefusal(w http.ResponseWriter, requestID string, refusal *call.Refusal) {
	status := refusalStatus(refusal)
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfter = refusal.RetryAfter
		if retryAfter <= 0 {
			retryAfter = overloadRetry + time.Duration(random.Shared.Float64()*float64(overloadRetry))
		}
	}
	n.headers.PutRefusal(w.Header(), requestID, retryAfter)
	text := string(refusal.Code) + " (" + refusal.Outcome.String() + "): " + refusal.Message + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // an error means that the client has gone
}

// refusalStatus returns the HTTP status of a refusal. 503 and 429 say that the request has not run.
func refusalStatus(refusal *call.Refusal) int {
	if refusal.Outcome == call.MayHaveRun {
		if refusal.Code == call.CodeDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch refusal.Code {
	case call.CodeUnknownRoute, call.CodeMissingKey, call.CodeUnknownKey, call.CodeRateExceeded, call.CodeIncompleteBody, call.CodeBadRequest:
		return refusal.Status()
	}
	return http.StatusServiceUnavailable
}

// logRequest writes a line for each request that got no good answer and for some of the others.
func (n *Node) logRequest(r *http.Request, e *entry, answer *call.Response, refusal *call.Refusal, took time.Duration) {
	kind := eventAnswered
	switch {
	case e.cut:
		kind = "request_cut"
	case refusal != nil:
		kind = "request_refused"
	case answer.Status >= http.StatusInternalServerError:
		kind = "request_failed"
	}
	event := n.log.event(kind)
	if event == nil {
		return
	}
	event.Str("request_id", e.fields.ID).Str("method", r.Method).Dur("took_ms", took).Int64("configuration", n.configuration.revision())
	if age, ok := n.configuration.age(); ok {
		event.Dur("configuration_age_ms", age)
	}
	if e.route != nil {
		event.Str("route", e.route.Name).Str("service", e.req.Service).Str("workspace", e.req.Workspace)
	}
	if refusal != nil {
		event.Str("code", string(refusal.Code)).Str("outcome", refusal.Outcome.String()).Int("status", refusalStatus(refusal)).Str("reason", refusal.Message)
	} else {
		event.Int("status", answer.Status)
	}
	event.Msg("request")
}

// detached returns a context that outlives the client, but neither the deadline nor the node.
func (n *Node) detached(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(n.runCtx, deadline)
}
