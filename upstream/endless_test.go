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
	// endlessBytes is what a client may take of an answer that it does not stream: its own bounds and the
	// buffers of the kernel.
	endlessBytes = 1 << 20

	okHead  = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n"
	chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// runEndless runs a call at a server that never ends its answer.
func runEndless(ctx context.Context, t *testing.T, server *endlesstest.Server) (*call.Response, error) {
	t.Helper()
	d := newDirect()
	t.Cleanup(d.Close)
	return d.Run(ctx, server.Address, &call.Request{
		Context: call.Context{RequestID: "r", Deadline: time.Now().Add(endlessDeadline)},
		Method:  http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
	})
}

// closed waits until the client has closed its connection.
func closed(t *testing.T, server *endlesstest.Server) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return server.Open() == 0 }),
		wait.Timeout(endlessDeadline), wait.Gap(5*time.Millisecond)))
}

// Bytes without end that are certainly no answer end the call at once.
func TestDirectEndlessGarbage(t *testing.T) {
	for name, answer := range map[string]struct{ first, unit string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"header line":     {okHead + "A: ", "x"},
		"header lines":    {okHead, "A: x\r\n"},
		"informational":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"trailer line":    {chunked + "1\r\nx\r\n0\r\nA: ", "x"},
		"trailer lines":   {chunked + "1\r\nx\r\n0\r\n", "A: x\r\n"},
		"chunk extension": {chunked + "1;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, answer.first, answer.unit)
			start := time.Now()
			_, err := runEndless(t.Context(), t, server)
			took := time.Since(start)
			must.Error(t, err)
			must.True(t, errors.Is(err, httpconn.ErrMalformed) || errors.Is(err, ErrMalformedAnswer), must.Sprint(err))
			must.False(t, errors.Is(err, ErrNotConnected), must.Sprint("the call may have run"))
			closed(t, server)
			must.Less(t, endlessBytes, server.Sent())
			must.Less(t, endlessDeadline/2, took)
		})
	}
}

// endlessBodies are proper heads with bodies of every framing that do not end.
var endlessBodies = map[string]struct{ first, unit string }{
	"with a length": {okHead + "Content-Length: 1099511627776\r\n\r\n", "x"},
	"chunked":       {chunked, "4\r\nxxxx\r\n"},
	"until close":   {okHead + "\r\n", "x"},
}

// The body of another request's answer was skipped without a bound.
func TestDirectEndlessStrayAnswer(t *testing.T) {
	for name, stray := range map[string]struct{ first, unit string }{
		"with a length": {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
		"chunked":       {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"until close":   {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x"},
		"many answers":  {"", reply("other", "x")},
	} {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, stray.first, stray.unit)
			start := time.Now()
			_, err := runEndless(t.Context(), t, server)
			took := time.Since(start)
			must.Error(t, err)
			closed(t, server)
			must.Less(t, maxStrayBytes+4*endlessBytes, server.Sent())
			must.Less(t, endlessDeadline/2, took)
			must.True(t, errors.Is(err, httpconn.ErrMalformed) || errors.Is(err, ErrMalformedAnswer), must.Sprint(err))
		})
	}
}

// A body without end is taken as its reader reads it, ends at the deadline, and never looks whole.
func TestDirectEndlessBody(t *testing.T) {
	for name, body := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, body.first, body.unit)
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline/4)
			defer cancel()
			answer, err := runEndless(ctx, t, server)
			must.NoError(t, err)
			must.False(t, answer.Buffered)
			time.Sleep(endlessDeadline / 20) // in which nothing is read
			must.Less(t, endlessBytes, server.Sent())
			_, err = io.Copy(io.Discard, answer.Body)
			must.Error(t, err)
			must.Error(t, ctx.Err(), must.Sprint("the body ended before the deadline"))
			must.NoError(t, answer.Body.Close())
			closed(t, server)
		})
	}
}

// An answer that is discarded was read on until the deadline when its body did not end.
func TestDirectDiscardedEndlessBody(t *testing.T) {
	for name, body := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, body.first, body.unit)
			start := time.Now()
			answer, err := runEndless(t.Context(), t, server)
			must.NoError(t, err)
			must.NoError(t, answer.Body.Close())
			took := time.Since(start)
			closed(t, server)
			must.Less(t, endlessBytes, server.Sent())
			must.Less(t, endlessDeadline/2, took)
		})
	}
}

// The probe of an upstream's health ends with the head, and does not wait for one without end.
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
			d := newDirect()
			defer d.Close()
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			start := time.Now()
			status, _, err := d.Probe(ctx, server.Address, "/health")
			took := time.Since(start)
			must.Eq(t, test.status == 0, err != nil, must.Sprint(err))
			must.Eq(t, test.status, status)
			closed(t, server)
			must.Less(t, endlessBytes, server.Sent())
			must.Less(t, endlessDeadline/2, took)
		})
	}
}
