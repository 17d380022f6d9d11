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

func emulated(t *testing.T) http.Handler {
	t.Helper()
	settings := upstream.DefaultSettings()
	settings.Service, settings.Address, settings.AdminAddress = "s", "127.0.0.1:0", "127.0.0.1:0"
	settings.ServiceMedianMS = 0
	server, err := upstream.NewServer(settings)
	must.NoError(t, err)
	return server.Handler()
}

// node hands out request ids and passes everything else to handler.
func node(handler http.Handler) (http.Handler, *atomic.Int64) {
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

func run(t *testing.T, handler http.Handler, change func(*Plan)) Result {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	plan := testPlan(server.URL)
	if change != nil {
		change(&plan)
	}
	load, err := NewLoad(plan)
	must.NoError(t, err)
	return load.Run(t.Context())
}

// Guards against a plan that changes with the speed of the machine, and against rates or shares that
// are not those of the plan.
func TestArrivalsFollowThePlan(t *testing.T) {
	plan := testPlan("http://unused")
	plan.Phases = []Phase{{DurationS: 10, Rate: 1000}, {DurationS: 10, Rate: 1000, Factors: map[string]float64{"b": 10}}}
	draw := func() []arrival {
		var all []arrival
		source := newArrivals(plan)
		for a, ok := source.next(); ok; a, ok = source.next() {
			all = append(all, a)
		}
		return all
	}
	first := draw()
	must.Eq(t, first, draw())
	var counts [2][2]float64
	last := time.Duration(0)
	for _, a := range first {
		must.GreaterEq(t, last, a.at)
		last = a.at
		counts[int(a.at/(10*time.Second))][a.workspace]++
	}
	// Five standard deviations of the Poisson counts.
	for i, mean := range []float64{7500, 2500, 7500, 25_000} {
		must.InDelta(t, mean, counts[i/2][i%2], 5*158)
	}
	plan.MaxRequests = 17
	must.Len(t, 17, draw())
}

// Guards against counts that do not add up, and against ids that are used for two requests.
func TestLoadCounts(t *testing.T) {
	seen := map[string]bool{}
	var doubled atomic.Int64
	guard := make(chan struct{}, 1)
	upstreamHandler := emulated(t)
	handler, issued := node(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(upstream.HeaderRequestID); id != "" {
			guard <- struct{}{}
			if seen[id] {
				doubled.Add(1)
			}
			seen[id] = true
			<-guard
		}
		upstreamHandler.ServeHTTP(w, r)
	}))
	result := run(t, handler, nil)
	must.Positive(t, issued.Load())
	must.Zero(t, doubled.Load())
	must.Positive(t, result.Sent)
	must.Eq(t, result.Sent, result.OK)
	must.Eq(t, result.Sent, result.Attempts)
	must.Eq(t, result.Sent, result.Workspaces["a"].Sent+result.Workspaces["b"].Sent)
	must.Eq(t, result.Sent, result.Importances["normal"].Sent+result.Importances["critical"].Sent)
	must.Zero(t, result.NotSent+result.WrongAnswers+result.CorruptAnswers)
	offered := int64(0)
	for _, w := range result.Windows {
		offered += w.Offered
	}
	must.Eq(t, result.Sent, offered)
}

// Guards against a check that passes answers of other requests, shortened answers, or refusals.
func TestLoadDetectsBadAnswers(t *testing.T) {
	good := emulated(t)
	var kept atomic.Pointer[httptest.ResponseRecorder]
	replay := func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		good.ServeHTTP(recorded, r)
		kept.CompareAndSwap(nil, recorded)
		first := kept.Load()
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
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	reads := func(p *Plan) { p.Routes = p.Routes[:1]; p.MaxRequests = 20; p.Retries = 1 }

	result := run(t, http.HandlerFunc(replay), reads)
	must.Eq(t, 1, result.OK)
	must.Eq(t, 38, result.WrongAnswers)
	result = run(t, http.HandlerFunc(shorten), reads)
	must.Eq(t, 40, result.CorruptAnswers)
	result = run(t, http.HandlerFunc(refuse), reads)
	must.Eq(t, map[string]int64{"overloaded/not_run": 20}, result.Refused)
	must.Eq(t, 40, result.Attempts)
	result = run(t, http.HandlerFunc(cut), reads)
	must.Eq(t, 20, result.Lost)
}

// Guards against a generator that waits for answers: no request is answered before all are sent.
func TestLoadIsOpenLoop(t *testing.T) {
	good := emulated(t)
	var arrived atomic.Int64
	all := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == 50 {
			close(all)
		}
		<-all
		good.ServeHTTP(w, r)
	})
	result := run(t, handler, func(p *Plan) { p.Routes = p.Routes[:1]; p.MaxRequests = 50 })
	must.Eq(t, 50, result.OK)
}

// Guards against a misspelt field that is ignored, and against plans that cannot run.
func TestReadPlanRejects(t *testing.T) {
	for name, text := range map[string]string{"unknown field": "arrival = 'poisson'", "no routes": "seed = 3"} {
		path := filepath.Join(t.TempDir(), "plan.toml")
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadPlan(path)
		must.Error(t, err, must.Sprint(name))
	}
}
