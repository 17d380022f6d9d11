package peer

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/signature"
	callv1 "github.com/cowslipglade/cowslipglade/rpc/call/v1"
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
	refusal.Load = &call.Load{InFlight: 3, Limit: 4, QueueDelay: time.Millisecond, Admitted: call.Normal,
		Waiting: 5, WorkLeft: 7 * time.Second, Pace: 0.5, Waited: 8 * time.Millisecond, Ran: 9 * time.Millisecond, Usual: 10 * time.Millisecond}
	encoded, sign, err := encodeResponseMetadata(keyring, "c1", nil, refusal)
	must.NoError(t, err)
	m, err := decodeResponseMetadata(keyring, encoded, sign)
	must.NoError(t, err)
	must.Eq(t, refusal, decodeRefusal(m))
	limits := []call.ServiceLimit{{Service: "s", ShedFrom: call.RankLimit, Age: time.Second}}
	must.Eq(t, limits, decodeLimits(encodeLimits(limits)))
}

// A load without the fields of work and pace, as older nodes send it, must decode as one that does not tell them, and values
// out of bounds as unknown: they decide where calls go.
func TestDecodeLoadBounds(t *testing.T) {
	must.Eq(t, call.Load{InFlight: 3, Limit: 4}, decodeLoad(&callv1.Load{InFlight: 3, Limit: 4}))
	for _, pace := range []float32{float32(math.NaN()), -1, 0} {
		must.Eq(t, call.Load{}, decodeLoad(&callv1.Load{Pace: pace, WorkLeftUs: -1, WaitedUs: math.MinInt64, RanUs: -5, UsualUs: math.MaxInt64}))
	}
	must.Eq(t, maxPace, decodeLoad(&callv1.Load{Pace: float32(math.Inf(1))}).Pace)
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
