package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	client "github.com/cowslipglade/cowslipglade/kvstore"
)

// Guards against a watch that silently skips compacted changes.
func TestWatchOfCompactedRevision(t *testing.T) {
	server := NewServer(DefaultConfig())
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	store, err := client.NewEtcd(client.EtcdConfig{Endpoints: []string{listener.URL}, CallTimeout: 20 * time.Second})
	must.NoError(t, err)
	defer store.Close()
	for i := range 10 {
		_, err := store.CompareAndSwap(t.Context(), fmt.Sprint("k", i), 0, nil, client.NoLease)
		must.NoError(t, err)
	}
	server.mutex.Lock()
	server.store.compact(4)
	compacted := server.store.compacted
	server.mutex.Unlock()
	_, _, err = store.Watch(t.Context(), "k", compacted-1)
	must.ErrorIs(t, err, client.ErrCompacted)
	entries, next, err := store.Watch(t.Context(), "k", compacted)
	must.NoError(t, err)
	must.Len(t, 6, entries)
	must.Eq(t, compacted+6, next)
}

// Guards against faults that the admin endpoint accepts but does not apply, and counters that omit calls.
func TestAdmin(t *testing.T) {
	server := NewServer(DefaultConfig())
	admin := func(method, path, body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		server.Admin().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		return recorder
	}
	must.Eq(t, http.StatusBadRequest, admin("POST", "/admin/fault", `{"mode":"odd"}`).Code)
	must.Eq(t, http.StatusOK, admin("POST", "/admin/fault", `{"mode":"down"}`).Code)
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	_, err := http.Post(listener.URL+"/v3/kv/range", "application/json", strings.NewReader("{}"))
	must.Error(t, err)
	must.Eq(t, http.StatusOK, admin("POST", "/admin/fault", `{"mode":"normal"}`).Code)
	response, err := http.Post(listener.URL+"/v3/kv/range", "application/json", strings.NewReader("{}"))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	var calls Calls
	must.NoError(t, json.Unmarshal(admin("GET", "/admin/calls", "").Body.Bytes(), &calls))
	must.Eq(t, []int64{1, 1}, []int64{calls.Reads, calls.CallsWhileDown})
}

// Guards against an emulator that is more permissive than the documented platform: values above 1 MB and
// calls above the rate limit must fail.
func TestLimits(t *testing.T) {
	b := bucket{rate: 2, level: 2}
	now := time.Unix(1, 0)
	must.Eq(t, []bool{true, true, false}, []bool{b.take(now), b.take(now), b.take(now)})
	must.False(t, b.take(now.Add(400*time.Millisecond)))
	must.True(t, b.take(now.Add(500*time.Millisecond)))
	server := NewServer(DefaultConfig())
	tooLarge := []operation{{Put: &putRequest{Value: []byte(strings.Repeat("x", 1<<20+1))}}}
	must.Error(t, server.checkOperations(tooLarge))
	tooLarge[0].Put.Value = tooLarge[0].Put.Value[1:]
	must.NoError(t, server.checkOperations(tooLarge))
}
