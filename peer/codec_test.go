package peer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/signature"
)

func testRequest() *call.Request {
	return &call.Request{
		Context: call.Context{
			CallID: "c1", RequestID: "r1", Workspace: "garage", KeyHash: "h", Route: "stock", Service: "stock",
			Importance: call.Sheddable, Idempotent: true, Deadline: time.Unix(1000, 0), RetryBudget: 2, Depth: 3,
			Crashes: 1, Fingerprint: 42,
		},
		Method: "PUT",
		Target: "/stock/a?b=c",
	}
}

func TestContextRoundTrip(t *testing.T) {
	keyring := signature.NewKeyring([]string{"first", "second"})
	now := time.Unix(990, 0)
	encoded, sign, err := encodeContext(keyring, "n1", Destination{Incarnation: 7, Kind: KindRun}, testRequest(), now)
	must.NoError(t, err)
	incoming, err := decodeContext(keyring, encoded, sign, now)
	must.NoError(t, err)
	must.Eq(t, testRequest().Context, incoming.Context)
	must.Eq(t, 7, incoming.Incarnation)
	must.Eq(t, "n1", incoming.Sender)
	must.Eq(t, "/stock/a?b=c", incoming.Target)
}

// A context that no peer signed, or that was changed on the way, must not be believed. A secret must
// stay valid while the list of secrets is being replaced.
func TestContextSignature(t *testing.T) {
	now := time.Unix(990, 0)
	sender := signature.NewKeyring([]string{"new", "old"})
	encoded, sign, err := encodeContext(sender, "n1", Destination{}, testRequest(), now)
	must.NoError(t, err)
	_, err = decodeContext(signature.NewKeyring([]string{"old", "new"}), encoded, sign, now)
	must.NoError(t, err)
	_, err = decodeContext(signature.NewKeyring([]string{"old"}), encoded, sign, now)
	must.ErrorIs(t, err, ErrUnauthenticated)
	_, err = decodeContext(sender, encoded[:len(encoded)-2]+"AA", sign, now)
	must.ErrorIs(t, err, ErrUnauthenticated)
	answer, answerSign, err := encodeAnswer(sender, "c1", &call.Response{}, nil)
	must.NoError(t, err)
	_, err = decodeContext(sender, answer, answerSign, now)
	must.ErrorIs(t, err, ErrUnauthenticated)
}

func TestRefusalRoundTrip(t *testing.T) {
	keyring := signature.NewKeyring([]string{"first"})
	refusal := call.NewRefusal(call.CodeOverloaded, call.NotRun, "queue is full")
	refusal.RetryAfter = time.Second
	refusal.UnspentBudget = 1
	refusal.Load = &call.Load{InFlight: 3, Limit: 4, QueueDelay: time.Millisecond, Admitted: call.Normal}
	encoded, sign, err := encodeAnswer(keyring, "c1", nil, refusal)
	must.NoError(t, err)
	m, err := decodeAnswer(keyring, encoded, sign)
	must.NoError(t, err)
	must.Eq(t, refusal, decodeRefusal(m))
}

// Decoders must refuse arbitrary input without a panic. The signature is made here, so that the
// fuzzer reaches the code behind it.
func FuzzDecodeContext(f *testing.F) {
	keyring := signature.NewKeyring([]string{"first"})
	encoded, _, err := encodeContext(keyring, "n1", Destination{}, testRequest(), time.Unix(990, 0))
	must.NoError(f, err)
	f.Add([]byte(encoded))
	f.Fuzz(func(_ *testing.T, data []byte) {
		encoded, sign := encodeRaw(keyring, labelContext, data)
		if incoming, err := decodeContext(keyring, encoded, sign, time.Unix(0, 0)); err == nil && incoming.CallID == "" {
			panic("decoded a context without a call id")
		}
		encoded, sign = encodeRaw(keyring, labelAnswer, data)
		if m, err := decodeAnswer(keyring, encoded, sign); err == nil {
			_ = decodeRefusal(m)
		}
	})
}
