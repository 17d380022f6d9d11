// Package admission decides which calls run at an upstream, which wait and which are refused. It is
// the work queue of a destination node; there is one Queue per upstream.
//
// A Limiter bounds the number of running calls, up to the slots that the upstream announced. Calls that
// find no free slot wait in a bounded queue. A free slot goes to critical work first, then to the
// workspace that has received the least service for its weight, and within it to the most important
// class. Service is accounted by start-time fair queueing with one flow per workspace over all classes,
// charged only while other work is queued. As in FQ-CoDel, work of a workspace and class whose queue does
// not empty for an interval is limited to the target delay of the class, so that sustained overload is
// refused early instead of building a standing queue. Less important classes are shed first. Optionally
// (LevelConfig), the queue delay also controls the rank from which calls are refused on arrival.
//
// Queue has no clock, goroutine, lock or random source. Gate wraps it for concurrent callers.
package admission

import (
	"slices"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

const (
	// serviceWeight is the weight of one call in the moving average of the service time.
	serviceWeight = 1.0 / 32
	// targetStarts is the minimum of a queue delay target in expected starts, so that a round of 8
	// workspaces fits into the target at an upstream with few slots.
	targetStarts = 8
	// maxLead bounds how much service above its share a workspace is charged for later.
	maxLead = time.Second
	// A class counts as not admitted if items were shed but none was started within admittedWindow.
	admittedWindow = 250 * time.Millisecond
	// overloadGap is the time without shedding after which a period of overload ends.
	overloadGap = time.Second
	// maxRoutes and maxFlows bound the memory for service time estimates and flows.
	maxRoutes = 256
	maxFlows  = 4096
)

// flow is the queued work of one workspace and its fair queueing state.
type flow struct {
	workspace string
	weight    float64
	// startTag is the virtual start time of the next item of the workspace.
	startTag float64
	lists    [call.ImportanceCount]list
	queued   int
	// index is the position in Queue.active, valid only while queued > 0.
	index int
}

// class is the state of one importance class.
type class struct {
	queued      int
	lastShed    time.Time
	lastStarted time.Time
}

// Queue is the admission state of one upstream. It is not safe for concurrent use.
type Queue struct {
	cfg      Config
	limiter  Limiter
	level    level
	pace     paceLevel
	draining bool
	inFlight int
	queued   int

	classes     [call.ImportanceCount]class
	flows       map[string]*flow
	active      []*flow
	virtualTime float64
	maxStartTag float64

	meanService  float64             // mean service time in seconds
	routeService map[string]*float64 // mean service time by route in seconds

	lastSweep     time.Time
	overloadSince time.Time
	lastShed      time.Time

	firstDecided, lastDecided *Work
}

// NewQueue returns an empty Queue. It returns an error if a field of cfg is invalid.
func NewQueue(cfg Config, limiter Limiter) (*Queue, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	limiter.SetSlots(cfg.Slots)
	return &Queue{
		cfg:          cfg,
		limiter:      limiter,
		level:        newLevel(cfg.Level),
		flows:        make(map[string]*flow),
		routeService: make(map[string]*float64),
	}, nil
}

// TryStart gives item a slot if one is free and nothing is queued, and reports whether it did. If not,
// pass the item to Offer.
func (q *Queue) TryStart(now time.Time, item *Item) bool {
	q.adjustLevelIfDue(now)
	if q.draining || q.queued > 0 || q.inFlight >= q.limiter.Limit() || expired(now, item.Deadline, 0) || q.level.sheds(now, item) || !q.mayStart(now) {
		return false
	}
	q.pace.arrive(item)
	q.level.offer(item)
	q.start(now, item.Importance, 0)
	return true
}

// Offer submits w and returns its state: Running, Queued or Refused. It may also start or refuse other
// items. NextDecided returns these, but w only if it was queued first.
func (q *Queue) Offer(now time.Time, w *Work) State {
	w.Arrived = now
	if int(w.Importance) >= call.ImportanceCount {
		w.Importance = call.Sheddable
	}
	q.sweepIfDue(now)
	if q.TryStart(now, &w.Item) {
		w.State = Running
		w.Started = now
		return w.State
	}
	if reason := q.arrivalRefusal(now, w); reason != NoReason {
		q.markRefused(now, w, reason)
		return w.State
	}
	q.enqueue(now, w)
	q.dispatch(now)
	return w.State
}

// arrivalRefusal returns why w must be refused, if so. It may evict another item from a full queue.
func (q *Queue) arrivalRefusal(now time.Time, w *Work) Reason {
	if q.draining {
		return Draining
	}
	q.pace.arrive(&w.Item)
	if q.level.sheds(now, &w.Item) {
		return RankShed
	}
	q.level.offer(&w.Item)
	wait := q.expectedWait(w)
	if expired(now, w.Deadline, wait+q.serviceTime(w.Route)) {
		return DeadlinePassed
	}
	if q.cfg.Order != AdaptiveLIFO && q.hasStandingQueue(now, q.flows[w.Workspace], w.Importance) &&
		wait > q.targetDelay(w.Importance) {
		q.shedBelow(now, w.Importance, w.Workspace)
		return QueueDelay
	}
	if q.queued >= q.cfg.queueBound() && !q.makeRoom(now, w) {
		return QueueFull
	}
	return NoReason
}

// expired reports whether the deadline is at or before now plus d.
func expired(now, deadline time.Time, d time.Duration) bool {
	return !deadline.IsZero() && !now.Add(d).Before(deadline)
}

// expectedWait estimates the queue delay of w from the work that is certain to run before it: all items
// of higher rank, and one round of all workspaces for each item queued ahead of w in its own workspace.
func (q *Queue) expectedWait(w *Work) time.Duration {
	ahead, sameRank, ownQueued := 0, 0, 0
	f := q.flows[w.Workspace]
	for c := range w.Importance + 1 {
		if q.rank(c) < q.rank(w.Importance) {
			ahead += q.classes[c].queued
			continue
		}
		sameRank += q.classes[c].queued
		if f != nil {
			ownQueued += f.lists[c].length
		}
	}
	ahead += min(sameRank, ownQueued*len(q.active))
	return time.Duration(ahead) * q.startInterval()
}

// rank returns the rank of a class across workspaces; 0 is the highest. Among items of equal rank, the
// shares of the workspaces decide.
func (q *Queue) rank(c call.Importance) call.Importance {
	if q.cfg.ShareFirst {
		return min(c, call.Normal)
	}
	return c
}

// startInterval returns the expected time between two starts while all slots are in use, or while starts are paced.
func (q *Queue) startInterval() time.Duration {
	return max(q.pace.interval, seconds(q.meanService/float64(q.limiter.Limit())))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serviceTime returns the mean service time of the route, or of all routes if the route has none.
func (q *Queue) serviceTime(route string) time.Duration {
	if mean := q.routeService[route]; mean != nil {
		return seconds(*mean)
	}
	return seconds(q.meanService)
}

// targetDelay returns the allowed queue delay of a class while it has a standing queue.
func (q *Queue) targetDelay(c call.Importance) time.Duration {
	target := q.cfg.Target[c]
	if q.cfg.TargetWork > 0 {
		target = seconds(q.cfg.TargetWork * q.meanService)
	}
	return max(target, targetStarts*q.startInterval())
}

// hasStandingQueue reports whether f has had queued items of the class for more than Config.Interval.
func (q *Queue) hasStandingQueue(now time.Time, f *flow, c call.Importance) bool {
	return f != nil && f.lists[c].length > 0 && now.Sub(f.lists[c].since) > q.cfg.Interval
}

// allowedDelay returns the queue delay above which an item of the flow and class is shed.
func (q *Queue) allowedDelay(now time.Time, f *flow, c call.Importance) time.Duration {
	if q.hasStandingQueue(now, f, c) {
		return q.targetDelay(c)
	}
	return q.cfg.Interval + q.targetDelay(c)
}

// makeRoom evicts an item from the full queue in favor of w: one of the least important class, and in it
// of the workspace with the most queued items for its weight. It reports false if w itself would be the
// item to evict.
func (q *Queue) makeRoom(now time.Time, w *Work) bool {
	least := q.leastQueued()
	if w.Importance > least {
		return false
	}
	var longest *flow
	maxBacklog := 0.0
	for _, f := range q.active {
		if backlog := float64(f.lists[least].length) / f.weight; backlog > maxBacklog {
			longest, maxBacklog = f, backlog
		}
	}
	if longest == nil {
		return false
	}
	if w.Importance == least {
		ownLength := 1.0
		if f := q.flows[w.Workspace]; f != nil {
			ownLength += float64(f.lists[least].length)
		}
		if ownLength/weightOf(&w.Item) >= maxBacklog {
			return false
		}
	}
	q.refuse(now, q.lastItem(now, longest, least), Evicted)
	return true
}

// leastQueued returns the least important class with queued work, or Critical if nothing is queued.
func (q *Queue) leastQueued() call.Importance {
	for c := call.Sheddable; c > call.Critical; c-- {
		if q.classes[c].queued > 0 {
			return c
		}
	}
	return call.Critical
}

func weightOf(item *Item) float64 {
	if item.Weight <= 0 {
		return 1
	}
	return item.Weight
}

// newestFirst reports whether the newest item of the flow and class currently runs first.
func (q *Queue) newestFirst(now time.Time, f *flow, c call.Importance) bool {
	return q.cfg.Order == AdaptiveLIFO && q.hasStandingQueue(now, f, c)
}

// nextItem returns the item of the flow and class that runs next.
func (q *Queue) nextItem(now time.Time, f *flow, c call.Importance) *Work {
	if q.newestFirst(now, f, c) {
		return f.lists[c].tail
	}
	return f.lists[c].head
}

// lastItem returns the item of the flow and class that would run last.
func (q *Queue) lastItem(now time.Time, f *flow, c call.Importance) *Work {
	if q.newestFirst(now, f, c) {
		return f.lists[c].head
	}
	return f.lists[c].tail
}

func (q *Queue) enqueue(now time.Time, w *Work) {
	f := q.flowOf(&w.Item)
	if f.queued == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		f.index = len(q.active)
		q.active = append(q.active, f)
	}
	w.flow = f
	w.State = Queued
	l := &f.lists[w.Importance]
	if l.length == 0 {
		l.since = now
	}
	if q.cfg.Order == EDF {
		l.insertByDeadline(w)
	} else {
		l.insertAfter(w, l.tail)
	}
	f.queued++
	q.queued++
	q.classes[w.Importance].queued++
}

func (q *Queue) flowOf(item *Item) *flow {
	f := q.flows[item.Workspace]
	if f == nil {
		if len(q.flows) >= maxFlows {
			q.pruneFlows()
		}
		f = &flow{workspace: item.Workspace}
		q.flows[item.Workspace] = f
	}
	f.weight = weightOf(item)
	return f
}

// pruneFlows removes the flows without queued work.
func (q *Queue) pruneFlows() {
	for name, f := range q.flows {
		if f.queued == 0 {
			delete(q.flows, name)
		}
	}
}

// unlink removes a queued item from the queue.
func (q *Queue) unlink(w *Work) {
	f := w.flow
	f.lists[w.Importance].remove(w)
	f.queued--
	q.queued--
	q.classes[w.Importance].queued--
	w.flow = nil
	if f.queued == 0 {
		end := len(q.active) - 1
		q.active[f.index] = q.active[end]
		q.active[f.index].index = f.index
		q.active[end] = nil
		q.active = q.active[:end]
	}
	if q.queued == 0 {
		// Service is charged only while other work is queued, so an empty queue settles all flows.
		q.virtualTime = q.maxStartTag
	}
}

// dispatch starts queued items while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.queued > 0 && q.inFlight < q.limiter.Limit() && q.mayStart(now) {
		f, c := q.nextFlow()
		w := q.nextItem(now, f, c)
		if expired(now, w.Deadline, q.serviceTime(w.Route)) {
			q.refuse(now, w, DeadlinePassed)
			continue
		}
		q.charge(f)
		q.unlink(w)
		q.start(now, c, now.Sub(w.Arrived))
		w.State = Running
		w.Started = now
		q.appendDecided(w)
	}
}

// nextFlow returns the flow with the least start tag among those with work of the highest rank, and its
// most important class. It advances the virtual time to the least start tag of all active flows.
func (q *Queue) nextFlow() (*flow, call.Importance) {
	var next *flow
	var class call.Importance
	leastTag := q.active[0].startTag
	for _, f := range q.active {
		leastTag = min(leastTag, f.startTag)
		c := f.mostImportant()
		if next == nil || q.rank(c) < q.rank(class) || q.rank(c) == q.rank(class) && f.startTag < next.startTag {
			next, class = f, c
		}
	}
	q.virtualTime = max(q.virtualTime, leastTag)
	return next, class
}

// mostImportant returns the most important class with queued work in an active flow.
func (f *flow) mostImportant() call.Importance {
	c := call.Critical
	for f.lists[c].length == 0 {
		c++
	}
	return c
}

// charge advances the start tag of f by one item, but by no more than maxLead at full capacity ahead of
// the virtual time.
func (q *Queue) charge(f *flow) {
	lead := 1 / f.weight
	if interval := q.startInterval(); interval > 0 {
		lead = max(lead, float64(maxLead)/float64(interval)/f.weight)
	}
	f.startTag = min(f.startTag+1/f.weight, q.virtualTime+lead)
	q.maxStartTag = max(q.maxStartTag, f.startTag)
}

func (q *Queue) start(now time.Time, c call.Importance, waited time.Duration) {
	q.level.integrate(now, q.inFlight)
	q.inFlight++
	if q.cfg.Pace != nil {
		q.cfg.Pace.Start(now)
	}
	q.level.start(c, waited)
	q.classes[c].lastStarted = now
}

// Finish frees the slot of a running item and starts queued items. downstream is the time spent waiting
// for downstream calls, which the limiter does not see because a lower limit here does not shorten it.
func (q *Queue) Finish(now, started time.Time, route string, downstream time.Duration, r Result) {
	q.observe(now, started, route, downstream, r)
	q.level.integrate(now, q.inFlight)
	q.inFlight--
	q.sweepIfDue(now)
	q.dispatch(now)
}

func (q *Queue) observe(now, started time.Time, route string, downstream time.Duration, r Result) {
	if r == Failed || r == Ignored {
		return
	}
	service := now.Sub(started)
	q.limiter.Observe(now, Sample{
		Started:    started,
		Service:    max(service-downstream, 0),
		InFlight:   q.inFlight,
		Overloaded: r == Overloaded,
	})
	// A timed-out call was cut short, so its duration counts only if it exceeds the current estimate.
	if r == Succeeded || r == TimedOut && service > q.serviceTime(route) {
		q.updateServiceTime(service.Seconds(), route)
	}
}

func (q *Queue) updateServiceTime(service float64, route string) {
	if q.meanService == 0 {
		q.meanService = service
	}
	q.meanService += (service - q.meanService) * serviceWeight
	mean := q.routeService[route]
	if mean == nil {
		if len(q.routeService) >= maxRoutes {
			return
		}
		mean = new(float64)
		*mean = service
		q.routeService[route] = mean
	}
	*mean += (service - *mean) * serviceWeight
}

// adjustLevelIfDue changes the rank from which calls are shed at the end of a window.
func (q *Queue) adjustLevelIfDue(now time.Time) {
	if q.observePace(now) {
		return
	}
	interval := q.startInterval()
	if !q.level.due(now, interval) {
		return
	}
	oldest := time.Duration(0)
	for _, f := range q.active {
		for c := range f.lists {
			if head := f.lists[c].head; head != nil {
				oldest = max(oldest, now.Sub(head.Arrived))
			}
		}
	}
	q.level.adjust(now, interval, oldest, q.inFlight, q.limiter.Limit())
}

// Cancel refuses a queued item with the given reason. It reports false if the item is not queued.
func (q *Queue) Cancel(now time.Time, w *Work, reason Reason) bool {
	if w.State != Queued {
		return false
	}
	q.unlink(w)
	q.level.leave(w.Importance, now.Sub(w.Arrived))
	q.markRefused(now, w, reason)
	return true
}

// DropMatching refuses all queued items for which match returns true and returns their number.
func (q *Queue) DropMatching(now time.Time, reason Reason, match func(*Item) bool) int {
	dropped := 0
	q.eachQueued(func(w *Work) {
		if match(&w.Item) {
			q.refuse(now, w, reason)
			dropped++
		}
	})
	return dropped
}

// eachQueued calls visit for each queued item, in list order. visit may remove the item it is given.
func (q *Queue) eachQueued(visit func(*Work)) {
	for i := len(q.active) - 1; i >= 0; i-- {
		f := q.active[i]
		for c := range f.lists {
			for w := f.lists[c].head; w != nil; {
				next := w.next
				visit(w)
				w = next
			}
		}
	}
}

// Sweep refuses queued items that cannot meet their deadline or exceed the allowed delay of their class.
// Offer and Finish sweep every SweepInterval; call Sweep as well when neither may be called for a while.
func (q *Queue) Sweep(now time.Time) {
	q.lastSweep = now
	q.adjustLevelIfDue(now)
	if q.queued == 0 {
		return
	}
	for c := range call.Importance(call.ImportanceCount) {
		q.sweepClass(now, c)
	}
	if q.cfg.Pace != nil {
		q.dispatch(now) // no call need arrive or end when the pace allows the next start
	}
}

func (q *Queue) sweepIfDue(now time.Time) {
	if q.queued > 0 && now.Sub(q.lastSweep) >= q.cfg.SweepInterval {
		q.Sweep(now)
	}
}

// sweepClass refuses the overdue items of a class. It keeps the last one if only its delay is too long,
// so that a free slot finds work.
func (q *Queue) sweepClass(now time.Time, c call.Importance) {
	if q.classes[c].queued == 0 {
		return
	}
	var overdue []string
	q.eachQueued(func(w *Work) {
		switch {
		case w.Importance != c:
		case expired(now, w.Deadline, q.serviceTime(w.Route)):
			q.refuse(now, w, DeadlinePassed)
		case now.Sub(w.Arrived) > q.allowedDelay(now, w.flow, c) && q.classes[c].queued > 1:
			q.refuse(now, w, QueueDelay)
			if q.leastQueued() > c && !slices.Contains(overdue, w.Workspace) {
				overdue = append(overdue, w.Workspace)
			}
		}
	})
	for _, workspace := range overdue {
		q.shedBelow(now, c, workspace)
	}
}

// shedBelow refuses the queued items that would run only after work of class c of the workspace, whose
// queue delay is already too long: all of lower rank, and the less important ones of the same workspace.
func (q *Queue) shedBelow(now time.Time, c call.Importance, workspace string) {
	if q.leastQueued() <= c {
		return
	}
	q.eachQueued(func(w *Work) {
		if q.rank(w.Importance) > q.rank(c) || w.Importance > c && w.Workspace == workspace {
			q.refuse(now, w, QueueDelay)
		}
	})
}

// refuse removes a queued item and adds it to the list for NextDecided.
func (q *Queue) refuse(now time.Time, w *Work, reason Reason) {
	q.unlink(w)
	q.level.leave(w.Importance, now.Sub(w.Arrived))
	q.markRefused(now, w, reason)
	q.appendDecided(w)
}

func (q *Queue) markRefused(now time.Time, w *Work, reason Reason) {
	w.State = Refused
	w.Reason = reason
	if reason != QueueFull && reason != Evicted && reason != QueueDelay && reason != RankShed {
		return
	}
	if now.Sub(q.lastShed) > overloadGap {
		q.overloadSince = now
	}
	q.lastShed = now
	q.classes[w.Importance].lastShed = now
}

func (q *Queue) appendDecided(w *Work) {
	if q.lastDecided == nil {
		q.firstDecided = w
	} else {
		q.lastDecided.nextDecided = w
	}
	q.lastDecided = w
}

// NextDecided pops the next formerly queued item that is now Running or Refused, or returns nil. Call it
// until it returns nil after each Offer, Finish, Sweep, DropMatching, SetSlots or SetDraining.
func (q *Queue) NextDecided() *Work {
	w := q.firstDecided
	if w == nil {
		return nil
	}
	q.firstDecided = w.nextDecided
	w.nextDecided = nil
	if q.firstDecided == nil {
		q.lastDecided = nil
	}
	return w
}

// SetSlots sets the number of slots that the upstream announced. Less than one counts as one.
func (q *Queue) SetSlots(now time.Time, slots int) {
	q.cfg.Slots = max(slots, 1)
	q.limiter.SetSlots(q.cfg.Slots)
	q.dispatch(now)
}

// SetDraining starts or ends a drain, during which new items are refused and the others finish.
func (q *Queue) SetDraining(draining bool) { q.draining = draining }

// Idle reports whether no item is running or queued, so that a drain is complete.
func (q *Queue) Idle() bool { return q.inFlight == 0 && q.queued == 0 }

// Queued returns the number of queued items.
func (q *Queue) Queued() int { return q.queued }

// Load returns the load signal for responses. The queue delay is the expected time until all queued items
// have started: a mean of past delays would keep callers away from a queue that is already empty.
func (q *Queue) Load(now time.Time) call.Load {
	q.adjustLevelIfDue(now)
	load := call.Load{
		InFlight:   q.inFlight,
		Limit:      q.pacedLimit(q.limiter.Limit()),
		QueueDelay: time.Duration(q.Queued()) * q.startInterval(),
		Admitted:   q.admitted(now),
		Draining:   q.draining,
	}
	if q.level.shedFrom < call.RankLimit {
		load.ShedFrom = q.level.shedFrom
	}
	return load
}

// admitted returns the least important class that is not shed entirely. A partially shed class counts
// as admitted, because slots would stay idle if callers stopped sending it.
func (q *Queue) admitted(now time.Time) call.Importance {
	window := max(admittedWindow, targetStarts*q.startInterval())
	c := call.Sheddable
	for c > call.Critical {
		state := &q.classes[c]
		if now.Sub(state.lastShed) > window || now.Sub(state.lastStarted) <= window {
			break
		}
		c--
	}
	return c
}

// RetryAfter returns the retry delay to suggest with a refusal. random is uniform in [0, 1). The longer
// the overload has lasted, the more callers wait to retry, so the wider they are spread.
func (q *Queue) RetryAfter(now time.Time, reason Reason, random float64) time.Duration {
	switch reason {
	case Canceled, Withdrawn:
		return 0
	case Draining:
		return seconds(random * q.cfg.RetryAfterMin.Seconds())
	}
	spread := q.cfg.RetryAfterMin
	if now.Sub(q.lastShed) <= overloadGap {
		spread = min(max(spread, now.Sub(q.overloadSince)), q.cfg.RetryAfterSpread)
	}
	return q.cfg.RetryAfterMin + seconds(random*spread.Seconds())
}

// Refusal returns the refusal for an item, with outcome NotRun.
func (q *Queue) Refusal(now time.Time, reason Reason, random float64) *call.Refusal {
	refusal := call.NewRefusal(reason.Code(), call.NotRun, "%s", reason)
	refusal.RetryAfter = q.RetryAfter(now, reason, random)
	load := q.Load(now)
	refusal.Load = &load
	return refusal
}
