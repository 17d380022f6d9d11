package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/endlesstest"
	"github.com/cowslipglade/cowslipglade/internal/httpconn"
)

const (
	endlessDeadline = 2 * time.Second
	// endlessBytes is how much a server can send of a response that the client does not read completely: it
	// covers the limits of the client and the kernel buffers.
	endlessBytes = 1 << 20

	okHead  = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n"
	chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// runEndless runs a call on a server whose response never ends.
func runEndless(ctx context.Context, t *testing.T, server *endlesstest.Server) (*call.Response, error) {
	t.Helper()
	d := newDirectClient()
	t.Cleanup(d.Close)
	return d.Run(ctx, server.Address, &call.Request{
		Context: call.Context{RequestID: "r", Deadline: time.Now().Add(endlessDeadline)},
		Method:  http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
	})
}

// awaitClose waits until the client has closed its connection.
func awaitClose(t *testing.T, server *endlesstest.Server) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return server.Open() == 0 }),
		wait.Timeout(endlessDeadline), wait.Gap(5*time.Millisecond)))
}

// Guards against reading an endless response until the deadline although it can no longer be valid.
func TestDirectEndlessGarbage(t *testing.T) {
	for name, response := range map[string]struct{ first, unit string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"header line":     {okHead + "A: ", "x"},
		"header lines":    {okHead, "A: x\r\n"},
		"informational":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"trailer line":    {chunked + "1\r\nx\r\n0\r\nA: ", "x"},
		"trailer lines":   {chunked + "1\r\nx\r\n0\r\n", "A: x\r\n"},
		"chunk extension": {chunked + "1;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, response.first, response.unit)
			start := time.Now()
			_, err := runEndless(t.Context(), t, server)
			took := time.Since(start)
			must.Error(t, err)
			must.True(t, errors.Is(err, httpconn.ErrMalformed) || errors.Is(err, ErrMalformedResponse), must.Sprint(err))
			must.False(t, errors.Is(err, ErrNotConnected), must.Sprint("the call may have run"))
			awaitClose(t, server)
			must.Less(t, endlessBytes, server.Sent())
			must.Less(t, endlessDeadline/2, took)
		})
	}
}

// endlessBodies are valid response heads with endless bodies, one for each kind of framing.
var endlessBodies = map[string]struct{ first, unit string }{
	"with a length": {okHead + "Content-Length: 1099511627776\r\n\r\n", "x"},
	"chunked":       {chunked, "4\r\nxxxx\r\n"},
	"until close":   {okHead + "\r\n", "x"},
}

// Guards against discarding the body of a stray response without a limit.
func TestDirectEndlessStrayResponse(t *testing.T) {
	for name, stray := range map[string]struct{ first, unit string }{
		"with a length":  {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
		"chunked":        {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"until close":    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x"},
		"many responses": {"", reply("other", "x")},
	} {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, stray.first, stray.unit)
			start := time.Now()
			_, err := runEndless(t.Context(), t, server)
			took := time.Since(start)
			must.Error(t, err)
			awaitClose(t, server)
			must.Less(t, maxStrayBytes+4*endlessBytes, server.Sent())
			must.Less(t, endlessDeadline/2, took)
			must.True(t, errors.Is(err, httpconn.ErrMalformed) || errors.Is(err, ErrMalformedResponse), must.Sprint(err))
		})
	}
}

// Checks that an endless body is read only as fast as its consumer, and fails at the deadline instead of
// appearing complete.
func TestDirectEndlessBody(t *testing.T) {
	for name, body := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, body.first, body.unit)
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline/4)
			defer cancel()
			response, err := runEndless(ctx, t, server)
			must.NoError(t, err)
			must.False(t, response.Buffered)
			time.Sleep(endlessDeadline / 20) // without reading the body
			must.Less(t, endlessBytes, server.Sent())
			_, err = io.Copy(io.Discard, response.Body)
			must.Error(t, err)
			must.Error(t, ctx.Err(), must.Sprint("the body ended before the deadline"))
			must.NoError(t, response.Body.Close())
			awaitClose(t, server)
		})
	}
}

// Guards against reading an endless body until the deadline after the response was closed.
func TestDirectDiscardedEndlessBody(t *testing.T) {
	for name, body := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, body.first, body.unit)
			start := time.Now()
			response, err := runEndless(t.Context(), t, server)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			took := time.Since(start)
			awaitClose(t, server)
			must.Less(t, endlessBytes, server.Sent())
			must.Less(t, endlessDeadline/2, took)
		})
	}
}

// Checks that a health probe ends after the response head, and early if the head does not end.
func TestDirectEndlessProbe(t *testing.T) {
	for name, test := range map[string]struct {
		first, unit string
		status      int
	}{
		"body":         {okHead + "\r\n", "x", http.StatusOK},
		"chunked body": {chunked, "4\r\nxxxx\r\n", http.StatusOK},
		"header lines": {okHead, "A: x\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, test.first, test.unit)
			d := newDirectClient()
			defer d.Close()
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			start := time.Now()
			status, _, err := d.Probe(ctx, server.Address, "/health")
			took := time.Since(start)
			must.Eq(t, test.status == 0, err != nil, must.Sprint(err))
			must.Eq(t, test.status, status)
			awaitClose(t, server)
			must.Less(t, endlessBytes, server.Sent())
			must.Less(t, endlessDeadline/2, took)
		})
	}
}
