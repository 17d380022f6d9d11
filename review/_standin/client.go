package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is a request of a client with its answer.
type sent struct {
	id      string
	key     string
	machine string
	at      time.Time
	// status is 0 if the connection ended without an answer.
	status int
	after  time.Duration
}

// clients are the clients on one machine. They keep connections open for many requests.
type clients struct {
	fleet   *fleet
	machine string
	address string
	http    *http.Client

	mu       sync.Mutex
	requests []sent
	running  sync.WaitGroup
}

// idSequence numbers the requests of all clients.
var idSequence struct {
	sync.Mutex
	last int
}

func nextID() string {
	idSequence.Lock()
	defer idSequence.Unlock()
	idSequence.last++
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+idSequence.last)
}

func newClients(f *fleet, machine, address string) *clients {
	return &clients{fleet: f, machine: machine, address: address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send sends one request and waits for its answer.
func (c *clients) send(method, path, key string, timeout time.Duration) sent {
	s := sent{id: nextID(), key: key, machine: c.machine}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("one piece")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		panic(err) // unreachable: method and address are valid
	}
	r.Host = routeHost
	r.Header.Set("Request-Id", s.id)
	r.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if key != "" {
		r.Header.Set("Key", key)
	}
	s.at = time.Now()
	response, err := c.http.Do(r)
	if err == nil {
		s.status = response.StatusCode
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			s.status = 0
		}
		_ = response.Body.Close()
	}
	s.after = time.Since(s.at)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, s)
	return s
}

// run sends requests at a fixed interval until ctx ends.
func (c *clients) run(ctx context.Context, interval time.Duration, method, path, key string, timeout time.Duration) {
	c.running.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.running.Go(func() { c.send(method, path, key, timeout) })
			}
		}
	})
}

// all waits for the requests and returns them.
func (c *clients) all() []sent {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.requests...)
}
