// Package peer carries calls between nodes.
//
// A forwarded call is one HTTP/1.1 POST. The caller's headers and body pass unchanged; the call
// context travels in one header as encoded protobuf with an HMAC, and the answer's metadata returns
// the same way. Plain HTTP is used because bodies stream, which twirp does not offer.
package peer

import (
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/signature"
	callv1 "github.com/cowslipglade/cowslipglade/rpc/call/v1"
)

// Path is where a node takes forwarded calls.
const Path = "/cowslip/call"

const (
	headerContext   = "Cowslip-Context"
	headerAnswer    = "Cowslip-Answer"
	headerSignature = "Cowslip-Signature"
)

// Separate labels keep a signed request from being accepted as a signed answer.
var (
	labelContext = []byte("call-context")
	labelAnswer  = []byte("call-answer")
)

// Errors of the package.
var (
	ErrMalformed       = errors.New("peer: malformed metadata")
	ErrUnauthenticated = errors.New("peer: signature does not verify")
)

// Kind tells what the receiving node is asked to do.
type Kind = callv1.Kind

// Kinds of forwarded calls.
const (
	// KindRun asks to run the call on the upstream beside the receiver.
	KindRun = callv1.Kind_KIND_RUN
	// KindHome asks the home of the request id to handle the request.
	KindHome = callv1.Kind_KIND_HOME
)

// Destination addresses a call to one incarnation of a node.
type Destination struct {
	Address     string
	Incarnation uint64
	Kind        Kind
}

func encodeContext(keyring *signature.Keyring, sender string, d Destination, req *call.Request, now time.Time) (encoded, sign string, err error) {
	data, err := proto.Marshal(contextMessage(sender, d, req, now))
	if err != nil {
		return "", "", fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	encoded, sign = encodeRaw(keyring, labelContext, data)
	return encoded, sign, nil
}

func contextMessage(sender string, d Destination, req *call.Request, now time.Time) *callv1.Context {
	c := &req.Context
	return &callv1.Context{
		CallId:                 c.CallID,
		RequestId:              c.RequestID,
		Workspace:              c.Workspace,
		KeyHash:                c.KeyHash,
		Route:                  c.Route,
		Service:                c.Service,
		Importance:             uint32(c.Importance),
		Idempotent:             c.Idempotent,
		TimeoutUs:              c.Deadline.Sub(now).Microseconds(),
		RetryBudget:            uint32(c.RetryBudget),
		Depth:                  uint32(c.Depth),
		Crashes:                uint32(c.Crashes),
		Fingerprint:            c.Fingerprint,
		Method:                 req.Method,
		Target:                 req.Target,
		Sender:                 sender,
		DestinationIncarnation: d.Incarnation,
		Kind:                   d.Kind,
		CallerService:          c.CallerService,
	}
}

// encodeRaw returns the header values for encoded metadata.
func encodeRaw(keyring *signature.Keyring, label, data []byte) (encoded, sign string) {
	return base64.RawURLEncoding.EncodeToString(data), keyring.Sign(label, data)
}

// decodeContext verifies before it decodes, so that only peers reach the decoder.
func decodeContext(keyring *signature.Keyring, encoded, sign string, now time.Time) (*Incoming, error) {
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := keyring.Verify(sign, labelContext, data); err != nil {
		return nil, ErrUnauthenticated
	}
	return unmarshalContext(data, now)
}

func unmarshalContext(data []byte, now time.Time) (*Incoming, error) {
	var m callv1.Context
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.Importance >= uint32(call.ImportanceCount) || m.CallId == "" || m.Method == "" || m.Target == "" {
		return nil, fmt.Errorf("%w: missing or out of range field", ErrMalformed)
	}
	return &Incoming{
		Sender:      m.Sender,
		Incarnation: m.DestinationIncarnation,
		Kind:        m.Kind,
		Request: call.Request{
			Context: call.Context{
				CallID:      m.CallId,
				RequestID:   m.RequestId,
				Workspace:   m.Workspace,
				KeyHash:     m.KeyHash,
				Route:       m.Route,
				Service:     m.Service,
				Importance:  call.Importance(m.Importance),
				Idempotent:  m.Idempotent,
				Deadline:    now.Add(time.Duration(m.TimeoutUs) * time.Microsecond),
				RetryBudget: int(m.RetryBudget),
				Depth:       int(m.Depth),
				Crashes:     int(m.Crashes),
				Fingerprint: m.Fingerprint,

				CallerService: m.CallerService,
			},
			Method: m.Method,
			Target: m.Target,
		},
	}, nil
}

func encodeLoad(l call.Load) *callv1.Load {
	return &callv1.Load{
		InFlight:     uint32(l.InFlight),
		Limit:        uint32(l.Limit),
		QueueDelayUs: l.QueueDelay.Microseconds(),
		Admitted:     uint32(l.Admitted),
		Draining:     l.Draining,
	}
}

func decodeLoad(m *callv1.Load) call.Load {
	return call.Load{
		InFlight:   int(m.GetInFlight()),
		Limit:      int(m.GetLimit()),
		QueueDelay: time.Duration(m.GetQueueDelayUs()) * time.Microsecond,
		Admitted:   call.Importance(min(m.GetAdmitted(), uint32(call.Sheddable))),
		Draining:   m.GetDraining(),
	}
}

func encodeAnswer(keyring *signature.Keyring, callID string, answer *call.Response, refusal *call.Refusal) (encoded, sign string, err error) {
	m := &callv1.AnswerMetadata{CallId: callID}
	if refusal != nil {
		m.Refusal = refusalMessage(refusal)
		m.UnspentBudget = uint32(refusal.UnspentBudget)
		if refusal.Load != nil {
			m.Load = encodeLoad(*refusal.Load)
		}
	} else {
		m.Load = encodeLoad(answer.Load)
		m.UnspentBudget = uint32(answer.UnspentBudget)
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return "", "", fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	encoded, sign = encodeRaw(keyring, labelAnswer, data)
	return encoded, sign, nil
}

func refusalMessage(refusal *call.Refusal) *callv1.Refusal {
	return &callv1.Refusal{
		Code:         string(refusal.Code),
		Message:      refusal.Message,
		MayHaveRun:   refusal.Outcome == call.MayHaveRun,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Final:        refusal.Final,
		Crashed:      refusal.Crashed,
	}
}

func decodeAnswer(keyring *signature.Keyring, encoded, sign string) (*callv1.AnswerMetadata, error) {
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := keyring.Verify(sign, labelAnswer, data); err != nil {
		return nil, ErrUnauthenticated
	}
	var m callv1.AnswerMetadata
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return &m, nil
}

func decodeRefusal(m *callv1.AnswerMetadata) *call.Refusal {
	r := m.GetRefusal()
	refusal := &call.Refusal{
		Code:          call.Code(r.GetCode()),
		Message:       r.GetMessage(),
		RetryAfter:    time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		Final:         r.GetFinal(),
		Crashed:       r.GetCrashed(),
		UnspentBudget: int(m.GetUnspentBudget()),
	}
	if r.GetMayHaveRun() {
		refusal.Outcome = call.MayHaveRun
	}
	if m.GetLoad() != nil {
		load := decodeLoad(m.GetLoad())
		refusal.Load = &load
	}
	return refusal
}
