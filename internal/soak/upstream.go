package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// failureMode is a way in which an upstream misbehaves.
type failureMode string

const (
	failureNone failureMode = ""
	// failureNoResponse runs requests and closes the connection without a response.
	failureNoResponse failureMode = "lost"
	// failureTruncated closes the connection in the middle of a response.
	failureTruncated failureMode = "cut"
	// failureExtraResponse sends a second response after the first.
	failureExtraResponse failureMode = "extra"
	// failureWrongRequestID sends the id of another request in the response.
	failureWrongRequestID failureMode = "foreign"
	failureSlow           failureMode = "slow"
	failureErrors         failureMode = "errors"
	// failureEndlessHeader and failureEndlessBody send bytes until the caller closes the connection.
	failureEndlessHeader failureMode = "endless head"
	failureEndlessBody   failureMode = "endless body"
	// failureTruncatedHeader closes the connection in the middle of a response header.
	failureTruncatedHeader failureMode = "cut head"
	// failureRepeatedRefusal sends a refusal of an earlier request before the response on a reused connection.
	failureRepeatedRefusal failureMode = "repeated refusal"
)

// requestCountKey is the context key of the number of requests on a connection.
type requestCountKey struct{}

const (
	upstreamSlots     = 16
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second // the acknowledgement timeout of the platform's upstreams
	serviceTime       = 15 * time.Millisecond
	slowFactor        = 20
	// failureFraction is the fraction of requests that a failure affects, except failureSlow, which affects all.
	failureFraction = 0.3
	// nestedFraction is the fraction of requests that make a nested request.
	nestedFraction = 0.2
	nestedTimeout  = time.Second
	// maxResponseBytes is the size of the largest response. It exceeds what a node buffers before it forwards.
	maxResponseBytes = 96 << 10
	// endlessChunkBytes per endlessPause are 32 MB/s, slow enough to detect a process above its memory limit in time.
	endlessChunkBytes = 32 << 10
	endlessPause      = time.Millisecond
)

// upstream simulates the upstream of one node. A restart keeps its address and changes its instance.
type upstream struct {
	deployment *deployment
	node       *node
	service    string
	address    string

	mu             sync.Mutex
	server         *http.Server
	instance       string
	startedMS      int64
	sequence       int64
	draining       bool
	failure        failureMode
	inFlight       int
	stopHeartbeats context.CancelFunc
	// replacing is set while the instance is being replaced.
	replacing bool
}

// start starts a new instance.
func (u *upstream) start() error {
	listener, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.address = listener.Addr().String()
	u.instance = "i-" + strconv.FormatUint(rand.Uint64(), 36)
	u.startedMS, u.sequence, u.draining, u.inFlight, u.failure = time.Now().UnixMilli(), 0, false, 0, failureNone
	instance := u.instance
	u.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, instance) }),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, requestCountKey{}, &atomic.Int64{})
		},
	}
	u.stopHeartbeats = cancel
	server := u.server
	go func() { _ = server.Serve(listener) }()
	go u.heartbeatLoop(ctx)
	return nil
}

// crash stops the instance immediately.
func (u *upstream) crash() {
	u.mu.Lock()
	server, stopHeartbeats := u.server, u.stopHeartbeats
	u.mu.Unlock()
	stopHeartbeats()
	_ = server.Close()
}

// drain announces that the instance is draining until the node acknowledges it or drainAckTimeout has passed, then
// serves for at least drainTime and stops.
func (u *upstream) drain(ctx context.Context) {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	deadline := time.Now().Add(drainAckTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if u.sendHeartbeat(ctx) == nil {
			sleep(ctx, drainTime)
			break
		}
		sleep(ctx, heartbeatInterval)
	}
	sleep(ctx, drainTime)
	u.crash()
}

// drainAckTimeout is how long an upstream waits for the acknowledgement of its drain.
const drainAckTimeout = 5 * time.Second

func (u *upstream) setFailure(mode failureMode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failure = mode
}

func (u *upstream) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_ = u.sendHeartbeat(ctx) // errors are ignored, as the next heartbeat follows
		sleep(ctx, heartbeatInterval)
	}
}

func (u *upstream) sendHeartbeat(ctx context.Context) error {
	u.mu.Lock()
	u.sequence++
	instance, draining, state := u.instance, u.draining, "ready"
	if draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"address": u.address, "born": u.startedMS,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.node.domain, "slots": upstreamSlots},
		"status": map[string]any{"state": state, "sequence": u.sequence, "warmupLeftS": 0},
	})
	u.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+u.node.heartbeatAddress+"/v1/instances/"+instance, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := u.deployment.httpClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat: status %d", response.StatusCode)
	}
	if draining {
		u.deployment.history.recordDrain(instance)
	}
	return nil
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request, instance string) {
	w.Header().Set("Instance-Id", instance)
	count, ok := r.Context().Value(requestCountKey{}).(*atomic.Int64)
	reused := ok && count.Add(1) > 1
	u.mu.Lock()
	mode, draining, full := u.failure, u.draining, u.inFlight >= upstreamSlots
	u.mu.Unlock()
	if mode == failureRepeatedRefusal && !reused {
		mode = failureNone // the first response on a connection is taken for that to its first request
	}
	if r.URL.Path == healthPath {
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	expected := r.Header.Get("Expected-Instance")
	if expected != "" && expected != instance || full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusMisdirectedRequest}[full])
		return
	}
	u.mu.Lock()
	u.inFlight++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.inFlight--
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // incomplete requests do not run
	}
	run := u.deployment.history.recordRun(r, id, instance, u, crc32.ChecksumIEEE(body))
	if mode != failureSlow && mode != failureNone && rand.Float64() >= failureFraction {
		mode = failureNone
	}
	u.simulateWork(r, mode)
	u.respond(w, r, run, mode)
}

// simulateWork waits for the service time and makes a nested request for a fraction of requests.
func (u *upstream) simulateWork(r *http.Request, mode failureMode) {
	d := serviceTime
	if mode == failureSlow {
		d *= slowFactor
	}
	sleep(r.Context(), time.Duration(float64(d)*(0.5+rand.Float64())))
	if strings.HasPrefix(r.URL.Path, nestedPrefix) || rand.Float64() >= nestedFraction {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), nestedTimeout)
	defer cancel()
	u.deployment.clients.call(ctx, u.deployment.httpClient, u.node, request{path: nestedPrefix + "x", kind: nested, timeout: nestedTimeout})
}

// respond sends the response with its signature, or fails as the failure mode asks.
func (u *upstream) respond(w http.ResponseWriter, r *http.Request, run *run, mode failureMode) {
	switch mode {
	case failureErrors:
		w.Header().Set("Response-Signature", signature(run.Instance, nil))
		u.deployment.history.recordStatus(run, http.StatusInternalServerError)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case failureNoResponse:
		panic(http.ErrAbortHandler)
	case failureEndlessHeader:
		writeEndlessHeader(w)
		return
	case failureEndlessBody:
		u.deployment.history.recordStatus(run, http.StatusOK)
		writeEndless(r.Context(), w)
		return
	case failureWrongRequestID:
		w.Header().Set("Request-Id", "another")
	}
	if u.deployment.config.Defect == DefectRefusal && run.Kind == nonIdempotent {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := responseBody(run.ID)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n", run.ID, signature(run.Instance, body))
	switch mode {
	case failureTruncatedHeader:
		writeRaw(w, head+"Content-Len")
		return
	case failureRepeatedRefusal:
		u.deployment.history.recordStatus(run, http.StatusOK)
		writeRaw(w, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			head, len(body), body))
		return
	}
	w.Header().Set("Response-Signature", signature(run.Instance, body))
	if u.deployment.config.Defect == DefectTruncate {
		body = body[:len(body)/2]
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	u.deployment.history.recordStatus(run, http.StatusOK)
	if mode == failureTruncated {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(body); err == nil { // the node may have exited
		u.deployment.history.recordComplete(run)
	}
	if mode == failureExtraResponse {
		u.writeExtraResponse(w, run)
	}
}

// writeRaw sends text in place of a response and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = buffered.WriteString(text)
	_ = buffered.Flush() // the node may have exited
}

// writeEndlessHeader sends a response header field that does not end.
func writeEndlessHeader(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nPadding: ") // writeEndless detects the error
	writeEndless(context.Background(), buffered)
}

// writeEndless sends bytes until the receiver closes the connection or ctx ends.
func writeEndless(ctx context.Context, w io.Writer) {
	chunk := bytes.Repeat([]byte("a"), endlessChunkBytes)
	for ctx.Err() == nil {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// writeExtraResponse sends a second response after a complete one.
func (u *upstream) writeExtraResponse(w http.ResponseWriter, run *run) {
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	conn, buffered, err := controller.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 5\r\n\r\nextra", run.ID)
	_ = buffered.Flush()
	time.Sleep(serviceTime)
}

// responseBody returns the body of the response to a request. Content and length are derived from the request id.
func responseBody(id string) []byte {
	sum := crc32.ChecksumIEEE([]byte(id))
	return bytes.Repeat([]byte(id+"\n"), 1+int(sum%uint32(maxResponseBytes/(len(id)+1))))
}

// signature returns the instance, the length of the body and its checksum.
func signature(instance string, body []byte) string {
	return fmt.Sprintf("%s.%d.%08x", instance, len(body), crc32.ChecksumIEEE(body))
}
