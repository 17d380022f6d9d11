// Package bench measures cowslipglade. It contains an open-loop load generator, the deployments of the
// design page, a launcher that runs a deployment on loopback, and scenarios that combine load and faults.
//
// The start of each request is planned independently of responses. Slow responses therefore do not reduce
// the load, and latency counts from the planned start.
package bench

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/cowslipglade/cowslipglade/call"
)

// Arrival processes.
const (
	Poisson  = "poisson"
	Constant = "constant"
)

// Plan describes one run of the load generator.
type Plan struct {
	// Targets are the base URLs of the entry nodes; each attempt uses a random one.
	Targets  []string `toml:"targets"`
	Arrivals string   `toml:"arrivals"`
	Seed     uint64   `toml:"seed"`
	// MaxRequests limits the number of requests; 0 means no limit.
	MaxRequests int64 `toml:"max_requests"`
	// MaxInFlight limits concurrent requests, and so memory and sockets. Requests beyond it count as not
	// sent.
	MaxInFlight int `toml:"max_in_flight"`
	// TimeoutMS is the client timeout of each attempt.
	TimeoutMS int64 `toml:"timeout_ms"`
	// Retries is the number of retries of a client after a refusal, failure or timeout.
	Retries int `toml:"retries"`
	// BackoffMS is the mean delay before a retry; the delay is uniform between 0 and twice that.
	BackoffMS  int64           `toml:"backoff_ms"`
	Phases     []Phase         `toml:"phases"`
	Workspaces []WorkspaceLoad `toml:"workspaces"`
	Routes     []RouteLoad     `toml:"routes"`
}

// Phase is a part of the load with a constant mean rate.
type Phase struct {
	Name      string  `toml:"name" json:"name"`
	DurationS float64 `toml:"duration_s" json:"duration_s"`
	// Rate is requests per second of all workspaces, before Factors apply.
	Rate float64 `toml:"rate" json:"rate"`
	// Factors are multipliers for the rates of workspaces, by name.
	Factors map[string]float64 `toml:"factors" json:"factors,omitempty"`
}

// WorkspaceLoad is the traffic of one workspace.
type WorkspaceLoad struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
	// Share is relative to the other workspaces.
	Share float64 `toml:"share"`
}

// RouteLoad is the traffic of one route.
type RouteLoad struct {
	Name   string `toml:"name"`
	Method string `toml:"method"`
	Path   string `toml:"path"`
	// Share is relative to the other routes.
	Share      float64 `toml:"share"`
	Importance string  `toml:"importance"`
	Idempotent bool    `toml:"idempotent"`
	BodyBytes  int     `toml:"body_bytes"`
	// ResponseBytes is the response size requested from the upstream; 0 means its default.
	ResponseBytes int `toml:"answer_bytes"`
	// Targets override the targets of the plan for this route.
	Targets []string `toml:"targets"`
}

// DefaultPlan returns a plan without targets, traffic or phases.
func DefaultPlan() Plan {
	return Plan{Arrivals: Poisson, Seed: 1, MaxInFlight: 20_000, TimeoutMS: 2000}
}

// ReadPlan reads a plan from a TOML file. Unknown fields are errors.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("bench: read plan: %w", err)
	}
	plan := DefaultPlan()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, fmt.Errorf("bench: plan %s: %w", path, err)
	}
	return plan, plan.Check()
}

// Check returns an error for the first invalid field.
func (p Plan) Check() error {
	if p.Arrivals != Poisson && p.Arrivals != Constant {
		return fmt.Errorf("bench: arrivals %q: must be poisson or constant", p.Arrivals)
	}
	if p.MaxInFlight <= 0 || p.TimeoutMS <= 0 || p.Retries < 0 || p.BackoffMS < 0 || p.MaxRequests < 0 {
		return fmt.Errorf("bench: max_in_flight %d and timeout_ms %d must be positive; retries %d, backoff_ms %d and max_requests %d not negative",
			p.MaxInFlight, p.TimeoutMS, p.Retries, p.BackoffMS, p.MaxRequests)
	}
	if len(p.Workspaces) == 0 || len(p.Routes) == 0 || len(p.Phases) == 0 {
		return fmt.Errorf("bench: workspaces, routes and phases must not be empty")
	}
	for _, w := range p.Workspaces {
		if w.Name == "" || w.Share < 0 {
			return fmt.Errorf("bench: workspace %q with share %v: needs a name and a share that is not negative", w.Name, w.Share)
		}
	}
	for _, phase := range p.Phases {
		if phase.DurationS <= 0 || phase.Rate < 0 {
			return fmt.Errorf("bench: phase %q: duration_s %v must be positive, rate %v not negative", phase.Name, phase.DurationS, phase.Rate)
		}
	}
	for _, r := range p.Routes {
		if err := r.check(p.Targets); err != nil {
			return err
		}
	}
	return nil
}

func (r RouteLoad) check(targets []string) error {
	if _, ok := call.ParseImportance(r.Importance); !ok {
		return fmt.Errorf("bench: route %q: importance %q is unknown", r.Name, r.Importance)
	}
	if r.Name == "" || r.Path == "" || r.Share < 0 || r.BodyBytes < 0 || r.ResponseBytes < 0 {
		return fmt.Errorf("bench: route %q: needs name, path, and share, body_bytes and answer_bytes that are not negative", r.Name)
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return fmt.Errorf("bench: route %q: method %q must be GET or POST", r.Name, r.Method)
	}
	if len(targets) == 0 && len(r.Targets) == 0 {
		return fmt.Errorf("bench: route %q has no targets", r.Name)
	}
	return nil
}

// Duration returns the total length of the phases.
func (p Plan) Duration() time.Duration {
	total := 0.0
	for _, phase := range p.Phases {
		total += phase.DurationS
	}
	return time.Duration(total * float64(time.Second))
}
