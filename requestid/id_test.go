package requestid

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var (
	epoch  = time.UnixMilli(1_800_000_000_000)
	secret = []byte("0123456789abcdef")
)

func newIssuer(t must.T, incarnation uint64) *Issuer {
	issuer, err := NewIssuer("node-1", incarnation, secret, 10*time.Minute)
	must.NoError(t, err)
	return issuer
}

// Guards against ids that change in encoding, and against ids accepted after alteration or from another
// incarnation or workspace.
func TestIDRoundTripAndVerify(t *testing.T) {
	issuer := newIssuer(t, 7)
	id := issuer.Issue(epoch, "w")
	decoded, err := Decode(id.String())
	must.NoError(t, err)
	test.Eq(t, id, decoded)
	test.NoError(t, issuer.Verify(decoded, "w"))
	test.ErrorIs(t, issuer.Verify(decoded, "v"), ErrForged)
	test.ErrorIs(t, newIssuer(t, 8).Verify(decoded, "w"), ErrOtherHome)
	decoded.Sequence++
	test.ErrorIs(t, issuer.Verify(decoded, "w"), ErrForged)
	_, err = NewIssuer("a b", 1, secret, time.Minute)
	test.Error(t, err)
	_, err = NewIssuer("a", 1, secret[:8], time.Minute)
	test.Error(t, err)
}

// Guards against two encodings of one id and against panics on untrusted input.
func FuzzDecode(f *testing.F) {
	text := newIssuer(f, 7).Issue(epoch, "w").String()
	for _, seed := range []string{text, text + "=", text[1:], text[:40] + "\n" + text[40:], "", strings.Repeat("A", 500)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Decode(text)
		if err != nil {
			test.ErrorIs(t, err, ErrMalformed)
			return
		}
		test.Eq(t, text, id.String())
	})
}
