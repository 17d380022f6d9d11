package httpconn

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/endlesstest"
)

// Guards against buffering an endless response head until the deadline of the call.
func TestEndlessHead(t *testing.T) {
	for name, head := range map[string]struct{ first, unit string }{
		"status line":  {"HTTP/1.1 200 ", "x"},
		"header line":  {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, head.first, head.unit)
			pool := NewPool(Config{DialTimeout: time.Second, MaxHeadBytes: 64 << 10})
			conn, err := pool.Get(t.Context(), server.Address, 0)
			must.NoError(t, err)
			defer conn.Close()
			start := time.Now()
			conn.SetDeadline(start.Add(2 * time.Second))
			must.NoError(t, conn.WriteHead(&Head{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}))
			_, _, err = conn.Exchange(http.MethodGet, nil, 0)
			took := time.Since(start)
			must.ErrorIs(t, err, ErrMalformed)
			must.Less(t, 1<<20, server.Sent())
			must.Less(t, time.Second, took)
		})
	}
}
