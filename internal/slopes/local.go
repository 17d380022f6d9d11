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

const operationCount = 100_000

// measureLocal measures state that a node keeps locally and does not send to others.
func measureLocal(r *recorder) error {
	for _, n := range []int{5000, 20_000, 60_000} {
		if err := measureRequestIDs(r, n); err != nil {
			return err
		}
	}
	for _, n := range []int{30, 100, 300} {
		measurePicker(r, n)
	}
	for _, n := range []int{1000, 10_000, 50_000} {
		measureThrottle(r, n)
		measureRetryBuckets(r, n)
	}
	for _, n := range []int{1000, 4000} {
		measureQuarantine(r, n)
	}
	for _, n := range []int{100, 1000} {
		if err := measureAdmissionQueue(r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureRequestIDs(r *recorder, n int) error {
	issuer, err := requestid.NewIssuer(nodeName(1), incarnationOf(1), make([]byte, 32), 10*time.Minute)
	if err != nil {
		return err
	}
	size, x := fmt.Sprint(n, " records"), float64(n)
	before := heapBytes()
	// Records are distributed unevenly over the shards of the table, so a shard can exceed its part of a tight
	// limit; twice the number of records leaves room.
	table := requestid.NewTable(issuer, requestid.TableConfig{MaxRecords: 2 * n, ResponseBytes: 1})
	refused := 0
	ns := cpuPerOperation(n, func(int) {
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
	r.add("request ids: heap without answers", "bytes", size, x, heapBytes()-before)
	r.add("request ids: Issue, Begin, Finish", "ns", size, x, ns)
	runtime.KeepAlive(table)
	return nil
}

func measurePicker(r *recorder, services int) {
	size, x := fmt.Sprint(services, " services of 16 upstreams"), float64(services)
	before := heapBytes()
	p := balance.NewPicker(balance.DefaultConfig(), balance.Origin{Node: nodeName(0), FailureDomain: "zone-0", Region: "region-0"})
	name := func(i int) string { return fmt.Sprint("service-", i%services) }
	for s := range services {
		var candidates []balance.Candidate
		for u := range 16 {
			m := memberRecord(s*16+u, incarnationOf(u))
			candidates = append(candidates, balance.Candidate{
				ID: balance.ID{Node: m.GetName(), Incarnation: m.GetIncarnation()}, Address: m.GetPeerAddress(),
				FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(), Slots: 150,
			})
		}
		p.SetCandidates(name(s), candidates)
	}
	r.add("picker: heap", "bytes", size, x, heapBytes()-before)
	random := rand.New(rand.NewPCG(1, 1))
	names := make([]string, services)
	for i := range names {
		names[i] = name(i)
	}
	r.add("picker: Pick, Done", "ns", size, x, cpuPerOperation(operationCount, func(i int) {
		s := names[i%services]
		choice, err := p.Pick(s, balance.Query{}, epoch, random)
		if err == nil {
			p.Done(s, choice.ID, balance.Result{Outcome: balance.Succeeded, Latency: time.Millisecond}, epoch)
		}
	}))
	runtime.KeepAlive(p)
}

func measureThrottle(r *recorder, n int) {
	size, x := fmt.Sprint(n, " services and workspaces"), float64(n)
	keys := make([]throttle.Key, n)
	for i := range keys {
		keys[i] = throttle.Key{Service: fmt.Sprint("service-", i%300), Workspace: workspaceName(i / 300)}
	}
	before := heapBytes()
	t := throttle.New(throttle.DefaultConfig())
	ns := cpuPerOperation(max(operationCount, n), func(i int) {
		t.Allow(keys[i%n], call.Critical, epoch, 0.5)
		t.Observe(keys[i%n], call.Critical, throttle.Overloaded, nil, epoch)
	})
	r.add("throttle: heap", "bytes", size, x, heapBytes()-before)
	r.add("throttle: Allow, Observe of refused calls", "ns", size, x, ns)
	runtime.KeepAlive(t)
	runtime.KeepAlive(keys)
}

func measureRetryBuckets(r *recorder, n int) {
	size, x := fmt.Sprint(n, " workspaces and routes"), float64(n)
	keys := make([]retry.Key, n)
	for i := range keys {
		keys[i] = retry.Key{Workspace: workspaceName(i / 100), Route: fmt.Sprint("route-", i%100)}
	}
	before := heapBytes()
	b := retry.NewBuckets(retry.DefaultConfig())
	rules := retry.Rules{Ratio: 0.05, Limit: 1}
	ns := cpuPerOperation(max(operationCount, n), func(i int) { b.Return(keys[i%n], b.Reserve(keys[i%n], rules)) })
	r.add("retry buckets: heap", "bytes", size, x, heapBytes()-before)
	r.add("retry buckets: Reserve, Return", "ns", size, x, ns)
	runtime.KeepAlive(b)
	runtime.KeepAlive(keys)
}

func measureQuarantine(r *recorder, n int) {
	size, x := fmt.Sprint(n, " marks"), float64(n)
	before := heapBytes()
	list := quarantine.NewList(quarantine.DefaultConfig())
	for i := range n {
		fingerprint := quarantine.Source{Caller: workspaceName(i % 1000), Method: "POST", Target: fmt.Sprint("/", i)}.Fingerprint(uint64(i))
		list.Merge([]quarantine.Mark{{Fingerprint: fingerprint, Crash: quarantine.CrashID(i + 1), At: epoch}}, epoch)
	}
	r.add("quarantine: marks kept", "marks", size, x, float64(list.Count()))
	r.add("quarantine: heap", "bytes", size, x, heapBytes()-before)
	r.add("quarantine: Standing", "ns", size, x, cpuPerOperation(operationCount, func(i int) { list.Standing(uint64(i), epoch) }))
	runtime.KeepAlive(list)
}

func measureAdmissionQueue(r *recorder, workspaces int) error {
	size, x := fmt.Sprint(workspaces, " queued items of as many workspaces"), float64(workspaces)
	slots := workspaces // the queue limit is a multiple of the slots
	before := heapBytes()
	q, err := admission.NewQueue(admission.DefaultConfig(slots), admission.NewFixedLimiter(slots))
	if err != nil {
		return err
	}
	items := make([]*admission.Work, 2*slots)
	for i := range items {
		items[i] = &admission.Work{Item: admission.Item{Workspace: workspaceName(i % workspaces), Route: "route", Importance: call.Critical}}
		q.Offer(epoch, items[i])
	}
	r.add("admission: items queued", "items", size, x, float64(q.Queued()))
	r.add("admission: heap", "bytes", size, x, heapBytes()-before)
	runtime.KeepAlive(items)
	empty, err := admission.NewQueue(admission.DefaultConfig(slots), admission.NewFixedLimiter(slots))
	if err != nil {
		return err
	}
	r.add("admission: Offer, Finish without a queue", "ns", size, x, cpuPerOperation(operationCount, func(i int) {
		w := &admission.Work{Item: admission.Item{Workspace: workspaceName(i % workspaces), Route: "route", Importance: call.Critical}}
		empty.Offer(epoch, w)
		empty.Finish(epoch, epoch, "route", 0, admission.Succeeded)
	}))
	return nil
}
