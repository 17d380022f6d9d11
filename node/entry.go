package node

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/caller"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/keys"
	"github.com/cowslipglade/cowslipglade/retry"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 10 * time.Second
	// bodyGrace delays the read deadline of a body beyond the request's deadline, so that the request
	// times out first and the caller gets a refusal with the right code.
	bodyGrace = 100 * time.Millisecond
)

// HandleCaller implements caller.Handler: it admits a request at the root of its call chain.
func (n *Node) HandleCaller(ctx context.Context, req *caller.Request) (*call.Response, string, error) {
	start := n.now()
	response, requestID, err := n.admit(ctx, req, start)
	err = n.asDraining(err)
	n.metrics.countRequest(err)
	n.logRequest(req, requestID, err, n.now().Sub(start))
	return response, requestID, err
}

func (n *Node) admit(ctx context.Context, req *caller.Request, now time.Time) (*call.Response, string, error) {
	// A request with an id may repeat one that has run, so refusals report not_run only after the
	// record of the id has been checked.
	outcome := call.NotRun
	if req.RequestID != "" {
		outcome = call.MayHaveRun
	}
	if err := n.configuration.check(outcome); err != nil {
		return nil, req.RequestID, err
	}
	document := n.configuration.document()
	route, ok := document.MatchRoute(req.Method, req.Path)
	if !ok {
		return nil, req.RequestID, call.NewRefusal(call.CodeUnknownRoute, outcome, "no route for %s %s", req.Method, req.Path)
	}
	if err := n.refuseWhileStopping(req.RequestID, &route, outcome); err != nil {
		return nil, req.RequestID, err
	}
	root := newRootCall(req, route, now)
	if !route.Open {
		key, err := n.authenticate(req.Key, outcome)
		if err != nil {
			return nil, req.RequestID, err
		}
		root.Workspace = key.Workspace
		root.KeyHash = key.SHA256
	}
	n.setBodyDeadline(req.SetBodyDeadline, root.Deadline)
	body, err := call.NewReplayBody(root)
	if err != nil {
		return nil, req.RequestID, bodyRefusal(err, outcome)
	}
	ctx, cancel := context.WithDeadline(ctx, root.Deadline)
	response, err := n.runRoot(ctx, root, body, document.Rules)
	if err != nil {
		cancel()
		return nil, root.RequestID, err
	}
	response.Body = call.OnClose(response.Body, cancel)
	return response, root.RequestID, nil
}

// setBodyDeadline sets a read deadline on a request body. Without it, http.Transport would wait forever for
// a body that stalls, and the call would keep its slot.
func (n *Node) setBodyDeadline(set func(time.Time) error, deadline time.Time) {
	if set == nil || n.requests.ctx.Err() != nil {
		return
	}
	if err := set(deadline.Add(bodyGrace)); err != nil {
		n.log.Debug().Err(err).Msg("read deadline of the request body not set")
	}
}

// runRoot runs an authenticated request.
func (n *Node) runRoot(ctx context.Context, req *call.Request, body *call.ReplayBody, rules config.Rules) (*call.Response, error) {
	req.Fingerprint = fingerprint(req, body)
	if !req.Idempotent && n.settings.Policy != settings.PolicyNone {
		return n.runWithRequestID(ctx, req, body, rules)
	}
	req.RequestID = randomID()
	if err := n.refuseQuarantined(req.Fingerprint); err != nil {
		return nil, err
	}
	if err := n.takeToken(ctx, req); err != nil {
		return nil, err
	}
	return n.dispatchRoot(ctx, req, body, rules, nil)
}

// dispatchRoot dispatches a request with a retry budget from the bucket of its workspace and route.
// beforeSend, if not nil, is called before each attempt.
func (n *Node) dispatchRoot(ctx context.Context, req *call.Request, body *call.ReplayBody, rules config.Rules, beforeSend func()) (*call.Response, error) {
	key := retry.Key{Workspace: req.Workspace, Route: req.Route}
	retryRules := retry.Rules{Ratio: rules.RetryRatio, Limit: rules.RetryLimit}
	budget := n.retryBuckets.Reserve(key, retryRules)
	defer n.retryBuckets.Return(key, budget)
	return n.dispatch(ctx, &dispatcher{
		node: n, req: req, body: body, budget: budget, beforeSend: beforeSend,
		topUp: func() { n.retryBuckets.TopUp(key, retryRules, budget) },
	})
}

func newRootCall(req *caller.Request, route config.Route, now time.Time) *call.Request {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if req.Timeout > 0 && req.Timeout < timeout {
		timeout = req.Timeout
	}
	return &call.Request{
		Context: call.Context{
			RequestID:  req.RequestID,
			Route:      route.Name,
			Service:    route.Service,
			Importance: route.Importance,
			Idempotent: route.Idempotent,
			Deadline:   now.Add(timeout),
		},
		Method:        req.Method,
		Target:        req.Target,
		Header:        req.Header,
		Body:          req.Body,
		ContentLength: req.ContentLength,
	}
}

// authenticate returns the configured key, or a refusal with the given outcome.
func (n *Node) authenticate(presented string, outcome call.Outcome) (config.Key, error) {
	if presented == "" {
		return config.Key{}, call.NewRefusal(call.CodeMissingKey, outcome, "this route needs a key in the Authorization header")
	}
	key, ok := n.configuration.document().Keys[keys.Hash(presented)]
	if !ok {
		return config.Key{}, call.NewRefusal(call.CodeUnknownKey, outcome, "the key is not known")
	}
	if key.Withdrawn || n.withdrawals.withdrawn(key.SHA256) {
		return config.Key{}, call.NewRefusal(call.CodeWithdrawnKey, outcome, "key %s has been withdrawn", key.ID)
	}
	return key, nil
}

// withdrawn reports whether a key no longer admits requests. Calls on open routes have an empty hash.
func (n *Node) withdrawn(keyHash string) bool {
	if keyHash == "" {
		return false
	}
	key, ok := n.configuration.document().Keys[keyHash]
	return !ok || key.Withdrawn || n.withdrawals.withdrawn(keyHash)
}

// bodyRefusal returns the refusal for a failed read of a request body.
func bodyRefusal(err error, outcome call.Outcome) *call.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return call.NewRefusal(call.CodeBodyTooLarge, outcome, "body is over the limit of %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return call.NewRefusal(call.CodeDeadline, outcome, "request body did not arrive within the deadline")
	}
	return call.NewRefusal(call.CodeIncompleteBody, outcome, "request body ended early: %v", err)
}

func (n *Node) logRequest(req *caller.Request, requestID string, err error, elapsed time.Duration) {
	event := n.log.Debug()
	if err != nil {
		refusal := call.AsRefusal(err)
		event = n.log.Info().Str("code", string(refusal.Code)).Str("outcome", refusal.Outcome.String()).Str("reason", refusal.Message)
	}
	event.Str("request_id", requestID).Str("method", req.Method).Str("path", req.Path).Dur("took_ms", elapsed).Msg("request")
}
