package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
	"github.com/cowslipglade/cowslipglade/internal/pipeline"
	"github.com/cowslipglade/cowslipglade/internal/random"
	"github.com/cowslipglade/cowslipglade/keys"
	"github.com/cowslipglade/cowslipglade/quarantine"
)

const (
	// defaultTimeout applies when neither the client nor the route sets a timeout.
	defaultTimeout = 10 * time.Second
	// staleConfigRetryAfter is the retry delay suggested while the configuration is missing or too old: half
	// of the usual time between two reads of it.
	staleConfigRetryAfter = maxConfigurationRefreshAge / 2
)

// entryRequest is a request for which this node is the entry node.
type entryRequest struct {
	fields RequestFields
	route  *config.Route
	req    *call.Request
	body   *call.ReplayBody
	// incoming is the body as it is read; nil before.
	incoming *httpserver.Body
	start    time.Time
	// abort ends when the shutdown of this node aborts the request.
	abort context.Context
	// parent is the route of the running request that made this one; empty for requests of clients and where
	// it is unknown.
	parent string
	// answered is the number of calls of the parent that were answered before this one.
	answered int
	// early means that the request was started before its turn on a connection with pipelined requests. mustWait means that
	// it was not run then, as its route is not idempotent.
	early, mustWait bool
	// release ends the part of the request in which it has calls; nil before.
	release func()
	// aborted means that the shutdown of this node aborted the request.
	aborted bool
	// sends is the number of destinations that the request was sent to.
	sends int
}

// ServeHTTP handles requests from clients and from the upstream on this VM.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.entryInFlight.Add(1)
	defer n.entryInFlight.Add(-1)
	started, answered := takeEarly(r)
	defer answered()
	early := started != nil
	if !early {
		started = n.newEntry(r.Context(), r)
	}
	httpserver.SetDetails(r.Context(), started.entry)
	if !early {
		started.run(w, r)
	}
	defer started.end()
	if started.streams() && !pipeline.SealLast(r) {
		started.hold()
		if started.streams() {
			pipeline.Seal(r)
		}
	}
	e, response, refusal := started.entry, started.response, started.refusal
	if refusal != nil && e.incoming != nil && e.incoming.TooLarge() {
		refusal.Code, refusal.Message = call.CodeBodyTooLarge, "request body is above the limit"
	}
	e.aborted = n.abortedByStop(r.Context(), e.abort, refusal)
	elapsed := time.Since(e.start)
	n.metrics.recordRequest(refusal, elapsed)
	n.logRequest(r, e, response, refusal, elapsed)
	// Requests that have arrived behind this one would be lost with the connection. Some were started early.
	if n.stopping.Load() && !httpserver.MoreRequests(r) && pipeline.Last(r) {
		w.Header().Set("Connection", "close")
	}
	if refusal != nil {
		n.writeRefusal(w, e, refusal)
		return
	}
	if !response.Buffered {
		stream := &streamedBody{ReadCloser: response.Body}
		response.Body = stream
		defer func() { n.logBrokenResponse(r.Context(), e.abort, &e.req.Context, stream) }()
	}
	httpresponse.Write(w, r, response)
}

// streamedBody records how many bytes of a response were passed on and the read error that truncated it.
type streamedBody struct {
	io.ReadCloser
	bytes int64
	err   error
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// logBrokenResponse logs a response that was truncated after part of it was sent, unless the receiver
// disconnected.
func (n *Node) logBrokenResponse(receiver, abort context.Context, c *call.Context, stream *streamedBody) {
	if stream.err == nil || receiver.Err() != nil {
		return
	}
	if abort.Err() != nil {
		n.aborted.Add(1)
	}
	n.metrics.outcomes.Add("answer_broken", 1)
	n.log.event("answer_broken").Str("request_id", c.RequestID).Str("route", c.Route).Int64("bytes", stream.bytes).
		Bool("stopping", n.stopping.Load()).Err(stream.err).Msg("response truncated; closing the connection to the receiver")
}

// serve runs a request. A panic is answered like a failure.
func (n *Node) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, e *entryRequest) (response *call.Response, refusal *call.Refusal) {
	if n.contain("entry", func() { response, refusal = n.admitAndDispatch(ctx, w, r, e) }) {
		outcome := call.MayHaveRun
		if e.sends == 0 {
			outcome = call.NotRun
		}
		return nil, panicRefusal(outcome)
	}
	return response, refusal
}

func (n *Node) admitAndDispatch(ctx context.Context, w http.ResponseWriter, r *http.Request, e *entryRequest) (*call.Response, *call.Refusal) {
	if refusal := n.admit(r, e); refusal != nil {
		return nil, refusal
	}
	if e.early && !e.req.Idempotent {
		e.mustWait = true
		return nil, call.NewRefusal(call.CodeBadRequest, call.NotRun, "request must wait for its turn")
	}
	if refusal := n.refuseLate(e); refusal != nil {
		return nil, refusal
	}
	if refusal := n.refuseOverloaded(e); refusal != nil {
		return nil, refusal
	}
	releaseBody, err := n.readBody(w, r, e)
	if err != nil {
		return nil, n.bodyRefusal(e, err)
	}
	defer releaseBody()
	release, refusal := n.beginCalls(ctx, e)
	if refusal != nil {
		return nil, refusal
	}
	e.release = release
	if !e.route.Open || e.req.Workspace != "" {
		if refusal := n.acquireQuota(ctx, e); refusal != nil {
			return nil, refusal
		}
	}
	if standing, remaining := n.quarantine.Standing(e.req.Fingerprint, time.Now()); standing == quarantine.Quarantined {
		refusal := call.NewRefusal(call.CodeQuarantined, call.NotRun, "the request has crashed upstreams")
		refusal.RetryAfter = remaining
		return nil, refusal
	}
	return n.dispatch(ctx, e)
}

// readBody reads the request body, buffering it in memory if it fits, and determines the fingerprint of the request.
// Reading is bounded by the deadline and by the abort time of a shutdown. release must be called when the body is no longer
// needed.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, e *entryRequest) (release func(), err error) {
	body := httpserver.NewBody(w, r)
	e.incoming = body
	unread := &call.Request{}
	if r.ContentLength != 0 {
		if err := body.SetDeadline(e.req.Deadline); err != nil {
			return nil, err
		}
		stopAbort := context.AfterFunc(e.abort, func() {
			_ = body.SetDeadline(time.Now()) // fails only if the connection is already closed
		})
		defer stopAbort()
		unread = &call.Request{Body: body, ContentLength: r.ContentLength}
	}
	if e.body, err = call.NewReplayBody(unread); err != nil {
		return nil, err
	}
	long := !e.body.Buffered()
	e.req.Fingerprint, release, err = n.identifier.Identify(requestSource(e.req), e.body, time.Now())
	switch {
	case long && e.body.Buffered():
		n.metrics.longBodies.Add("read_ahead", 1)
	case long:
		n.metrics.longBodies.Add("streamed", 1)
	}
	return release, err
}

// requestSource returns what identifies a request beside its body.
func requestSource(req *call.Request) quarantine.Source {
	return quarantine.Source{Caller: req.Workspace + "|" + req.CallerService, Method: req.Method, Target: req.Target}
}

// admit determines the route and workspace of a request and sets its deadline.
func (n *Node) admit(r *http.Request, e *entryRequest) *call.Refusal {
	// Checked before the configuration is loaded: a newer one may come into force in between, and the check would then
	// not be about the one that is used.
	admitsKeys := n.configuration.admitsKeys()
	active := n.configuration.current.Load()
	if active == nil {
		refusal := call.NewRefusal(call.CodeStaleConfiguration, call.NotRun, "no configuration is known yet")
		refusal.RetryAfter = staleConfigRetryAfter
		return refusal
	}
	if !n.evacuation.known() {
		refusal := call.NewRefusal(call.CodeStaleConfiguration, call.NotRun, "evacuated failure domains are not known yet")
		refusal.RetryAfter = staleConfigRetryAfter
		return refusal
	}
	// An unknown route or key may be part of a configuration that this node has not read yet.
	current := n.configuration.freshWithin(n.settings().ConfigApplyTime)
	route := active.routes.match(r.Host, r.RequestURI)
	if route == nil {
		return n.refuseUnknown(current, call.CodeUnknownRoute, "no route for host and path")
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
			CallerService: n.settings().Service, ShedOrder: shedOrder(route.Importance, e.fields.ID),
		},
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, ContentLength: r.ContentLength,
	}
	if route.Open || active.document.Keyless {
		if route.Open {
			n.rankUpstreamCall(e)
		}
		return nil
	}
	if !admitsKeys {
		age, _ := n.configuration.age()
		refusal := call.NewRefusal(call.CodeStaleConfiguration, call.NotRun, "configuration was last confirmed %v ago", age.Round(time.Millisecond))
		refusal.RetryAfter = staleConfigRetryAfter
		return refusal
	}
	if e.fields.Key == "" {
		return n.refuseUnknown(current, call.CodeMissingKey, "the route needs a key")
	}
	key, ok := active.document.Keys[keys.Hash(e.fields.Key)]
	if !ok || key.Withdrawn {
		return n.refuseUnknown(current, call.CodeUnknownKey, "the key is not known")
	}
	e.req.Workspace, e.req.KeyHash = key.Workspace, key.SHA256
	if class := active.document.Workspaces[key.Workspace].Importance; class != nil {
		e.req.Importance = *class
	}
	return nil
}

// refuseUnknown refuses a request whose route or key is not in the configuration. The refusal is permanent
// only if the configuration is current.
func (n *Node) refuseUnknown(current bool, code call.Code, reason string) *call.Refusal {
	if current {
		return call.NewRefusal(code, call.NotRun, "%s", reason)
	}
	refusal := call.NewRefusal(call.CodeStaleConfiguration, call.NotRun, "%s, and the configuration is old", reason)
	refusal.RetryAfter = staleConfigRetryAfter
	return refusal
}

// acquireQuota admits a request within this node's share of the workspace's rate, or with a token borrowed
// from another node.
func (n *Node) acquireQuota(ctx context.Context, e *entryRequest) *call.Refusal {
	workspace := e.req.Workspace
	admitted, wait := n.shares.Take(workspace, time.Now())
	if admitted {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, n.giveUpAt(e))
	defer cancel()
	for !admitted && n.loans.awaitLoan(ctx, workspace) {
		admitted, wait = n.shares.Retake(workspace, time.Now())
	}
	if admitted {
		return nil
	}
	refusal := call.NewRefusal(call.CodeRateExceeded, call.NotRun, "workspace %s is above this node's share of its rate", workspace)
	if !n.shares.Joined() {
		status := n.shares.JoinStatus(time.Now())
		refusal.Message = fmt.Sprintf("workspace %s: this node holds no share of its rate; waiting for %s for %.1f s, %d nodes concerned",
			workspace, status.Wait, status.Seconds, status.NodeCount)
	}
	refusal.RetryAfter = wait
	return refusal
}

// bodyRefusal converts an error reading the client's body into a refusal.
func (n *Node) bodyRefusal(e *entryRequest, err error) *call.Refusal {
	if e.abort.Err() != nil {
		return call.NewRefusal(call.CodeDraining, call.NotRun, "node %s stopped before the body arrived", n.settings().Node)
	}
	if errors.Is(err, httpserver.ErrNoRoom) {
		return call.NewRefusal(call.CodeOverloaded, call.NotRun, "too many request bodies are being read")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return call.NewRefusal(call.CodeDeadline, call.NotRun, "request body did not arrive within the deadline")
	}
	return call.NewRefusal(call.CodeIncompleteBody, call.NotRun, "request body ended early: %v", err)
}

// writeRefusal writes a refusal with a status that claims no more about the outcome than is certain.
func (n *Node) writeRefusal(w http.ResponseWriter, e *entryRequest, refusal *call.Refusal) {
	status := refusalStatus(refusal)
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfter = n.retryAfter(e, refusal.RetryAfter)
	}
	n.headers.PutRefusal(w.Header(), e.fields.ID, retryAfter)
	text := string(refusal.Code) + " (" + refusal.Outcome.String() + "): " + refusal.Message + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // an error means that the client has disconnected
}

// refusalStatus returns the HTTP status of a refusal. Statuses 503 and 429 state that the request has not
// run.
func refusalStatus(refusal *call.Refusal) int {
	if refusal.Outcome == call.MayHaveRun {
		switch refusal.Code {
		case call.CodeDeadline:
			return http.StatusGatewayTimeout
		case call.CodeBodyTooLarge:
			return refusal.Status()
		}
		return http.StatusBadGateway
	}
	switch refusal.Code {
	case call.CodeUnknownRoute, call.CodeMissingKey, call.CodeUnknownKey, call.CodeRateExceeded, call.CodeIncompleteBody, call.CodeBadRequest,
		call.CodeHeaderTooLarge, call.CodeBodyTooLarge:
		return refusal.Status()
	}
	return http.StatusServiceUnavailable
}

// logRequest logs the result of a request. Log lines are rate limited by kind, so failures are not crowded
// out by successes.
func (n *Node) logRequest(r *http.Request, e *entryRequest, response *call.Response, refusal *call.Refusal, elapsed time.Duration) {
	kind := eventAnswered
	switch {
	case e.aborted:
		kind = "request_cut"
	case refusal != nil:
		kind = "request_refused"
	case response.Status >= http.StatusInternalServerError:
		kind = "request_failed"
	}
	event := n.log.event(kind)
	if event == nil {
		return
	}
	event.Str("request_id", e.fields.ID).Str("method", r.Method).Dur("took_ms", elapsed).Int64("configuration", n.configuration.revision())
	if age, ok := n.configuration.age(); ok {
		event.Dur("configuration_age_ms", age)
	}
	if e.route != nil {
		event.Str("route", e.route.Name).Str("service", e.req.Service).Str("workspace", e.req.Workspace)
	}
	if refusal != nil {
		event.Str("code", string(refusal.Code)).Str("outcome", refusal.Outcome.String()).Int("status", refusalStatus(refusal)).Str("reason", refusal.Message)
	} else {
		event.Int("status", response.Status)
	}
	event.Msg("request")
}
