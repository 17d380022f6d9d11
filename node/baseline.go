package node

import (
	"context"

	"github.com/cowslipglade/cowslipglade/call"
)

// baselineAttempts is the number of attempts of the baseline policy at each hop.
const baselineAttempts = 3

// dispatchBaseline dispatches round robin with a fixed number of attempts. It is the baseline that
// measurements compare with.
func (n *Node) dispatchBaseline(ctx context.Context, req *call.Request, body *call.ReplayBody) (*call.Response, error) {
	var last error
	for range baselineAttempts {
		candidates := n.membership.view.candidates(req.Service)
		if len(candidates) == 0 {
			return nil, call.NewRefusal(call.CodeNoUpstream, call.NotRun, "no upstream of %s is known", req.Service)
		}
		target := candidates[n.roundRobin.Add(1)%uint64(len(candidates))]
		response, err := n.send(ctx, target, body.Attach(req))
		if err == nil && response.Status < 500 {
			return response, nil
		}
		if err == nil && !body.Replayable() {
			return response, nil
		}
		if err == nil {
			_ = response.Body.Close()
			err = call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "upstream answered with status %d", response.Status)
		}
		last = err
		if ctx.Err() != nil || !body.Replayable() {
			break
		}
	}
	return nil, last
}
