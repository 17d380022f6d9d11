package slopes

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/balance"
	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/quarantine"
	"github.com/cowslipglade/cowslipglade/requestid"
	"github.com/cowslipglade/cowslipglade/retry"
	"github.com/cowslipglade/cowslipglade/throttle"
)

const operations = 100_000

// local measures state that a node keeps for itself and that no message carries.
func local(r *recorder) error {
	for _, n := range []int{5000, 20_000, 60_000} {
		if err := requestIDs(r, n); err != nil {
			return err
		}
	}
	for _, n := range []int{30, 100, 300} {
		picker(r, n)
	}
	for _, n := range []int{1000, 10_000, 50_000} {
		throttles(r, n)
		buckets(r, n)
	}
	for _, n := range []int{1000, 4000} {
		marks(r, n)
	}
	for _, n := range []int{100, 1000} {
		if err := queue(r, n); err != nil {
			return err
		}
	}
	return nil
}

func requestIDs(r *recorder, n int) error {
	issuer, err := requestid.NewIssuer(nodeName(1), incarnationOf(1), make([]byte, 32), 10*time.Minute)
	if err != nil {
		return err
	}
	size, x := fmt.Sprint(n, " records"), float64(n)
	before := heap()
	// One record in each of many shards may exceed the part of a full table, so the bound is left wide.
	table := requestid.NewTable(issuer, requestid.TableConfig{MaxRecords: 2 * n, ResponseBytes: 1})
	refused := 0
	ns := perOperation(n, func(int) {
		id := issuer.Issue(epoch, workspaceName(1))
		decision := table.Begin(epoch, id, workspaceName(1), requestid.Digest{})
		if decision.Action != requestid.Run {
			refused++
			return
		}
		decision.Attempt.MarkDispatched()
		decision.Attempt.Finish(requestid.Response{})
		decision.Attempt.Close()
	})
	if refused > 0 {
		return fmt.Errorf("%d of %d request ids refused", refused, n)
	}
	r.add("request ids: heap without answers", "bytes", size, x, heap()-before)
	r.add("request ids: Issue, Begin, Finish", "ns", size, x, ns)
	runtime.KeepAlive(table)
	return nil
}

func picker(r *recorder, services int) {
	size, x := fmt.Sprint(services, " services of 16 upstreams"), float64(services)
	before := heap()
	p := balance.NewPicker(balance.DefaultConfig(), balance.Origin{Node: nodeName(0), FailureDomain: "zone-0", Region: "region-0"})
	name := func(i int) string { return fmt.Sprint("service-", i%services) }
	for s := range services {
		var candidates []balance.Candidate
		for u := range 16 {
			m := record(s*16+u, incarnationOf(u))
			candidates = append(candidates, balance.Candidate{
				ID: balance.ID{Node: m.GetName(), Incarnation: m.GetIncarnation()}, Address: m.GetPeerAddress(),
				FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(), Slots: 150,
			})
		}
		p.SetCandidates(name(s), candidates)
	}
	r.add("picker: heap", "bytes", size, x, heap()-before)
	random := rand.New(rand.NewPCG(1, 1))
	names := make([]string, services)
	for i := range names {
		names[i] = name(i)
	}
	r.add("picker: Pick, Done", "ns", size, x, perOperation(operations, func(i int) {
		s := names[i%services]
		choice, err := p.Pick(s, balance.Query{}, epoch, random)
		if err == nil {
			p.Done(s, choice.ID, balance.Result{Outcome: balance.Succeeded, Latency: time.Millisecond}, epoch)
		}
	}))
	runtime.KeepAlive(p)
}

func throttles(r *recorder, n int) {
	size, x := fmt.Sprint(n, " services and workspaces"), float64(n)
	keys := make([]throttle.Key, n)
	for i := range keys {
		keys[i] = throttle.Key{Service: fmt.Sprint("service-", i%300), Workspace: workspaceName(i / 300)}
	}
	before := heap()
	t := throttle.New(throttle.DefaultConfig())
	ns := perOperation(max(operations, n), func(i int) {
		t.Allow(keys[i%n], call.Critical, epoch, 0.5)
		t.Observe(keys[i%n], call.Critical, throttle.Overloaded, nil, epoch)
	})
	r.add("throttle: heap", "bytes", size, x, heap()-before)
	r.add("throttle: Allow, Observe of refused calls", "ns", size, x, ns)
	runtime.KeepAlive(t)
	runtime.KeepAlive(keys)
}

func buckets(r *recorder, n int) {
	size, x := fmt.Sprint(n, " workspaces and routes"), float64(n)
	keys := make([]retry.Key, n)
	for i := range keys {
		keys[i] = retry.Key{Workspace: workspaceName(i / 100), Route: fmt.Sprint("route-", i%100)}
	}
	before := heap()
	b := retry.NewBuckets(retry.DefaultConfig())
	rules := retry.Rules{Ratio: 0.05, Limit: 1}
	ns := perOperation(max(operations, n), func(i int) { b.Return(keys[i%n], b.Reserve(keys[i%n], rules)) })
	r.add("retry buckets: heap", "bytes", size, x, heap()-before)
	r.add("retry buckets: Reserve, Return", "ns", size, x, ns)
	runtime.KeepAlive(b)
	runtime.KeepAlive(keys)
}

func marks(r *recorder, n int) {
	size, x := fmt.Sprint(n, " marks"), float64(n)
	before := heap()
	l := quarantine.NewList(quarantine.DefaultConfig())
	for i := range n {
		fingerprint := quarantine.Fingerprint(workspaceName(i%1000), "POST", fmt.Sprint("/", i), uint64(i))
		l.Merge([]quarantine.Mark{{Fingerprint: fingerprint, Crash: quarantine.CrashID(i + 1), At: epoch}}, epoch)
	}
	r.add("quarantine: marks kept", "marks", size, x, float64(l.Count()))
	r.add("quarantine: heap", "bytes", size, x, heap()-before)
	r.add("quarantine: Standing", "ns", size, x, perOperation(operations, func(i int) { l.Standing(uint64(i), epoch) }))
	runtime.KeepAlive(l)
}

func queue(r *recorder, workspaces int) error {
	size, x := fmt.Sprint(workspaces, " queued items of as many workspaces"), float64(workspaces)
	slots := workspaces // the queue bound is a multiple of the slots
	before := heap()
	q, err := admission.NewQueue(admission.DefaultConfig(slots), admission.NewFixedLimiter(slots))
	if err != nil {
		return err
	}
	works := make([]*admission.Work, 2*slots)
	for i := range works {
		works[i] = &admission.Work{Item: admission.Item{Workspace: workspaceName(i % workspaces), Route: "route", Importance: call.Critical}}
		q.Offer(epoch, works[i])
	}
	r.add("admission: items queued", "items", size, x, float64(q.Queued()))
	r.add("admission: heap", "bytes", size, x, heap()-before)
	runtime.KeepAlive(works)
	empty, err := admission.NewQueue(admission.DefaultConfig(slots), admission.NewFixedLimiter(slots))
	if err != nil {
		return err
	}
	r.add("admission: Offer, Finish without a queue", "ns", size, x, perOperation(operations, func(i int) {
		w := &admission.Work{Item: admission.Item{Workspace: workspaceName(i % workspaces), Route: "route", Importance: call.Critical}}
		empty.Offer(epoch, w)
		empty.Finish(epoch, epoch, "route", 0, admission.Succeeded)
	}))
	return nil
}
