package call

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether an upstream may have run a call that got no response.
type Outcome uint8

// Outcomes of calls without a response.
const (
	// NotRun means that no upstream has run any part of the request.
	NotRun Outcome = iota
	// MayHaveRun means that an upstream may have run the request.
	MayHaveRun
)

// String returns the name used in refusals.
func (o Outcome) String() string {
	if o == NotRun {
		return "not_run"
	}
	return "may_have_run"
}

// Code identifies the reason for a refusal. Codes are part of the public interface.
type Code string

// Refusal codes.
const (
	CodeBadRequest         Code = "bad_request"
	CodeMissingKey         Code = "missing_key"
	CodeUnknownKey         Code = "unknown_key"
	CodeWithdrawnKey       Code = "withdrawn_key"
	CodeUnknownRoute       Code = "unknown_route"
	CodeRequestIDRequired  Code = "request_id_required"
	CodeRequestIDInvalid   Code = "request_id_invalid"
	CodeRequestIDConflict  Code = "request_id_conflict"
	CodeRequestIDLost      Code = "request_id_lost"
	CodeHeaderTooLarge     Code = "header_too_large"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeIncompleteBody     Code = "incomplete_body"
	CodeRateExceeded       Code = "rate_exceeded"
	CodeOverloaded         Code = "overloaded"
	CodeDeadline           Code = "deadline_exceeded"
	CodeCanceled           Code = "canceled"
	CodeDraining           Code = "draining"
	CodeQuarantined        Code = "quarantined"
	CodeNoUpstream         Code = "no_upstream"
	CodeUpstreamFailed     Code = "upstream_failed"
	CodeUpstreamRefused    Code = "upstream_refused"
	CodePeerFailed         Code = "peer_failed"
	CodeUnauthenticated    Code = "unauthenticated"
	CodeWrongIncarnation   Code = "wrong_incarnation"
	CodeDuplicate          Code = "duplicate"
	CodeStaleConfiguration Code = "stale_configuration"
	CodeInternal           Code = "internal"
)

var statusByCode = map[Code]int{
	CodeBadRequest:         http.StatusBadRequest,
	CodeMissingKey:         http.StatusUnauthorized,
	CodeUnknownKey:         http.StatusUnauthorized,
	CodeWithdrawnKey:       http.StatusUnauthorized,
	CodeUnknownRoute:       http.StatusNotFound,
	CodeRequestIDRequired:  http.StatusPreconditionRequired,
	CodeRequestIDInvalid:   http.StatusBadRequest,
	CodeRequestIDConflict:  http.StatusUnprocessableEntity,
	CodeRequestIDLost:      http.StatusGone,
	CodeHeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	CodeIncompleteBody:     http.StatusBadRequest,
	CodeRateExceeded:       http.StatusTooManyRequests,
	CodeOverloaded:         http.StatusServiceUnavailable,
	CodeDeadline:           http.StatusGatewayTimeout,
	CodeCanceled:           499, // the caller disconnected; no standard status exists
	CodeDraining:           http.StatusServiceUnavailable,
	CodeQuarantined:        http.StatusUnprocessableEntity,
	CodeNoUpstream:         http.StatusServiceUnavailable,
	CodeUpstreamFailed:     http.StatusBadGateway,
	CodeUpstreamRefused:    http.StatusServiceUnavailable,
	CodePeerFailed:         http.StatusBadGateway,
	CodeUnauthenticated:    http.StatusForbidden,
	CodeWrongIncarnation:   http.StatusServiceUnavailable,
	CodeDuplicate:          http.StatusConflict,
	CodeStaleConfiguration: http.StatusServiceUnavailable,
	CodeInternal:           http.StatusInternalServerError,
}

// Refusal is returned in place of a response. It implements error.
type Refusal struct {
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter is the delay after which the caller may retry; 0 means unknown.
	RetryAfter time.Duration
	// Final means that a deeper hop has already made the retry decision.
	Final bool
	// Crashed means that the upstream crashed while it ran the call.
	Crashed bool
	// UnspentBudget is the unused part of the granted retry budget.
	UnspentBudget int
	// Load is the load that the destination reported, or nil if the refusal did not come from one.
	Load *Load
	// Limits are those of overloaded services to which calls of the route lead.
	Limits []ServiceLimit
}

// NewRefusal returns a refusal with a formatted message.
func NewRefusal(code Code, outcome Outcome, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Error returns the code, outcome and message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := statusByCode[r.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// AsRefusal returns err as a refusal. An error of any other type becomes CodeInternal with outcome
// MayHaveRun, because it does not show whether the request ran.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return NewRefusal(CodeInternal, MayHaveRun, "%v", err)
}
