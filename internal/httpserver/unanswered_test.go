package httpserver

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/config"
)

// Guards against a connection being closed before a response without a trace of who closed it.
func TestUnansweredNamesCause(t *testing.T) {
	for cause, end := range map[CloseCause]func(g *guarded, client interface{ Close() error }){
		ByClient:            func(_ *guarded, client interface{ Close() error }) { must.NoError(t, client.Close()) },
		ByStop:              func(g *guarded, _ interface{ Close() error }) { stopNow(g.server) },
		ByPanic:             func(g *guarded, _ interface{ Close() error }) { g.panics <- "failed" },
		ByTruncatedResponse: func(g *guarded, _ interface{ Close() error }) { g.panics <- http.ErrAbortHandler },
	} {
		t.Run(string(cause), func(t *testing.T) {
			entered := make(chan struct{})
			var g *guarded
			g = startGuarded(t, smallVM, config.ClientLimits{}, func(_ http.ResponseWriter, r *http.Request) {
				SetDetails(r.Context(), "details")
				close(entered)
				select {
				case <-r.Context().Done():
				case value := <-g.panics:
					panic(value)
				}
			})
			client, _ := g.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-entered
			end(g, client)
			select {
			case u := <-g.unanswered:
				must.Eq(t, cause, u.Cause)
				must.Eq(t, 1, u.Requests)
				must.Eq[any](t, "details", u.Details)
				must.True(t, u.SinceRead >= 0)
			case <-time.After(10 * time.Second):
				t.Fatal("not reported")
			}
		})
	}
}

func stopNow(s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Shutdown(ctx) // reports the request that is still running
}
