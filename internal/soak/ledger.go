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

// kind is what a request allows.
type kind int

const (
	read kind = iota
	once
	inner
)

// request is one attempt of a client.
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
	// moved tells that the route is the one that moves between services.
	moved bool
}

// run is a request that an upstream has begun.
type run struct {
	ID       string
	Kind     kind
	Instance string
	service  string
	at       time.Time
	status   int
	// node is the upstream's, and whole tells that the upstream has sent all of its answer.
	node  string
	whole bool
}

// reply is what a client got; status 0 is a connection that ended without a whole answer.
type reply struct {
	status    int
	id        string
	signature string
	body      []byte
	at        time.Time
	// left means that the client gave up, and begun that an answer came in part.
	left, begun bool
}

// Violation is a broken promise.
type Violation struct {
	Promise string
	Request string
	Detail  string
}

// promises are the bounds that are checked.
type promises struct {
	Drain, Withdrawal, Rollback, QuotaWindow time.Duration
	QuotaOver, QuotaSlack                    float64
}

// ledger records what callers and upstreams see. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	replies  map[string]reply
	runs     map[string][]*run
	// processes are those of each node, in the order of their incarnations.
	processes map[string][]*process
	drains    map[string]time.Time
	configs   []configuration
	// found are violations that are seen at once.
	found []Violation
}

// configuration is a version with the times of its sending and of its acknowledgement, zero before that.
type configuration struct {
	version int
	begun   time.Time
	ackedAt time.Time
	moved   string
	keys    map[string]string // workspace by key
	rates   map[string]int
}

func newLedger() *ledger {
	return &ledger{
		requests: map[string]*request{}, replies: map[string]reply{}, runs: map[string][]*run{},
		processes: map[string][]*process{}, drains: map[string]time.Time{},
	}
}

func (l *ledger) violate(promise, id, format string, args ...any) {
	l.found = append(l.found, Violation{promise, id, fmt.Sprintf(format, args...)})
}

// exited notes that a process has ended by itself with an error.
func (l *ledger) exited(node string, code int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate("processes end only when they are told to", node, "exit code %d", code)
}

func (l *ledger) sent(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sentAt, r.incarnation = time.Now(), len(l.processes[r.node.name])
	if l.requests[r.ID] == nil {
		l.requests[r.ID] = r
	}
}

func (l *ledger) answered(id string, got reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	got.at = time.Now()
	l.replies[id] = got
}

func (l *ledger) drained(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.drains[instance]; !ok {
		l.drains[instance] = time.Now()
	}
}

// configuring notes that a version is sent, from when on it may be in force.
func (l *ledger) configuring(version int, moved string, keys map[string][]string, rates map[string]int) {
	c := configuration{version: version, begun: time.Now(), moved: moved, keys: map[string]string{}, rates: map[string]int{}}
	for workspace, list := range keys {
		for _, key := range list {
			c.keys[key] = workspace
		}
		c.rates[workspace] = rates[workspace]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, c)
}

// configured notes that the newest version has been acknowledged.
func (l *ledger) configured() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs[len(l.configs)-1].ackedAt = time.Now()
}

// ran records the begin of a run and checks what the upstream was sent.
func (l *ledger) ran(r *http.Request, id, instance string, u *upstream, body uint32) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := &run{ID: id, Instance: instance, service: u.service, node: u.node.name, at: time.Now()}
	l.runs[id] = append(l.runs[id], result)
	sent := l.requests[id]
	if sent == nil {
		l.violate("upstreams run what was sent", id, "no client sent it")
		return result
	}
	result.Kind = sent.kind
	if r.URL.RequestURI() != sent.path || body != crc32.ChecksumIEEE(sent.body) {
		l.violate("upstreams run what was sent", id, "path %s or body differ from what was sent", r.URL.RequestURI())
	}
	if r.Header.Get("Key") != "" {
		l.violate("no upstream sees a key", id, "key was passed on")
	}
	if got := r.Header.Get("Tenant-Id"); got != sent.workspace {
		l.violate("a request runs for the workspace of its key", id, "ran for %q", got)
	}
	if got := r.Header.Get("Caller-Service"); got != sent.node.upstream.service {
		l.violate("the caller's service is that of its node", id, "ran for %q", got)
	}
	return result
}

func (l *ledger) ended(r *run, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status = status
}

func (l *ledger) wholeSent(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.whole = true
}

func (l *ledger) statuses() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[int]int{}
	for _, got := range l.replies {
		counts[got.status]++
	}
	return counts
}

// check returns all broken promises, those of a request in the order of their ids.
func (l *ledger) check(p promises) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, sent := range l.requests {
		l.checkReply(sent, l.replies[id])
		l.checkRuns(p, sent, l.runs[id])
		l.checkCut(sent, l.replies[id], l.runs[id])
	}
	l.checkStops(time.Now())
	l.checkRollback(p)
	l.checkQuota(p)
	slices.SortStableFunc(l.found, func(a, b Violation) int { return strings.Compare(a.Request, b.Request) })
	return l.found
}

// checkReply compares what a client was told with what has run.
func (l *ledger) checkReply(sent *request, got reply) {
	runs := l.runs[sent.ID]
	switch {
	case got.status >= http.StatusOK && got.status < http.StatusMultipleChoices:
		if got.id != sent.ID || !slices.ContainsFunc(runs, func(r *run) bool { return got.signature == signature(r.Instance, got.body) }) ||
			string(got.body) != string(answerBody(sent.ID)) {
			l.violate("a success is the whole answer to the caller's request", sent.ID, "id %q, signature %q, %d bytes", got.id, got.signature, len(got.body))
		}
	case promisesNotRun(got.status) && sent.kind != read && sent.kind != inner && len(runs) > 0:
		l.violate("a refusal that says not run is true", sent.ID, "status %d, and it ran at %s", got.status, runs[0].Instance)
	case got.signature != "" && !slices.ContainsFunc(runs, func(r *run) bool { return r.status == got.status }):
		l.violate("a signed failure is an upstream's", sent.ID, "status %d", got.status)
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRuns checks number and time of a request's runs.
func (l *ledger) checkRuns(p promises, sent *request, runs []*run) {
	if sent.kind == once && len(runs) > 1 {
		l.violate("a non-idempotent request runs at most once", sent.ID, "ran %d times", len(runs))
	}
	for _, r := range runs {
		if at, ok := l.drains[r.Instance]; ok && r.at.After(at.Add(p.Drain)) {
			l.violate("an upstream that leaves gets no new work", sent.ID, "ran at %s %v after the acknowledgement", r.Instance, r.at.Sub(at))
		}
	}
	if sent.key == "" || len(runs) == 0 {
		return
	}
	for i, c := range l.configs {
		if _, ok := c.keys[sent.key]; ok || i == 0 || c.ackedAt.IsZero() {
			continue
		}
		if _, before := l.configs[i-1].keys[sent.key]; before && sent.sentAt.After(c.ackedAt.Add(p.Withdrawal)) {
			l.violate("a withdrawn key stops working", sent.ID, "sent %v after version %d was acknowledged", sent.sentAt.Sub(c.ackedAt), c.version)
		}
	}
}

// checkRollback looks for processes that used a configuration older than one they had used before: the moving
// route went back to a service that only older versions name.
func (l *ledger) checkRollback(p promises) {
	type use struct {
		sent *request
		run  *run
		// version is the oldest that the process must have used.
		version int
	}
	processes := map[string][]use{}
	for id, runs := range l.runs {
		sent := l.requests[id]
		if sent == nil || !sent.moved {
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
				if earlier.version > used && u.sent.sentAt.After(earlier.run.at.Add(p.Rollback)) {
					used, by = earlier.version, earlier.sent.ID
				}
			}
			var ok bool
			if u.version, ok = l.versionFrom(used, u.run.service, u.run.at); !ok {
				l.violate("a configuration never reverts", u.sent.ID, "%s used %s, sent after %s had used version %d", process, u.run.service, by, used)
			}
		}
	}
}

// versionFrom returns the oldest version, not before one that was used, that names a service for the moving route and
// was sent by a time. A request may run long after its node has chosen the service, so a newer one proves nothing.
func (l *ledger) versionFrom(used int, service string, at time.Time) (version int, ok bool) {
	for _, c := range l.configs {
		if c.version >= used && c.moved == service && !c.begun.After(at) {
			return c.version, true
		}
	}
	return 0, false
}

// checkQuota counts the requests of each workspace that are both sent and run in a window, for every window,
// against the highest rate that was in force.
func (l *ledger) checkQuota(p promises) {
	type use struct{ sent, run time.Time }
	uses := map[string][]use{}
	for id, list := range l.runs {
		if sent := l.requests[id]; sent != nil && sent.workspace != "" {
			uses[sent.workspace] = append(uses[sent.workspace], use{sent.sentAt, list[0].at})
		}
	}
	for workspace, list := range uses {
		rate := 0
		for _, c := range l.configs {
			rate = max(rate, c.rates[workspace])
		}
		limit := (float64(rate)*p.QuotaWindow.Seconds()+float64(rate))*(1+p.QuotaOver) + p.QuotaSlack
		most := 0
		for _, first := range list {
			end := first.sent.Add(p.QuotaWindow)
			count := 0
			for _, u := range list {
				if !u.sent.Before(first.sent) && u.run.Before(end) {
					count++
				}
			}
			most = max(most, count)
		}
		if float64(most) > limit {
			l.violate("no workspace gets more than its rate", workspace, "%d in %v, limit %.0f", most, p.QuotaWindow, limit)
		}
	}
}
