package node

import (
	"context"

	"github.com/cowslipglade/cowslipglade/call"
)

// baselineTries is what the baseline policy does at each hop.
const baselineTries = 3

// dispatchBaseline is round robin with a fixed number of tries. It is kept as the baseline that
// measurements compare with.
func (n *Node) dispatchBaseline(ctx context.Context, req *call.Request, body *call.ReplayBody) (*call.Response, error) {
	var last error
	for range baselineTries {
		candidates := n.membership.view.candidates(req.Service)
		if len(candidates) == 0 {
			return nil, call.NewRefusal(call.CodeNoUpstream, call.NotRun, "no upstream of %s is known", req.Service)
		}
		target := candidates[n.roundRobin.Add(1)%uint64(len(candidates))]
		answer, err := n.send(ctx, target, body.Attach(req))
		if err == nil && answer.Status < 500 {
			return answer, nil
		}
		if err == nil && !body.Replayable() {
			return answer, nil
		}
		if err == nil {
			_ = answer.Body.Close()
			err = call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "upstream answered with status %d", answer.Status)
		}
		last = err
		if ctx.Err() != nil || !body.Replayable() {
			break
		}
	}
	return nil, last
}
