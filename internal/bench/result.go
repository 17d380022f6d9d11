package bench

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipglade/cowslipglade/call"
)

// Counts are numbers of requests by result. Sent = OK + the sum of Refused + Lost.
type Counts struct {
	Sent int64 `json:"sent"`
	// OK counts intact responses that belong to their request.
	OK int64 `json:"ok"`
	// Refused counts by "code/outcome".
	Refused map[string]int64 `json:"refused,omitempty"`
	// Lost counts requests without a valid response: timeouts, connection errors, and wrong or corrupt
	// responses.
	Lost     int64 `json:"lost"`
	Attempts int64 `json:"attempts"`
}

func (c *Counts) add(result requestResult) {
	c.Sent++
	c.Attempts += int64(result.attempts)
	switch result.kind {
	case resultOK:
		c.OK++
	case resultRefused:
		if c.Refused == nil {
			c.Refused = map[string]int64{}
		}
		c.Refused[result.refusal]++
	case resultLost:
		c.Lost++
	}
}

// RefusedTotal returns the sum of Refused.
func (c *Counts) RefusedTotal() int64 {
	total := int64(0)
	for _, n := range c.Refused {
		total += n
	}
	return total
}

// refusedFor returns the number of refusals with the given code.
func (c *Counts) refusedFor(code call.Code) int64 {
	total := int64(0)
	for refusal, n := range c.Refused {
		if strings.HasPrefix(refusal, string(code)+"/") {
			total += n
		}
	}
	return total
}

// Latency contains quantiles in milliseconds, from the planned start to the complete response.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// PhaseResult counts the requests whose planned start lies in one phase.
type PhaseResult struct {
	Phase
	Counts
	Workspaces  map[string]*Counts `json:"workspaces"`
	Importances map[string]*Counts `json:"importances"`
	// byRoute counts requests by route and workspace.
	byRoute map[string]map[string]*Counts
}

// Window contains the counts of an interval of WindowLength.
type Window struct {
	// Offered counts planned starts; OK counts complete responses by the time of their end.
	Offered int64 `json:"offered"`
	OK      int64 `json:"ok"`
	// P99MS is the p99 latency of the responses that ended in this window.
	P99MS float64 `json:"p99_ms"`
}

// WindowLength is the length of a Window and the resolution of recovery times.
const WindowLength = 250 * time.Millisecond

// Result is the result of a run of the load generator.
type Result struct {
	Seed      uint64  `json:"seed"`
	Arrivals  string  `json:"arrivals"`
	DurationS float64 `json:"duration_s"`
	Counts
	// NotSent counts planned requests beyond max_in_flight; a run with any is not open-loop.
	NotSent int64 `json:"not_sent"`
	// WrongResponses belong to another request; CorruptResponses are responses of status 200 whose hash
	// or first line is invalid.
	WrongResponses   int64 `json:"wrong_answers"`
	CorruptResponses int64 `json:"corrupt_answers"`
	// LateStartP99MS is the delay of request starts against the plan.
	LateStartP99MS float64 `json:"late_start_p99_ms"`
	LatencyMS      Latency `json:"latency_ms"`
	// SendLatencyMS counts from the actual start of the last attempt. It excludes the start delay of
	// the generator and earlier attempts.
	SendLatencyMS Latency            `json:"send_latency_ms"`
	Workspaces    map[string]*Counts `json:"workspaces"`
	Routes        map[string]*Counts `json:"routes"`
	Importances   map[string]*Counts `json:"importances"`
	Phases        []PhaseResult      `json:"phases,omitempty"`
	Windows       []Window           `json:"windows,omitempty"`

	// notRunNonces are the nonces of attempts that were refused with outcome not_run.
	notRunNonces []string
}

// Range of the histograms in microseconds, and number of significant figures.
const (
	histogramMin     = 1
	histogramMax     = 120_000_000
	histogramFigures = 3
	// windowFigures limits the memory of a window to about 20 KB.
	windowFigures = 2
)

// collector accumulates a Result. It is safe for concurrent use.
type collector struct {
	plan        Plan
	mutex       sync.Mutex
	result      Result
	latency     *hdrhistogram.Histogram
	sendLatency *hdrhistogram.Histogram
	startDelay  *hdrhistogram.Histogram
	windows     []window
}

type window struct {
	offered, ok int64
	latency     *hdrhistogram.Histogram
}

func newCollector(plan Plan) *collector {
	c := &collector{
		plan:        plan,
		latency:     hdrhistogram.New(histogramMin, histogramMax, histogramFigures),
		sendLatency: hdrhistogram.New(histogramMin, histogramMax, histogramFigures),
		startDelay:  hdrhistogram.New(histogramMin, histogramMax, histogramFigures),
		result: Result{
			Seed:      plan.Seed,
			Arrivals:  plan.Arrivals,
			DurationS: plan.Duration().Seconds(),
			Routes:    map[string]*Counts{},
		},
	}
	c.result.Workspaces, c.result.Importances = emptyCounts(plan)
	for _, r := range plan.Routes {
		c.result.Routes[r.Name] = &Counts{}
	}
	for _, phase := range plan.Phases {
		p := PhaseResult{Phase: phase}
		p.Workspaces, p.Importances = emptyCounts(plan)
		p.byRoute = map[string]map[string]*Counts{}
		for _, r := range plan.Routes {
			p.byRoute[r.Name], _ = emptyCounts(plan)
		}
		c.result.Phases = append(c.result.Phases, p)
	}
	return c
}

// emptyCounts returns zero counts for each workspace and importance of a plan.
func emptyCounts(plan Plan) (workspaces, importances map[string]*Counts) {
	workspaces, importances = map[string]*Counts{}, map[string]*Counts{}
	for _, w := range plan.Workspaces {
		workspaces[w.Name] = &Counts{}
	}
	for _, r := range plan.Routes {
		importances[r.Importance] = &Counts{}
	}
	return workspaces, importances
}

func (c *collector) window(at time.Duration) *window {
	index := int(max(at, 0) / WindowLength)
	for len(c.windows) <= index {
		c.windows = append(c.windows, window{})
	}
	return &c.windows[index]
}

func (c *collector) recordNotSent(a arrival) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.result.NotSent++
	c.window(a.start).offered++
}

func (c *collector) recordStart(a arrival, startDelay time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.startDelay.RecordValue(clampMicros(startDelay))
	c.window(a.start).offered++
}

// recordEnd records the result of a request that ended at endTime, relative to the start of the run.
func (c *collector) recordEnd(a arrival, endTime time.Duration, result requestResult) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	route := c.plan.Routes[a.route]
	workspace := c.plan.Workspaces[a.workspace].Name
	phase := &c.result.Phases[a.phase]
	c.result.notRunNonces = append(c.result.notRunNonces, result.notRunNonces...)
	for _, counts := range []*Counts{
		&c.result.Counts,
		c.result.Workspaces[workspace],
		c.result.Routes[route.Name],
		c.result.Importances[route.Importance],
		&phase.Counts,
		phase.Workspaces[workspace],
		phase.Importances[route.Importance],
		phase.byRoute[route.Name][workspace],
	} {
		counts.add(result)
	}
	c.result.WrongResponses += int64(result.wrongResponses)
	c.result.CorruptResponses += int64(result.corruptResponses)
	if result.kind != resultOK {
		return
	}
	micros := clampMicros(endTime - a.start)
	_ = c.latency.RecordValue(micros)
	_ = c.sendLatency.RecordValue(clampMicros(result.sendLatency))
	w := c.window(endTime)
	w.ok++
	if w.latency == nil {
		w.latency = hdrhistogram.New(histogramMin, histogramMax, windowFigures)
	}
	_ = w.latency.RecordValue(micros)
}

func clampMicros(d time.Duration) int64 {
	return min(max(d.Microseconds(), histogramMin), histogramMax)
}

func (c *collector) finish() Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.result.LatencyMS = latencySummary(c.latency)
	c.result.SendLatencyMS = latencySummary(c.sendLatency)
	c.result.LateStartP99MS = quantileMS(c.startDelay, 99)
	for _, w := range c.windows {
		out := Window{Offered: w.offered, OK: w.ok}
		if w.latency != nil {
			out.P99MS = quantileMS(w.latency, 99)
		}
		c.result.Windows = append(c.result.Windows, out)
	}
	return c.result
}

func quantileMS(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func latencySummary(h *hdrhistogram.Histogram) Latency {
	return Latency{
		P50:  quantileMS(h, 50),
		P90:  quantileMS(h, 90),
		P99:  quantileMS(h, 99),
		P999: quantileMS(h, 99.9),
		Max:  float64(h.Max()) / 1000,
	}
}
