package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

// A non-idempotent request that is repeated concurrently or later, through the same or another node, must run
// once and get the first response.
func TestRepeatsRunOnce(t *testing.T) {
	f := newFleet(t, 3)
	var runs atomic.Int64
	f.upstream(2, "hold", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(w, "run %d of %s", runs.Add(1), body)
	})
	id := f.requestID(0)
	var sent sync.WaitGroup
	for i := range 9 {
		sent.Go(func() {
			status, body, err := f.do(i%3, http.MethodPost, "/hold/a", keyed(call.HeaderRequestID, id), strings.NewReader("glass"))
			must.NoError(t, err)
			must.Eq(t, 200, status, must.Sprint(body))
			must.Eq(t, "run 1 of glass", body)
		})
	}
	sent.Wait()
	must.Eq(t, 1, runs.Load())

	status, body, err := f.do(1, http.MethodPost, "/hold/a", keyed(call.HeaderRequestID, id), strings.NewReader("other"))
	must.NoError(t, err)
	must.Eq(t, 422, status, must.Sprint(body))
}

// When the upstream crashes while it runs a non-idempotent request, no node may run the request again, and the
// caller must get the outcome may_have_run.
func TestLostResponseIsNotRunAgain(t *testing.T) {
	f := newFleet(t, 3)
	var runs atomic.Int64
	for i := 1; i < 3; i++ {
		f.upstream(i, "hold", func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
	}
	id := f.requestID(0)
	for i := range 6 {
		status, body, err := f.do(i%3, http.MethodPost, "/hold/a", keyed(call.HeaderRequestID, id), nil)
		must.NoError(t, err)
		must.True(t, status >= 400, must.Sprint(status))
		must.StrContains(t, body, "may_have_run")
	}
	must.Eq(t, 1, runs.Load())
}

// A request whose home node has stopped must not run, and its outcome must not be not_run.
func TestLostHome(t *testing.T) {
	f := newFleet(t, 3)
	var runs atomic.Int64
	f.upstream(1, "hold", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	id := f.requestID(2)
	home := f.nodes[2]
	f.nodes = f.nodes[:2]
	must.NoError(t, home.Stop(t.Context()))
	status, body, err := f.do(0, http.MethodPost, "/hold/a", keyed(call.HeaderRequestID, id), nil)
	must.NoError(t, err)
	must.True(t, status == 410 || status == 502, must.Sprint(status, body))
	must.StrContains(t, body, "may_have_run")
	must.Eq(t, 0, runs.Load())
}

// Missing, malformed and forged ids must be refused before the request runs.
func TestRequestIDRefusals(t *testing.T) {
	f := newFleet(t, 1)
	f.upstream(0, "hold", func(http.ResponseWriter, *http.Request) { t.Error("a refused request reached the upstream") })
	id := f.requestID(0)
	tampered := id[:len(id)-2] + "xx"
	for _, c := range []struct{ name, id, code string }{
		{"missing", "", "request_id_required"},
		{"malformed", "nonsense", "request_id_invalid"},
		{"tampered", tampered, "request_id_invalid"},
	} {
		header := keyed()
		if c.id != "" {
			header.Set(call.HeaderRequestID, c.id)
		}
		_, body, err := f.do(0, http.MethodPost, "/hold/a", header, nil)
		must.NoError(t, err, must.Sprint(c.name))
		must.StrContains(t, body, c.code, must.Sprint(c.name))
	}
}

// A call on an idempotent route may be retried, so its downstream calls must not use a route that is not
// idempotent.
func TestIdempotentRouteCannotCallNonIdempotent(t *testing.T) {
	f := newFleet(t, 1)
	f.upstream(0, "stock", func(w http.ResponseWriter, r *http.Request) {
		request, _ := http.NewRequest(http.MethodPost, "http://"+f.nodes[0].settings.LocalAddress+"/hold/a", nil)
		request.Header.Set(call.HeaderCall, r.Header.Get(call.HeaderCall))
		response, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		defer response.Body.Close()
		_, _ = io.Copy(w, response.Body)
	})
	_, body, err := f.do(0, http.MethodGet, "/stock/a", keyed(), nil)
	must.NoError(t, err)
	must.StrContains(t, body, "is idempotent and must not call route hold")
}
