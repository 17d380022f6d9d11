package faultmatrix

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/keys"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	"github.com/cowslipglade/cowslipglade/requestid"
)

// Times of the workload and the faults.
const (
	faultsFrom       = time.Second
	drainAt          = 1200 * time.Millisecond
	handOverAt       = 1350 * time.Millisecond
	killDrainedAt    = 2 * time.Second
	restartDrainedAt = 2200 * time.Millisecond
	// withinRateFrom is when demand has fallen below the rate, so that the workload must make progress.
	withinRateFrom = 4200 * time.Millisecond
	// lastSendAt is when the last requests and changes are sent, so that their outcomes are known at the end.
	lastSendAt = 5400 * time.Millisecond
	endAt      = 6300 * time.Millisecond

	restartDelay         = time.Second
	replacementDelay     = 150 * time.Millisecond
	freezeDuration       = 1600 * time.Millisecond
	partitionDuration    = 1200 * time.Millisecond
	outageDuration       = 1500 * time.Millisecond
	slowDuration         = time.Second
	messageFaultDuration = 800 * time.Millisecond
	withdrawalDeadline   = 1500 * time.Millisecond
)

const (
	clientName = "client"
	// minSuccessRatio is the fraction of requests that must succeed once demand is within the rate. It leaves
	// room for tokens that were granted to other nodes in advance.
	minSuccessRatio = 0.5
	// minRequestsPerNode is the number of requests from which a node must have a success. Fewer requests
	// may all reach a shard without tokens.
	minRequestsPerNode = 4
)

var (
	domains = []string{"a", "b", "c"}
	// nodeNames orders the nodes so that neighbors are in different failure domains.
	nodeNames = []string{"a0", "b0", "c1", "b1"}
)

func domainOf(name string) string { return name[:1] }

func serviceOf(name string) string {
	if strings.HasSuffix(name, "0") {
		return serviceFront
	}
	return serviceBack
}

// workspaces lists the workspaces of the workload. The demand of "many" exceeds its rate until shortly
// before withinRateFrom.
var workspaces = []config.Workspace{
	{Name: "many", Rate: 14, Burst: 30, Weight: 1},
	{Name: "few", Rate: 10, Burst: 12, Weight: 1},
}

// apiKeys lists the API keys with their workspaces. The fault KeyWithdrawn withdraws "many-2".
var apiKeys = []struct{ name, workspace string }{{"many-1", "many"}, {"many-2", "many"}, {"few-1", "few"}}

var withdrawnKeyHash = keys.Hash("many-2")

// request is one request of a caller and its recorded outcome.
type request struct {
	name       string
	workspace  string
	keyHash    string
	idempotent bool
	hasChild   bool
	id         requestid.ID
	entry      string
	sentAt     time.Duration

	presented, resolved       int
	reportedNotRun            bool
	executions, extraAttempts int
	// reservedTokens is the number of retry tokens that its root calls have reserved and not returned.
	reservedTokens int
	succeeded      bool
}

// configWrite is one configuration change and its recorded outcome.
type configWrite struct {
	change   config.Change
	pair     int
	accepted bool
	refused  bool
	revision int64
	sentAt   time.Duration
}

// tokenBucket models the rate limit of a workspace over all nodes.
type tokenBucket struct {
	quota ratelimit.Quota
	level float64
	at    time.Time
}

// simulation is the state of a running cell.
type simulation struct {
	*eventLoop
	cell      Cell
	mutations Mutations
	store     *kvstore.Memory
	client    *process

	processes           map[string]*process
	incarnations        uint64
	minRevisions        map[string]int64
	peersPartitioned    map[string]bool
	domainsPartitioned  map[string]bool
	platformPartitioned map[string]bool
	slow                bool
	messageFaults       map[string][]*messageFault
	stepsToSkip         int
	injected            bool
	faultsEndAt         time.Duration
	withdrawnAt         time.Duration
	// race is a concurrent commit that runs just before the next log entry is written.
	race func()

	calls, rootCalls, extraAttempts int
	requests                        []*request
	configWrites                    []*configWrite
	buckets                         map[string]*tokenBucket
	// documents holds a digest of each revision, which must be equal at all nodes.
	documents  map[int64]uint64
	violations []Violation
	// falseNotRun holds the refusals that reported "not run" for a request that had run.
	falseNotRun map[*call.Refusal]bool
}

// RunCell runs one cell without the mechanisms that the mutations disable.
func RunCell(cell Cell, mutations Mutations) Result {
	sim := newSimulation(cell, mutations)
	sim.bootstrap()
	sim.startWorkload()
	sim.runUntil(endAt)
	sim.checkEnd()
	result := Result{Cell: cell, Violations: sim.violations, trace: sim.trace}
	for _, r := range sim.requests {
		if r.succeeded {
			result.Succeeded++
		}
		if r.executions > 0 {
			result.Executed++
		}
	}
	return result
}

func newSimulation(cell Cell, mutations Mutations) *simulation {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cell.String()))
	sim := &simulation{
		eventLoop: newEventLoop(h.Sum64()), cell: cell, mutations: mutations, processes: map[string]*process{}, minRevisions: map[string]int64{},
		peersPartitioned: map[string]bool{}, domainsPartitioned: map[string]bool{}, platformPartitioned: map[string]bool{},
		messageFaults: map[string][]*messageFault{}, buckets: map[string]*tokenBucket{}, documents: map[int64]uint64{},
		falseNotRun: map[*call.Refusal]bool{},
	}
	sim.store = kvstore.NewMemory(func() time.Time { return sim.now })
	sim.client = &process{sim: sim, name: clientName, alive: true, pending: map[connection][]*pendingCall{}}
	sim.processes[clientName] = sim.client
	if cell.Step != HandOver && cell.Step != Drain {
		sim.stepsToSkip = int(cell.Seed*7) % 5
	}
	for _, workspace := range workspaces {
		quota := ratelimit.Quota{Rate: workspace.Rate, Burst: workspace.Burst}
		sim.buckets[workspace.Name] = &tokenBucket{quota: quota, level: float64(quota.Burst), at: sim.now}
	}
	return sim
}

func (sim *simulation) bootstrap() {
	document := config.NewDocument()
	write := func(change config.Change) {
		change.ID, change.Actor = fmt.Sprintf("boot-%d", document.Revision), "operator"
		next, _, err := config.Writer{Store: sim.store}.Commit(context.Background(), document, change)
		if err != nil {
			sim.violate(Progress, "bootstrap: %v", err)
			return
		}
		document = next
	}
	for i := range workspaces {
		write(config.Change{Kind: config.PutWorkspace, Workspace: &workspaces[i]})
	}
	for _, k := range apiKeys {
		write(config.Change{Kind: config.PutKey, Key: &config.Key{ID: k.name, Workspace: k.workspace, SHA256: keys.Hash(k.name)}})
	}
	for _, name := range nodeNames {
		sim.startProcess(name, 0)
	}
}

func (sim *simulation) startProcess(name string, minRevision int64) {
	sim.incarnations++
	p := sim.newProcess(name, sim.incarnations)
	sim.processes[name] = p
	p.replica.RaiseMinRevision(minRevision)
	sim.logf("%s starts as incarnation %d", name, p.incarnation)
	p.poll()
	p.gossip()
	p.tick()
	p.after(sim.jitter(300*time.Millisecond, 500*time.Millisecond), p.maintainShards)
	p.after(sim.jitter(0, 500*time.Millisecond), p.recordWithdrawals)
}

func (sim *simulation) startWorkload() {
	sim.after(faultsFrom/2, sim.requestAsMany)
	sim.after(faultsFrom/2, sim.requestAsFew)
	sim.after(faultsFrom/2, sim.writePair)
	// Odd seeds drain an upstream of the back service, which other upstreams call; even seeds one of the front
	// service, which receives the requests of callers.
	drained := "b1"
	if sim.cell.Seed%2 == 0 {
		drained = "b0"
	}
	sim.after(drainAt, func() {
		p := sim.processes[drained]
		p.exec(func() { p.reachStep(Drain, p.setDraining) })
		sim.after(handOverAt-drainAt, func() { p.exec(p.stopGracefully) })
		sim.after(killDrainedAt-drainAt, func() { sim.kill(p) })
		sim.after(restartDrainedAt-drainAt, func() {
			if sim.processes[drained] == p {
				sim.startProcess(drained, p.highestRevision)
			}
		})
	})
}

func (sim *simulation) requestAsMany() {
	if sim.elapsed() > lastSendAt {
		return
	}
	key := apiKeys[sim.random.IntN(2)].name
	if sim.elapsed() > withinRateFrom {
		key = apiKeys[0].name
	}
	sim.newRequest(key, "many")
	pause := 30 * time.Millisecond
	if sim.elapsed() > withinRateFrom-800*time.Millisecond {
		pause = 80 * time.Millisecond
	}
	sim.after(sim.jitter(pause/2, pause*3/2), sim.requestAsMany)
}

func (sim *simulation) requestAsFew() {
	if sim.elapsed() > lastSendAt {
		return
	}
	sim.newRequest(apiKeys[2].name, "few")
	sim.after(sim.jitter(100*time.Millisecond, 300*time.Millisecond), sim.requestAsFew)
}

func (sim *simulation) newRequest(key, workspace string) {
	n := len(sim.requests)
	r := &request{
		name: fmt.Sprintf("r%d", n), workspace: workspace, keyHash: keys.Hash(key), idempotent: n%2 == 0, hasChild: n%4 == 0,
		entry: nodeNames[n/2%len(nodeNames)], sentAt: sim.elapsed(),
	}
	sim.requests = append(sim.requests, r)
	if r.idempotent {
		sim.present(r, r.entry)
		return
	}
	home := nodeNames[sim.random.IntN(len(nodeNames))]
	sim.client.rpc(home, kindIssue, requestTimeout, func(q *process, respond func(any)) {
		respond(q.issuer.Issue(q.now(), workspace))
	}, func(payload any, err sendError) {
		if err == delivered {
			r.id = payload.(requestid.ID)
			sim.present(r, r.entry)
		}
	})
}

// present sends a request to an entry node. A non-idempotent request that is refused or gets no response
// is presented again at a random node, up to four times in total.
func (sim *simulation) present(r *request, entry string) {
	r.presented++
	r.reportedNotRun = false
	again := func() {
		if !r.idempotent && r.presented < 4 {
			sim.client.after(sim.jitter(50*time.Millisecond, 400*time.Millisecond), func() {
				sim.present(r, nodeNames[sim.random.IntN(len(nodeNames))])
			})
		}
	}
	sim.client.rpc(entry, kindRequest, 2*requestTimeout, func(q *process, respond func(any)) {
		q.admit(r, func(result any) {
			sim.checkRefusal(r, q, result)
			respond(result)
		})
	}, func(payload any, err sendError) {
		switch result := payload.(type) {
		case *upstreamResponse:
			r.resolved++
			r.succeeded = true
			if want := newUpstreamResponse(r); result.body != want.body {
				sim.violate(OwnResponse, "%s got response %q", r.name, result.body)
			}
		case *call.Refusal:
			r.resolved++
			sim.recordRefusal(r, result)
			again()
		default:
			if err == notSent {
				r.resolved++
			}
			again()
		}
	})
}

// checkRefusal records a wrong "not run" outcome when the refusal leaves the entry node. It counts as a
// violation only if the caller receives it: a caller that has timed out and presented its request again
// ignores the refusal.
func (sim *simulation) checkRefusal(r *request, p *process, result any) {
	refusal, ok := result.(*call.Refusal)
	if !ok {
		return
	}
	sim.logf("%s refuses %s: %v", p.name, r.name, refusal)
	if refusal.Outcome == call.NotRun && r.executions > 0 {
		sim.falseNotRun[refusal] = true
	}
}

// recordRefusal reports a wrong "not run", and records a "not run" that covers every presentation, after
// which the request must not run.
func (sim *simulation) recordRefusal(r *request, refusal *call.Refusal) {
	if sim.falseNotRun[refusal] {
		sim.violate(NotRunIsAccurate, "%s has run and is refused with %v", r.name, refusal)
	}
	if refusal.Outcome == call.NotRun && r.resolved == r.presented {
		r.reportedNotRun = true
	}
}

// recordExecution counts and checks the start of a call at an upstream.
func (sim *simulation) recordExecution(p *process, a *arrivedCall) {
	r := a.call.request
	sim.logf("%s runs %s (%s, attempt %s)", p.name, r.name, p.service, a.call.id)
	if p.draining && a.Arrived.After(p.drainedAt) {
		sim.violate(DrainStops, "%s runs %s, which arrived after its drain had started", p.name, r.name)
	}
	if p.knownWithdrawn[r.keyHash] {
		sim.violate(WithdrawnKeyStops, "%s runs %s although it knows that its key is withdrawn", p.name, r.name)
	}
	if r.keyHash == withdrawnKeyHash && sim.withdrawnAt > 0 && sim.elapsed() > max(sim.withdrawnAt, sim.faultsEndAt)+withdrawalDeadline {
		sim.violate(WithdrawnKeyStops, "%s runs %s more than the propagation deadline after the withdrawal", p.name, r.name)
	}
	if r.reportedNotRun {
		sim.violate(NotRunIsAccurate, "%s runs %s after it was refused as not run", p.name, r.name)
	}
	if p.service == serviceBack {
		return
	}
	r.executions++
	if r.executions > 1 && !r.idempotent {
		sim.violate(AtMostOnce, "%s runs %s, execution %d", p.name, r.name, r.executions)
	}
}

// checkBudgetReturn checks that a root call that returns its remaining retry tokens has paid for its extra
// attempts.
func (sim *simulation) checkBudgetReturn(r *request, remaining int) {
	r.reservedTokens -= remaining
	if r.extraAttempts > r.reservedTokens {
		sim.violate(RetryBound, "%s made %d extra attempts but returns all but %d retry tokens", r.name, r.extraAttempts, r.reservedTokens)
	}
}

// recordAttempt counts and checks the extra attempts of a request over its entire call tree.
func (sim *simulation) recordAttempt(r *request, service string, number int) {
	if number <= 1 {
		return
	}
	sim.extraAttempts++
	r.extraAttempts++
	sim.logf("extra attempt %d of %s at %s", r.extraAttempts, r.name, service)
	if r.extraAttempts > r.reservedTokens {
		sim.violate(RetryBound, "%s makes %d extra attempts but reserved %d retry tokens", r.name, r.extraAttempts, r.reservedTokens)
	}
	if float64(sim.extraAttempts) > retryRatio*float64(sim.rootCalls)+1e-6 {
		sim.violate(RetryBound, "%d extra attempts for %d requests", sim.extraAttempts, sim.rootCalls)
	}
}

// checkRateBound checks the rate bound over every window that ends now.
func (sim *simulation) checkRateBound(workspace string) {
	b := sim.buckets[workspace]
	b.level = min(float64(b.quota.Burst), b.level+b.quota.Rate*sim.now.Sub(b.at).Seconds())
	b.at = sim.now
	b.level--
	if b.level < -1e-6 {
		sim.violate(RateBound, "workspace %s is %.2f tokens above burst + rate*w", workspace, -b.level)
		b.level = 0
	}
}

// checkRevision checks that the revision of a process never decreases and that a revision has the same
// content at all nodes.
func (sim *simulation) checkRevision(p *process) {
	revision := p.replica.Revision()
	if revision < p.highestRevision {
		sim.violate(ConfigConsistent, "%s reverts from revision %d to %d", p.name, p.highestRevision, revision)
	}
	if revision <= p.highestRevision {
		return
	}
	p.highestRevision = revision
	document := p.replica.Document()
	h := fnv.New64a()
	for _, recent := range document.Recent {
		_, _ = fmt.Fprintf(h, "%s@%d ", recent.ID, recent.Revision)
	}
	if known, ok := sim.documents[revision]; ok && known != h.Sum64() {
		sim.violate(ConfigConsistent, "%s has different content for revision %d than other nodes", p.name, revision)
	}
	sim.documents[revision] = h.Sum64()
}

// writePair sends two conflicting changes of a new object to two nodes. For a random half of the pairs, the
// second change is committed between the read and the write of the first.
func (sim *simulation) writePair() {
	if sim.elapsed() > lastSendAt-200*time.Millisecond {
		return
	}
	pair := len(sim.configWrites) / 2
	for i := range 2 {
		workspace := &config.Workspace{Name: fmt.Sprintf("pair-%d", pair), Rate: 1, Burst: int64(i + 1), Weight: 1}
		change := config.Change{ID: fmt.Sprintf("pair-%d-%d", pair, i), Actor: "operator", Kind: config.PutWorkspace, Workspace: workspace}
		sim.configWrites = append(sim.configWrites, &configWrite{change: change, pair: pair, sentAt: sim.elapsed()})
	}
	first, second := sim.configWrites[2*pair], sim.configWrites[2*pair+1]
	nodes := sim.random.Perm(len(nodeNames))
	if sim.random.IntN(2) == 0 {
		sim.submit(second, nodeNames[nodes[1]])
	} else {
		sim.race = func() { sim.raceWith(second, sim.processes[nodeNames[nodes[1]]]) }
		sim.after(600*time.Millisecond, func() { sim.raceMissed(second) })
	}
	sim.submit(first, nodeNames[nodes[0]])
	sim.after(sim.jitter(400*time.Millisecond, 600*time.Millisecond), sim.writePair)
}

func (sim *simulation) raceWith(second *configWrite, q *process) {
	document := q.replica.Document()
	result := q.write(platformView{sim.store, q}, document, second.change)
	q.exec(func() { q.applyCommit(result) })
	sim.recordOutcome(second, result)
}

// raceMissed sends the second change of a pair if the first writer has not written in time to race with it.
func (sim *simulation) raceMissed(second *configWrite) {
	if !second.accepted && !second.refused {
		sim.submit(second, nodeNames[sim.random.IntN(len(nodeNames))])
	}
}

func (sim *simulation) submit(write *configWrite, node string) {
	sim.client.rpc(node, kindCommit, 2*requestTimeout, func(q *process, respond func(any)) {
		if q.replica.Ready() != nil || q.replica.Revision() == 0 {
			respond(commitResult{err: config.ErrUnavailable})
			return
		}
		q.commit(write.change, func(result commitResult) { respond(result) })
	}, func(payload any, err sendError) {
		result, ok := payload.(commitResult)
		if !ok {
			result.err = config.ErrUnavailable
			if err == lost {
				result.err = config.ErrUnknownOutcome
			}
		}
		sim.recordOutcome(write, result)
	})
}

// recordOutcome records the result of a write. It resends a change under the same id until the change is
// accepted or refused.
func (sim *simulation) recordOutcome(write *configWrite, result commitResult) {
	var conflict *config.ConflictError
	switch {
	case result.err == nil:
		write.accepted, write.revision = true, result.Revision
	case errors.Is(result.err, config.ErrUnknownOutcome) && sim.mutations.AcceptUnknownOutcome:
		write.accepted = true
	case errors.As(result.err, &conflict):
		write.refused = true
	default:
		sim.client.after(sim.jitter(100*time.Millisecond, 300*time.Millisecond), func() {
			sim.submit(write, nodeNames[sim.random.IntN(len(nodeNames))])
		})
	}
	sim.logf("change %s: revision %d, %v", write.change.ID, result.Revision, result.err)
	if write.accepted && write.refused {
		sim.violate(OneWriterWins, "change %s was accepted and refused", write.change.ID)
	}
}

func (sim *simulation) violate(invariant Invariant, format string, args ...any) {
	v := Violation{At: sim.elapsed(), Invariant: invariant, Detail: fmt.Sprintf(format, args...)}
	sim.logf("VIOLATION %s: %s", v.Invariant, v.Detail)
	sim.violations = append(sim.violations, v)
}

func (sim *simulation) checkEnd() {
	if !sim.injected {
		sim.violate(StepReached, "step %s was not reached", sim.cell.Step)
	}
	sim.checkChanges()
	sim.checkProgress()
	for _, name := range nodeNames {
		p := sim.processes[name]
		if sim.withdrawnAt > 0 && !p.withdrawn(withdrawnKeyHash) {
			sim.violate(WithdrawnKeyStops, "%s does not know of the withdrawal", name)
		}
	}
}

func (sim *simulation) checkChanges() {
	document, err := config.Reader{Store: sim.store}.Load(context.Background())
	if err != nil {
		sim.violate(ConfigConsistent, "loading the configuration from the store: %v", err)
		return
	}
	acceptedInPair := map[int]int{}
	for _, write := range sim.configWrites {
		if !write.accepted {
			continue
		}
		acceptedInPair[write.pair]++
		revision, found := document.CommittedRevision(write.change.ID)
		if !found || write.revision != 0 && revision != write.revision {
			sim.violate(ConfigConsistent, "accepted change %s is at revision %d instead of %d", write.change.ID, revision, write.revision)
		}
	}
	for i, write := range sim.configWrites {
		if i%2 == 0 && acceptedInPair[write.pair] != 1 {
			sim.violate(OneWriterWins, "%d changes of pair %d were accepted", acceptedInPair[write.pair], write.pair)
		}
	}
	for _, name := range nodeNames {
		if revision := sim.processes[name].replica.Revision(); revision != document.Revision {
			sim.violate(ConfigConsistent, "%s ends at revision %d instead of %d", name, revision, document.Revision)
		}
	}
}

func (sim *simulation) checkProgress() {
	sent, succeeded := map[string]int{}, map[string]int{}
	for _, r := range sim.requests {
		if r.sentAt < withinRateFrom || r.keyHash == withdrawnKeyHash {
			continue
		}
		sent[r.entry]++
		if r.succeeded {
			succeeded[r.entry]++
		}
	}
	allSent, allSucceeded := 0, 0
	for _, name := range nodeNames {
		allSent += sent[name]
		allSucceeded += succeeded[name]
		if succeeded[name] == 0 && sent[name] >= minRequestsPerNode {
			sim.violate(Progress, "%s serves none of %d requests successfully at the end", name, sent[name])
		}
	}
	if float64(allSucceeded) < minSuccessRatio*float64(allSent) {
		sim.violate(Progress, "%d of %d requests succeed at the end", allSucceeded, allSent)
	}
	if !slices.ContainsFunc(sim.configWrites, func(c *configWrite) bool { return c.sentAt > withinRateFrom && c.accepted }) {
		sim.violate(Progress, "no change is accepted at the end")
	}
}
