package peer

import (
	"bytes"
	"encoding/base64"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/responsetest"
	"github.com/cowslipglade/cowslipglade/internal/signature"
	callv1 "github.com/cowslipglade/cowslipglade/rpc/call/v1"
)

const testBody = "whole answer"

// testMalformed runs test for each response whose fields are those of a valid response or of a valid refusal that says that
// the call has not run.
func testMalformed(t *testing.T, response, refusal string, groups map[string]responsetest.Group, test func(*testing.T, responsetest.Case)) {
	t.Helper()
	for name, group := range groups {
		for kind, fields := range map[string]string{"response": response, "refusal": refusal} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				for _, c := range group(fields, testBody) {
					t.Run(c.Name, func(t *testing.T) { test(t, c) })
				}
			})
		}
	}
}

func forwarderFields(t *testing.T, refusal *callv1.Refusal) string {
	t.Helper()
	data, err := proto.Marshal(&callv1.AnswerMetadata{CallId: "c1", Refusal: refusal})
	must.NoError(t, err)
	return headerResponse + ": " + base64.RawURLEncoding.EncodeToString(data) + "\r\n"
}

var refusalNotRun = call.NewRefusal(call.CodeOverloaded, call.NotRun, "full")

// Guards against believing a malformed response of another node: neither its answer nor its statement that the call has not
// run counts.
func TestForwardMalformedResponses(t *testing.T) {
	groups := maps.Clone(responsetest.Malformed)
	groups["HTTP10"] = responsetest.ChunkedHTTP10
	testMalformed(t, forwarderFields(t, nil), forwarderFields(t, refusalMessage(refusalNotRun)), groups, func(t *testing.T, c responsetest.Case) {
		for _, idempotent := range []bool{true, false} {
			address := responsetest.StartFunc(t, func(conn net.Conn, r *http.Request) {
				if !idempotent {
					_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, c.Raw)
			})
			f := NewForwarder("n1")
			_, err := f.Forward(t.Context(), Destination{Address: address}, forwardRequest(idempotent, "x"), Wait{Contact: 2 * time.Second, Slot: 2 * time.Second})
			f.Close()
			must.Error(t, err)
			must.Eq(t, call.CodePeerFailed, call.AsRefusal(err).Code)
			must.Eq(t, call.MayHaveRun, call.AsRefusal(err).Outcome)
		}
	})
}

// Guards against rejecting sound responses together with malformed ones.
func TestForwardSoundResponses(t *testing.T) {
	for _, c := range responsetest.Sound(forwarderFields(t, nil), testBody) {
		t.Run(c.Name, func(t *testing.T) {
			f := NewForwarder("n1")
			defer f.Close()
			response, err := f.Forward(t.Context(), Destination{Address: responsetest.Start(t, c.Raw)}, forwardRequest(true, "x"),
				Wait{Contact: 2 * time.Second, Slot: 2 * time.Second})
			must.NoError(t, err)
			data, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.Eq(t, testBody, string(data))
		})
	}
}

func clientFields(t *testing.T, keyring *signature.Keyring, refusal *call.Refusal) string {
	t.Helper()
	encoded, sign, err := encodeResponseMetadata(keyring, "c1", &call.Response{}, refusal)
	must.NoError(t, err)
	return headerResponse + ": " + encoded + "\r\n" + headerSignature + ": " + sign + "\r\n"
}

// Guards against believing a malformed response between nodes of cowslipd.
func TestClientMalformedResponses(t *testing.T) {
	keyring := signature.NewKeyring([]string{"key"})
	testMalformed(t, clientFields(t, keyring, nil), clientFields(t, keyring, refusalNotRun), responsetest.Malformed, func(t *testing.T, c responsetest.Case) {
		client := NewClient("n1", netip.MustParseAddr("127.0.0.1"), keyring)
		defer client.Close()
		_, err := client.Forward(t.Context(), Destination{Address: responsetest.Start(t, c.Raw)}, testRequest())
		must.Error(t, err)
		must.Eq(t, call.CodePeerFailed, call.AsRefusal(err).Code)
		must.Eq(t, call.MayHaveRun, call.AsRefusal(err).Outcome)
	})
}

// Guards against rejecting sound responses together with malformed ones.
func TestClientSoundResponses(t *testing.T) {
	keyring := signature.NewKeyring([]string{"key"})
	for _, c := range responsetest.Sound(clientFields(t, keyring, nil), testBody) {
		t.Run(c.Name, func(t *testing.T) {
			client := NewClient("n1", netip.MustParseAddr("127.0.0.1"), keyring)
			defer client.Close()
			response, err := client.Forward(t.Context(), Destination{Address: responsetest.Start(t, c.Raw)}, testRequest())
			must.NoError(t, err)
			data, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.Eq(t, testBody, string(data))
		})
	}
}

// postControl sends a control message and returns the status and body of the response.
func postControl(t *testing.T, keyring *signature.Keyring, raw string) (int, string, error) {
	t.Helper()
	control := NewControlClient(netip.MustParseAddr("127.0.0.1"), keyring)
	defer control.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+responsetest.Start(t, raw)+"/a", bytes.NewReader([]byte("x")))
	must.NoError(t, err)
	response, err := control.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against believing a malformed response to a control message.
func TestControlMalformedResponses(t *testing.T) {
	keyring := signature.NewKeyring([]string{"key"})
	fields := headerSignature + ": " + keyring.Sign(labelControlResponse, []byte("/a"), []byte(testBody)) + "\r\n"
	for name, group := range responsetest.Malformed {
		t.Run(name, func(t *testing.T) {
			for _, c := range group(fields, testBody) {
				t.Run(c.Name, func(t *testing.T) {
					status, body, err := postControl(t, keyring, c.Raw)
					must.Error(t, err, must.Sprint(status, " ", body))
				})
			}
		})
	}
	for _, c := range responsetest.Sound(fields, testBody) {
		t.Run("sound/"+c.Name, func(t *testing.T) {
			status, body, err := postControl(t, keyring, c.Raw)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, testBody, body)
		})
	}
}
