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
			Crashes: 1, Fingerprint: 42, Inner: true, Repeated: true,
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

// Guards against accepting a context that no peer signed or that was modified in transit, and against
// rejecting a secret that is still valid during secret rotation.
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
	response, responseSign, err := encodeResponseMetadata(sender, "c1", &call.Response{}, nil)
	must.NoError(t, err)
	_, err = decodeContext(sender, response, responseSign, now)
	must.ErrorIs(t, err, ErrUnauthenticated)
}

func TestRefusalRoundTrip(t *testing.T) {
	keyring := signature.NewKeyring([]string{"first"})
	refusal := call.NewRefusal(call.CodeOverloaded, call.NotRun, "queue is full")
	refusal.RetryAfter = time.Second
	refusal.UnspentBudget = 1
	refusal.Load = &call.Load{InFlight: 3, Limit: 4, QueueDelay: time.Millisecond, Admitted: call.Normal}
	encoded, sign, err := encodeResponseMetadata(keyring, "c1", nil, refusal)
	must.NoError(t, err)
	m, err := decodeResponseMetadata(keyring, encoded, sign)
	must.NoError(t, err)
	must.Eq(t, refusal, decodeRefusal(m))
	limits := []call.ServiceLimit{{Service: "s", ShedFrom: call.RankLimit, Age: time.Second}}
	must.Eq(t, limits, decodeLimits(encodeLimits(limits)))
}

// Guards against panics of the decoders on arbitrary input. The input is signed so that it passes the
// signature check.
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
		encoded, sign = encodeRaw(keyring, labelResponse, data)
		if m, err := decodeResponseMetadata(keyring, encoded, sign); err == nil {
			_ = decodeRefusal(m)
		}
	})
}
