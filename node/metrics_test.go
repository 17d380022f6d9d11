package node

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against metrics that docs/OPERATIONS.md does not document, and against malformed metrics output.
func TestMetricsAreDocumented(t *testing.T) {
	f := newFleet(t, 1)
	response, err := http.Get("http://" + f.nodes[0].settings.PeerAddress + "/debug/vars")
	must.NoError(t, err)
	defer response.Body.Close()
	var metrics map[string]any
	must.NoError(t, json.NewDecoder(response.Body).Decode(&metrics))
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	must.NoError(t, err)
	must.MapNotEmpty(t, metrics)
	for name := range metrics {
		must.StrContains(t, string(page), "| `"+name+"` |")
	}
}
