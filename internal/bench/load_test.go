package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/emulator/upstream"
)

func testPlan(target string) Plan {
	plan := DefaultPlan()
	plan.Targets = []string{target}
	plan.TimeoutMS = 20_000
	plan.Phases = []Phase{{DurationS: 1, Rate: 200}}
	plan.Workspaces = []WorkspaceLoad{{Name: "a", Key: "ka", Share: 3}, {Name: "b", Key: "kb", Share: 1}}
	plan.Routes = []RouteLoad{
		{Name: "read", Method: http.MethodGet, Path: "/read/", Share: 1, Importance: "normal", Idempotent: true},
		{Name: "pay", Method: http.MethodPost, Path: "/pay/", Share: 1, Importance: "critical", BodyBytes: 100},
	}
	return plan
}

func newUpstreamHandler(t *testing.T) http.Handler {
	t.Helper()
	settings := upstream.DefaultSettings()
	settings.Service, settings.Address, settings.AdminAddress = "s", "127.0.0.1:0", "127.0.0.1:0"
	settings.ServiceMedianMS = 0
	server, err := upstream.NewServer(settings)
	must.NoError(t, err)
	return server.Handler()
}

// withRequestIDs returns a handler that issues request ids as a node does and passes everything else to
// handler, with the number of issued ids.
func withRequestIDs(handler http.Handler) (http.Handler, *atomic.Int64) {
	var issued atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/cowslip/request-ids" {
			handler.ServeHTTP(w, r)
			return
		}
		var ids []string
		for range 50 {
			ids = append(ids, fmt.Sprint(issued.Add(1)))
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"request_ids": ids})
	}), &issued
}

func runLoad(t *testing.T, handler http.Handler, change func(*Plan)) Result {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	plan := testPlan(server.URL)
	if change != nil {
		change(&plan)
	}
	generator, err := NewLoadGenerator(plan)
	must.NoError(t, err)
	return generator.Run(t.Context())
}

// Guards against arrivals that depend on the speed of the machine, and against rates or shares that
// differ from the plan.
func TestArrivalsFollowThePlan(t *testing.T) {
	plan := testPlan("http://unused")
	plan.Phases = []Phase{{DurationS: 10, Rate: 1000}, {DurationS: 10, Rate: 1000, Factors: map[string]float64{"b": 10}}}
	generate := func() []arrival {
		var all []arrival
		source := newArrivalGenerator(plan)
		for a, ok := source.next(); ok; a, ok = source.next() {
			all = append(all, a)
		}
		return all
	}
	first := generate()
	must.Eq(t, first, generate())
	var counts [2][2]float64
	last := time.Duration(0)
	for _, a := range first {
		must.GreaterEq(t, last, a.start)
		last = a.start
		counts[int(a.start/(10*time.Second))][a.workspace]++
	}
	// The tolerance is five standard deviations of the largest Poisson count.
	for i, mean := range []float64{7500, 2500, 7500, 25_000} {
		must.InDelta(t, mean, counts[i/2][i%2], 5*158)
	}
	plan.MaxRequests = 17
	must.Len(t, 17, generate())
}

// Guards against inconsistent counts, and against request ids that are used for two requests.
func TestLoadCounts(t *testing.T) {
	seen := map[string]bool{}
	var reused atomic.Int64
	guard := make(chan struct{}, 1)
	upstreamHandler := newUpstreamHandler(t)
	handler, issued := withRequestIDs(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(upstream.HeaderRequestID); id != "" {
			guard <- struct{}{}
			if seen[id] {
				reused.Add(1)
			}
			seen[id] = true
			<-guard
		}
		upstreamHandler.ServeHTTP(w, r)
	}))
	result := runLoad(t, handler, nil)
	must.Positive(t, issued.Load())
	must.Zero(t, reused.Load())
	must.Positive(t, result.Sent)
	must.Eq(t, result.Sent, result.OK)
	must.Eq(t, result.Sent, result.Attempts)
	must.Eq(t, result.Sent, result.Workspaces["a"].Sent+result.Workspaces["b"].Sent)
	must.Eq(t, result.Sent, result.Importances["normal"].Sent+result.Importances["critical"].Sent)
	must.Zero(t, result.NotSent+result.WrongResponses+result.CorruptResponses)
	offered := int64(0)
	for _, w := range result.Windows {
		offered += w.Offered
	}
	must.Eq(t, result.Sent, offered)
}

// Guards against a check that accepts responses to other requests, truncated responses, or refusals.
func TestLoadDetectsBadResponses(t *testing.T) {
	good := newUpstreamHandler(t)
	var firstRecorded atomic.Pointer[httptest.ResponseRecorder]
	replay := func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		good.ServeHTTP(recorded, r)
		firstRecorded.CompareAndSwap(nil, recorded)
		first := firstRecorded.Load()
		w.Header().Set(upstream.HeaderResponseHash, first.Header().Get(upstream.HeaderResponseHash))
		_, _ = w.Write(first.Body.Bytes())
	}
	shorten := func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		good.ServeHTTP(recorded, r)
		w.Header().Set(upstream.HeaderResponseHash, recorded.Header().Get(upstream.HeaderResponseHash))
		_, _ = w.Write(recorded.Body.Bytes()[:10])
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"code":"overloaded","outcome":"not_run"}`)
	}
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	reads := func(p *Plan) { p.Routes = p.Routes[:1]; p.MaxRequests = 20; p.Retries = 1 }

	result := runLoad(t, http.HandlerFunc(replay), reads)
	must.Eq(t, 1, result.OK)
	must.Eq(t, 38, result.WrongResponses)
	result = runLoad(t, http.HandlerFunc(shorten), reads)
	must.Eq(t, 40, result.CorruptResponses)
	result = runLoad(t, http.HandlerFunc(refuse), reads)
	must.Eq(t, map[string]int64{"overloaded/not_run": 20}, result.Refused)
	must.Eq(t, 40, result.Attempts)
	result = runLoad(t, http.HandlerFunc(abort), reads)
	must.Eq(t, 20, result.Lost)
}

// Guards against a generator that waits for responses: the server responds only after all requests have
// arrived.
func TestLoadIsOpenLoop(t *testing.T) {
	good := newUpstreamHandler(t)
	var arrived atomic.Int64
	all := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == 50 {
			close(all)
		}
		<-all
		good.ServeHTTP(w, r)
	})
	result := runLoad(t, handler, func(p *Plan) { p.Routes = p.Routes[:1]; p.MaxRequests = 50 })
	must.Eq(t, 50, result.OK)
}

// Guards against misspelled fields that are ignored, and against plans without routes.
func TestReadPlanRejects(t *testing.T) {
	for name, text := range map[string]string{"unknown field": "arrival = 'poisson'", "no routes": "seed = 3"} {
		path := filepath.Join(t.TempDir(), "plan.toml")
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadPlan(path)
		must.Error(t, err, must.Sprint(name))
	}
}
