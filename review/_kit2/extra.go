package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// rawBackend is a stand-in for an application backend that writes its answers itself, so that it can send further ones. It
// serves one request at a time on a connection.
type rawBackend struct {
	*backend
	listener net.Listener
	// refuses and repeats decide whether a request is refused, and whether its answer is sent once more, late.
	refuses, repeats func() bool

	mu       sync.Mutex
	ran      map[string][]time.Time
	refused  int
	repeated int
}

func startRawBackend(id string, n *node, slots int, rec *record) (*rawBackend, error) {
	listener, err := net.Listen("tcp4", n.app)
	if err != nil {
		return nil, err
	}
	b := &rawBackend{
		backend: &backend{
			id: id, service: n.service, zone: n.zone, address: n.app, control: n.control, slots: slots, born: time.Now().UnixMilli(),
			rec: rec, stopped: make(chan struct{}), server: &http.Server{},
		},
		listener: listener, ran: map[string][]time.Time{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	go func() {
		<-b.stopped
		_ = listener.Close()
	}()
	go b.beat()
	return b, nil
}

// serve answers the requests of a connection. An answer that is sent once more is sent where the next one is expected, when
// the next request has arrived.
func (b *rawBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late, lateID := "", ""
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if late != "" {
			b.rec.line("backend %s sends its answer to %s once more, as %s has arrived", b.id, lateID, id)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := ""
		switch expected := r.Header.Get("Expected-Instance"); {
		case r.URL.Path == "/health":
			answer = "HTTP/1.1 200 OK\r\nInstance-Id: " + b.id + "\r\nContent-Length: 0\r\n\r\n"
		case expected != "" && expected != b.id:
			answer = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + b.id + "\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		case b.refuses():
			b.rec.line("backend %s refuses %s", b.id, id)
			b.mu.Lock()
			b.refused++
			b.mu.Unlock()
			answer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
		default:
			b.rec.line("backend %s runs %s", b.id, id)
			b.mu.Lock()
			b.ran[id] = append(b.ran[id], time.Now())
			b.mu.Unlock()
			time.Sleep(b.work)
			body := "done " + id + "\n"
			answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: signed-by-" + b.id +
				"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if id != "" && b.repeats() {
			b.mu.Lock()
			b.repeated++
			b.mu.Unlock()
			late, lateID = answer, id
		}
	}
}

func init() { cases["repeated-refusal"] = repeatedRefusal }

// repeatedRefusal: backends refuse a part of the requests, and now and then send an answer once more, late.
func repeatedRefusal(w *world) (int, error) {
	const (
		services  = 6
		disturbed = 3 // of the backends; garble has a share of 0.6
		timeout   = 5 * time.Second
		perS      = 20 // for each service
		forS      = 86
		refused   = 0.3
		repeated  = 0.03
		// Of every period, the disturbed backends refuse for 8.5 s, and repeat answers for 5 s of these.
		period, refusing, repeating = 12500 * time.Millisecond, 8500 * time.Millisecond, 5 * time.Second
	)
	names := []string{"desk"}
	var routes []route
	for i := range services {
		name := fmt.Sprintf("holdbay%d", i+1)
		names = append(names, name)
		routes = append(routes, route{
			Name: "hold" + name, Host: "desk.example", Prefix: "/" + name + "/", Kind: "non_idempotent", TimeoutS: 5, TargetLatencyS: 1.5,
			Service: name, MaxAttempts: 2,
		})
	}
	w.store.put("op/config", configuration("r1", names, routes, []tenant{{"garage", []string{"key-of-garage"}, 0, 500, 500}}))
	var holdbays []*rawBackend
	var startedAt time.Time // set before the first request
	within := func(window time.Duration, share float64) func() bool {
		return func() bool {
			return w.trouble && !startedAt.IsZero() && time.Since(startedAt)%period < window && rand.Float64() < share
		}
	}
	desk, err := w.addNode("sidecar-z3-1", "z3", "desk")
	if err != nil {
		return cannotRun, err
	}
	for i, name := range names[1:] {
		n, err := w.addNode(fmt.Sprintf("sidecar-z%d-%d", i%2+1, i/2+1), fmt.Sprintf("z%d", i%2+1), name)
		if err != nil {
			return cannotRun, err
		}
		b, err := startRawBackend("i-"+name, n, 175, w.rec)
		if err != nil {
			return cannotRun, err
		}
		defer b.stop()
		b.work = 160 * time.Millisecond
		never := func() bool { return false }
		b.refuses, b.repeats = never, never
		if i < disturbed {
			b.refuses, b.repeats = within(refusing, refused), within(repeating, repeated)
		}
		holdbays = append(holdbays, b)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return cannotRun, err
		}
	}
	if _, err := w.addBackend("i-desk", desk, 10); err != nil {
		return cannotRun, err
	}
	for _, n := range w.nodes {
		if !n.awaitReady(10 * time.Second) {
			return cannotRun, errors.New("a node is not ready")
		}
	}
	time.Sleep(5 * time.Second)

	startedAt = time.Now()
	var clients sync.WaitGroup
	var mu sync.Mutex
	status := map[string]int{}
	for i := range services * perS * forS {
		name := names[1+i%services]
		clients.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i)
			s, _ := post(desk, "/"+name+"/"+id, id, timeout, timeout+time.Second)
			w.rec.line("client at %s: POST /%s/%s -> %d", desk.name, name, id, s)
			mu.Lock()
			status[id] = s
			mu.Unlock()
		})
		time.Sleep(time.Second / (services * perS))
	}
	clients.Wait()
	time.Sleep(time.Second)

	ran := map[string]int{}
	refusals, extras := 0, 0
	for _, b := range holdbays {
		b.mu.Lock()
		for id, runs := range b.ran {
			ran[id] += len(runs)
		}
		refusals, extras = refusals+b.refused, extras+b.repeated
		b.mu.Unlock()
	}
	twice, lied := 0, 0
	ends := map[int]int{}
	for id, s := range status {
		ends[s]++
		if ran[id] > 1 {
			twice++
			w.rec.line("%s ran %d times; its answer was %d", id, ran[id], s)
		}
		if ran[id] > 0 && (s == 429 || s == 503 || s == 408 || s == 421) {
			lied++
			w.rec.line("%s ran and was answered %d", id, s)
		}
	}
	w.rec.say("answers by status: %v; the backends refused %d times and sent %d answers once more", ends, refusals, extras)
	if ends[200] == 0 {
		return cannotRun, errors.New("no request was served")
	}
	if twice+lied > 0 {
		w.rec.say("broken (TWICE, REFUSED): %d requests ran more than once, %d ran and were answered as not run", twice, lied)
		return broken, nil
	}
	w.rec.say("held: no request ran twice, and none that ran was answered as not run")
	return held, nil
}
