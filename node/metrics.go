package node

import (
	"expvar"
	"net/http"
	"sync/atomic"

	"github.com/cowslipglade/cowslipglade/call"
)

// metrics holds the counters of one node. They are not in the process-wide registry, so that a program can
// embed several nodes.
type metrics struct {
	vars     *expvar.Map
	requests atomic.Int64
	answered atomic.Int64
	attempts atomic.Int64
	// membershipBytesSent counts the bytes of membership packets without IP and UDP headers.
	membershipBytesSent atomic.Int64
	rejectedPackets     atomic.Int64
	refused             *expvar.Map
	// shed counts refusals for lack of capacity by place of the decision, importance and reason.
	shed *expvar.Map
}

func newMetrics(n *Node) *metrics {
	m := &metrics{vars: new(expvar.Map).Init(), refused: new(expvar.Map).Init(), shed: new(expvar.Map).Init()}
	m.counter("requests_total", &m.requests)
	m.counter("answers_total", &m.answered)
	m.counter("attempts_total", &m.attempts)
	m.counter("membership_sent_bytes_total", &m.membershipBytesSent)
	m.counter("membership_rejected_packets_total", &m.rejectedPackets)
	m.vars.Set("config_age_seconds", expvar.Func(func() any { return n.configuration.age().Seconds() }))
	m.vars.Set("refusals_total", m.refused)
	m.vars.Set("shed_total", m.shed)
	m.vars.Set("admission", expvar.Func(func() any {
		if local := n.local.current.Load(); local != nil {
			return local.gate.Load()
		}
		return nil
	}))
	m.vars.Set("config_revision", expvar.Func(func() any { return n.configuration.document().Revision }))
	m.vars.Set("members", expvar.Func(func() any { return n.membership.count() }))
	return m
}

func (m *metrics) counter(name string, value *atomic.Int64) {
	m.vars.Set(name, expvar.Func(func() any { return value.Load() }))
}

// Places where calls are refused for lack of capacity.
const (
	shedAtCaller      = "throttle"
	shedAtDestination = "admission"
)

func (m *metrics) countShed(where string, importance call.Importance, reason string) {
	m.shed.Add(where+"/"+importance.String()+"/"+reason, 1)
}

// countRequest counts a finished request of a caller.
func (m *metrics) countRequest(err error) {
	m.requests.Add(1)
	if err == nil {
		m.answered.Add(1)
		return
	}
	refusal := call.AsRefusal(err)
	m.refused.Add(string(refusal.Code)+"/"+refusal.Outcome.String(), 1)
}

func (m *metrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(m.vars.String()))
	})
}
