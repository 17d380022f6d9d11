package requestid

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cowslipglade/cowslipglade/call"
)

// Guards against wrong decisions in each state of a record, against stored responses beyond the limit, and
// against the loss of a record when its response is evicted.
func TestTableDecisions(t *testing.T) {
	issuer := newIssuer(t, 1)
	table := NewTable(issuer, TableConfig{MaxRecords: 2 * shardCount, ResponseBytes: 10 * shardCount})
	var ids []ID
	for range 3*shardCount + 1 {
		ids = append(ids, issuer.Issue(epoch, "w"))
	}
	first, second, third := ids[0], ids[shardCount], ids[2*shardCount]
	begin := func(id ID) Decision { return table.Begin(epoch, id, "w", Digest{1}) }
	refused := func(d Decision, code call.Code, outcome call.Outcome) {
		t.Helper()
		must.Eq(t, Refuse, d.Action)
		test.Eq(t, code, d.Refusal.Code)
		test.Eq(t, outcome, d.Refusal.Outcome)
	}

	d := begin(first)
	must.Eq(t, Run, d.Action)
	wait := begin(first)
	must.Eq(t, Wait, wait.Action)
	test.Eq(t, call.NotRun, d.Attempt.Close())
	<-wait.Done
	d.Attempt.FinishMayHaveRun()
	d = begin(first)
	must.Eq(t, Run, d.Action, must.Sprint("a late finish of a closed attempt has no effect"))
	d.Attempt.MarkDispatched()
	d.Attempt.Finish(Response{Value: "a", Size: 6})
	test.Eq(t, Response{Value: "a", Size: 6}, begin(first).Response)
	refused(table.Begin(epoch, first, "w", Digest{2}), call.CodeRequestIDConflict, call.NotRun)
	refused(table.Begin(epoch, first, "v", Digest{1}), call.CodeRequestIDConflict, call.NotRun)

	d = begin(second)
	refused(begin(third), call.CodeOverloaded, call.NotRun)
	d.Attempt.Finish(Response{Value: "b", Size: 6})
	test.Eq(t, Replay, begin(second).Action)
	refused(begin(first), call.CodeRequestIDLost, call.MayHaveRun)

	lost := begin(ids[1]).Attempt
	lost.MarkDispatched()
	test.Eq(t, call.MayHaveRun, lost.Close())
	refused(begin(ids[1]), call.CodeRequestIDLost, call.MayHaveRun)
	forged := first
	forged.MAC[0]++
	refused(begin(forged), call.CodeRequestIDInvalid, call.NotRun)
	other := newIssuer(t, 2).Issue(epoch, "w")
	refused(begin(other), call.CodeRequestIDLost, call.MayHaveRun)

	test.Eq(t, 3, table.Len())
	table.Expire(epoch.Add(10 * time.Minute))
	test.Zero(t, table.Len())
	refused(begin(second), call.CodeRequestIDLost, call.MayHaveRun)
}

// Guards against the loss of a call id before its retention ends and against unbounded growth.
func TestSeenSet(t *testing.T) {
	set := NewSeenSet(1, time.Minute)
	test.Eq(t, SeenNew, set.Add(epoch, "a"))
	test.Eq(t, SeenDuplicate, set.Add(epoch.Add(time.Minute-1), "a"))
	full := 0
	for i := range 10 * shardCount {
		if set.Add(epoch, fmt.Sprint(i)) == SeenFull {
			full++
		}
	}
	test.Positive(t, full)
	test.Eq(t, SeenNew, set.Add(epoch.Add(2*time.Minute), "a"))
}

// Guards against two runs when an id is presented concurrently; run with -race.
func TestTableConcurrent(t *testing.T) {
	issuer := newIssuer(t, 1)
	table := NewTable(issuer, DefaultTableConfig())
	id := issuer.Issue(epoch, "w")
	var runs int
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for {
				d := table.Begin(epoch, id, "w", Digest{})
				switch d.Action {
				case Wait:
					<-d.Done
					continue
				case Run:
					runs++
					d.Attempt.MarkDispatched()
					d.Attempt.Finish(Response{Value: runs, Size: 1})
				}
				return
			}
		})
	}
	group.Wait()
	test.Eq(t, 1, runs)
}

// callMessage is a call in transit to a destination.
type callMessage struct {
	attempt     *modelAttempt
	callID      string
	destination int
	incarnation int
}

type modelAttempt struct {
	handle  *Attempt
	id      string
	home    int
	sent    int
	refused int
	runs    int
	notRun  bool
	closed  bool
}

// atMostOnceModel runs homes, destinations and a lossy network under arbitrary schedules.
type atMostOnceModel struct {
	now              time.Time
	skipDispatchMark bool
	report           func(*rapid.T, string)
	homes            [2]*Table
	incarnations     [2]uint64
	issued           []ID
	attempts         []*modelAttempt
	network          []callMessage
	seen             [2]*SeenSet
	destinations     [2]int
	runs             map[string]int
}

func (m *atMostOnceModel) startHome(t *rapid.T, home int) {
	m.incarnations[home]++
	issuer, err := NewIssuer(fmt.Sprintf("home-%d", home), m.incarnations[home], secret, 10*time.Minute)
	must.NoError(t, err)
	m.homes[home] = NewTable(issuer, TableConfig{MaxRecords: 2 * shardCount, ResponseBytes: 2 * shardCount})
	m.homes[home].ignoreDispatch = m.skipDispatchMark
	for _, a := range m.attempts {
		a.closed = a.closed || a.home == home
	}
}

func (m *atMostOnceModel) pick(t *rapid.T) *modelAttempt {
	var open []*modelAttempt
	for _, a := range m.attempts {
		if !a.closed {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		t.Skip("no open attempt")
	}
	return rapid.SampledFrom(open).Draw(t, "attempt")
}

func (m *atMostOnceModel) issue(t *rapid.T) {
	home := rapid.IntRange(0, 1).Draw(t, "home")
	m.issued = append(m.issued, m.homes[home].issuer.Issue(m.now, "w"))
}

func (m *atMostOnceModel) present(t *rapid.T) {
	if len(m.issued) == 0 {
		t.Skip("no id")
	}
	id := rapid.SampledFrom(m.issued).Draw(t, "id")
	home := int(id.Node[len(id.Node)-1] - '0')
	d := m.homes[home].Begin(m.now, id, "w", Digest{})
	if d.Action == Run {
		m.attempts = append(m.attempts, &modelAttempt{handle: d.Attempt, id: id.String(), home: home})
	}
}

// send sends the first or a further call of an attempt. A further call requires a "not run" response to the last.
func (m *atMostOnceModel) send(t *rapid.T) {
	a := m.pick(t)
	if a.sent != a.refused {
		t.Skip("a call is in progress")
	}
	a.handle.MarkDispatched()
	a.sent++
	d := rapid.IntRange(0, 1).Draw(t, "destination")
	callID := fmt.Sprintf("%s/%p/%d", a.id, a, a.sent)
	m.network = append(m.network, callMessage{attempt: a, callID: callID, destination: d, incarnation: m.destinations[d]})
}

func (m *atMostOnceModel) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	message := m.network[i]
	if !rapid.Bool().Draw(t, "doubled") {
		m.network = append(m.network[:i:i], m.network[i+1:]...)
	}
	m.receive(t, message)
}

func (m *atMostOnceModel) receive(t *rapid.T, message callMessage) {
	a := message.attempt
	if message.incarnation != m.destinations[message.destination] {
		return // refused by the new incarnation; the old one may have run the call, so this is not a "not run" response
	}
	if m.seen[message.destination].Add(m.now, message.callID) != SeenNew {
		return
	}
	responseReceived := rapid.Bool().Draw(t, "answered")
	if rapid.Bool().Draw(t, "shed") {
		if responseReceived && !a.closed {
			a.refused++
		}
		return
	}
	a.runs++
	m.runs[a.id]++
	if responseReceived && !a.closed {
		a.handle.Finish(Response{Size: 1})
		a.closed = true
	}
}

// end finishes an attempt in one of the ways that the responses received so far allow.
func (m *atMostOnceModel) end(t *rapid.T) {
	a := m.pick(t)
	a.closed = true
	if a.sent == a.refused && rapid.Bool().Draw(t, "not run") {
		a.handle.FinishNotRun()
		a.notRun = true
		return
	}
	a.notRun = a.handle.Close() == call.NotRun
}

func (m *atMostOnceModel) check(t *rapid.T) {
	for id, n := range m.runs {
		if n > 1 {
			m.report(t, fmt.Sprintf("id %s ran %d times", id, n))
		}
	}
	for _, a := range m.attempts {
		if a.notRun && a.runs > 0 {
			m.report(t, "attempt ended as not run, but ran: "+a.id)
		}
	}
}

func atMostOnce(skipDispatchMark bool, report func(*rapid.T, string)) func(*rapid.T) {
	return func(t *rapid.T) {
		m := &atMostOnceModel{now: epoch, skipDispatchMark: skipDispatchMark, report: report, runs: map[string]int{}}
		for i := range m.homes {
			m.startHome(t, i)
			m.seen[i] = NewSeenSet(1000, time.Hour)
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": m.issue, "present": m.present, "present again": m.present, "send": m.send,
			"deliver": m.deliver, "deliver more": m.deliver, "end": m.end, "": m.check,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(-60, 240).Draw(t, "s")) * time.Second)
			},
			"crash home": func(t *rapid.T) { m.startHome(t, rapid.IntRange(0, 1).Draw(t, "home")) },
			"crash destination": func(t *rapid.T) {
				d := rapid.IntRange(0, 1).Draw(t, "destination")
				m.destinations[d]++
				m.seen[d] = NewSeenSet(1000, time.Hour)
			},
		})
	}
}

// Guards against an id that runs twice and against a false "not run" outcome, under arbitrary crashes and
// lost, late, duplicated and reordered messages.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, atMostOnce(false, func(t *rapid.T, failure string) { t.Fatal(failure) }))
}

// Checks that TestAtMostOnce can fail: without MarkDispatched the property must be violated.
func TestAtMostOnceNeedsMarkDispatched(t *testing.T) {
	violations := 0
	for range 10 {
		rapid.Check(t, atMostOnce(true, func(*rapid.T, string) { violations++ }))
	}
	t.Logf("%d violations", violations)
	test.Positive(t, violations)
}
