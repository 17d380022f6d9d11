package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["overlapping-stops"] = overlappingStops }

// overlappingStops: the machines of a small deployment are stopped and started in turn while a few requests take long.
func overlappingStops(w *world) (int, error) {
	const (
		graceS  = 6 * time.Second
		gap     = 1300 * time.Millisecond
		usual   = 1200 * time.Millisecond
		long    = 5600 * time.Millisecond
		longs   = 8
		perS    = 21
		timeout = 12 * time.Second
	)
	w.store.put("op/config", configuration("r1", []string{"ratecard", "desk"}, []route{{
		Name: "rate", Host: "desk.example", Prefix: "/rate/", Kind: "idempotent", TimeoutS: 6, TargetLatencyS: 3, Priority: 2,
		Service: "ratecard", MaxAttempts: 2,
	}}, []tenant{{"garage", []string{"key-of-garage"}, 1, 500, 500}}))
	var ratecards []*node
	for i := range 2 {
		n, err := w.addNode(fmt.Sprintf("sidecar-z1-%d", i+1), "z1", "ratecard")
		if err != nil {
			return cannotRun, err
		}
		ratecards = append(ratecards, n)
	}
	desk, err := w.addNode("sidecar-z1-3", "z1", "desk")
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	ran := map[string][2]time.Time{} // when a backend began a request, and ended its work on it
	for i, n := range w.nodes {
		n.bounds = grownBounds
		if err := n.writeSettings(w.store); err != nil {
			return cannotRun, err
		}
		if err := n.start(); err != nil {
			return cannotRun, err
		}
		b, err := w.addBackend(fmt.Sprintf("i-%d", i+1), n, 68)
		if err != nil {
			return cannotRun, err
		}
		b.respond = func(rw http.ResponseWriter, r *http.Request) {
			id, at, work := r.Header.Get("Request-Id"), time.Now(), usual
			if strings.HasPrefix(id, "long") {
				work = long
			}
			select {
			case <-time.After(work):
				b.answer(rw, r, []byte("rate\n"))
			case <-r.Context().Done():
				w.rec.line("backend %s drops %s after %.1f s, as its connection has closed", b.id, id, time.Since(at).Seconds())
			}
			mu.Lock()
			defer mu.Unlock()
			if _, known := ran[id]; !known {
				ran[id] = [2]time.Time{at, time.Now()}
			}
		}
	}
	for _, n := range w.nodes {
		if !n.awaitReady(10 * time.Second) {
			return cannotRun, errors.New("a node is not ready")
		}
	}
	time.Sleep(3 * time.Second)

	end := make(chan struct{})
	var clients sync.WaitGroup
	outcomes := map[string]outcome{}
	send := func(id string) {
		cl := newClient(desk, w.rec)
		o := cl.send(id, request{method: "GET", host: "desk.example", path: "/rate/" + id, key: "key-of-garage", timeout: timeout})
		mu.Lock()
		outcomes[id] = o
		mu.Unlock()
	}
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(time.Second / perS):
			}
			clients.Go(func() { send(fmt.Sprintf("usual-%d", i)) })
		}
	})
	time.Sleep(40 * time.Second)
	for i := range longs {
		clients.Go(func() { send(fmt.Sprintf("long-%d", i)) })
		time.Sleep(20 * time.Millisecond)
	}
	// In turn, as planned. The clients of a machine get no new work once it is not ready.
	var stops sync.WaitGroup
	stoppedAt := map[*node]time.Time{}
	for i, n := range append(ratecards, desk) {
		if !w.trouble {
			break
		}
		if i > 0 {
			time.Sleep(gap)
		}
		stoppedAt[n] = time.Now()
		w.rec.say("%s gets SIGTERM", n.name)
		n.signal(15)
		stops.Go(func() {
			<-n.exited
			w.rec.say("%s has ended %.1f s after its SIGTERM and is started again", n.name, time.Since(stoppedAt[n]).Seconds())
			_ = n.start()
		})
	}
	time.Sleep(time.Second)
	close(end)
	stops.Wait()
	clients.Wait()

	ends := map[string]int{}
	lost := 0
	for id, o := range outcomes {
		kind, _, _ := strings.Cut(id, "-")
		ends[fmt.Sprintf("%s %d", kind, o.status)]++
		if o.status == http.StatusOK || kind != "long" || !w.trouble {
			continue
		}
		at := o.sent.Add(o.took)
		// The rule excuses requests whose deadline or route's timeout was reached, and those at which the backend was still at
		// work in the last sixth of graceS.
		excused := o.took >= 5900*time.Millisecond || at.After(stoppedAt[desk].Add(graceS*5/6))
		w.rec.line("%s: status %d after %.2f s, %.2f s after the SIGTERM of %s, excused: %v", id, o.status, o.took.Seconds(),
			at.Sub(stoppedAt[desk]).Seconds(), desk.name, excused)
		if _, began := ran[id]; began && !excused {
			lost++
		}
	}
	w.rec.say("answers: %v", ends)
	if ends["usual 200"] == 0 {
		return cannotRun, errors.New("no request was served")
	}
	if lost > 0 {
		w.rec.say("broken (LOST): %d requests at which a backend was at work were broken off before the last sixth of graceS", lost)
		return broken, nil
	}
	w.rec.say("held")
	return held, nil
}
