package peer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/signature"
)

// Guards against passing on a response that is unsigned, truncated or for another call, and against
// reporting such a call as not run.
func TestInvalidPeerResponses(t *testing.T) {
	keyring, forger := signature.NewKeyring([]string{"first"}), signature.NewKeyring([]string{"forged"})
	metadata := func(keyring *signature.Keyring, callID string) http.Header {
		encoded, sign, err := encodeResponseMetadata(keyring, callID, &call.Response{}, nil)
		must.NoError(t, err)
		return http.Header{headerResponse: {encoded}, headerSignature: {sign}}
	}
	valid := metadata(keyring, "c1")
	context1, sign, err := encodeContext(keyring, "n1", Destination{}, testRequest(), time.Now())
	must.NoError(t, err)
	for _, c := range []struct {
		name     string
		header   http.Header
		length   string
		expected string
	}{
		{"valid", valid, "4", ""},
		{"no metadata", http.Header{}, "4", "signature does not verify"},
		{"not base64", http.Header{headerResponse: {"!"}, headerSignature: valid[headerSignature]}, "4", "malformed"},
		{"other call", metadata(keyring, "c2"), "4", "belongs to call c2, not to c1"},
		{"no call", metadata(keyring, ""), "4", "belongs to call"},
		{"forged", metadata(forger, "c1"), "4", "signature does not verify"},
		{"signature of a context", http.Header{headerResponse: {context1}, headerSignature: {sign}}, "4", "signature does not verify"},
		{"large headers", http.Header{"X-A": {strings.Repeat("x", 1<<20)}}, "4", "headers exceeded"},
		{"truncated", valid, "9", "broke off"},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for name, values := range c.header {
				w.Header()[name] = values
			}
			w.Header().Set("Content-Length", c.length)
			_, _ = io.WriteString(w, "body")
		}))
		client := NewClient("n1", netip.MustParseAddr("127.0.0.1"), keyring)
		response, err := client.Forward(t.Context(), Destination{Address: server.Listener.Addr().String()}, testRequest())
		if c.expected == "" {
			must.NoError(t, err, must.Sprint(c.name))
			body, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.Eq(t, "body", string(body))
		} else {
			refusal := call.AsRefusal(err)
			must.Nil(t, response, must.Sprint(c.name))
			must.Eq(t, call.CodePeerFailed, refusal.Code, must.Sprint(c.name, err))
			must.Eq(t, call.MayHaveRun, refusal.Outcome, must.Sprint(c.name))
			must.StrContains(t, refusal.Message, c.expected, must.Sprint(c.name))
		}
		client.Close()
		server.Close()
	}
}

type handlerFunc func(context.Context, *Incoming) (*call.Response, error)

func (f handlerFunc) HandlePeer(ctx context.Context, incoming *Incoming) (*call.Response, error) {
	return f(ctx, incoming)
}

// Guards against handling a forwarded call that no peer signed or that was modified in transit.
func TestForgedCalls(t *testing.T) {
	keyring := signature.NewKeyring([]string{"first"})
	server := NewServer(keyring, handlerFunc(func(context.Context, *Incoming) (*call.Response, error) {
		t.Error("a forged call was handled")
		return nil, context.Canceled
	}))
	encoded, sign, err := encodeContext(keyring, "n1", Destination{}, testRequest(), time.Now())
	must.NoError(t, err)
	_, forged, err := encodeContext(signature.NewKeyring([]string{"forged"}), "n1", Destination{}, testRequest(), time.Now())
	must.NoError(t, err)
	malformed, malformedSign := encodeRaw(keyring, labelContext, []byte("\xff\xff"))
	empty, emptySign := encodeRaw(keyring, labelContext, nil)
	for _, c := range []struct {
		name, context, signature string
		status                   int
	}{
		{"no headers", "", "", 403},
		{"not base64", "!", sign, 400},
		{"forged", encoded, forged, 403},
		{"modified", encoded[:len(encoded)-2] + "AA", sign, 403},
		{"long signature", encoded, sign + sign, 403},
		{"signed but malformed", malformed, malformedSign, 400},
		{"signed but empty", empty, emptySign, 400},
	} {
		request := httptest.NewRequest(http.MethodPost, Path, nil)
		request.Header.Set(headerContext, c.context)
		request.Header.Set(headerSignature, c.signature)
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		must.Eq(t, c.status, recorder.Code, must.Sprint(c.name))
		must.Positive(t, recorder.Body.Len(), must.Sprint(c.name))
	}
}
