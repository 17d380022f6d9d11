package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// recoverTime is the time in which the nodes serve again after the last one has started, and recoverShare the share of
	// the requests that they must serve then.
	recoverTime  = 15 * time.Second
	recoverShare = 0.25
	// loadTime is how long clients send requests before the loss of power.
	loadTime = 3 * time.Second
	// The nodes are without power from minPowerOff to maxPowerOff, and start within minStartSpread or maxStartSpread.
	// lateStart is how much later those start whose entries have ended.
	minPowerOff    = 300 * time.Millisecond
	maxPowerOff    = 1500 * time.Millisecond
	minStartSpread = 100 * time.Millisecond
	maxStartSpread = 2 * time.Second
	lateStart      = 200 * time.Millisecond
	// maxStoreAway is how long the store is away at most after the nodes have started.
	maxStoreAway = 3 * time.Second
	// serviceWindow is the time over which served requests are counted, serviceWindows the number of windows in a row with
	// enough of them.
	serviceWindow  = time.Second
	serviceWindows = 3
)

// losePower ends all processes at once. One node or a failure domain does not come back, and its entries stay in the store
// until their leases end. The entries of two others have ended, so that nodes that start before them do not know them. The
// store may be away meanwhile. It returns the nodes that are back, and when the last one starts.
func (d *deployment) losePower(ctx context.Context, random *rand.Rand) (back []*node, at time.Time) {
	nodes := slices.Clone(d.nodes)
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	gone := nodes[:1]
	if random.IntN(2) == 0 {
		domain := nodes[0].domain
		var others []*node
		gone = nil
		for _, n := range nodes {
			if n.domain == domain {
				gone = append(gone, n)
			} else {
				others = append(others, n)
			}
		}
		nodes = slices.Concat(gone, others)
	}
	back = nodes[len(gone):]
	off := minPowerOff + time.Duration(random.Float64()*float64(maxPowerOff-minPowerOff))
	spread := minStartSpread
	if random.IntN(2) == 0 {
		spread = time.Duration(random.Float64() * float64(maxStartSpread))
	}
	storeAway := time.Duration(0)
	if random.IntN(2) == 0 {
		storeAway = off + time.Duration(random.Float64()*float64(maxStoreAway))
		d.store.memory.SetDown(true)
	}
	now := time.Now()
	last := off
	var killing sync.WaitGroup
	for i, n := range nodes {
		start := now.Add(off + time.Duration(random.Float64()*float64(spread)))
		switch {
		case i < len(gone):
			start = time.Time{}
		case i < len(gone)+2:
			start = now.Add(off + spread + lateStart)
		}
		if !start.IsZero() {
			last = max(last, start.Sub(now))
		}
		killing.Go(func() { n.powerOff(start) })
	}
	killing.Wait()
	for _, n := range gone {
		for _, link := range []*proxy{n.peers, n.control, n.store} {
			link.set(linkBlackhole)
		}
	}
	for _, n := range back[:2] {
		d.removeEntry(ctx, n)
	}
	d.logf("power lost for %v, starts over %v, store away for %v, %d nodes gone (%s first)", off.Round(time.Millisecond),
		spread.Round(time.Millisecond), storeAway.Round(time.Millisecond), len(gone), gone[0].name)
	if storeAway > 0 {
		sleep(ctx, time.Until(now.Add(storeAway)))
		d.store.memory.SetDown(false)
	}
	sleep(ctx, time.Until(now.Add(last)))
	return back, now.Add(max(last, storeAway))
}

// powerOff kills the process of a node. The next one starts at the given time, or never if it is zero.
func (n *node) powerOff(start time.Time) {
	n.mu.Lock()
	n.startAt, n.gone = start, start.IsZero()
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
}

// awaitPower waits until the next process may start. It returns false if there is none.
func (n *node) awaitPower() bool {
	for {
		n.mu.Lock()
		wait, gone, closed := time.Until(n.startAt), n.gone, n.closed
		n.mu.Unlock()
		if closed || !gone && wait <= 0 {
			return !closed
		}
		time.Sleep(min(restartDelay, max(wait, time.Millisecond)))
	}
}

// removeEntry removes the entry of a node, as the end of its lease does.
func (d *deployment) removeEntry(ctx context.Context, n *node) {
	key := "cowslipglade/nodes/" + n.name
	for ctx.Err() == nil {
		d.store.memory.SetDown(false) // the lease ends in the store, whether or not it can be reached
		entry, err := d.store.memory.Get(ctx, key)
		if err != nil {
			return
		}
		if d.store.memory.CompareAndDelete(ctx, key, entry.Revision) == nil {
			return
		}
	}
}

// awaitService waits until the nodes serve enough requests, and returns how long that took. It records a violation if it
// took longer than recoverTime.
func (d *deployment) awaitService(ctx context.Context, nodes []*node, back time.Time) time.Duration {
	enough := 0
	for ctx.Err() == nil {
		sleep(ctx, serviceWindow/2)
		end := time.Now().Add(-requestTimeout)
		begin := end.Add(-serviceWindow)
		if begin.Before(back) {
			continue
		}
		served, sent := d.history.served(nodes, begin, end)
		if sent > 0 && float64(served) >= recoverShare*float64(sent) {
			enough++
		} else {
			enough = 0
		}
		if enough >= serviceWindows {
			return begin.Sub(back)
		}
		if begin.Sub(back) > recoverTime+serviceWindows*serviceWindow {
			d.history.recordNotServing(begin.Sub(back), served, sent)
			return begin.Sub(back)
		}
	}
	return 0
}

// served counts the requests with a key that clients sent to these nodes in a time, and those that were answered.
func (h *history) served(nodes []*node, begin, end time.Time) (served, sent int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, r := range h.requests {
		if r.key == "" || r.sentAt.Before(begin) || !r.sentAt.Before(end) || !slices.Contains(nodes, r.node) {
			continue
		}
		sent++
		if h.responses[id].status == 200 {
			served++
		}
	}
	return served, sent
}

func (h *history) recordNotServing(after time.Duration, served, sent int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation("a fleet that has lost power serves again in time", "", "%v after the start, %d of %d requests were served",
		after.Round(time.Millisecond), served, sent)
}
