package node

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// benchmarkPath measures sequential calls to a URL.
func benchmarkPath(b *testing.B, url string) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	must.NoError(b, err)
	request.Header = keyed()
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.DefaultClient.Do(request)
		must.NoError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		must.NoError(b, response.Body.Close())
		must.Eq(b, http.StatusOK, response.StatusCode)
	}
}

// BenchmarkPath compares a direct call with one through the node of the upstream and one through two nodes. The
// differences are the overhead of the nodes.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, 2)
	server := f.upstream(1, "stock", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	b.Run("direct", func(b *testing.B) { benchmarkPath(b, server.URL+"/stock/a") })
	b.Run("one-node", func(b *testing.B) {
		benchmarkPath(b, "http://"+f.nodes[1].settings.CallerAddress+"/stock/a")
	})
	b.Run("two-nodes", func(b *testing.B) {
		benchmarkPath(b, "http://"+f.nodes[0].settings.CallerAddress+"/stock/a")
	})
}
