// Package peer forwards calls between nodes.
//
// A call forwarded by a Client is one HTTP/1.1 POST. The caller's end-to-end headers and body are passed
// unchanged. The call context is sent in one header as encoded protobuf with an HMAC, and the response
// metadata is returned the same way. Plain HTTP is used because twirp cannot stream bodies.
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

// Path is the URL path that receives forwarded calls.
const Path = "/cowslip/call"

const (
	headerContext   = "Cowslip-Context"
	headerResponse  = "Cowslip-Answer"
	headerSignature = "Cowslip-Signature"
)

// Separate labels prevent a signed request from being accepted as a signed response.
var (
	labelContext  = []byte("call-context")
	labelResponse = []byte("call-answer")
)

// Errors of the package.
var (
	ErrMalformed       = errors.New("peer: malformed metadata")
	ErrUnauthenticated = errors.New("peer: signature does not verify")
)

// Kind selects what the receiving node does with a call.
type Kind = callv1.Kind

// Kinds of forwarded calls.
const (
	// KindRun runs the call on the receiver's local upstream.
	KindRun = callv1.Kind_KIND_RUN
	// KindHome handles the request at the home node of its request id.
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
		ShedOrder:              uint32(c.ShedOrder),
		Inner:                  c.Inner,
		Repeated:               c.Repeated,
	}
}

// encodeRaw returns the header values for encoded metadata.
func encodeRaw(keyring *signature.Keyring, label, data []byte) (encoded, sign string) {
	return base64.RawURLEncoding.EncodeToString(data), keyring.Sign(label, data)
}

// decodeContext verifies the signature before it decodes, so that only input from peers is decoded.
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
	return incomingCall(&m, now)
}

func incomingCall(m *callv1.Context, now time.Time) (*Incoming, error) {
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
				ShedOrder:     uint16(min(m.ShedOrder, uint32(call.RanksPerClass)-1)),
				Inner:         m.Inner,
				Repeated:      m.Repeated,
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
		ShedFrom:     uint32(l.ShedFrom),
		Waiting:      uint32(l.Waiting),
		WorkLeftUs:   l.WorkLeft.Microseconds(),
		Pace:         float32(l.Pace),
		WaitedUs:     l.Waited.Microseconds(),
		RanUs:        l.Ran.Microseconds(),
		UsualUs:      l.Usual.Microseconds(),
	}
}

func decodeLoad(m *callv1.Load) call.Load {
	return call.Load{
		InFlight:   int(m.GetInFlight()),
		Limit:      int(m.GetLimit()),
		QueueDelay: time.Duration(m.GetQueueDelayUs()) * time.Microsecond,
		Admitted:   call.Importance(min(m.GetAdmitted(), uint32(call.Sheddable))),
		Draining:   m.GetDraining(),
		ShedFrom:   decodeRank(m.GetShedFrom()),
		Waiting:    int(m.GetWaiting()),
		WorkLeft:   DecodeWork(m.GetWorkLeftUs()),
		Pace:       DecodePace(m.GetPace()),
		Waited:     min(DecodeWork(m.GetWaitedUs()), maxAge),
		Ran:        min(DecodeWork(m.GetRanUs()), maxAge),
		Usual:      min(DecodeWork(m.GetUsualUs()), maxAge),
	}
}

// minPace and maxPace bound decoded paces.
const minPace, maxPace = 0.01, 100

// DecodePace returns a pace within its bounds, or 0 if it is not reported or not a number.
func DecodePace(pace float32) float64 {
	if !(pace > 0) { // also true of NaN
		return 0
	}
	return min(max(float64(pace), minPace), maxPace)
}

// maxWork bounds decoded amounts of work. It is above that of all slots of an upstream for an hour.
const maxWork = 1e6 * time.Hour

// DecodeWork converts an amount of work in microseconds to a duration, or to 0 if it is out of bounds.
func DecodeWork(us int64) time.Duration {
	if us < 0 || us > maxWork.Microseconds() {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

func decodeRank(rank uint32) call.Rank { return call.Rank(min(rank, uint32(call.RankLimit))) }

// maxAge bounds decoded ages.
const maxAge = time.Hour

// DecodeAge converts an age in microseconds to a duration that a malformed value cannot make negative.
func DecodeAge(us int64) time.Duration {
	if us < 0 || us > maxAge.Microseconds() {
		return maxAge
	}
	return time.Duration(us) * time.Microsecond
}

func encodeLimits(limits []call.ServiceLimit) []*callv1.ServiceLimit {
	var encoded []*callv1.ServiceLimit
	for _, l := range limits {
		encoded = append(encoded, &callv1.ServiceLimit{Service: l.Service, ShedFrom: uint32(l.ShedFrom), AgeUs: l.Age.Microseconds()})
	}
	return encoded
}

func decodeLimits(encoded []*callv1.ServiceLimit) []call.ServiceLimit {
	var limits []call.ServiceLimit
	for _, l := range encoded {
		limits = append(limits, call.ServiceLimit{
			Service: l.Service, ShedFrom: decodeRank(l.ShedFrom), Age: DecodeAge(l.AgeUs),
		})
	}
	return limits
}

func encodeResponseMetadata(keyring *signature.Keyring, callID string, response *call.Response, refusal *call.Refusal) (encoded, sign string, err error) {
	m := &callv1.AnswerMetadata{CallId: callID}
	if refusal != nil {
		m.Refusal = refusalMessage(refusal)
		m.UnspentBudget = uint32(refusal.UnspentBudget)
		if refusal.Load != nil {
			m.Load = encodeLoad(*refusal.Load)
		}
	} else {
		m.Load = encodeLoad(response.Load)
		m.UnspentBudget = uint32(response.UnspentBudget)
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return "", "", fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	encoded, sign = encodeRaw(keyring, labelResponse, data)
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

func decodeResponseMetadata(keyring *signature.Keyring, encoded, sign string) (*callv1.AnswerMetadata, error) {
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := keyring.Verify(sign, labelResponse, data); err != nil {
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
	refusal.Limits = decodeLimits(m.GetLimits())
	return refusal
}
