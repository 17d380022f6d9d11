package httpconn

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a connection that forgets an attempt, and against one that is kept from a request for longer than the
// request may be sent.
func TestAttempts(t *testing.T) {
	now := time.Now()
	var a attempts
	for i := range maxAttempts {
		must.True(t, a.add(fmt.Sprint(i), now.Add(time.Duration(i+1)*time.Second), now))
	}
	must.False(t, a.add("one more", now.Add(time.Second), now))
	must.True(t, a.contains("0", now))
	must.False(t, a.contains("0", now.Add(time.Second)))
	must.False(t, a.contains("one more", now))
	must.True(t, a.add("one more", now.Add(time.Minute), now.Add(time.Second)))
	for i := range maxAttempts {
		must.Eq(t, i > 0, a.contains(fmt.Sprint(i), now.Add(time.Second)), must.Sprint(i))
	}
}

// Guards against sending a request again on a connection that has carried it, and against opening one while another is idle.
func TestGetForAvoidsEarlierAttempts(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	pool := NewPool(Config{DialTimeout: time.Second, MaxIdleTime: time.Minute, MaxHeadBytes: 64 << 10, MaxIdlePerAddress: 10})
	t.Cleanup(pool.Close)
	get := func(requestID string) *Conn {
		conn, err := pool.GetFor(t.Context(), server.Listener.Addr().String(), time.Minute, requestID)
		must.NoError(t, err)
		return conn
	}
	release := func(conn *Conn) {
		must.NoError(t, conn.WriteHead(&Head{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}))
		response, _, err := conn.Exchange(http.MethodGet, nil, 0)
		must.NoError(t, err)
		conn.Release(response)
	}
	first, second := get("a"), get("b")
	first.Remember("a", time.Now().Add(time.Minute))
	release(second)
	release(first)
	must.True(t, get("a") == second)
	must.True(t, get("c") == first, must.Sprint("an idle connection must be used for another request"))
	must.Eq(t, 1, pool.Avoided())
	for i := range maxAttempts {
		first.Remember(fmt.Sprint(i), time.Now().Add(time.Minute))
	}
	release(first)
	must.False(t, get("c") == first, must.Sprint("it cannot remember all requests that it must not carry"))
}
