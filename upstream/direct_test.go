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

// rawUpstream answers each request on a connection with the bytes that script returns; an empty string
// closes the connection.
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
		answer := script(connection, request)
		if answer == "" {
			return
		}
		if !strings.HasPrefix(answer, "early ") {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		closes := strings.HasPrefix(answer, "close ")
		_, _ = io.WriteString(conn, strings.TrimPrefix(strings.TrimPrefix(answer, "early "), "close "))
		if closes {
			return
		}
	}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newDirect() *Direct {
	return NewDirect(func(answer http.Header, requestID string) bool { return answer.Get("Request-Id") == requestID })
}

func runDirect(t *testing.T, d *Direct, address, id, body string, idempotent bool) (string, error) {
	t.Helper()
	answer, err := d.Run(t.Context(), address, &call.Request{
		Context: call.Context{RequestID: id, Idempotent: idempotent, Deadline: time.Now().Add(500 * time.Millisecond)},
		Method:  http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: strings.NewReader(body), ContentLength: int64(len(body)),
	})
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	return string(data), nil
}

// A second answer belongs to no request, whether it comes at once or when the next one is expected.
func TestDirectExtraAnswers(t *testing.T) {
	address, _ := rawUpstream(t, func(_, request int) string {
		id := fmt.Sprint("r", request)
		return reply(id, "first") + reply(id, "second")
	})
	d := newDirect()
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

// An answer without a length ends with its connection. One that is cut, or no answer at all, is an error.
func TestDirectFraming(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   string
		err    error
	}{
		"ended by close":   {answer: "close HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nwhole", want: "whole"},
		"chunked":          {answer: "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", want: "whole"},
		"cut":              {answer: "close HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 9\r\n\r\nhalf", err: ErrMalformedAnswer},
		"cut in a chunk":   {answer: "close HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", err: ErrMalformedAnswer},
		"no answer":        {answer: "", err: ErrConnectionLost},
		"other bytes":      {answer: "close \x00\x01garbage\r\n\r\n"},
		"of others only":   {answer: reply("a", "x") + reply("b", "x") + reply("c", "x"), err: ErrMalformedAnswer},
		"informational":    {answer: "HTTP/1.1 102 Processing\r\n\r\n" + reply("r", "whole"), want: "whole"},
		"then other bytes": {answer: reply("r", "whole") + "garbage", want: "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := rawUpstream(t, func(int, int) string { return test.answer })
			d := newDirect()
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

// An upstream that answers before it has read a long body gets no other bytes in the rest's place.
func TestDirectEarlyAnswer(t *testing.T) {
	address, connections := rawUpstream(t, func(int, int) string { return "early " + reply("r", "no") })
	d := newDirect()
	defer d.Close()
	for range 3 {
		got, err := runDirect(t, d, address, "r", strings.Repeat("x", 8<<20), false)
		must.NoError(t, err)
		must.Eq(t, "no", got)
	}
	must.Eq(t, 3, connections.Load())
}

// Connections are used again, except one that the upstream has closed or announced to close.
func TestDirectReuse(t *testing.T) {
	address, connections := rawUpstream(t, func(_, request int) string {
		if request == 3 {
			return "close " + reply("r", "x")
		}
		return reply("r", "x")
	})
	d := newDirect()
	defer d.Close()
	for range 6 {
		_, err := runDirect(t, d, address, "r", "", false)
		must.NoError(t, err)
		time.Sleep(10 * time.Millisecond) // lets the close arrive
	}
	must.Eq(t, 2, connections.Load())
}

// A call at an address where nobody listens has certainly not run.
func TestDirectNotConnected(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	d := newDirect()
	defer d.Close()
	_, err = runDirect(t, d, address, "r", "", false)
	must.ErrorIs(t, err, ErrNotConnected)
	must.False(t, d.Accepts(context.Background(), address))
}

// A silent upstream ends the call at its deadline.
func TestDirectSilence(t *testing.T) {
	address, _ := rawUpstream(t, func(int, int) string { time.Sleep(5 * time.Second); return "" })
	d := newDirect()
	defer d.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := d.Run(ctx, address, &call.Request{
		Context: call.Context{RequestID: "r", Deadline: time.Now().Add(100 * time.Millisecond)},
		Method:  http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
	})
	must.ErrorIs(t, err, context.DeadlineExceeded)
}

// Answers without a body may announce the length of one. Such an answer used to be taken for a truncated one.
func TestDirectAnswersWithoutBody(t *testing.T) {
	for name, test := range map[string]struct{ method, status string }{
		"to HEAD":      {http.MethodHead, "200 OK"},
		"not modified": {http.MethodGet, "304 Not Modified"},
		"no content":   {http.MethodGet, "204 No Content"},
	} {
		t.Run(name, func(t *testing.T) {
			address, connections := rawUpstream(t, func(int, int) string {
				return "HTTP/1.1 " + test.status + "\r\nRequest-Id: r\r\nContent-Length: 100\r\n\r\n"
			})
			d := newDirect()
			defer d.Close()
			for range 2 {
				answer, err := d.Run(t.Context(), address, &call.Request{
					Context: call.Context{RequestID: "r", Deadline: time.Now().Add(500 * time.Millisecond)},
					Method:  test.method, Target: "/", Host: "h", Header: http.Header{},
				})
				must.NoError(t, err)
				must.True(t, answer.Buffered)
				must.Eq(t, 0, answer.ContentLength)
			}
			must.Eq(t, 1, connections.Load())
		})
	}
}

// A call whose time is over, or whose sender has given up, used to be sent on an idle connection all the same.
func TestDirectSendsNothingAfterItsEnd(t *testing.T) {
	var begun atomic.Int64
	address, _ := rawUpstream(t, func(int, int) string {
		begun.Add(1)
		return reply("r", "x")
	})
	d := newDirect()
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
		_, err = runDirect(t, d, address, "r", "", true) // leaves an idle connection again
		must.NoError(t, err)
	}
	must.Eq(t, 101, begun.Load())
}
