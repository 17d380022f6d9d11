package sidecar_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/responsetest"
)

// upload sends a long body to a node.
func (f *fleet) upload(n *fleetNode, path, id string) result {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+n.settings.RequestAddress+path, bytes.NewReader(make([]byte, 16<<20)))
	must.NoError(f.t, err)
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Timeout-Ms", "15000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{id: id, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return result{id, response.StatusCode, response.Header, string(data), err}
}

// Guards against returning the part of a response without a length that came before its connection was reset during the
// upload, with a second node in between too.
func TestResetDuringUpload(t *testing.T) {
	for _, size := range []int{1, 20000, 300000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			part := strings.Repeat("a", size)
			f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				must.NoError(t, err)
				defer conn.Close()
				responsetest.ResetDuringUpload(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\n\r\n%s",
					r.Header.Get("Request-Id"), part))(conn, r)
			}))
			for i := range 40 {
				before := f.totalRequests()
				got := f.upload(f.nodes[i%2], "/open/once/long/a", fmt.Sprint("id-", i))
				note := must.Sprint(i, ": ", got.status, " with ", len(got.body), " bytes, ", got.err)
				must.True(t, got.err != nil || got.status == http.StatusBadGateway, note)
				must.Eq(t, 1, f.totalRequests()-before, note)
			}
		})
	}
}

// Guards against rejecting complete responses to an upload together with those that are reset.
func TestEarlyResponses(t *testing.T) {
	// Without Connection: close, the next request could be sent just before the upstream closes the connection.
	fields := "Request-Id: id\r\nResponse-Signature: signed\r\nConnection: close\r\n"
	body := strings.Repeat("a", 20000)
	for _, early := range responsetest.EarlyResponses(fields, body) {
		t.Run(early.Name, func(t *testing.T) {
			f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
				conn, buffered, err := http.NewResponseController(w).Hijack()
				must.NoError(t, err)
				defer conn.Close()
				if r.ContentLength < 0 {
					r.Body = io.NopCloser(httputil.NewChunkedReader(buffered))
				} else {
					r.Body = io.NopCloser(io.LimitReader(buffered, r.ContentLength))
				}
				early.Serve(conn, r)
			}))
			for i := range 6 {
				got := f.upload(f.nodes[i%2], "/open/once/long/a", "id")
				must.NoError(t, got.err)
				must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body[:min(100, len(got.body))]))
				must.Eq(t, body, got.body)
			}
		})
	}
}
