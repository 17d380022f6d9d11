package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

// A request that crashes every upstream must be quarantined at all nodes after the configured number of crashes,
// even if its caller retries it through other nodes. Other requests must still be served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	f := newFleet(t, 4)
	var crashes atomic.Int64
	for i := range 4 {
		var server atomic.Pointer[http.Server]
		handler := func(_ http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "poison") {
				crashes.Add(1)
				_ = server.Load().Close() // closes the listener and all connections, as a crash does
				panic(http.ErrAbortHandler)
			}
		}
		server.Store(f.upstream(i, "stock", handler).Config)
	}
	for i := range 12 {
		status, body, err := f.do(i%4, http.MethodGet, "/stock/poison", keyed(), nil)
		must.NoError(t, err)
		must.True(t, status >= 400, must.Sprint(body))
	}
	must.Eq(t, 2, crashes.Load())
	f.eventually("refused by all nodes", func() bool {
		for i := range 4 {
			_, body, err := f.do(i, http.MethodGet, "/stock/poison", keyed(), nil)
			must.NoError(t, err)
			if !strings.Contains(body, "quarantined") {
				return false
			}
		}
		return true
	})
	status, body, err := f.do(0, http.MethodGet, "/stock/good", keyed(), nil)
	must.NoError(t, err)
	must.Eq(t, 200, status, must.Sprint(body))
}

// Guards against a long upload that crashes one upstream after the other because others of the same length succeed, and
// against refusing these as if they were that upload.
func TestUploadThatCrashesUpstreams(t *testing.T) {
	const marker = "this one crashes the decoder"
	body := func(end string) *strings.Reader {
		return strings.NewReader(strings.Repeat("x", 2*call.BufferLimit) + fmt.Sprintf("%100s", end))
	}
	f := newFleet(t, 4)
	var crashes atomic.Int64
	for i := range 4 {
		var server atomic.Pointer[http.Server]
		handler := func(_ http.ResponseWriter, r *http.Request) {
			if data, err := io.ReadAll(r.Body); err == nil && strings.HasSuffix(string(data), marker) {
				crashes.Add(1)
				_ = server.Load().Close() // closes the listener and all connections, as a crash does
				panic(http.ErrAbortHandler)
			}
		}
		server.Store(f.upstream(i, "stock", handler).Config)
	}
	for i := range 8 {
		for k := range 4 {
			f.eventually("other uploads are served", func() bool {
				status, text, err := f.do(k, http.MethodPost, "/stock/a", keyed(), body(fmt.Sprint(i, " ", k)))
				must.NoError(t, err)
				must.StrNotContains(t, text, "quarantined")
				return status == http.StatusOK
			})
		}
		status, text, err := f.do(i%4, http.MethodPost, "/stock/a", keyed(), body(marker))
		must.NoError(t, err)
		must.True(t, status >= 400, must.Sprint(text))
	}
	must.Eq(t, 2, crashes.Load())
}
