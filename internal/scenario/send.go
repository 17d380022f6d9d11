package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowslipglade/cowslipglade/call"
	callers "github.com/cowslipglade/cowslipglade/caller"
	"github.com/cowslipglade/cowslipglade/internal/emulator/upstream"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
)

// caller is an HTTP client that sends requests to nodes as callers do. It is safe for concurrent use.
type caller struct {
	http *http.Client
}

const (
	// responseGrace is how long a caller waits for a response beyond the timeout in its request.
	responseGrace      = 3 * time.Second
	connectionsPerNode = 256
	// requestTimeout limits a request when the node does not respond at all.
	requestTimeout = 60 * time.Second
)

func newCaller() *caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: connectionsPerNode,
		DisableCompression:  true,
	}
	return &caller{http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// statusBroken is the status of a request without a complete response.
const statusBroken = "broken"

// sendOptions holds the requests to send and the expected responses.
type sendOptions struct {
	via                   []*vm
	method, path          string
	keyName, idName       string
	size, timeoutMS       int
	count, parallel       int
	name, same            string
	status, code          []string
	outcome               string
	minMatched            int
	release               chan struct{} // closed to release the second half of the body
	halfSent              chan struct{} // closed when the first half has been sent
	halfOnce, releaseOnce *sync.Once
}

// exchange is the caller's record of one request.
type exchange struct {
	nonce, method, path string
	keyName, workspace  string
	requestID, via      string
	requestHash         string
	sent, ended         time.Time
	// status is the HTTP status, or statusBroken.
	status        string
	code, outcome string
	response      upstream.Response
	responseHash  uint64 // of the response body
	announcedHash string // hash in the upstream's response header
	err           error  // why no complete response arrived
}

func (e *exchange) String() string {
	return fmt.Sprintf("%s %s via %s: status %s, code %q, outcome %q, sent %s, took %v, id %.60s, error %v", e.method, e.path, e.via,
		e.status, e.code, e.outcome, e.sent.Format("15:04:05.000"), e.ended.Sub(e.sent), e.requestID, e.err)
}

func (h *harness) parseSendOptions(args arguments) (sendOptions, error) {
	opts := sendOptions{
		method: args.stringOption("method", http.MethodGet), path: args.stringOption("path", ""),
		keyName: args.stringOption("key", ""), idName: args.stringOption("id", ""), name: args.stringOption("name", ""),
		same: args.stringOption("same", ""), outcome: args.stringOption("outcome", ""),
		release: make(chan struct{}), halfSent: make(chan struct{}), halfOnce: &sync.Once{}, releaseOnce: &sync.Once{},
	}
	if value := args.stringOption("status", ""); value != "" {
		opts.status = strings.Split(value, "|")
	}
	if value := args.stringOption("code", ""); value != "" {
		opts.code = strings.Split(value, "|")
	}
	for _, field := range []struct {
		name         string
		value        *int
		defaultValue float64
	}{
		{"body", &opts.size, 0}, {"timeout", &opts.timeoutMS, 0}, {"count", &opts.count, 1},
		{"parallel", &opts.parallel, 1}, {"least", &opts.minMatched, -1},
	} {
		number, err := args.numberOption(field.name, field.defaultValue)
		if err != nil {
			return sendOptions{}, err
		}
		*field.value = int(number)
	}
	if opts.path == "" || (opts.keyName == "" && !strings.Contains(opts.path, "/open/")) {
		return sendOptions{}, errors.New("path and key must be given")
	}
	var err error
	opts.via, err = h.selectVMs(args.listOption("via", "all")...)
	return opts, err
}

// requestID returns the request ID stored under a name. The name "new" returns an unused one.
func (h *harness) requestID(via *vm, name, keyName string) (string, error) {
	switch name {
	case "":
		return "", nil
	case "new":
		ids, err := h.issueRequestIDs(via, keyName, 1)
		if err != nil {
			return "", err
		}
		return ids[0], nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	id, ok := h.requestIDs[name]
	if !ok {
		return "", fmt.Errorf("unknown request ID %q", name)
	}
	return id, nil
}

func (h *harness) lookupKey(keyName string) key {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.keys[keyName]
}

func (h *harness) issueRequestIDs(via *vm, keyName string, count int) ([]string, error) {
	url := fmt.Sprintf("http://%s%s?count=%d", via.address(portCaller), callers.RequestIDsPath, count)
	request, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		return nil, err
	}
	if keyName != "" {
		request.Header.Set("Authorization", "Bearer "+h.lookupKey(keyName).secret)
	}
	response, err := h.client.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		RequestIDs []string `json:"request_ids"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, err
	}
	if len(body.RequestIDs) != count {
		return nil, fmt.Errorf("issue request IDs via %s: %s", via.name, response.Status)
	}
	return body.RequestIDs, nil
}

func (h *harness) fetchIDs(_ *testscript.TestScript, args arguments) error {
	via, err := h.findVM(args.stringOption("via", ""))
	if err != nil {
		return err
	}
	return poll(defaultDeadline, func(context.Context) error {
		ids, err := h.issueRequestIDs(via, args.stringOption("key", ""), len(args.operands))
		if err != nil {
			return err
		}
		h.mutex.Lock()
		defer h.mutex.Unlock()
		for i, name := range args.operands {
			h.requestIDs[name] = ids[i]
		}
		return nil
	})
}

// gatedBody holds back the second half of a body until opts.release is closed.
type gatedBody struct {
	io.Reader
	opts          *sendOptions
	firstHalfLeft int // bytes
}

// Read returns the first half at once and blocks before the second until it is released.
func (b *gatedBody) Read(p []byte) (int, error) {
	if b.firstHalfLeft == 0 {
		b.opts.halfOnce.Do(func() { close(b.opts.halfSent) })
		<-b.opts.release
		return b.Reader.Read(p)
	}
	n, err := b.Reader.Read(p[:min(len(p), b.firstHalfLeft)])
	b.firstHalfLeft -= n
	return n, err
}

// exchange sends one request and records the result. An error means that nothing was sent.
func (h *harness) exchange(opts *sendOptions, via *vm, gated bool) (*exchange, error) {
	id, err := h.requestID(via, opts.idName, opts.keyName)
	if err != nil {
		return nil, err
	}
	k := h.lookupKey(opts.keyName)
	e := &exchange{
		nonce: uuid.NewString(), method: opts.method, path: opts.path, keyName: opts.keyName, workspace: k.workspace,
		requestID: id, via: via.name,
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), opts.size/16+1)[:opts.size] // equal for all uses of a request ID
	e.requestHash = upstream.FormatHash(xxhash.Sum64(body))
	var reader io.Reader = bytes.NewReader(body)
	if gated {
		reader = &gatedBody{Reader: reader, opts: opts, firstHalfLeft: opts.size / 2}
	}
	// A body that cannot be rewound prevents the HTTP client from retrying on its own, which it would do for a
	// GET without a body after a connection error.
	request, err := http.NewRequest(opts.method, "http://"+via.address(portCaller)+opts.path, io.NopCloser(reader))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(opts.size)
	request.Header.Set(upstream.HeaderNonce, e.nonce)
	if k.secret != "" {
		request.Header.Set("Authorization", "Bearer "+k.secret)
	}
	if id != "" {
		request.Header.Set(call.HeaderRequestID, id)
	}
	if opts.timeoutMS > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), responseGrace+time.Duration(opts.timeoutMS)*time.Millisecond)
		defer cancel()
		request = request.WithContext(ctx)
		request.Header.Set(call.HeaderTimeout, strconv.Itoa(opts.timeoutMS))
	}
	h.mutex.Lock()
	h.exchanges = append(h.exchanges, e)
	h.mutex.Unlock()
	sent := time.Now()
	result := h.client.do(request)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	result.record(e)
	e.sent, e.ended = sent, time.Now()
	if opts.name != "" {
		h.namedExchanges[opts.name] = e
	}
	return e, nil
}

// result is the response to a request, or the error that prevented a complete response.
type result struct {
	status string
	header http.Header
	body   []byte
	err    error
}

func (c *caller) do(request *http.Request) result {
	response, err := c.http.Do(request)
	if err != nil {
		return result{status: statusBroken, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{status: statusBroken, err: err}
	}
	return result{status: strconv.Itoa(response.StatusCode), header: response.Header, body: body}
}

// record copies the result into an exchange. Responses of upstreams carry a hash of their body, and responses of
// nodes do not.
func (r result) record(e *exchange) {
	e.status, e.err = r.status, r.err
	if r.err != nil {
		return
	}
	e.announcedHash = r.header.Get(upstream.HeaderResponseHash)
	e.responseHash = xxhash.Sum64(r.body)
	if e.announcedHash != "" {
		line, _, _ := bytes.Cut(r.body, []byte("\n"))
		_ = json.Unmarshal(line, &e.response)
		return
	}
	var refusal httpresponse.RefusalBody
	if json.Unmarshal(r.body, &refusal) == nil {
		e.code, e.outcome = string(refusal.Code), refusal.Outcome
	}
}

// compare returns an error if an exchange does not match the expectations.
func (h *harness) compare(opts *sendOptions, e *exchange) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case opts.status != nil && !slices.Contains(opts.status, e.status) && (e.outcome == "" || !slices.Contains(opts.status, e.outcome)):
		return fmt.Errorf("status is not %v: %v", opts.status, e)
	case opts.code != nil && !slices.Contains(opts.code, e.code):
		return fmt.Errorf("code is not %v: %v", opts.code, e)
	case opts.outcome != "" && opts.outcome != e.outcome:
		return fmt.Errorf("outcome is not %s: %v", opts.outcome, e)
	}
	if opts.same == "" {
		return nil
	}
	first := h.namedExchanges[opts.same]
	if first == nil || first.responseHash != e.responseHash || first.status != e.status {
		return fmt.Errorf("response differs from that of %s: %v, %v", opts.same, first, e)
	}
	return nil
}

// sendAll sends all requests and returns how many matched the expectations and the error of the first that did not.
func (h *harness) sendAll(opts *sendOptions, gated bool) (matched int, firstMismatch error) {
	var mutex sync.Mutex
	var senders sync.WaitGroup
	next := 0
	for range max(1, opts.parallel) {
		senders.Go(func() {
			for {
				mutex.Lock()
				number := next
				next++
				mutex.Unlock()
				if number >= opts.count {
					return
				}
				e, err := h.exchange(opts, opts.via[number%len(opts.via)], gated)
				if err == nil {
					err = h.compare(opts, e)
				}
				mutex.Lock()
				if err == nil {
					matched++
				} else if firstMismatch == nil {
					firstMismatch = err
				}
				mutex.Unlock()
			}
		})
	}
	senders.Wait()
	return matched, firstMismatch
}

// checkMatched checks that enough requests matched the expectations.
func (opts *sendOptions) checkMatched(matched int, firstMismatch error) error {
	required := opts.minMatched
	if required < 0 {
		required = opts.count
	}
	if matched < required {
		return fmt.Errorf("%d of %d requests were as expected, want at least %d: %w", matched, opts.count, required, firstMismatch)
	}
	return nil
}

// send sends requests and checks the results. The VMs in via are used in turn, and each at least once.
func (h *harness) send(_ *testscript.TestScript, args arguments) error {
	opts, err := h.parseSendOptions(args)
	if err != nil {
		return err
	}
	return h.sendAndCheck(&opts)
}

func (h *harness) sendAndCheck(opts *sendOptions) error {
	opts.count = max(opts.count, len(opts.via))
	matched, firstMismatch := h.sendAll(opts, false)
	return opts.checkMatched(matched, firstMismatch)
}

// job is a background task of a script.
type job struct {
	opts          sendOptions
	stopping      chan struct{}
	stopOnce      sync.Once
	done          chan struct{}
	mutex         sync.Mutex
	sent          int
	matched       int
	firstMismatch error
}

func (j *job) stop() { j.stopOnce.Do(func() { close(j.stopping) }) }

func (j *job) counts() (sent, matched int, firstMismatch error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.sent, j.matched, j.firstMismatch
}

func (j *job) record(err error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.sent++
	if err == nil {
		j.matched++
	} else if j.firstMismatch == nil {
		j.firstMismatch = err
	}
}

func (h *harness) newJob(args arguments, run func(*job)) (*job, error) {
	name, err := args.operand(0, "job")
	if err != nil {
		return nil, err
	}
	opts, err := h.parseSendOptions(args)
	if err != nil {
		return nil, err
	}
	j := &job{opts: opts, stopping: make(chan struct{}), done: make(chan struct{})}
	h.jobs[name] = j
	go func() {
		defer close(j.done)
		run(j)
	}()
	return j, nil
}

func (h *harness) sendLater(_ *testscript.TestScript, args arguments) error {
	_, err := h.newJob(args, func(j *job) {
		matched, firstMismatch := h.sendAll(&j.opts, false)
		j.mutex.Lock()
		defer j.mutex.Unlock()
		j.sent, j.matched, j.firstMismatch = j.opts.count, matched, firstMismatch
	})
	return err
}

// upload sends a request in the background and returns when the HTTP client has consumed the first half of its body.
func (h *harness) upload(_ *testscript.TestScript, args arguments) error {
	j, err := h.newJob(args, func(j *job) {
		e, err := h.exchange(&j.opts, j.opts.via[0], true)
		if err == nil {
			err = h.compare(&j.opts, e)
		}
		j.record(err)
	})
	if err != nil {
		return err
	}
	select {
	case <-j.opts.halfSent:
		return nil
	case <-j.done:
		return fmt.Errorf("upload ended before its first half was sent: %w", j.firstMismatch)
	case <-time.After(defaultDeadline):
		return errors.New("timed out waiting for the first half of the upload to be sent")
	}
}

func (h *harness) findJob(args arguments) (*job, error) {
	name, err := args.operand(0, "job")
	if err != nil {
		return nil, err
	}
	j := h.jobs[name]
	if j == nil {
		return nil, fmt.Errorf("unknown job %q", name)
	}
	return j, nil
}

func (h *harness) finish(_ *testscript.TestScript, args arguments) error {
	j, err := h.findJob(args)
	if err != nil {
		return err
	}
	j.opts.releaseOnce.Do(func() { close(j.opts.release) })
	return h.join(nil, args)
}

func (h *harness) join(_ *testscript.TestScript, args arguments) error {
	j, err := h.findJob(args)
	if err != nil {
		return err
	}
	select {
	case <-j.done:
	case <-time.After(2 * defaultDeadline):
		return errors.New("timed out waiting for the job to end")
	}
	_, matched, firstMismatch := j.counts()
	return j.opts.checkMatched(matched, firstMismatch)
}

// load sends requests at a fixed rate, regardless of responses, until the end command. "check sent" checks the
// results.
func (h *harness) load(_ *testscript.TestScript, args arguments) error {
	rate, err := args.numberOption("rate", 20)
	if err != nil {
		return err
	}
	_, err = h.newJob(args, func(j *job) {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		var inFlight sync.WaitGroup
		defer inFlight.Wait()
		for number := 0; ; number++ {
			select {
			case <-j.stopping:
				return
			case <-ticker.C:
			}
			inFlight.Go(func() {
				e, err := h.exchange(&j.opts, j.opts.via[number%len(j.opts.via)], false)
				if err == nil {
					err = h.compare(&j.opts, e)
				}
				j.record(err)
			})
		}
	})
	return err
}

func (h *harness) end(ts *testscript.TestScript, args arguments) error {
	j, err := h.findJob(args)
	if err != nil {
		return err
	}
	j.stop()
	select {
	case <-j.done:
	case <-time.After(2 * defaultDeadline):
		return errors.New("timed out waiting for the load to end")
	}
	sent, matched, firstMismatch := j.counts()
	ts.Logf("%s: %d requests, %d as expected; first mismatch: %v", args.operands[0], sent, matched, firstMismatch)
	return nil
}

func (h *harness) stopJobs() {
	for _, j := range h.jobs {
		j.stop()
		j.opts.releaseOnce.Do(func() { close(j.opts.release) })
	}
}
