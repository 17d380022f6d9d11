package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/config"
)

// RequestFields is what a request says in headers that belong to the system.
type RequestFields struct {
	// ID names one attempt of a client.
	ID string
	// Timeout is how long the client waits; 0 when it does not say.
	Timeout time.Duration
	Key     string
}

// UpstreamFields is what an upstream is told in headers.
type UpstreamFields struct {
	RequestID string
	// Timeout is what is left of the client's wait.
	Timeout time.Duration
	// Instance is the upstream that must run the request; another one at its address refuses.
	Instance      string
	Workspace     string
	CallerService string
}

// AnswerFields is what an upstream says in headers of an answer.
type AnswerFields struct {
	RequestID string
	Instance  string
	// NotRun means that the upstream has not run the request.
	NotRun bool
	// Signed means that the answer bears an upstream's signature.
	Signed bool
}

// Headers translates the headers of requests and answers.
type Headers interface {
	// TakeRequest reads and removes the headers that belong to the system.
	TakeRequest(http.Header) RequestFields
	PutUpstream(http.Header, UpstreamFields)
	ReadAnswer(http.Header) AnswerFields
	// PutRefusal sets the headers of a refusal; no wait is suggested when retryAfter is 0.
	PutRefusal(h http.Header, requestID string, retryAfter time.Duration)
}

// ConfigurationSource is where the operators' configuration comes from.
type ConfigurationSource interface {
	// Read returns the newest configuration as stored. It must be a linearizable read.
	Read(context.Context) ([]byte, error)
	Decode([]byte) (*config.Document, error)
}

// Heartbeat is what an upstream tells its node about itself.
type Heartbeat struct {
	// Instance is the upstream's id.
	Instance string
	// Born is the time of its start in Unix milliseconds, 0 when it is not known.
	Born     int64
	Sequence int64
	Service  string
	Address  string
	Slots    int
	Draining bool
	// WarmUp is how much longer it is slow after its start.
	WarmUp time.Duration
}

// HeartbeatHandler takes in what the upstream on the same VM says.
type HeartbeatHandler interface {
	// Heartbeat returns an error when it does not acknowledge the heartbeat.
	Heartbeat(Heartbeat) error
	// RejectedHeartbeat is told of heartbeats that could not be read.
	RejectedHeartbeat(instance string, reason error)
	// Departed is told that an upstream leaves for good. Born is 0 when it is not known.
	Departed(instance string, born int64)
}
