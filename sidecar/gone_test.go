package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Calls that wait for a slot are not run once their clients have left.
func TestQueuedCallsEndWithTheirClients(t *testing.T) {
	for name, test := range map[string]struct {
		node       int // at which the clients are; the slots are those of node 1
		path, body string
	}{
		"other node":                 {0, "/open/long/a", ""},
		"other node, with a body":    {0, "/open/long/a", "x"},
		"other node, not idempotent": {0, "/open/once/a", "x"},
		"this node":                  {1, "/open/long/a", ""},
		"this node, not idempotent":  {1, "/open/once/a", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			const slots, waiting = 8, 12
			release := make(chan struct{})
			f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
				<-release
				respond(w, r)
			}))
			must.NoError(t, f.nodes[0].node.Heartbeat(f.nodes[0].beat(2, true)))
			var clients sync.WaitGroup
			send := func(ctx context.Context, node int, id, path, body string) {
				clients.Go(func() {
					r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.nodes[node].settings.RequestAddress+path, strings.NewReader(body))
					must.NoError(t, err)
					r.Host = "h.example"
					r.Header.Set("Request-Id", id)
					r.Header.Set("Timeout-Ms", "19000")
					if response, err := http.DefaultClient.Do(r); err == nil {
						_ = response.Body.Close()
					}
				})
			}
			for i := range slots {
				send(t.Context(), 1, fmt.Sprintf("running-%d", i), "/open/long/a", "")
			}
			f.eventually(func() error {
				if n := len(f.nodes[1].upstream.requests()); n != slots {
					return fmt.Errorf("%d requests are running", n)
				}
				return nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			for i := range waiting {
				send(ctx, test.node, fmt.Sprintf("waiting-%d", i), test.path, test.body)
			}
			f.eventually(func() error {
				if _, vars := f.vars(f.nodes[1]); !strings.Contains(vars, fmt.Sprintf(`"waiting":%d,`, waiting)) {
					return fmt.Errorf("%d calls do not wait: %s", waiting, vars)
				}
				return nil
			})
			cancel()
			time.Sleep(200 * time.Millisecond)
			close(release)
			clients.Wait()
			time.Sleep(200 * time.Millisecond)
			must.Len(t, slots, f.nodes[1].upstream.requests(), must.Sprint("calls ran whose clients had left"))
		})
	}
}
