package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func httpClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// arrival is a request that has reached a backend.
type arrival struct {
	id, path string
	at       time.Time
}

// backend is a stand-in for an application backend.
type backend struct {
	id, service, zone, address, control string
	slots                               int
	born                                int64
	rec                                 *record
	// respond, if set, handles a request instead of the usual answer.
	respond func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	work     time.Duration // how long a request takes
	sequence int64
	leaving  bool
	gone     bool // sends no heartbeats any more
	arrivals []arrival
	server   *http.Server
	stopped  chan struct{}
	stopOnce sync.Once
}

func startBackend(id string, n *node, slots int, rec *record) (*backend, error) {
	listener, err := net.Listen("tcp4", n.app)
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: n.service, zone: n.zone, address: n.app, control: n.control, slots: slots, born: time.Now().UnixMilli(),
		rec: rec, stopped: make(chan struct{}),
		work: 20 * time.Millisecond,
	}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	go b.beat()
	return b, nil
}

func (b *backend) stop() {
	b.stopOnce.Do(func() {
		close(b.stopped)
		_ = b.server.Close()
	})
}

// ServeHTTP runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.Header().Set("Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{id, r.URL.Path, at})
	work := b.work
	b.mu.Unlock()
	b.rec.line("backend %s runs %s %s %s timeout %s caller %s tenant %q", b.id, r.Method, r.URL.Path, id, r.Header.Get("Timeout-Ms"),
		r.Header.Get("Caller-Service"), r.Header.Get("Tenant-Id"))
	if b.respond != nil {
		b.respond(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(work)
	b.answer(w, r, []byte("done "+id+"\n"))
}

func (b *backend) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "signed-by-"+b.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	b.mu.Lock()
	if b.leaving {
		w.Header().Set("Connection", "close")
	}
	b.mu.Unlock()
	_, _ = w.Write(body)
}

// message returns the next heartbeat.
func (b *backend) message(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	data, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "sequence": b.sequence, "warmupLeftS": 0},
	})
	return data
}

// send sends a message about the backend to its node and returns the status of the answer, or 0.
func (b *backend) send(method string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+b.control+"/v1/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient(time.Second).Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func (b *backend) beat() {
	for {
		b.mu.Lock()
		quiet, state := b.gone, "ready"
		if b.leaving {
			state = "draining"
		}
		b.mu.Unlock()
		if !quiet {
			b.send(http.MethodPut, b.message(state))
		}
		select {
		case <-b.stopped:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// leave says goodbye without a draining state before, and returns the status of the answer.
func (b *backend) leave() int {
	b.mu.Lock()
	b.leaving, b.gone = true, true
	b.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"born": b.born})
	return b.send(http.MethodDelete, data)
}

// drain reports that the backend is draining, and returns the status of the answer. The heartbeats go on.
func (b *backend) drain() int {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	return b.send(http.MethodPut, b.message("draining"))
}

// exit says goodbye, if the backend has not done so, and ends it.
func (b *backend) exit() {
	b.mu.Lock()
	gone := b.gone
	b.mu.Unlock()
	if !gone {
		b.rec.say("%s sends DELETE: answer %d", b.id, b.leave())
	}
	b.stop()
}

func (b *backend) setWork(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = work
}

func (b *backend) ran() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
