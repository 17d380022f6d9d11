package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

// rawUpstream starts a server that responds to each request with the bytes that script returns. An empty
// string closes the connection, the prefix "close " closes it after the response, and with the prefix
// "early " the server responds before it reads the request body.
func rawUpstream(t *testing.T, script func(connection, request int) string) (address string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, int(connections.Add(1)), script)
		}
	}()
	return listener.Addr().String(), connections
}

func serveRaw(conn net.Conn, connection int, script func(connection, request int) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for request := 1; ; request++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := script(connection, request)
		if response == "" {
			return
		}
		if !strings.HasPrefix(response, "early ") {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		closes := strings.HasPrefix(response, "close ")
		_, _ = io.WriteString(conn, strings.TrimPrefix(strings.TrimPrefix(response, "early "), "close "))
		if closes {
			return
		}
	}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newDirectClient() *DirectClient {
	return NewDirectClient(func(header http.Header) (string, bool) {
		return header.Get("Request-Id"), header.Get("Not-Executed") != ""
	}, nil)
}

func runDirect(t *testing.T, d *DirectClient, address, id, body string, idempotent bool) (string, error) {
	t.Helper()
	response, err := d.Run(t.Context(), address, &call.Request{
		Context: call.Context{RequestID: id, Idempotent: idempotent, Deadline: time.Now().Add(500 * time.Millisecond)},
		Method:  http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: strings.NewReader(body), ContentLength: int64(len(body)),
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return string(data), nil
}

// Guards against returning a surplus response for the next request, whether it arrives immediately or just
// before the next response.
func TestDirectExtraResponses(t *testing.T) {
	address, _ := rawUpstream(t, func(_, request int) string {
		id := fmt.Sprint("r", request)
		return reply(id, "first") + reply(id, "second")
	})
	d := newDirectClient()
	defer d.Close()
	for i := range 3 {
		got, err := runDirect(t, d, address, "r1", "", true)
		must.NoError(t, err, must.Sprint(i))
		must.Eq(t, "first", got)
	}

	late, _ := rawUpstream(t, func(_, request int) string {
		if request == 1 {
			return reply("r1", "one")
		}
		return reply("r1", "late") + reply("r2", "two")
	})
	got, err := runDirect(t, d, late, "r1", "", true)
	must.NoError(t, err)
	must.Eq(t, "one", got)
	got, err = runDirect(t, d, late, "r2", "", true)
	must.NoError(t, err)
	must.Eq(t, "two", got)
}

// Guards against taking a refusal that the upstream repeats on a kept connection for the response to the request that
// it runs.
func TestDirectRepeatedRefusal(t *testing.T) {
	const (
		named     = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		unnamed   = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
		misplaced = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
		continues = "HTTP/1.1 100 Continue\r\n\r\n"
	)
	large := strings.Repeat("x", 8<<20)
	for name, test := range map[string]struct{ body, first, second, want string }{
		"named":              {first: named, second: named + reply("r2", "two"), want: "two"},
		"unnamed":            {first: unnamed, second: unnamed + reply("r2", "two"), want: "two"},
		"of another address": {first: misplaced, second: misplaced + reply("r2", "two"), want: "two"},
		"twice":              {first: unnamed, second: unnamed + unnamed + reply("r2", "two"), want: "two"},
		"after continue":     {first: unnamed, second: continues + unnamed + continues + reply("r2", "two"), want: "two"},
		"during upload":      {body: large, first: unnamed, second: "early " + unnamed + reply("r2", "two"), want: "two"},
		"no response":        {first: unnamed, second: "close " + unnamed},
		"running":            {first: unnamed, second: unnamed},
		"running upload":     {body: large, first: unnamed, second: "early " + unnamed},
	} {
		t.Run(name, func(t *testing.T) {
			address, connections := rawUpstream(t, func(_, request int) string {
				return map[int]string{1: test.first, 2: test.second, 3: reply("r3", "three")}[request]
			})
			d := newDirectClient()
			defer d.Close()
			_, err := runDirect(t, d, address, "r1", "", false)
			must.NoError(t, err, must.Sprint("the first response of a connection belongs to its first request"))
			got, err := runDirect(t, d, address, "r2", test.body, false)
			if test.want == "" {
				must.Error(t, err, must.Sprint(got))
				must.False(t, errors.Is(err, ErrNotConnected), must.Sprint("the call may have run"))
			} else {
				must.NoError(t, err)
				must.Eq(t, test.want, got)
			}
			must.Eq(t, 1, connections.Load())
			if test.want == "" {
				_, _ = runDirect(t, d, address, "r3", "", false)
				must.Eq(t, 2, connections.Load(), must.Sprint("the connection must not be reused"))
			}
		})
	}
}

// Guards against returning an interim response that names its request as the answer when it follows a response to another
// request, and against counting it as such a response.
func TestDirectInterimAfterStrayResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, interim := range map[string]string{
		"named":   "HTTP/1.1 103 Early Hints\r\nRequest-Id: r2\r\n\r\n",
		"several": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := rawUpstream(t, func(_, request int) string {
				return map[int]string{1: reply("r1", "one"), 2: refusal + interim + reply("r2", "two")}[request]
			})
			d := newDirectClient()
			defer d.Close()
			_, err := runDirect(t, d, address, "r1", "", false)
			must.NoError(t, err)
			got, err := runDirect(t, d, address, "r2", "", false)
			must.NoError(t, err)
			must.Eq(t, "two", got)
		})
	}
}

// Guards against returning any response of a reused connection for a request that none can name.
func TestDirectRequestWithoutID(t *testing.T) {
	address, connections := rawUpstream(t, func(int, int) string { return reply("", "x") })
	d := newDirectClient()
	defer d.Close()
	for range 2 {
		_, err := runDirect(t, d, address, "", "", true)
		must.NoError(t, err)
	}
	must.Eq(t, 2, connections.Load())
}

// Checks that a response without a length ends with its connection, and that a truncated, missing or stray
// response is an error after which the call may have run.
func TestDirectFraming(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		want     string
		err      error
	}{
		"ended by close":   {response: "close HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nwhole", want: "whole"},
		"chunked":          {response: "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", want: "whole"},
		"truncated":        {response: "close HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 9\r\n\r\nhalf", err: ErrMalformedResponse},
		"truncated chunk":  {response: "close HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", err: ErrMalformedResponse},
		"no response":      {response: "", err: ErrConnectionLost},
		"other bytes":      {response: "close \x00\x01garbage\r\n\r\n"},
		"stray only":       {response: reply("a", "x") + reply("b", "x") + reply("c", "x"), err: ErrMalformedResponse},
		"informational":    {response: "HTTP/1.1 102 Processing\r\n\r\n" + reply("r", "whole"), want: "whole"},
		"then other bytes": {response: reply("r", "whole") + "garbage", want: "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := rawUpstream(t, func(int, int) string { return test.response })
			d := newDirectClient()
			defer d.Close()
			got, err := runDirect(t, d, address, "r", "", false)
			if test.want != "" {
				must.NoError(t, err)
				must.Eq(t, test.want, got)
				return
			}
			must.Error(t, err)
			if test.err != nil {
				must.ErrorIs(t, err, test.err)
			}
			must.False(t, errors.Is(err, ErrNotConnected), must.Sprint("the call may have run"))
		})
	}
}

// Guards against reusing a connection on which the upstream responded before it had read a long body: it would
// take the next request for the rest of that body.
func TestDirectEarlyResponse(t *testing.T) {
	address, connections := rawUpstream(t, func(int, int) string { return "early " + reply("r", "no") })
	d := newDirectClient()
	defer d.Close()
	for range 3 {
		got, err := runDirect(t, d, address, "r", strings.Repeat("x", 8<<20), false)
		must.NoError(t, err)
		must.Eq(t, "no", got)
	}
	must.Eq(t, 3, connections.Load())
}

// Checks that connections are reused unless the upstream has closed them.
func TestDirectReuse(t *testing.T) {
	address, connections := rawUpstream(t, func(_, request int) string {
		if request == 3 {
			return "close " + reply("r", "x")
		}
		return reply("r", "x")
	})
	d := newDirectClient()
	defer d.Close()
	for range 6 {
		_, err := runDirect(t, d, address, "r", "", false)
		must.NoError(t, err)
		time.Sleep(10 * time.Millisecond) // for the close to arrive
	}
	must.Eq(t, 2, connections.Load())
}

// Checks that a call to an address without a listener counts as not run.
func TestDirectNotConnected(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	d := newDirectClient()
	defer d.Close()
	_, err = runDirect(t, d, address, "r", "", false)
	must.ErrorIs(t, err, ErrNotConnected)
	must.False(t, d.Accepts(context.Background(), address))
}

// Checks that a call to an upstream that does not respond ends at its deadline.
func TestDirectSilentUpstream(t *testing.T) {
	address, _ := rawUpstream(t, func(int, int) string { time.Sleep(5 * time.Second); return "" })
	d := newDirectClient()
	defer d.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := d.Run(ctx, address, &call.Request{
		Context: call.Context{RequestID: "r", Deadline: time.Now().Add(100 * time.Millisecond)},
		Method:  http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
	})
	must.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against treating a response as truncated that has no body but declares the length of one.
func TestDirectResponsesWithoutBody(t *testing.T) {
	for name, test := range map[string]struct{ method, status string }{
		"to HEAD":      {http.MethodHead, "200 OK"},
		"not modified": {http.MethodGet, "304 Not Modified"},
		"no content":   {http.MethodGet, "204 No Content"},
	} {
		t.Run(name, func(t *testing.T) {
			address, connections := rawUpstream(t, func(int, int) string {
				return "HTTP/1.1 " + test.status + "\r\nRequest-Id: r\r\nContent-Length: 100\r\n\r\n"
			})
			d := newDirectClient()
			defer d.Close()
			for range 2 {
				response, err := d.Run(t.Context(), address, &call.Request{
					Context: call.Context{RequestID: "r", Deadline: time.Now().Add(500 * time.Millisecond)},
					Method:  test.method, Target: "/", Host: "h", Header: http.Header{},
				})
				must.NoError(t, err)
				must.True(t, response.Buffered)
				must.Eq(t, 0, response.ContentLength)
			}
			must.Eq(t, 1, connections.Load())
		})
	}
}

// Guards against sending a call on an idle connection after its context has ended.
func TestDirectContextEnded(t *testing.T) {
	var received atomic.Int64
	address, _ := rawUpstream(t, func(int, int) string {
		received.Add(1)
		return reply("r", "x")
	})
	d := newDirectClient()
	defer d.Close()
	_, err := runDirect(t, d, address, "r", "", true)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		_, err = d.Run(ctx, address, &call.Request{
			Context: call.Context{RequestID: "r", Deadline: time.Now().Add(time.Second)},
			Method:  http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		})
		must.ErrorIs(t, err, ErrNotConnected)
		_, err = runDirect(t, d, address, "r", "", true) // leaves an idle connection
		must.NoError(t, err)
	}
	must.Eq(t, 101, received.Load())
}

// Guards against a health connection whose end is noticed at the next request only, and against one that seems broken when
// the upstream has announced the close.
func TestHealthConnection(t *testing.T) {
	address, _ := rawUpstream(t, func(connection, request int) string {
		if connection == 2 {
			return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		}
		return map[int]string{1: reply("", "body"), 2: "close " + reply("", "")}[request]
	})
	h, err := newDirectClient().OpenHealth(t.Context(), address)
	must.NoError(t, err)
	for range 2 {
		status, _, err := h.Probe(t.Context(), "/health")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
	}
	<-h.Broken()
	must.False(t, h.CloseAnnounced())
	_, _, err = h.Probe(t.Context(), "/health")
	must.ErrorIs(t, err, ErrConnectionLost)
	h, err = newDirectClient().OpenHealth(t.Context(), address)
	must.NoError(t, err)
	defer h.Close()
	_, _, err = h.Probe(t.Context(), "/health")
	must.NoError(t, err)
	must.True(t, h.CloseAnnounced())
}

// Guards against losing a health response because the upstream closes the connection before the prober takes it.
func TestHealthResponseBeforeClose(t *testing.T) {
	address, _ := rawUpstream(t, func(int, int) string { return "close " + reply("", "") })
	for range 20 {
		h, err := newDirectClient().OpenHealth(t.Context(), address)
		must.NoError(t, err)
		must.NoError(t, h.request("/health"))
		<-h.Broken()
		status, _, err := h.response(t.Context())
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
	}
}

// Guards against a probe of a silent upstream that delays the end of its node.
func TestProbeEndsWithContext(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	_, _, err = newDirectClient().Probe(ctx, listener.Addr().String(), "/health")
	must.Error(t, err)
	must.Less(t, time.Second, time.Since(start))
}

// Guards against taking a response that the upstream repeats for the response to a later attempt of the same request, which
// the upstream runs.
func TestDirectRepeatedResponseToEarlierAttempt(t *testing.T) {
	const header = "Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
	for name, first := range map[string]string{
		"refusal":                     "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + header,
		"another address":             "HTTP/1.1 421 Misdirected Request\r\n" + header,
		"failure":                     "HTTP/1.1 500 Internal Server Error\r\n" + header,
		"refusal with another status": "HTTP/1.1 200 OK\r\nNot-Executed: 1\r\n" + header,
	} {
		t.Run(name, func(t *testing.T) {
			address, connections := rawUpstream(t, func(connection, request int) string {
				switch {
				case request == 1 && connection == 1:
					return first
				case connection == 1:
					return first + reply("r2", "two")
				}
				return reply("r1", "one")
			})
			d := newDirectClient()
			defer d.Close()
			got, err := runDirect(t, d, address, "r1", "", false)
			must.NoError(t, err)
			must.Eq(t, "", got)
			got, err = runDirect(t, d, address, "r1", "", false)
			must.NoError(t, err)
			must.Eq(t, "one", got)
			must.Eq(t, 1, d.Avoided())
			d.pool.Sweep()
			must.Eq(t, 2, connections.Load())
		})
	}
}

// Guards against new connections for requests that an idle connection has not carried.
func TestDirectReusesConnectionAfterRefusal(t *testing.T) {
	address, connections := rawUpstream(t, func(_, request int) string {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: r%d\r\nContent-Length: 0\r\n\r\n", request)
	})
	d := newDirectClient()
	defer d.Close()
	for i := range 10 {
		_, err := runDirect(t, d, address, fmt.Sprint("r", i+1), "", false)
		must.NoError(t, err)
	}
	must.Eq(t, 1, connections.Load())
	must.Eq(t, 0, d.Avoided())
}

// A call whose context has ended leaves the pooled connection to others.
func TestDirectEndedCallKeepsConnection(t *testing.T) {
	address, connections := rawUpstream(t, func(_, request int) string { return reply(fmt.Sprint("r", request), "") })
	d := newDirectClient()
	defer d.Close()
	_, err := runDirect(t, d, address, "r1", "", true)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = d.Run(ctx, address, &call.Request{
		Context: call.Context{RequestID: "ended", Idempotent: true, Deadline: time.Now().Add(time.Second)}, Method: http.MethodGet, Target: "/", Host: "h",
	})
	must.ErrorIs(t, err, ErrNotConnected)
	must.ErrorIs(t, err, context.Canceled)
	_, err = runDirect(t, d, address, "r2", "", true)
	must.Eq(t, 1, connections.Load())
	must.NoError(t, err)
}
