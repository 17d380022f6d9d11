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
	"time"
)

// flaw is how an upstream misbehaves.
type flaw string

const (
	flawNone flaw = ""
	// flawLost runs requests and breaks the connection in place of an answer.
	flawLost flaw = "lost"
	// flawCut breaks off in the middle of an answer.
	flawCut flaw = "cut"
	// flawExtra sends a second answer after the first.
	flawExtra flaw = "extra"
	// flawForeign names another request in its answer.
	flawForeign flaw = "foreign"
	flawSlow    flaw = "slow"
	flawErrors  flaw = "errors"
	// flawEndlessHead and flawEndlessBody send bytes until the caller closes the connection.
	flawEndlessHead flaw = "endless head"
	flawEndlessBody flaw = "endless body"
)

const (
	upstreamSlots  = 16
	heartbeatEvery = 500 * time.Millisecond
	heartbeatLimit = time.Second // as the platform's upstreams wait for an acknowledgement
	workTime       = 15 * time.Millisecond
	slowFactor     = 20
	// flawShare is the share of the answers that a flaw spoils.
	flawShare = 0.3
	// innerShare is the share of the requests that make a call of their own.
	innerShare = 0.2
	innerLimit = time.Second
	// answerBytes is the longest answer, above what a node holds in memory before it passes it on.
	answerBytes = 96 << 10
	// endlessChunk bytes each endlessPause are 32 MB/s, so that a process above its limit is noticed in time.
	endlessChunk = 32 << 10
	endlessPause = time.Millisecond
)

// upstream is the stand-in beside one node. Restarts keep its address and change its instance.
type upstream struct {
	world   *world
	node    *node
	service string
	address string

	mu       sync.Mutex
	server   *http.Server
	instance string
	born     int64
	sequence int64
	draining bool
	flaw     flaw
	running  int
	beat     context.CancelFunc
	// replacing means that a new instance follows.
	replacing bool
}

// start begins a new instance.
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
	u.born, u.sequence, u.draining, u.running, u.flaw = time.Now().UnixMilli(), 0, false, 0, flawNone
	instance := u.instance
	u.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, instance) })}
	u.beat = cancel
	server := u.server
	go func() { _ = server.Serve(listener) }()
	go u.heartbeats(ctx)
	return nil
}

// crash ends the instance at once.
func (u *upstream) crash() {
	u.mu.Lock()
	server, beat := u.server, u.beat
	u.mu.Unlock()
	beat()
	_ = server.Close()
}

// drain says that the instance leaves, as often as it takes, and serves until the drain time has passed.
func (u *upstream) drain(ctx context.Context) {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	deadline := time.Now().Add(drainPatience)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if u.sendHeartbeat(ctx) == nil {
			sleep(ctx, drainTime)
			break
		}
		sleep(ctx, heartbeatEvery)
	}
	sleep(ctx, drainTime)
	u.crash()
}

// drainPatience is how long an upstream waits for the acknowledgement of its leave.
const drainPatience = 5 * time.Second

func (u *upstream) set(f flaw) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.flaw = f
}

func (u *upstream) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		_ = u.sendHeartbeat(ctx) // the next one follows
		sleep(ctx, heartbeatEvery)
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
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.node.domain, "slots": upstreamSlots},
		"status": map[string]any{"state": state, "sequence": u.sequence, "warmupLeftS": 0},
	})
	u.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+u.node.heartbeatAddress+"/v1/instances/"+instance, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := u.world.direct.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat: status %d", response.StatusCode)
	}
	if draining {
		u.world.ledger.drained(instance)
	}
	return nil
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request, instance string) {
	w.Header().Set("Instance-Id", instance)
	u.mu.Lock()
	f, draining, full := u.flaw, u.draining, u.running >= upstreamSlots
	u.mu.Unlock()
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
	u.running++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.running--
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request is not run
	}
	run := u.world.ledger.ran(r, id, instance, u, crc32.ChecksumIEEE(body))
	if f != flawSlow && f != flawNone && rand.Float64() >= flawShare {
		f = flawNone
	}
	u.work(r, f)
	u.answer(w, r, run, f)
}

// work is what a request costs, with a call of its own now and then.
func (u *upstream) work(r *http.Request, f flaw) {
	d := workTime
	if f == flawSlow {
		d *= slowFactor
	}
	sleep(r.Context(), time.Duration(float64(d)*(0.5+rand.Float64())))
	if strings.HasPrefix(r.URL.Path, innerPrefix) || rand.Float64() >= innerShare {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), innerLimit)
	defer cancel()
	u.world.clients.call(ctx, u.world.direct, u.node, request{path: innerPrefix + "x", kind: inner, timeout: innerLimit})
}

// answer sends a signed answer, which names instance, length and checksum.
func (u *upstream) answer(w http.ResponseWriter, r *http.Request, run *run, f flaw) {
	switch f {
	case flawErrors:
		w.Header().Set("Response-Signature", signature(run.Instance, nil))
		u.world.ledger.ended(run, http.StatusInternalServerError)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case flawLost:
		panic(http.ErrAbortHandler)
	case flawEndlessHead:
		endlessHead(w)
		return
	case flawEndlessBody:
		u.world.ledger.ended(run, http.StatusOK)
		endless(r.Context(), w)
		return
	case flawForeign:
		w.Header().Set("Request-Id", "another")
	}
	if u.world.config.Sabotage == SabotageRefusal && run.Kind == once {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := answerBody(run.ID)
	w.Header().Set("Response-Signature", signature(run.Instance, body))
	if u.world.config.Sabotage == SabotageCut {
		body = body[:len(body)/2]
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	u.world.ledger.ended(run, http.StatusOK)
	if f == flawCut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(body); err == nil { // the node may have gone
		u.world.ledger.wholeSent(run)
	}
	if f == flawExtra {
		u.extra(w, run)
	}
}

// endlessHead sends a field of the head that has no end.
func endlessHead(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nPadding: ") // endless reports the error
	endless(context.Background(), buffered)
}

// endless sends bytes until the receiver closes the connection or ctx ends.
func endless(ctx context.Context, w io.Writer) {
	chunk := bytes.Repeat([]byte("a"), endlessChunk)
	for ctx.Err() == nil {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// extra sends bytes after a complete answer.
func (u *upstream) extra(w http.ResponseWriter, run *run) {
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
	time.Sleep(workTime)
}

// answerBody is the answer to a request. Its length follows from the request's id.
func answerBody(id string) []byte {
	sum := crc32.ChecksumIEEE([]byte(id))
	return bytes.Repeat([]byte(id+"\n"), 1+int(sum%uint32(answerBytes/(len(id)+1))))
}

func signature(instance string, body []byte) string {
	return fmt.Sprintf("%s.%d.%08x", instance, len(body), crc32.ChecksumIEEE(body))
}
