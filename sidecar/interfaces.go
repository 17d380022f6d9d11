package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/config"
)

// RequestFields holds the values of the system headers of a request.
type RequestFields struct {
	// ID identifies one attempt of a client.
	ID string
	// Timeout is how long the client waits, or 0 if not given.
	Timeout time.Duration
	Key     string
}

// UpstreamFields holds the values of the system headers sent to an upstream.
type UpstreamFields struct {
	RequestID string
	// Timeout is the remaining time until the deadline.
	Timeout time.Duration
	// Instance is the upstream that must run the request. Any other upstream at the same address refuses it.
	Instance      string
	Workspace     string
	CallerService string
}

// ResponseFields holds the values of the system headers of an upstream's response.
type ResponseFields struct {
	RequestID string
	Instance  string
	// NotRun means that the upstream has not run the request.
	NotRun bool
	// Signed means that the response carries an upstream's signature.
	Signed bool
	// WarmUp is how much longer the upstream stays cold. It is 0 unless HasWarmUp is set.
	WarmUp    time.Duration
	HasWarmUp bool
}

// Headers reads and writes the system headers of requests and responses.
type Headers interface {
	// TakeRequest reads and removes the system headers.
	TakeRequest(http.Header) RequestFields
	PutUpstream(http.Header, UpstreamFields)
	ReadResponse(http.Header) ResponseFields
	// PutRefusal sets the headers of a refusal. It suggests no retry delay if retryAfter is 0.
	PutRefusal(h http.Header, requestID string, retryAfter time.Duration)
}

// ConfigurationSource provides the operators' configuration.
type ConfigurationSource interface {
	// Read returns the newest configuration as stored. The read must be linearizable.
	Read(context.Context) ([]byte, error)
	Decode([]byte) (*config.Document, error)
}

// Heartbeat is the state that an upstream reports to its node.
type Heartbeat struct {
	// Instance is the upstream's ID.
	Instance string
	// StartTimeMS is when the upstream started, in Unix milliseconds, or 0 if unknown.
	StartTimeMS int64
	Sequence    int64
	Service     string
	Address     string
	Slots       int
	Draining    bool
	// WarmUp is how much longer the upstream is slow after its start.
	WarmUp time.Duration
}

// HeartbeatHandler handles the messages of the upstream on the same VM.
type HeartbeatHandler interface {
	// Heartbeat applies a heartbeat. It returns an error if the heartbeat is not acknowledged.
	Heartbeat(Heartbeat) error
	// RejectedHeartbeat is called for heartbeats that are malformed or refused, and for malformed departures.
	RejectedHeartbeat(instance string, reason error)
	// Departed is called when an upstream departs permanently. startTimeMS is 0 if unknown.
	Departed(instance string, startTimeMS int64)
}
