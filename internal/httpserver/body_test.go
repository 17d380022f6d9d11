package httpserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A request that outlives the read deadline of its body must not be canceled, nor later requests on its
// connection.
func TestBodyDeadlineEndsWithBody(t *testing.T) {
	for _, content := range []string{"", "small", strings.Repeat("x", 100<<10)} {
		connections := map[string]bool{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			connections[r.RemoteAddr] = true
			body := NewBody(w, r)
			must.NoError(t, body.SetDeadline(time.Now().Add(50*time.Millisecond)))
			_, err := io.Copy(io.Discard, body)
			must.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			must.NoError(t, r.Context().Err())
		}))
		for range 2 {
			response, err := server.Client().Post(server.URL, "text/plain", strings.NewReader(content))
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.NoError(t, response.Body.Close())
		}
		must.MapLen(t, 1, connections)
		server.Close()
	}
}

// The deadline interrupts a body that stalls.
func TestBodyDeadlineInterruptsRead(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := NewBody(w, r)
		must.NoError(t, body.SetDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := io.Copy(io.Discard, body)
		ended <- err
	}))
	defer server.Close()
	stalled, stall := io.Pipe()
	defer stall.Close()
	go func() {
		response, err := server.Client().Post(server.URL, "text/plain", stalled)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	select {
	case err := <-ended:
		must.Error(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the read was not interrupted")
	}
}
