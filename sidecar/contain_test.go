package sidecar

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

// Guards against an answer that claims more than is certain after a panic.
func TestPanicOutcome(t *testing.T) {
	for sends, outcome := range []call.Outcome{call.NotRun, call.MayHaveRun, call.MayHaveRun} {
		n := testNode("a", 1)
		n.configuration = nil
		response, refusal := n.serve(t.Context(), nil, nil, &entryRequest{sends: sends})
		must.Nil(t, response)
		must.Eq(t, call.CodeInternal, refusal.Code)
		must.Eq(t, outcome, refusal.Outcome)
		must.Eq(t, "1", n.metrics.panics.Get("entry").String())
	}
}

// Guards against requests that wait for a loan that has panicked, and against a workspace that gets no loan any more.
func TestPanicOfLoan(t *testing.T) {
	n := testNode("a", 1)
	n.shares = nil // a loan panics
	for range 2 {
		must.True(t, n.loans.awaitLoan(t.Context(), "w"))
		must.False(t, n.loans.awaitLoan(t.Context(), "w"))
		time.Sleep(loanBackoff)
	}
	must.Eq(t, "2", n.metrics.panics.Get("loan").String())
}
