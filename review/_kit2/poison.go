package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// upload sends a body in chunks, as clients may.
func upload(n *node, id string, body []byte, timeout time.Duration) (int, error) {
	conn, err := net.DialTimeout("tcp4", n.outbound, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout + 500*time.Millisecond))
	request, err := http.NewRequest(http.MethodPost, "http://snap.example/snap/photos", struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return 0, err
	}
	request.TransferEncoding = []string{"chunked"}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	request.Header.Set("Key", "key-of-garage")
	request.Close = true
	if err := request.Write(conn); err != nil {
		return 0, err
	}
	return readStatus(conn, request)
}

func init() { cases["poison"] = poison }

// poison: a request that crashes the backends that run it comes again and again, beside ordinary uploads to the same path.
func poison(w *world) (int, error) {
	const (
		contactS   = 3 * time.Second
		photoBytes = 100_000 // crack-snap: 60,000 on average, 360,000 at most
		timeout    = 2 * time.Second
	)
	w.store.put("op/config", configuration("r1", []string{"photos"}, []route{{
		Name: "snap", Host: "snap.example", Prefix: "/snap/", Kind: "upload", TimeoutS: 2, TargetLatencyS: 0.5, Priority: 1,
		Service: "photos", MaxAttempts: 2,
	}}, []tenant{{"garage", []string{"key-of-garage"}, 1, 500, 500}}))
	marker := []byte("this photo crashes the decoder")
	var upstreams []*crashing
	for i, zone := range []string{"z1", "z1", "z2", "z2", "z3", "z3"} {
		n, err := w.addNode(fmt.Sprintf("sidecar-%s-%d", zone, i%2+1), zone, "photos")
		if err != nil {
			return cannotRun, err
		}
		if err := n.start(); err != nil {
			return cannotRun, err
		}
		c := &crashing{node: n, rec: w.rec, down: 2500 * time.Millisecond, marker: marker}
		if err := c.start(); err != nil {
			return cannotRun, err
		}
		defer c.stop()
		upstreams = append(upstreams, c)
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
	ends := map[int]int{}
	for i := range 12 {
		n := w.nodes[i%len(w.nodes)]
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-end:
					return
				case <-time.After(400 * time.Millisecond):
				}
				body := bytes.Repeat([]byte(fmt.Sprintf("photo %d of client %d ", k, i)), photoBytes/16)
				id := fmt.Sprintf("photo-%d-%d", i, k)
				status, err := upload(n, id, body[:photoBytes], timeout)
				w.rec.line("client at %s: POST /snap/photos %s -> %d %v", n.name, id, status, errText(err))
				mu.Lock()
				ends[status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	sends := 0
	if w.trouble {
		body := append(bytes.Repeat([]byte("x"), photoBytes-len(marker)), marker...)
		for i := range 16 {
			n := w.nodes[i%len(w.nodes)]
			id := fmt.Sprintf("crash-%d", i)
			status, err := upload(n, id, body, timeout)
			sends++
			w.rec.line("client at %s: POST /snap/photos %s (the request that crashes) -> %d %v", n.name, id, status, errText(err))
			time.Sleep(2 * time.Second)
		}
	} else {
		time.Sleep(32 * time.Second)
	}
	close(end)
	clients.Wait()

	return judgeCrashes(w, upstreams, ends, sends, contactS)
}
