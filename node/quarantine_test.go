package node

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
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
