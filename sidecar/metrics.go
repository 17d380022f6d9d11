package sidecar

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipglade/cowslipglade/call"
)

// Bounds of latency histograms.
const (
	histogramMinimum = 10 * time.Microsecond
	histogramMaximum = time.Minute
	histogramDigits  = 2 // significant digits; each histogram takes about 30 KB
)

// latencyHistogram is a latency histogram that is safe for concurrent use.
type latencyHistogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{values: hdrhistogram.New(histogramMinimum.Microseconds(), histogramMaximum.Microseconds(), histogramDigits)}
}

func (h *latencyHistogram) record(d time.Duration) {
	us := min(max(d, histogramMinimum), histogramMaximum).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(us) // cannot fail: the value is within bounds
}

// summary returns the count, and the quantiles in milliseconds.
func (h *latencyHistogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	summary := map[string]float64{"count": float64(h.values.TotalCount())}
	for _, q := range []float64{50, 90, 99, 99.9} {
		summary[fmt.Sprintf("p%g_ms", q)] = float64(h.values.ValueAtQuantile(q)) / 1000
	}
	return summary
}

// metrics holds the counters and histograms of one node.
type metrics struct {
	vars *expvar.Map
	// outcomes counts requests that entered at this node, by result.
	outcomes *expvar.Map
	// longBodies counts the requests whose body was not in memory when it had begun, by how their fingerprint was determined.
	longBodies *expvar.Map
	// departuresAdopted counts the departures, acknowledged by an earlier process, that took the upstream out here.
	departuresAdopted *expvar.Int
	// refused counts calls refused by this node on behalf of its upstream, by refusal code.
	refused *expvar.Map
	repeats *expvar.Map
	// repeatVerdicts counts the decisions about repeated sends by verdict and importance class.
	repeatVerdicts *expvar.Map
	store          *expvar.Map
	// loans counts borrowed tokens and failed calls to lenders.
	loans *expvar.Map
	// registrationsRejected counts registrations of other nodes that were not used, by the violated rule.
	registrationsRejected *expvar.Map
	// upstreamSends counts requests sent to the upstream of this node, by workspace.
	upstreamSends *expvar.Map
	// upstreamCalls counts calls on open routes by whether the running request that made them is known.
	upstreamCalls *expvar.Map
	// paced counts held sends and health requests, coldSigns the signs that the upstream may have started again.
	paced, coldSigns *expvar.Map
	// evacuationRefused counts calls that were not sent to the upstream because its failure domain is evacuated.
	evacuationRefused *expvar.Int
	// clientsClosed counts connections that were closed because of what their clients held, by listener and reason.
	clientsClosed *expvar.Map
	// unanswered counts requests whose connection was closed before their response, by listener and cause.
	unanswered *expvar.Map
	// panics counts the panics of code that serves one request or exchange, by part.
	panics *expvar.Map
	// requestLatency is the time from a request's arrival to its response, upstreamLatency the part spent at
	// the upstream, and queueDelay the part spent in the queue.
	requestLatency, upstreamLatency, queueDelay *latencyHistogram
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		vars: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), refused: new(expvar.Map).Init(),
		repeats: new(expvar.Map).Init(), repeatVerdicts: new(expvar.Map).Init(), store: new(expvar.Map).Init(), loans: new(expvar.Map).Init(),
		registrationsRejected: new(expvar.Map).Init(), upstreamCalls: new(expvar.Map).Init(), upstreamSends: new(expvar.Map).Init(),
		requestLatency: newLatencyHistogram(), upstreamLatency: newLatencyHistogram(), queueDelay: newLatencyHistogram(),
		paced: new(expvar.Map).Init(), coldSigns: new(expvar.Map).Init(),
		evacuationRefused: new(expvar.Int), departuresAdopted: new(expvar.Int), longBodies: new(expvar.Map).Init(), clientsClosed: new(expvar.Map).Init(),
		unanswered: new(expvar.Map).Init(), panics: new(expvar.Map).Init(),
	}
	m.vars.Set("requests_total", m.outcomes)
	m.vars.Set("destination_refusals_total", m.refused)
	m.vars.Set("repeats_total", m.repeats)
	m.vars.Set("repeat_decisions_total", m.repeatVerdicts)
	m.vars.Set("store_calls_total", m.store)
	m.vars.Set("quota_loans_total", m.loans)
	m.vars.Set("registrations_rejected_total", m.registrationsRejected)
	m.vars.Set("upstream_calls_total", m.upstreamCalls)
	m.vars.Set("upstream_sends_total", m.upstreamSends)
	m.vars.Set("pipelined_requests", expvar.Func(func() any { return n.pipeline.Stats() }))
	m.vars.Set("upstream_paced_total", m.paced)
	m.vars.Set("upstream_cold_signs_total", m.coldSigns)
	m.vars.Set("upstream_cold_seconds", expvar.Func(func() any { return n.local.pacer.Cold(time.Now()).Seconds() }))
	m.vars.Set("long_bodies_total", m.longBodies)
	m.vars.Set("crash_marks", expvar.Func(func() any { return n.quarantine.Count() }))
	m.vars.Set("requests_quarantined", expvar.Func(func() any { return len(n.quarantine.Refusals(time.Now())) }))
	m.vars.Set("departures_adopted_total", m.departuresAdopted)
	m.vars.Set("evacuation_refusals_total", m.evacuationRefused)
	m.vars.Set("evacuation", expvar.Func(func() any {
		set, age := n.evacuation.encode(), time.Duration(-1)
		if set == nil {
			return nil
		}
		if known, ok := n.evacuation.age(); ok {
			age = known
		}
		return map[string]any{"failure_domains": set.FailureDomains, "revision": set.Revision, "age_seconds": age.Seconds()}
	}))
	m.vars.Set("clients_closed_total", m.clientsClosed)
	m.vars.Set("requests_unanswered_total", m.unanswered)
	m.vars.Set("panics_total", m.panics)
	m.vars.Set("clients", expvar.Func(func() any { return n.clientStatus() }))
	m.vars.Set("service_limits", expvar.Func(func() any {
		limits := map[string]call.Rank{}
		for _, l := range n.limits.All(time.Now()) {
			limits[l.Service] = l.ShedFrom
		}
		return limits
	}))
	m.vars.Set("request_latency", expvar.Func(m.requestLatency.summary))
	m.vars.Set("upstream_latency", expvar.Func(m.upstreamLatency.summary))
	m.vars.Set("queue_delay", expvar.Func(m.queueDelay.summary))
	m.vars.Set("upstream_connections_opened_total", expvar.Func(func() any { return n.upstreams.Opened() }))
	m.vars.Set("upstream_connections_avoided_total", expvar.Func(func() any { return n.upstreams.Avoided() }))
	m.vars.Set("configuration_revision", expvar.Func(func() any { return n.configuration.revision() }))
	m.vars.Set("configuration_age_seconds", expvar.Func(func() any {
		age, ok := n.configuration.age()
		if !ok {
			return nil
		}
		return age.Seconds()
	}))
	m.vars.Set("quota_shares", expvar.Func(func() any { return n.shares.Status(time.Now()) }))
	m.vars.Set("quota_join", expvar.Func(func() any { return n.shares.JoinStatus(time.Now()) }))
	m.vars.Set("members_pending_removal", expvar.Func(func() any { return n.registry.unlisted(time.Now()) }))
	m.vars.Set("work_estimates", expvar.Func(func() any { return n.picker.WorkStatus() }))
	m.vars.Set("upstream_work", expvar.Func(n.upstreamWork))
	m.vars.Set("members", expvar.Func(func() any { return len(n.registry.others()) + 1 }))
	return m
}

// RecordStoreCall counts a store call by its result. Status is 0 if there was no valid response.
func (n *Node) RecordStoreCall(kind string, status int, elapsed time.Duration, err error) {
	n.metrics.store.Add(fmt.Sprintf("%s %d", kind, status), 1)
	if err != nil {
		n.log.event("store_call_failed").Str("call", kind).Int("status", status).Dur("took_ms", elapsed).Err(err).Msg("store call failed")
	}
}

// recordRequest records the result of a request that entered at this node.
func (m *metrics) recordRequest(refusal *call.Refusal, elapsed time.Duration) {
	m.requestLatency.record(elapsed)
	if refusal == nil {
		m.outcomes.Add("answered", 1)
		return
	}
	m.outcomes.Add(string(refusal.Code)+"/"+refusal.Outcome.String(), 1)
}

func (m *metrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = fmt.Fprintln(w, m.vars.String())
	})
}
