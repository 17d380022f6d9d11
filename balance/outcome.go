package balance

import (
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Outcome is the result of a finished call with regard to the health of its upstream.
type Outcome uint8

// Outcomes and their effect on the upstream's health.
const (
	// Succeeded is a call that the upstream handled, or one that ended with a Final refusal of a deeper hop.
	Succeeded Outcome = iota
	// Declined is a refusal by a healthy destination, for example because of overload, drain or quarantine.
	Declined
	// Failed is a broken or missing response, or a failure that the upstream reported.
	Failed
	// Unreachable is a connection that could not be opened. Picker ejects the upstream at once.
	Unreachable
	// TimedOut is a passed deadline. Picker counts it as Failed after TimeoutMinimum and ignores it before.
	TimedOut
	// Abandoned is a call that the caller gave up. It does not affect the health.
	Abandoned
)

// Result is the feedback of one call.
type Result struct {
	Outcome Outcome
	// Latency is the time since Pick or Start. It also distinguishes the probe of an ejected upstream
	// from calls that were already in flight when the probe started.
	Latency time.Duration
	// Load is the load signal of the destination, or nil when none arrived.
	Load *call.Load
}

// ResponseResult returns the feedback of a response. Status 503 is load shedding by the upstream itself.
func ResponseResult(response *call.Response, latency time.Duration) Result {
	result := Result{Latency: latency, Load: &response.Load}
	switch response.Status {
	case http.StatusServiceUnavailable:
		result.Outcome = Declined
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		result.Outcome = Failed
	}
	return result
}

// RefusalResult returns the feedback of a refusal that the destination sent or that this node created
// on its behalf. A Final refusal comes from a deeper hop, so the destination itself counts as healthy.
func RefusalResult(refusal *call.Refusal, latency time.Duration) Result {
	return Result{Outcome: refusalOutcome(refusal), Latency: latency, Load: refusal.Load}
}

func refusalOutcome(refusal *call.Refusal) Outcome {
	if refusal.Final {
		return Succeeded
	}
	switch refusal.Code {
	case call.CodeNoUpstream:
		// The node runs but has no upstream, and reports no load that would keep calls away from it.
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
