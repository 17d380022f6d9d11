package soak

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// A client that loses a used connection without an answer reports that and sends nothing again.
func TestClientSendsOnce(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	w := &world{ledger: newLedger()}
	w.clients = newClients(w)
	n := &node{name: "n0", requestAddress: server.Listener.Addr().String()}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for _, status := range []int{http.StatusOK, 0} {
		must.Eq(t, status, w.clients.call(t.Context(), client, n, request{path: movedPrefix, kind: once, timeout: requestTimeout}))
	}
	must.Eq(t, 2, requests.Load())
}
