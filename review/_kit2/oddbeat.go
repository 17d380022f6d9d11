package main

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["odd-heartbeat"] = oddHeartbeat }

// oddHeartbeat: a backend that leaves has reported that it is draining, and a heartbeat of another writer arrives that lacks
// the field born.
func oddHeartbeat(w *world) (int, error) {
	const (
		drainS  = 2 * time.Second // bound of the settings
		serves  = 11 * time.Second
		oddFrom = 3 * time.Second
	)
	a, err := w.addNode("sidecar-z1-1", "z1", "stock")
	if err != nil {
		return cannotRun, err
	}
	b, err := w.addNode("sidecar-z2-1", "z2", "stock")
	if err != nil {
		return cannotRun, err
	}
	w.store.put("op/config", configuration("r1", []string{"stock"}, []route{{
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
	for _, n := range w.nodes {
		if !n.awaitReady(10 * time.Second) {
			return cannotRun, errors.New("a node is not ready")
		}
	}
	time.Sleep(5 * time.Second)

	end := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	for _, n := range w.nodes {
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

	status := leaver.drain()
	acked := time.Now()
	w.rec.say("%s says that it is draining: answer %d; it serves on for a while", leaver.id, status)
	if status != http.StatusOK {
		return cannotRun, errors.New("the drain was not acknowledged")
	}
	time.Sleep(oddFrom)
	for time.Since(acked) < serves {
		if w.trouble {
			// The same fields as in a heartbeat of the backend, but for born.
			data, _ := json.Marshal(map[string]any{
				"address": leaver.address,
				"info":    map[string]any{"service": leaver.service, "version": "v1", "zone": leaver.zone, "slots": leaver.slots},
				"status":  map[string]any{"state": "ready", "sequence": 1, "warmupLeftS": 0},
			})
			w.rec.say("a heartbeat without born arrives %.1f s after the acknowledgement: answer %d", time.Since(acked).Seconds(), leaver.send(http.MethodPut, data))
		}
		if time.Since(acked) < serves-4*time.Second {
			time.Sleep(4 * time.Second)
			continue
		}
		time.Sleep(time.Second)
		break
	}
	w.rec.say("%s has served on for %.1f s and ends", leaver.id, time.Since(acked).Seconds())
	leaver.exit()
	time.Sleep(2 * time.Second)
	close(end)
	clients.Wait()

	reached, lost, first, last := 0, 0, time.Time{}, time.Time{}
	for _, run := range leaver.ran() {
		mu.Lock()
		o, known := outcomes[run.id]
		mu.Unlock()
		if known && o.sent.After(acked.Add(drainS)) && run.at.After(acked.Add(drainS)) {
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
	w.rec.say("%d requests reached %s before it left", before, leaver.id)
	if before == 0 {
		return cannotRun, errors.New("the backend got no requests before")
	}
	if reached == 0 {
		w.rec.say("held: no request reached it later than drainS after the acknowledgement")
		return held, nil
	}
	w.rec.say("broken (DRAIN): %d requests reached it %.1f to %.1f s after the acknowledgement (drainS is 2), with all machines in touch; %d of them failed as it ended",
		reached, first.Sub(acked).Seconds(), last.Sub(acked).Seconds(), lost)
	return broken, nil
}
