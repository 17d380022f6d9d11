package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// refuser refuses the first attempts of each request and repeats each refusal where the next response is expected.
type refuser struct {
	refusals int

	mu       sync.Mutex
	attempts map[string]int
	runs     map[string]int
}

// response returns the response to an attempt of a request.
func (u *refuser) response(id string) (response string, refused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts[id]++
	if u.attempts[id] <= u.refusals {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", true
	}
	u.runs[id]++
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: signed\r\nContent-Length: 0\r\n\r\n", false
}

// serve takes the connection of its first request over and serves it to its end.
func (u *refuser) serve(w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(io.MultiReader(buffered, conn))
	late := ""
	for {
		response, refused := u.response(r.Header.Get("Request-Id"))
		if _, err := io.WriteString(conn, late+response); err != nil {
			return
		}
		late = ""
		if refused {
			late = response
		}
		if r, err = http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// Guards against running a request twice, or refusing one that has run, because the upstream repeats the refusal of its
// earlier attempt.
func TestRepeatedRefusalOfEarlierAttempt(t *testing.T) {
	for nodes := 1; nodes <= 2; nodes++ {
		t.Run(fmt.Sprint(nodes, " upstreams"), func(t *testing.T) {
			up := &refuser{refusals: nodes, attempts: map[string]int{}, runs: map[string]int{}}
			f := startFleet(t, nodes, sameHandler(up.serve))
			for i := range 10 {
				id := fmt.Sprint("id-", i)
				got := f.send(f.nodes[i%nodes], http.MethodPost, "/open/once/a", id, "", 5*time.Second)
				must.NoError(t, got.err)
				up.mu.Lock()
				runs := up.runs[id]
				up.mu.Unlock()
				must.Eq(t, 1, runs, must.Sprint(id, ": ", got.status, " ", got.body))
				must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
			}
		})
	}
}
