package main

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["caller"] = callerService }

// callerService: the backend of a machine ends, and its address goes to a backend of another service.
func callerService(w *world) (int, error) {
	const reuseAfterS = 2 * time.Second // bound of the settings
	w.store.put("op/config", configuration("r1", []string{"stock", "desk", "till"}, []route{
		{Name: "count", Host: "shop.example", Prefix: "/count/", Kind: "idempotent", TimeoutS: 5, TargetLatencyS: 1.5, Priority: 1, Service: "stock", MaxAttempts: 2, AuthExempt: true},
		{Name: "pay", Host: "shop.example", Prefix: "/pay/", Kind: "idempotent", TimeoutS: 5, TargetLatencyS: 1.5, Priority: 1, Service: "till", MaxAttempts: 2},
	}, []tenant{{"garage", []string{"key-of-garage"}, 1, 500, 500}}))
	a, err := w.addNode("sidecar-z1-1", "z1", "desk")
	if err != nil {
		return cannotRun, err
	}
	b, err := w.addNode("sidecar-z2-1", "z2", "stock")
	if err != nil {
		return cannotRun, err
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return cannotRun, err
		}
	}
	old, err := w.addBackend("i-desk", a, 50)
	if err != nil {
		return cannotRun, err
	}
	stock, err := w.addBackend("i-stock", b, 50)
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	callers := map[string]string{}
	stock.respond = func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		callers[r.Header.Get("Request-Id")] = r.Header.Get("Caller-Service")
		mu.Unlock()
		stock.answer(rw, r, []byte("done\n"))
	}
	for _, n := range w.nodes {
		if !n.awaitReady(10 * time.Second) {
			return cannotRun, errors.New("a node is not ready")
		}
	}
	time.Sleep(time.Until(a.startedAt.Add(4 * time.Second)))

	expected, from := "desk", time.Now()
	if w.trouble {
		old.stop()
		w.rec.say("%s ends", old.id)
		time.Sleep(reuseAfterS + 500*time.Millisecond)
		text, err := os.ReadFile(a.settings)
		if err != nil {
			return cannotRun, err
		}
		changed := strings.Replace(string(text), `service = "desk"`, `service = "till"`, 1)
		if err := os.WriteFile(a.settings+".new", []byte(changed), 0o600); err != nil {
			return cannotRun, err
		}
		if err := os.Rename(a.settings+".new", a.settings); err != nil {
			return cannotRun, err
		}
		w.rec.say("the settings of %s name the service till", a.name)
		a.service = "till"
		next, err := startBackend("i-till", a, 50, w.rec)
		if err != nil {
			return cannotRun, err
		}
		w.backends = append(w.backends, next)
		status := 0
		for range 5 { // the backend's own heartbeat may overtake this one, which is refused then
			if status = next.send(http.MethodPut, next.message("ready")); status == http.StatusOK {
				break
			}
		}
		w.rec.say("%s has the address and says that it is of the service till: answer %d", next.id, status)
		if status != http.StatusOK {
			return cannotRun, errors.New("the heartbeat was not acknowledged")
		}
		expected, from = "till", time.Now()
	}
	// The backend on the machine makes calls.
	cl := newClient(a, w.rec)
	wrong, served, last := 0, 0, time.Time{}
	for time.Since(from) < 5*time.Second {
		o := cl.do(request{method: "GET", host: "shop.example", path: "/count/mirror", timeout: 2 * time.Second})
		mu.Lock()
		caller, ran := callers[o.id]
		mu.Unlock()
		if ran {
			served++
			if caller != expected {
				wrong++
				last = o.sent
				w.rec.line("%s ran with Caller-Service %s, the machine's service is %s", o.id, caller, expected)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if served == 0 {
		return cannotRun, errors.New("no request was served")
	}
	if wrong > 0 {
		w.rec.say("broken (UNASKED): %d of %d requests ran with the service of the earlier backend, up to %.1f s after the acknowledgement", wrong, served, last.Sub(from).Seconds())
		return broken, nil
	}
	w.rec.say("held: all %d requests ran with the service of the machine", served)
	return held, nil
}
