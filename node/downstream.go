package node

import (
	"context"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/upstream"
)

// HandleDownstream implements upstream.Handler. It handles a call that the upstream makes while it runs
// another. The upstream cannot change workspace, importance, deadline and retry budget: they come from
// the running call.
func (n *Node) HandleDownstream(ctx context.Context, req *upstream.DownstreamCall) (*call.Response, error) {
	response, err := n.handleDownstream(ctx, req)
	return response, n.asDraining(err)
}

func (n *Node) handleDownstream(ctx context.Context, req *upstream.DownstreamCall) (*call.Response, error) {
	parent, ok := n.running.get(req.Token)
	if !ok {
		return nil, call.NewRefusal(call.CodeUnauthenticated, call.NotRun, "%s does not name a running call", call.HeaderCall)
	}
	route, ok := n.configuration.document().MatchRoute(req.Method, req.Path)
	if !ok {
		return nil, call.NewRefusal(call.CodeUnknownRoute, call.NotRun, "no route for %s %s", req.Method, req.Path)
	}
	if parent.req.Idempotent && !route.Idempotent {
		// A retry of the parent would run the child again.
		return nil, call.NewRefusal(call.CodeBadRequest, call.NotRun,
			"route %s is idempotent and must not call route %s, which is not", parent.req.Route, route.Name)
	}
	if n.requests.abortsBefore(time.Now().Add(minLateCallTime)) {
		return nil, n.drainingRefusal(call.NotRun)
	}
	child := newChildCall(parent.req, req, route, n.now())
	n.setBodyDeadline(req.SetBodyDeadline, child.Deadline)
	body, err := call.NewReplayBody(child)
	if err != nil {
		return nil, bodyRefusal(err, call.NotRun)
	}
	child.Fingerprint = fingerprint(child, body)
	if err := n.refuseQuarantined(child.Fingerprint); err != nil {
		return nil, err
	}
	parent.startChild(n.now())
	ctx, cancel := context.WithDeadline(ctx, child.Deadline)
	// The end of the parent cancels the child even if the upstream keeps its connection open.
	stop := context.AfterFunc(parent.ctx, cancel)
	end := func() {
		parent.endChild(n.now())
		stop()
		cancel()
	}
	response, err := n.dispatch(ctx, &dispatcher{node: n, req: child, body: body, budget: parent.budget})
	if err != nil {
		end()
		return nil, err
	}
	response.Body = call.OnClose(response.Body, end)
	return response, nil
}

// newChildCall returns the call that an upstream makes on the route while it runs parent.
func newChildCall(parent *call.Request, req *upstream.DownstreamCall, route config.Route, now time.Time) *call.Request {
	child := &call.Request{
		Context:       parent.Context,
		Method:        req.Method,
		Target:        req.Target,
		Header:        req.Header,
		Body:          req.Body,
		ContentLength: req.ContentLength,
	}
	child.Route = route.Name
	child.Service = route.Service
	child.Idempotent = route.Idempotent
	child.Depth++
	child.Crashes = 0
	if deadline := now.Add(route.Timeout); route.Timeout > 0 && deadline.Before(child.Deadline) {
		child.Deadline = deadline
	}
	return child
}
