package balance

import (
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Outcome is what a finished call says about the health of its upstream.
type Outcome uint8

// Outcomes, by what they do to the upstream's health.
const (
	// Answered is a success.
	Answered Outcome = iota
	// Declined is a refusal by a healthy destination: overload, drain, quarantine and the like.
	Declined
	// Failed is a broken or missing answer, or a failure that the upstream reported.
	Failed
	// Unreachable is a connection that could not be opened; it ejects at once.
	Unreachable
	// TimedOut counts as Failed after TimeoutMinimum and as nothing before.
	TimedOut
	// Abandoned says nothing: the caller went away.
	Abandoned
)

// Result is the feedback of one call.
type Result struct {
	Outcome Outcome
	// Latency is the time since Pick or Start. It also tells the probe of an ejected upstream from
	// calls that were in flight before the ejection.
	Latency time.Duration
	// Load is the signal of the destination, or nil when none arrived.
	Load *call.Load
}

// AnswerResult returns the feedback of an answer. Status 503 is load shedding by the upstream itself.
func AnswerResult(answer *call.Response, latency time.Duration) Result {
	result := Result{Latency: latency, Load: &answer.Load}
	switch answer.Status {
	case http.StatusServiceUnavailable:
		result.Outcome = Declined
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		result.Outcome = Failed
	}
	return result
}

// RefusalResult returns the feedback of a refusal that the called destination gave or that this node
// made up for it. A Final refusal comes from a deeper layer and is a healthy answer of this one.
func RefusalResult(refusal *call.Refusal, latency time.Duration) Result {
	return Result{Outcome: refusalOutcome(refusal), Latency: latency, Load: refusal.Load}
}

func refusalOutcome(refusal *call.Refusal) Outcome {
	if refusal.Final {
		return Answered
	}
	switch refusal.Code {
	case call.CodeNoUpstream:
		// The node runs but has no upstream, and reports no load that would keep calls away.
		return Unreachable
	case call.CodePeerFailed, call.CodeUpstreamFailed:
		if refusal.Outcome == call.NotRun {
			return Unreachable
		}
		return Failed
	case call.CodeInternal, call.CodeWrongIncarnation:
		return Failed
	case call.CodeDeadline:
		if refusal.Outcome == call.NotRun {
			return Declined
		}
		return TimedOut
	case call.CodeCanceled:
		return Abandoned
	}
	return Declined
}
