package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond // heartbeatS of the settings
	heartbeatTimeout  = time.Second             // an acknowledgement that comes later does not count
	backendSlots      = 115
	workTime          = 78 * time.Millisecond
	healthPath        = "/health"
	// longSuffix ends the paths of requests that a backend runs for longWork.
	longSuffix = "/long"
	longWork   = 5800 * time.Millisecond
)

// execution is a request that a backend began to run.
type execution struct {
	id, instance, tenant string
	at                   time.Time
	finished             bool
}

// backend is a sound backend of a service.
type backend struct {
	rec      *record
	machine  string
	zone     string
	service  string
	address  string
	control  string // address for heartbeats
	instance string
	born     int64

	server *http.Server
	client *http.Client
	cancel context.CancelFunc
	// beating is closed when the regular heartbeats have ended.
	beating chan struct{}

	mu       sync.Mutex
	sequence int64
	leaving  bool
	// early makes the backend answer uploads before it has read them.
	early      bool
	executions []execution
	uploads    []upload
}

// upload is what a backend got of the body of an upload.
type upload struct {
	id, instance string
	body         []byte
	err          error // that ended the body, nil if it is complete
}

func (b *backend) start() error {
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.born = time.Now().UnixMilli()
	b.instance = "i-" + strconv.FormatInt(b.born, 36) + "-" + b.machine
	b.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	b.server = &http.Server{Handler: b}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.beating = make(chan struct{})
	go func() { _ = b.server.Serve(listener) }()
	go func() {
		defer close(b.beating)
		for ctx.Err() == nil {
			_ = b.send(b.heartbeat()) // without an acknowledgement the next heartbeat follows
			sleep(ctx, heartbeatInterval)
		}
	}()
	return nil
}

// stopHeartbeats ends the regular heartbeats after the last one has been acknowledged, and returns the next one.
func (b *backend) stopHeartbeats() []byte {
	b.cancel()
	<-b.beating
	return b.heartbeat()
}

// exit ends the backend and its connections.
func (b *backend) exit() {
	if b.server == nil {
		return // it did not start
	}
	b.cancel()
	_ = b.server.Close()
}

// heartbeat returns the next heartbeat.
func (b *backend) heartbeat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	data, err := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": backendSlots},
		"status": map[string]any{"state": "ready", "sequence": b.sequence, "warmupLeftS": 0},
	})
	if err != nil {
		panic(err) // unreachable: the values can be encoded
	}
	return data
}

// send sends a heartbeat to the node on the same machine. A nil error is an acknowledgement.
func (b *backend) send(heartbeat []byte) error {
	return b.call(http.MethodPut, heartbeat)
}

// leave tells the node that the backend leaves. A nil error is an acknowledgement.
func (b *backend) leave() error {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	return b.call(http.MethodDelete, []byte(fmt.Sprintf(`{"born":%d}`, b.born)))
}

func (b *backend) call(method string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.control+"/v1/instances/"+b.instance, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (b *backend) setEarly() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.early = true
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", b.instance)
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	if r.URL.Path == healthPath {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != b.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, uploadPath) {
		b.serveUpload(w, r, id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // an incomplete request does not run
	}
	index := b.begin(execution{id: id, instance: b.instance, tenant: r.Header.Get("Tenant-Id"), at: time.Now()})
	work := workTime
	if strings.HasSuffix(r.URL.Path, longSuffix) {
		work = longWork
	}
	sleep(r.Context(), work)
	if r.Context().Err() != nil {
		return // a backend drops a request when its connection closes
	}
	b.finish(index)
	b.answer(w, []byte("answer to "+id+"\n"))
}

// answer sends a signed answer.
func (b *backend) answer(w http.ResponseWriter, body []byte) {
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%d.%08x", b.instance, len(body), crc32.ChecksumIEEE(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

const (
	// uploadPath is the prefix of the route of uploads.
	uploadPath = "/sketch/"
	// earlyBytes is how much of an upload a backend has read when it answers early.
	earlyBytes = 10 << 10
	// uploadAnswerBytes is the size of its answer.
	uploadAnswerBytes = 100 << 10
)

// serveUpload reads an upload and answers it, early or at its end. In both cases it keeps the connection open until it
// has read the body or the node has closed the connection.
func (b *backend) serveUpload(w http.ResponseWriter, r *http.Request, id string) {
	conn, buffered, err := http.NewResponseController(w).Hijack() // net/http does not read on after an early answer
	if err != nil {
		return // the connection is closed
	}
	defer conn.Close()
	var body io.Reader = io.LimitReader(buffered, r.ContentLength)
	if r.ContentLength < 0 {
		body = httputil.NewChunkedReader(buffered)
	}
	b.mu.Lock()
	early := b.early
	b.mu.Unlock()
	u := upload{id: id, instance: b.instance}
	if early {
		first := make([]byte, earlyBytes)
		if _, err := io.ReadFull(body, first); err != nil {
			return // an incomplete request does not run
		}
		u.body = first
		b.answerUpload(buffered.Writer, r, id)
	}
	rest, err := io.ReadAll(body)
	u.body, u.err = append(u.body, rest...), err
	complete := err == nil && (r.ContentLength < 0 || int64(len(u.body)) == r.ContentLength)
	if err == nil && !complete {
		u.err = io.ErrUnexpectedEOF
	}
	if !early && complete {
		b.answerUpload(buffered.Writer, r, id)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uploads = append(b.uploads, u)
}

// answerUpload records that an upload runs, and answers it.
func (b *backend) answerUpload(w *bufio.Writer, r *http.Request, id string) {
	b.begin(execution{id: id, instance: b.instance, tenant: r.Header.Get("Tenant-Id"), at: time.Now(), finished: true})
	answer := bytes.Repeat([]byte("a"), uploadAnswerBytes)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nResponse-Signature: %s.%d.%08x\r\nContent-Length: %d\r\n\r\n",
		b.instance, id, b.instance, len(answer), crc32.ChecksumIEEE(answer), len(answer))
	_, _ = w.Write(answer)
	_ = w.Flush() // an error means that the node has closed the connection
}

func (b *backend) begin(e execution) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions = append(b.executions, e)
	return len(b.executions) - 1
}

func (b *backend) finish(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions[index].finished = true
}

// ran returns the requests that the backend has begun to run.
func (b *backend) ran() []execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]execution(nil), b.executions...)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
