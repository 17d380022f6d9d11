package sidecar

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/random"
)

// plainHeaders is Headers for requests that are not sent.
type plainHeaders struct{ Headers }

func (plainHeaders) PutUpstream(http.Header, UpstreamFields) {}

// endedContexts returns a context that was canceled and one whose deadline has passed.
func endedContexts(t *testing.T) map[call.Code]context.Context {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	late, cancelLate := context.WithDeadline(t.Context(), time.Now())
	t.Cleanup(cancelLate)
	return map[call.Code]context.Context{call.CodeCanceled: canceled, call.CodeDeadline: late}
}

// The end of a call before it is sent to the upstream of this node does not mean that there is no upstream.
func TestCallEndedBeforeUpstream(t *testing.T) {
	for code, ctx := range endedContexts(t) {
		n := testNode("n0", 1)
		n.headers = plainHeaders{}
		u := &localUpstream{Heartbeat: Heartbeat{Instance: "i", Service: "s", Address: "127.0.0.1:1"}, gate: newGate(1, n.local.pacer)}
		n.local.current.Store(u)
		req := &call.Request{Context: call.Context{RequestID: "r", Service: "s", Deadline: time.Now().Add(time.Second)}, Header: http.Header{}}
		var result admission.Result
		_, err := n.runUpstream(ctx, u, req, newMeteredCall(u, req, time.Now()), func(r admission.Result) { result = r })
		must.Eq(t, code, call.AsRefusal(err).Code)
		must.Eq(t, call.NotRun, call.AsRefusal(err).Outcome)
		must.Eq(t, admission.Ignored, result)

		refusal := n.awaitPace(ctx, req.Deadline)
		must.NotNil(t, refusal, must.Sprint("the call would be sent"))
		must.Eq(t, code, refusal.Code)
		must.Eq(t, call.NotRun, refusal.Outcome)
	}
}

// An attempt that ends before it is sent says nothing about its destination: neither that it can't be reached nor that it can.
func TestAttemptEndedBeforeDestination(t *testing.T) {
	for code, ctx := range endedContexts(t) {
		n := testNode("n0", 1)
		candidates := []balance.Candidate{
			{ID: balance.ID{Node: "n1", Incarnation: 1}, Address: "127.0.0.1:1", FailureDomain: "d"},
			{ID: balance.ID{Node: "n2", Incarnation: 1}, Address: "127.0.0.1:2", FailureDomain: "d"},
		}
		n.picker.SetCandidates("s", candidates)
		e := entryFor(n, "r", config.Route{Name: "r", Service: "s"}, call.Normal)
		e.req.Deadline = time.Now().Add(time.Second)
		var err error
		e.body, err = call.NewReplayBody(&call.Request{Body: strings.NewReader("")})
		must.NoError(t, err)
		d := &dispatcher{node: n, entry: e}
		picked := func() map[string]int {
			counts := map[string]int{}
			for range 100 {
				choice, err := n.picker.Pick("s", balance.LatencyQuery{Route: "r", TimeLeft: time.Second}, time.Now(), random.Shared)
				must.NoError(t, err)
				counts[choice.Node]++
				n.picker.Done("s", choice.ID, "r", balance.LatencyResult{Outcome: balance.Abandoned}, time.Now())
			}
			return counts
		}
		end := func() {
			_, refusal := d.attempt(ctx, candidates[0], false)
			must.NotNil(t, refusal)
			must.Eq(t, call.NotRun, refusal.Outcome)
		}
		end()
		must.Positive(t, picked()["n1"], must.Sprint("n1 counts as unreachable after ", code))
		n.picker.Done("s", candidates[0].ID, "r", balance.LatencyResult{Outcome: balance.Unreachable}, time.Now())
		end()
		must.Zero(t, picked()["n1"], must.Sprint("n1 counts as reachable again after ", code))
	}
}
