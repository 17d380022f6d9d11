package upstream

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/responsetest"
)

// Guards against taking a malformed response for a sign of health, and against failing a probe because of an interim
// response.
func TestHealthResponses(t *testing.T) {
	const fields = "Instance-Id: i-1\r\n"
	// probe returns the results of a single probe and of a health connection.
	probe := func(t *testing.T, raw string) (statuses [2]int, errs [2]error) {
		t.Helper()
		server := responsetest.Start(t, raw)
		d := newDirectClient()
		defer d.Close()
		statuses[0], _, errs[0] = d.Probe(t.Context(), server.Address, "/health")
		h, err := d.OpenHealth(t.Context(), server.Address)
		must.NoError(t, err)
		defer h.Close()
		statuses[1], _, errs[1] = h.Probe(t.Context(), "/health")
		return statuses, errs
	}
	for name, group := range map[string]func(fields, body string) []responsetest.Case{
		"status": responsetest.MalformedStatus, "fields": responsetest.MalformedFields, "HTTP10": responsetest.ChunkedHTTP10,
	} {
		for _, c := range group(fields, "healthy") {
			t.Run(name+"/"+c.Name, func(t *testing.T) {
				statuses, errs := probe(t, c.Raw)
				must.Error(t, errs[0], must.Sprint(statuses))
				must.Error(t, errs[1], must.Sprint(statuses))
			})
		}
	}
	for _, c := range responsetest.Sound(fields, "healthy") {
		t.Run(c.Name, func(t *testing.T) {
			statuses, errs := probe(t, c.Raw)
			must.NoError(t, errs[0])
			must.NoError(t, errs[1])
			must.Eq(t, [2]int{http.StatusOK, http.StatusOK}, statuses)
		})
	}
}
