package soak

import (
	"fmt"
	"hash/crc32"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// kind is the kind of a request.
type kind int

const (
	idempotent kind = iota
	nonIdempotent
	nested // sent by an upstream or a readiness check, without a key
)

// request is a request of a client or an upstream.
type request struct {
	ID        string
	path      string
	kind      kind
	key       string
	workspace string
	body      []byte
	timeout   time.Duration

	node        *node
	incarnation int
	sentAt      time.Time
	// movingRoute is set if the request matches the route that moves between services.
	movingRoute bool
}

// run is the execution of a request by an upstream.
type run struct {
	ID       string
	Kind     kind
	Instance string
	service  string
	at       time.Time
	status   int
	// node is the node of the upstream. complete is set once the upstream has sent its entire response.
	node     string
	complete bool
}

// response is what a client received. Status 0 means that the connection ended without a complete response.
type response struct {
	status    int
	id        string
	signature string
	body      []byte
	at        time.Time
	// disconnected means that the client gave up, partial that it received a part of a response.
	disconnected, partial bool
	// err is why the client got no complete response.
	err error
}

// Violation is a violated guarantee.
type Violation struct {
	// Promise is the violated guarantee.
	Promise string
	// Request is the id of the request, or the name of the node or workspace.
	Request string
	Detail  string
}

// bounds are the limits within which the guarantees hold.
type bounds struct {
	Drain, Withdrawal, Rollback, QuotaWindow time.Duration
	QuotaOver, QuotaSlack                    float64
}

// history records what clients, upstreams and the operator observe, and checks it. It is safe for concurrent use.
type history struct {
	mu        sync.Mutex
	requests  map[string]*request
	responses map[string]response
	runs      map[string][]*run
	// processes holds the processes by node, in the order of their incarnations.
	processes  map[string][]*process
	drains     map[string]time.Time
	configs    []configuration
	violations []Violation
}

// configuration is a version of the configuration. ackedAt is zero until the store has acknowledged it.
type configuration struct {
	version       int
	sentAt        time.Time
	ackedAt       time.Time
	movingService string
	keys          map[string]string // workspace by key
	rates         map[string]int
}

func newHistory() *history {
	return &history{
		requests: map[string]*request{}, responses: map[string]response{}, runs: map[string][]*run{},
		processes: map[string][]*process{}, drains: map[string]time.Time{},
	}
}

func (h *history) addViolation(promise, id, format string, args ...any) {
	h.violations = append(h.violations, Violation{promise, id, fmt.Sprintf(format, args...)})
}

// recordCrash records a process that exited with an error without a signal to stop.
func (h *history) recordCrash(node string, code int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation("processes end only when they are told to", node, "exit code %d", code)
}

func (h *history) recordRequest(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.sentAt, r.incarnation = time.Now(), len(h.processes[r.node.name])
	if h.requests[r.ID] == nil {
		h.requests[r.ID] = r
	}
}

func (h *history) recordResponse(id string, got response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	got.at = time.Now()
	h.responses[id] = got
}

func (h *history) recordDrain(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.drains[instance]; !ok {
		h.drains[instance] = time.Now()
	}
}

// recordConfigSent records that a version is being sent. From now on nodes may use it.
func (h *history) recordConfigSent(version int, movingService string, keys map[string][]string, rates map[string]int) {
	c := configuration{version: version, sentAt: time.Now(), movingService: movingService, keys: map[string]string{}, rates: map[string]int{}}
	for workspace, list := range keys {
		for _, key := range list {
			c.keys[key] = workspace
		}
		c.rates[workspace] = rates[workspace]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, c)
}

// recordConfigAck records that the latest version has been acknowledged.
func (h *history) recordConfigAck() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs[len(h.configs)-1].ackedAt = time.Now()
}

// recordRun records the start of a run and checks the request that the upstream received.
func (h *history) recordRun(r *http.Request, id, instance string, u *upstream, body uint32) *run {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := &run{ID: id, Instance: instance, service: u.service, node: u.node.name, at: time.Now()}
	h.runs[id] = append(h.runs[id], result)
	sent := h.requests[id]
	if sent == nil {
		h.addViolation("upstreams run what was sent", id, "no client sent it")
		return result
	}
	result.Kind = sent.kind
	if r.URL.RequestURI() != sent.path || body != crc32.ChecksumIEEE(sent.body) {
		h.addViolation("upstreams run what was sent", id, "path %s or body differs from the request of the client", r.URL.RequestURI())
	}
	if r.Header.Get("Key") != "" {
		h.addViolation("no upstream sees a key", id, "the key was forwarded")
	}
	if got := r.Header.Get("Tenant-Id"); got != sent.workspace {
		h.addViolation("a request runs for the workspace of its key", id, "ran for workspace %q", got)
	}
	if got := r.Header.Get("Caller-Service"); got != sent.node.upstream.service {
		h.addViolation("the caller's service is that of its node", id, "ran for caller service %q", got)
	}
	return result
}

func (h *history) recordStatus(r *run, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.status = status
}

func (h *history) recordComplete(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.complete = true
}

func (h *history) statusCounts() map[int]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[int]int{}
	for _, got := range h.responses {
		counts[got.status]++
	}
	return counts
}

// check returns all violations, ordered by request.
func (h *history) check(b bounds) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, sent := range h.requests {
		h.checkResponse(sent, h.responses[id])
		h.checkRuns(b, sent, h.runs[id])
		h.checkAborted(sent, h.responses[id], h.runs[id])
	}
	h.checkStops(time.Now())
	h.checkRollback(b)
	h.checkQuota(b)
	slices.SortStableFunc(h.violations, func(a, b Violation) int { return strings.Compare(a.Request, b.Request) })
	return h.violations
}

// checkResponse compares the response to a client with the runs of the request.
func (h *history) checkResponse(sent *request, got response) {
	runs := h.runs[sent.ID]
	switch {
	case got.status >= http.StatusOK && got.status < http.StatusMultipleChoices:
		if got.id != sent.ID || !slices.ContainsFunc(runs, func(r *run) bool { return got.signature == signature(r.Instance, got.body) }) ||
			string(got.body) != string(responseBody(sent.ID)) {
			h.addViolation("a success is the whole answer to the caller's request", sent.ID, "id %q, signature %q, %d bytes", got.id, got.signature, len(got.body))
		}
	case meansNotRun(got.status) && sent.kind != idempotent && sent.kind != nested && len(runs) > 0:
		h.addViolation("a refusal that says not run is true", sent.ID, "status %d, and it ran at %s", got.status, runs[0].Instance)
	case got.signature != "" && !slices.ContainsFunc(runs, func(r *run) bool { return r.status == got.status }):
		h.addViolation("a signed failure is an upstream's", sent.ID, "status %d", got.status)
	}
}

func meansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRuns checks the number of runs of a request, and their times against drains and key withdrawals.
func (h *history) checkRuns(b bounds, sent *request, runs []*run) {
	if sent.kind == nonIdempotent && len(runs) > 1 {
		h.addViolation("a non-idempotent request runs at most once", sent.ID, "ran %d times", len(runs))
	}
	for _, r := range runs {
		if at, ok := h.drains[r.Instance]; ok && r.at.After(at.Add(b.Drain)) {
			h.addViolation("an upstream that leaves gets no new work", sent.ID, "ran at %s %v after the acknowledgement", r.Instance, r.at.Sub(at))
		}
	}
	if sent.key == "" || len(runs) == 0 {
		return
	}
	for i, c := range h.configs {
		if _, ok := c.keys[sent.key]; ok || i == 0 || c.ackedAt.IsZero() {
			continue
		}
		if _, before := h.configs[i-1].keys[sent.key]; before && sent.sentAt.After(c.ackedAt.Add(b.Withdrawal)) {
			h.addViolation("a withdrawn key stops working", sent.ID, "sent %v after version %d was acknowledged", sent.sentAt.Sub(c.ackedAt), c.version)
		}
	}
}

// checkRollback looks for processes that used a configuration older than one they had used before. They are
// detected by a request on the moving route that runs at a service which only older versions name.
func (h *history) checkRollback(b bounds) {
	type use struct {
		sent *request
		run  *run
		// version is the oldest version that explains the service.
		version int
	}
	processes := map[string][]use{}
	for id, runs := range h.runs {
		sent := h.requests[id]
		if sent == nil || !sent.movingRoute {
			continue
		}
		process := fmt.Sprintf("%s/%d", sent.node.name, sent.incarnation)
		for _, r := range runs {
			processes[process] = append(processes[process], use{sent: sent, run: r})
		}
	}
	for process, uses := range processes {
		sort.Slice(uses, func(i, j int) bool { return uses[i].run.at.Before(uses[j].run.at) })
		for i := range uses {
			u := &uses[i]
			used, by := 0, ""
			for _, earlier := range uses[:i] {
				if earlier.version > used && u.sent.sentAt.After(earlier.run.at.Add(b.Rollback)) {
					used, by = earlier.version, earlier.sent.ID
				}
			}
			var ok bool
			if u.version, ok = h.versionFrom(used, u.run.service, u.run.at); !ok {
				h.addViolation("a configuration never reverts", u.sent.ID, "%s used %s, sent after %s had used version %d", process, u.run.service, by, used)
			}
		}
	}
}

// versionFrom returns the oldest version since used that names the service for the moving route and was sent by
// the given time. A newer such version may not have been used, as a request may run long after its node has chosen
// the service.
func (h *history) versionFrom(used int, service string, at time.Time) (version int, ok bool) {
	for _, c := range h.configs {
		if c.version >= used && c.movingService == service && !c.sentAt.After(at) {
			return c.version, true
		}
	}
	return 0, false
}

// checkQuota compares the number of requests of each workspace that are both sent and run in one window, for every
// window that starts with a request, with the limit at the highest rate configured during the run.
func (h *history) checkQuota(b bounds) {
	type use struct{ sent, run time.Time }
	uses := map[string][]use{}
	for id, list := range h.runs {
		if sent := h.requests[id]; sent != nil && sent.workspace != "" {
			uses[sent.workspace] = append(uses[sent.workspace], use{sent.sentAt, list[0].at})
		}
	}
	for workspace, list := range uses {
		rate := 0
		for _, c := range h.configs {
			rate = max(rate, c.rates[workspace])
		}
		limit := (float64(rate)*b.QuotaWindow.Seconds()+float64(rate))*(1+b.QuotaOver) + b.QuotaSlack
		peak := 0
		for _, first := range list {
			end := first.sent.Add(b.QuotaWindow)
			count := 0
			for _, u := range list {
				if !u.sent.Before(first.sent) && u.run.Before(end) {
					count++
				}
			}
			peak = max(peak, count)
		}
		if float64(peak) > limit {
			h.addViolation("no workspace gets more than its rate", workspace, "%d in %v, limit %.0f", peak, b.QuotaWindow, limit)
		}
	}
}
