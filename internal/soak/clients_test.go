package soak

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a client that retries a request when a reused connection closes without a response.
func TestClientSendsOnce(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	d := &deployment{history: newHistory()}
	d.clients = newClients(d)
	n := &node{name: "n0", requestAddress: server.Listener.Addr().String()}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for _, status := range []int{http.StatusOK, 0} {
		must.Eq(t, status, d.clients.call(t.Context(), client, n, request{path: movingPrefix, kind: nonIdempotent, timeout: requestTimeout}))
	}
	must.Eq(t, 2, requests.Load())
}
