package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["departure"] = departure }

// departure: a backend says goodbye and serves on for a while, its node is stopped and started as planned, and a heartbeat
// from before the goodbye arrives late.
func departure(w *world) (int, error) {
	const (
		drainS   = 2 * time.Second // bound of the settings
		contactS = 3 * time.Second // bound of the settings
	)
	a, err := w.addNode("sidecar-z1-1", "z1", "stock")
	if err != nil {
		return cannotRun, err
	}
	b, err := w.addNode("sidecar-z2-1", "z2", "stock")
	if err != nil {
		return cannotRun, err
	}
	desk, err := w.addNode("sidecar-z1-2", "z1", "desk")
	if err != nil {
		return cannotRun, err
	}
	w.store.put("op/config", configuration("r1", []string{"stock", "desk"}, []route{{
		Name: "hold", Host: "shop.example", Prefix: "/hold/", Kind: "non_idempotent", TimeoutS: 5, TargetLatencyS: 1.5, Priority: 0,
		Service: "stock", MaxAttempts: 2,
	}}, []tenant{{"garage", []string{"key-of-garage"}, 1, 500, 500}}))
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return cannotRun, err
		}
	}
	leaver, err := w.addBackend("i-leaver", a, 50)
	if err != nil {
		return cannotRun, err
	}
	if _, err := w.addBackend("i-second", b, 50); err != nil {
		return cannotRun, err
	}
	if _, err := w.addBackend("i-desk", desk, 50); err != nil {
		return cannotRun, err
	}
	for _, n := range w.nodes {
		if !n.awaitReady(10 * time.Second) {
			return cannotRun, errors.New("a node is not ready")
		}
	}
	time.Sleep(5 * time.Second)

	// Clients of the other two machines, which nothing disturbs.
	end := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	for _, n := range []*node{desk, b} {
		for range 3 {
			cl := newClient(n, w.rec)
			clients.Go(func() {
				for {
					select {
					case <-end:
						return
					case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
					}
					o := cl.do(request{method: "POST", host: "shop.example", path: "/hold/mirror", body: []byte("one heated convex glass"), key: "key-of-garage", timeout: 5 * time.Second})
					mu.Lock()
					outcomes[o.id] = o
					mu.Unlock()
				}
			})
		}
	}
	for _, backend := range w.backends {
		backend.setWork(300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	before := len(leaver.ran())

	late := leaver.message("ready")
	w.rec.say("heartbeat with sequence %d is sent and delayed", leaver.sequence)
	status := leaver.leave()
	acked := time.Now()
	w.rec.say("%s sends DELETE: answer %d; it serves on for a while", leaver.id, status)
	if status != http.StatusOK {
		return cannotRun, errors.New("the goodbye was not acknowledged")
	}
	startedAt := a.startedAt
	if w.trouble {
		time.Sleep(200 * time.Millisecond)
		w.rec.say("SIGTERM to %s, as planned", a.name)
		a.signal(15)
		select {
		case <-a.exited:
		case <-time.After(6 * time.Second):
			return cannotRun, errors.New("the node did not stop in time")
		}
		if err := a.start(); err != nil {
			return cannotRun, err
		}
		startedAt = a.startedAt
		w.rec.say("%s is started again", a.name)
		if !a.awaitReady(5 * time.Second) {
			return cannotRun, errors.New("the node is not ready after its restart")
		}
		time.Sleep(500 * time.Millisecond)
		w.rec.say("the delayed heartbeat arrives %.1f s late: answer %d", time.Since(acked).Seconds(), leaver.send(http.MethodPut, late))
	}
	time.Sleep(time.Until(startedAt.Add(contactS + 3*time.Second)))
	time.Sleep(time.Until(acked.Add(drainS + 2*time.Second)))
	w.rec.say("%s has served on for %.1f s and ends", leaver.id, time.Since(acked).Seconds())
	leaver.exit()
	time.Sleep(2 * time.Second)
	close(end)
	clients.Wait()

	from := acked.Add(drainS)
	if inTouch := startedAt.Add(contactS); inTouch.After(from) {
		from = inTouch
	}
	reached, lost, first, last := 0, 0, time.Time{}, time.Time{}
	for _, run := range leaver.ran() {
		mu.Lock()
		o, known := outcomes[run.id]
		mu.Unlock()
		if known && o.sent.After(from) && run.at.After(from) {
			reached++
			if o.status != http.StatusOK {
				lost++
			}
			last = run.at
			if first.IsZero() {
				first = run.at
			}
		}
	}
	w.rec.say("%d requests reached %s before its goodbye", before, leaver.id)
	if before == 0 {
		return cannotRun, errors.New("the backend got no requests before")
	}
	if reached == 0 {
		w.rec.say("held: none reached it later than drainS after the acknowledgement, with all machines in touch")
		return held, nil
	}
	w.rec.say("broken (DRAIN): %d requests reached it %.1f to %.1f s after the acknowledgement (drainS is 2), with all machines in touch; %d of them failed as it ended",
		reached, first.Sub(acked).Seconds(), last.Sub(acked).Seconds(), lost)
	return broken, nil
}
