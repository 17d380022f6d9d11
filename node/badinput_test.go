package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/signature"
	"github.com/cowslipglade/cowslipglade/member"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/upstream"
)

// exchange sends raw bytes, closes the sending side if closeWrite is set, and returns what it receives.
func exchange(t *testing.T, address, text string, closeWrite bool) string {
	connection, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer connection.Close()
	must.NoError(t, connection.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(connection, text)
	must.NoError(t, err)
	if closeWrite {
		must.NoError(t, connection.(*net.TCPConn).CloseWrite())
	}
	raw, _ := io.ReadAll(connection) // a reset after the response is not a failure
	return string(raw)
}

// Malformed, oversized and truncated requests must be refused before they reach an upstream, and parsers must
// never disagree on where a request ends.
func TestMalformedRequests(t *testing.T) {
	f := newFleet(t, 2)
	var reached atomic.Int64
	f.upstream(1, "stock", func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			reached.Add(1)
		}
	})
	key := "Host: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	post := "POST /stock/a HTTP/1.1\r\n" + key
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 600<<10, strings.Repeat("x", 600<<10))
	for _, c := range []struct{ name, text, expected string }{
		{"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400 Bad Request"},
		{"list of lengths", post + "Content-Length: 3, 4\r\n\r\nabcd", "400 Bad Request"},
		{"signed length", post + "Content-Length: +3\r\n\r\nabc", "400 Bad Request"},
		{"unknown coding", post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501 Not Implemented"},
		{"two codings", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501 Not Implemented"},
		{"coding twice", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "501 Not Implemented"},
		{"space before colon", post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "400 Bad Request"},
		{"control character", post + "X-A: a\x00b\r\n\r\n", "400 Bad Request"},
		{"no host", "GET /stock/a HTTP/1.1\r\n\r\n", "400 Bad Request"},
		{"no version", "GET /stock/a\r\n\r\n", "400 Bad Request"},
		{"not HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", "400 Bad Request"},
		{"bad escape", "GET /stock/%zz HTTP/1.1\r\n" + key + "\r\n", "400 Bad Request"},
		{"dot segments", "GET /stock/../hold/a HTTP/1.1\r\n" + key + "\r\n", "bad_request"},
		{"escaped dot segments", "GET /stock/%2e%2e/hold/a HTTP/1.1\r\n" + key + "\r\n", "bad_request"},
		{"escaped slash", "GET /stock/..%2fhold/a HTTP/1.1\r\n" + key + "\r\n", "bad_request"},
		{"empty segment", "GET /stock//a HTTP/1.1\r\n" + key + "\r\n", "bad_request"},
		{"tunnel", "CONNECT x:1 HTTP/1.1\r\n" + key + "\r\n", "unknown_route"},
		{"wrong method", "GET /cowslip/request-ids HTTP/1.1\r\n" + key + "\r\n", "unknown_route"},
		{"unknown expectation", post + "Expect: magic\r\nContent-Length: 1\r\n\r\na", "417 Expectation Failed"},
		{"large headers", post + "X-A: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431 Request Header Fields Too Large"},
		{"bad chunk size", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", "incomplete_body"},
		{"cut chunk", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", "incomplete_body"},
		{"cut between chunks", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "incomplete_body"},
		{"cut body", post + "Content-Length: 9\r\n\r\nab", "incomplete_body"},
		{"cut large body", post + "Content-Length: 100000\r\n\r\nab", "incomplete_body"},
		{"cut large chunked body", post + "Transfer-Encoding: chunked\r\n\r\n" + chunk, "incomplete_body"},
		{"announced body too large", post + "Content-Length: 9999999\r\n\r\nab", "body_too_large"},
		{"chunked body too large", post + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n", "body_too_large"},
	} {
		for entry := range f.nodes {
			raw := exchange(t, f.nodes[entry].settings.CallerAddress, c.text, true)
			must.StrContains(t, raw, c.expected, must.Sprint(c.name, " at node ", entry))
			must.Eq(t, 1, strings.Count(raw, "HTTP/1.1 "), must.Sprint(c.name))
		}
	}
	must.Eq(t, 0, reached.Load())
	// With both a length and chunks, the chunks apply and the bytes after them are not a second request.
	raw := exchange(t, f.nodes[0].settings.CallerAddress,
		post+"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n", false)
	must.Eq(t, 1, strings.Count(raw, "HTTP/1.1 "), must.Sprint(raw))
	must.Eq(t, 1, reached.Load())
}

// A request body that stalls must not occupy its connection beyond the deadline of the request.
func TestStalledBody(t *testing.T) {
	f := newFleet(t, 2)
	f.upstream(1, "stock", func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			t.Error("the upstream read an incomplete request as a complete one")
		}
	})
	for _, c := range []struct{ length, outcome string }{
		{"Content-Length: 9", "not_run"},
		{"Content-Length: 100000", "may_have_run"}, // streamed to the upstream
		{"Transfer-Encoding: chunked", "not_run"},
	} {
		for entry := range f.nodes {
			begin := time.Now()
			raw := exchange(t, f.nodes[entry].settings.CallerAddress, "POST /stock/a HTTP/1.1\r\nHost: x\r\nCowslip-Timeout-Ms: 200\r\n"+
				"Authorization: Bearer "+testKey+"\r\n"+c.length+"\r\n\r\n2\r\nab", false)
			must.StrContains(t, raw, "deadline_exceeded", must.Sprint(c, entry))
			must.StrContains(t, raw, `"`+c.outcome+`"`, must.Sprint(c, entry))
			must.Less(t, 5*time.Second, time.Since(begin), must.Sprint(c, entry))
		}
	}
}

// A caller that does not read a long response must not occupy a slot of the upstream beyond the deadline.
func TestStalledReader(t *testing.T) {
	f := newFleet(t, 2)
	block := make([]byte, 1<<20)
	f.upstream(1, "stock", func(w http.ResponseWriter, _ *http.Request) {
		for range 64 {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	for entry := range f.nodes {
		connection, err := net.Dial("tcp", f.nodes[entry].settings.CallerAddress)
		must.NoError(t, err)
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "GET /stock/a HTTP/1.1\r\nHost: x\r\nCowslip-Timeout-Ms: 500\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
		must.NoError(t, err)
		gate := f.nodes[1].local.current.Load().gate
		f.eventually("call runs", func() bool { return gate.Load().InFlight == 1 })
		f.eventually("slot is free", func() bool { return gate.Load().InFlight == 0 })
	}
}

// rawUpstream runs an upstream of node i that writes the given bytes to every connection and closes it.
func (f *fleet) rawUpstream(i int, service string, raw func() string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					_, _ = io.WriteString(connection, raw())
				}
			}()
		}
	}()
	f.announce(i, service, listener.Addr().String())
}

// A malformed response, or an upstream that crashes during a response, must cause a refusal with the outcome
// may_have_run, and the node must keep working.
func TestMalformedResponses(t *testing.T) {
	f := newFleet(t, 2)
	var raw atomic.Pointer[string]
	f.rawUpstream(1, "hold", func() string { return *raw.Load() })
	for _, c := range []struct{ name, text string }{
		{"nothing", ""},
		{"garbage", "\x00\x01garbage\r\n\r\n"},
		{"bad status", "HTTP/1.1 abc Nonsense\r\n\r\n"},
		{"low status", "HTTP/1.1 007 Nonsense\r\nContent-Length: 0\r\n\r\n"},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbytes"},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		{"large headers", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", 1<<20) + "\r\n\r\n"},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
		{"cut between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"},
		{"zero status and a response", "HTTP/1.1 000 Nonsense\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
		{"high status", "HTTP/1.1 600 Nonsense\r\nContent-Length: 2\r\n\r\nab"},
		{"other version", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nab"},
		{"blank in a field name", "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nab"},
		{"blank after Content-Length", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nab"},
		{"blank after Transfer-Encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
		{"blank in a trailer name", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nBad Name: x\r\n\r\n"},
		{"blank in an interim field name", "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
	} {
		raw.Store(&c.text)
		for entry := range f.nodes {
			var status int
			var body string
			f.eventually("upstream used again", func() bool { // failures eject it temporarily
				var err error
				path := fmt.Sprintf("/hold/%s-%d", strings.ReplaceAll(c.name, " ", "-"), entry)
				status, body, err = f.do(entry, http.MethodPost, path, keyed(call.HeaderRequestID, f.requestID(entry)), nil)
				must.NoError(t, err, must.Sprint(c.name))
				return !strings.Contains(body, "no_upstream")
			})
			must.Eq(t, 502, status, must.Sprint(c.name, body))
			must.StrContains(t, body, "upstream_failed", must.Sprint(c.name))
			must.StrContains(t, body, "may_have_run", must.Sprint(c.name))
		}
	}
	long := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" + strings.Repeat("x", 0x30000) + "\r\n5\r\nab"
	raw.Store(&long)
	f.eventually("long response is truncated", func() bool {
		_, _, err := f.do(0, http.MethodPost, "/hold/long", keyed(call.HeaderRequestID, f.requestID(0)), nil)
		return err != nil
	})
}

// Hop-by-hop headers and internal headers must not be forwarded in either direction, and responses without
// a body must remain without one.
func TestHeadersAndEmptyResponses(t *testing.T) {
	f := newFleet(t, 2)
	seen := make(chan http.Header, 1)
	f.upstream(1, "stock", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		seen <- r.Header.Clone()
		for name, value := range map[string]string{"Cowslip-Outcome": "x", "Cowslip-Request-Id": "forged", "Proxy-Authenticate": "x", "X-Kept": "kept"} {
			w.Header().Set(name, value)
		}
		switch r.URL.Query().Get("status") {
		case "204":
			w.WriteHeader(http.StatusNoContent)
		case "304":
			w.WriteHeader(http.StatusNotModified)
		default:
			_, _ = io.WriteString(w, "whole")
		}
	})
	for _, c := range []struct {
		method, query, body, expected string
		status                        int
	}{
		{"HEAD", "", "", "", 200}, {"GET", "?status=204", "", "", 204}, {"GET", "?status=304", "", "", 304},
		{"POST", "", "body", "whole", 200}, {"OPTIONS", "", "", "whole", 200}, {"PURGE", "", "", "whole", 200},
	} {
		for entry := range f.nodes {
			text := fmt.Sprintf("%s /stock/a%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close, X-Named\r\n"+
				"X-Named: x\r\nX-Kept: kept\r\nTe: trailers\r\nKeep-Alive: 5\r\nUpgrade: x\r\nProxy-Authorization: x\r\n"+
				"Cowslip-Workspace: forged\r\nCowslip-Call: forged\r\nCowslip-Context: forged\r\nCowslip-Signature: forged\r\n"+
				"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", c.method, c.query, testKey, len(c.body), c.body)
			raw := exchange(t, f.nodes[entry].settings.CallerAddress, text, false)
			raw = strings.TrimPrefix(raw, "HTTP/1.1 100 Continue\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), &http.Request{Method: c.method})
			must.NoError(t, err, must.Sprint(c, raw))
			data, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.Eq(t, c.status, response.StatusCode, must.Sprint(c, raw))
			must.Eq(t, c.expected, string(data), must.Sprint(c))
			must.StrHasSuffix(t, c.expected, raw, must.Sprint(c)) // no byte after the response
			must.Eq(t, "kept", response.Header.Get("X-Kept"))
			must.NotEq(t, "forged", response.Header.Get(call.HeaderRequestID))
			must.Eq(t, "", response.Header.Get("Cowslip-Outcome")+response.Header.Get("Proxy-Authenticate"))
			got := <-seen
			must.Eq(t, "kept", got.Get("X-Kept"))
			must.Eq(t, "garage", got.Get(call.HeaderWorkspace))
			for _, name := range []string{"X-Named", "Te", "Keep-Alive", "Upgrade", "Proxy-Authorization", "Authorization", "Cowslip-Context", "Cowslip-Signature"} {
				must.Eq(t, "", got.Get(name), must.Sprint(c, name))
			}
			must.NotEq(t, "forged", got.Get(call.HeaderCall))
		}
	}
}

// Malformed or unauthenticated requests to the peer and local listeners must be refused with a reason, and
// the node must keep working.
func TestMalformedMessages(t *testing.T) {
	f := newFleet(t, 1)
	s := f.nodes[0].settings
	token, twirpPath := "Bearer "+s.OperatorToken, "/twirp/cowslipglade.operator.v1.Operator/Apply"
	large := `{"service":"` + strings.Repeat("x", 2<<20) + `"}`
	for _, c := range []struct {
		name, address, path, authorization, contentType, body string
		status                                                int
		expected                                              string
	}{
		{"no token", s.PeerAddress, twirpPath, "", "application/json", "{}", 401, "operator token missing or wrong"},
		{"wrong token", s.PeerAddress, twirpPath, token + "x", "application/json", "{}", 401, "operator token missing or wrong"},
		{"malformed JSON", s.PeerAddress, twirpPath, token, "application/json", "{", 400, "malformed"},
		{"malformed protobuf", s.PeerAddress, twirpPath, token, "application/protobuf", "\xff\xff", 400, "malformed"},
		{"no change", s.PeerAddress, twirpPath, token, "application/json", "{}", 400, "change is required"},
		{"unknown method", s.PeerAddress, twirpPath + "x", token, "application/json", "{}", 404, "bad_route"},
		{"unknown content", s.PeerAddress, twirpPath, token, "text/plain", "{}", 404, "bad_route"},
		{"large RPC", s.PeerAddress, twirpPath, token, "application/json", large, 400, "malformed"},
		{"unsigned control", s.PeerAddress, "/twirp/cowslipglade.membership.v1.Membership/Sync", "", "application/json", "{}", 403, "signature"},
		{"unsigned call", s.PeerAddress, peer.Path, "", "", "", 403, "signature"},
		{"announcement without body", s.LocalAddress, upstream.AnnouncePath, "", "application/json", "", 400, "service must match"},
		{"malformed announcement", s.LocalAddress, upstream.AnnouncePath, "", "application/json", "{", 400, "announcement"},
		{"announcement of wrong types", s.LocalAddress, upstream.AnnouncePath, "", "application/json", `{"service":3}`, 400, "announcement"},
		{"announcement as text", s.LocalAddress, upstream.AnnouncePath, "", "text/plain", "{}", 400, "announcement"},
		{"large announcement", s.LocalAddress, upstream.AnnouncePath, "", "application/json", large, 400, "announcement"},
		{"announcement of a bad address", s.LocalAddress, upstream.AnnouncePath, "", "application/json", `{"service":"a","address":"x:1"}`, 400, "IP:port"},
		{"announcement of port 0", s.LocalAddress, upstream.AnnouncePath, "", "application/json", `{"service":"a","address":"127.0.0.1:0"}`, 400, "IP:port"},
		{"announcement without slots", s.LocalAddress, upstream.AnnouncePath, "", "application/json", `{"service":"a","address":"127.0.0.1:1"}`, 400, "slots"},
		{"call without token", s.LocalAddress, "/stock/a", "", "", "", 403, "unauthenticated"},
		{"call with dot segments", s.LocalAddress, "/stock/%2e%2e/a", "", "", "", 400, "bad_request"},
	} {
		request, err := http.NewRequest(http.MethodPost, "http://"+c.address+c.path, strings.NewReader(c.body))
		must.NoError(t, err)
		request.Header.Set("Authorization", c.authorization)
		request.Header.Set("Content-Type", c.contentType)
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err, must.Sprint(c.name))
		text, _ := io.ReadAll(response.Body)
		must.NoError(t, response.Body.Close())
		must.Eq(t, c.status, response.StatusCode, must.Sprint(c.name, string(text)))
		must.StrContains(t, string(text), c.expected, must.Sprint(c.name))
	}
	must.Nil(t, f.nodes[0].local.available(time.Now()))
}

// Packets must be decoded only if a peer signed them, and decoding must never panic.
func FuzzDecodePacket(f *testing.F) {
	keyring := signature.NewKeyring([]string{"first"})
	packet, err := proto.Marshal(&member.Packet{})
	must.NoError(f, err)
	f.Add(packet)
	f.Add([]byte("\x0a\xff\xff\xff\xff\x0f"))
	f.Fuzz(func(t *testing.T, data []byte) {
		signed := append([]byte(keyring.Sign(packetSignatureLabel, data)), data...)
		decoded, err := decodePacket(keyring, signed)
		must.True(t, (decoded == nil) == (err != nil))
		if _, err := decodePacket(keyring, data); err == nil && !bytes.Equal(signed, data) {
			// Only data that starts with its own valid signature may be accepted.
			must.NoError(t, keyring.Verify(string(data[:signature.Size]), packetSignatureLabel, data[signature.Size:]))
		}
		signed[0] ^= 1
		_, err = decodePacket(keyring, signed)
		must.ErrorIs(t, err, peer.ErrUnauthenticated)
	})
}
