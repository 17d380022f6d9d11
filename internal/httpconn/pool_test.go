package httpconn

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against aborting a request because the context of the previous request on its connection has ended.
func TestEndedContextAbortsNoLaterRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	pool := NewPool(Config{DialTimeout: time.Second, MaxIdleTime: time.Minute, MaxHeadBytes: 64 << 10, MaxIdlePerAddress: 1})
	t.Cleanup(pool.Close)
	exchange := func(pendingClose bool) (*Conn, error) {
		conn, err := pool.Get(t.Context(), server.Listener.Addr().String(), time.Minute)
		must.NoError(t, err)
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		conn.CloseAfter(t.Context())
		if pendingClose { // the context has ended, but its close has not run yet
			must.True(t, conn.detach())
			conn.detach = func() bool { return false }
		}
		must.NoError(t, conn.WriteHead(&Head{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}))
		response, _, err := conn.Exchange(http.MethodGet, nil, 0)
		if err == nil {
			conn.Release(response)
		}
		return conn, err
	}
	first, err := exchange(false)
	must.NoError(t, err)
	second, err := exchange(true)
	must.NoError(t, err)
	must.True(t, first == second, must.Sprint("an idle connection must be reused"))
	third, err := exchange(false)
	must.NoError(t, err)
	must.False(t, second == third, must.Sprint("a connection with a pending close must not be reused"))
}
