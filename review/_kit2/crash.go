package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// crashing is the upstream of one machine: a backend that ends when it begins to run a request with a marker in its body,
// and starts again after a while.
type crashing struct {
	node   *node
	rec    *record
	down   time.Duration
	marker []byte
	// midAnswer, if set, reports whether a request crashes the backend after it has begun its answer.
	midAnswer func(*http.Request) bool

	mu       sync.Mutex
	starts   int
	current  *backend
	poisoned []time.Time // when the request with the marker reached a backend
	lost     int         // other requests that were running at a crash
	running  int
	stopped  bool
}

func (c *crashing) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil
	}
	c.starts++
	b, err := startBackend(fmt.Sprintf("i-%s-%d", c.node.name, c.starts), c.node, 50, c.rec)
	if err != nil {
		return err
	}
	b.respond = func(w http.ResponseWriter, r *http.Request) { c.serve(b, w, r) }
	c.current = b
	return nil
}

func (c *crashing) serve(b *backend, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if c.midAnswer != nil && c.midAnswer(r) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "signed-by-"+b.id)
		w.Header().Set("Content-Length", "5000")
		_, _ = w.Write([]byte("the first model is"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		c.crash(b, r.Header.Get("Request-Id"))
		panic(http.ErrAbortHandler)
	}
	if len(c.marker) > 0 && bytes.Contains(body, c.marker) {
		c.crash(b, r.Header.Get("Request-Id"))
		panic(http.ErrAbortHandler)
	}
	c.mu.Lock()
	c.running++
	c.mu.Unlock()
	time.Sleep(140 * time.Millisecond)
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
	b.answer(w, r, []byte("stored "+r.Header.Get("Request-Id")+"\n"))
}

func (c *crashing) crash(b *backend, id string) {
	c.mu.Lock()
	if c.current != b || c.stopped {
		c.mu.Unlock()
		return
	}
	c.current = nil
	c.poisoned = append(c.poisoned, time.Now())
	c.lost += c.running
	c.mu.Unlock()
	c.rec.line("backend %s crashes as it begins to run %s; %d others were running", b.id, id, c.running)
	b.stop()
	time.AfterFunc(c.down, func() {
		for c.start() != nil {
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (c *crashing) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.current != nil {
		c.current.stop()
	}
}

// judgeCrashes judges how often a request that crashes backends has reached them.
func judgeCrashes(w *world, upstreams []*crashing, ends map[int]int, sends int, contact time.Duration) (int, error) {
	var reached []time.Time
	lost := 0
	for _, c := range upstreams {
		c.mu.Lock()
		reached, lost = append(reached, c.poisoned...), lost+c.lost
		c.mu.Unlock()
	}
	sortTimes(reached)
	w.rec.say("other requests by status: %v", ends)
	if ends[200] == 0 {
		return cannotRun, errors.New("no other request was served")
	}
	after := 0
	for i, at := range reached {
		w.rec.line("the request that crashes has reached a backend for the %d. time at %.1f s", i+1, at.Sub(w.rec.start).Seconds())
		if len(reached) > 3 && at.After(reached[2].Add(contact)) {
			after++
		}
	}
	w.rec.say("the request that crashes was sent %d times and reached backends %d times; %d other requests were running there", sends, len(reached), lost)
	if after > 3 {
		w.rec.say("broken (BUDGET): it reached backends %d times later than contactS after it had crashed the third", after)
		return broken, nil
	}
	w.rec.say("held: it reached backends %d times later than contactS after it had crashed the third", after)
	return held, nil
}
