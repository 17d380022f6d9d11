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

// caller sends requests as callers do. It is safe for concurrent use.
type caller struct {
	http *http.Client
}

const (
	// patience is how much longer than its own limit a caller waits for the answer.
	patience           = 3 * time.Second
	connectionsPerNode = 256
	// longestRequest bounds a request whose node does not answer at all.
	longestRequest = 60 * time.Second
)

func newCaller() *caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: connectionsPerNode,
		DisableCompression:  true,
	}
	return &caller{http: &http.Client{Transport: transport, Timeout: longestRequest}}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// statusBroken stands for a request that got no complete answer.
const statusBroken = "broken"

// order is what a command asks to send.
type order struct {
	via                []*vm
	method, path       string
	keyName, idName    string
	size, timeoutMS    int
	count, parallel    int
	name, same         string
	status, code       []string
	outcome            string
	least              int
	rest               chan struct{} // closed when the second half of the body may go
	halfSent           chan struct{} // closed when the first half has gone
	halfOnce, restOnce *sync.Once
}

// exchange is the caller's record of one request.
type exchange struct {
	nonce, method, path string
	keyName, workspace  string
	requestID, via      string
	bodyHash            string
	sent, ended         time.Time
	// status is the HTTP status, or statusBroken.
	status        string
	code, outcome string
	answer        upstream.Response
	hash          uint64 // of the answer
	announced     string // hash that the upstream announced
	failure       error  // of a broken answer
}

func (e *exchange) String() string {
	return fmt.Sprintf("%s %s via %s: status %s, code %q, outcome %q, sent %s, took %v, id %.60s, failure %v", e.method, e.path, e.via,
		e.status, e.code, e.outcome, e.sent.Format("15:04:05.000"), e.ended.Sub(e.sent), e.requestID, e.failure)
}

func (w *world) parseOrder(args arguments) (order, error) {
	o := order{
		method: args.text("method", http.MethodGet), path: args.text("path", ""), keyName: args.text("key", ""),
		idName: args.text("id", ""), name: args.text("name", ""), same: args.text("same", ""), outcome: args.text("outcome", ""),
		rest: make(chan struct{}), halfSent: make(chan struct{}), halfOnce: &sync.Once{}, restOnce: &sync.Once{},
	}
	if value := args.text("status", ""); value != "" {
		o.status = strings.Split(value, "|")
	}
	if value := args.text("code", ""); value != "" {
		o.code = strings.Split(value, "|")
	}
	for _, field := range []struct {
		name     string
		value    *int
		fallback float64
	}{{"body", &o.size, 0}, {"timeout", &o.timeoutMS, 0}, {"count", &o.count, 1}, {"parallel", &o.parallel, 1}, {"least", &o.least, -1}} {
		number, err := args.number(field.name, field.fallback)
		if err != nil {
			return order{}, err
		}
		*field.value = int(number)
	}
	if o.path == "" || (o.keyName == "" && !strings.Contains(o.path, "/open/")) {
		return order{}, errors.New("path and key must be given")
	}
	var err error
	o.via, err = w.selected(args.list("via", "all")...)
	return o, err
}

// requestID returns the id that a name stands for. "new" is an unused one.
func (w *world) requestID(via *vm, name, keyName string) (string, error) {
	switch name {
	case "":
		return "", nil
	case "new":
		ids, err := w.issueIDs(via, keyName, 1)
		if err != nil {
			return "", err
		}
		return ids[0], nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	id, ok := w.ids[name]
	if !ok {
		return "", fmt.Errorf("there is no request id %q", name)
	}
	return id, nil
}

func (w *world) secret(keyName string) key {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.keys[keyName]
}

func (w *world) issueIDs(via *vm, keyName string, count int) ([]string, error) {
	url := fmt.Sprintf("http://%s%s?count=%d", via.address(portCaller), callers.RequestIDsPath, count)
	request, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		return nil, err
	}
	if keyName != "" {
		request.Header.Set("Authorization", "Bearer "+w.secret(keyName).secret)
	}
	response, err := w.client.http.Do(request)
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
		return nil, fmt.Errorf("request ids via %s: %s", via.name, response.Status)
	}
	return body.RequestIDs, nil
}

func (w *world) fetchIDs(_ *testscript.TestScript, args arguments) error {
	via, err := w.find(args.text("via", ""))
	if err != nil {
		return err
	}
	return poll(defaultDeadline, func(context.Context) error {
		ids, err := w.issueIDs(via, args.text("key", ""), len(args.names))
		if err != nil {
			return err
		}
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for i, name := range args.names {
			w.ids[name] = ids[i]
		}
		return nil
	})
}

// gatedBody holds its second half until rest is closed.
type gatedBody struct {
	io.Reader
	o    *order
	left int // of the first half
}

// Read passes the first half on at once and the second when it may go.
func (b *gatedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.o.halfOnce.Do(func() { close(b.o.halfSent) })
		<-b.o.rest
		return b.Reader.Read(p)
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// exchange sends one request and records what came back. An error means that nothing was sent.
func (w *world) exchange(o *order, via *vm, gated bool) (*exchange, error) {
	id, err := w.requestID(via, o.idName, o.keyName)
	if err != nil {
		return nil, err
	}
	k := w.secret(o.keyName)
	e := &exchange{
		nonce: uuid.NewString(), method: o.method, path: o.path, keyName: o.keyName, workspace: k.workspace,
		requestID: id, via: via.name,
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), o.size/16+1)[:o.size] // the same for each presentation of an id
	e.bodyHash = upstream.FormatHash(xxhash.Sum64(body))
	var reader io.Reader = bytes.NewReader(body)
	if gated {
		reader = &gatedBody{Reader: reader, o: o, left: o.size / 2}
	}
	// A body that cannot be rewound keeps the HTTP client from sending the request again by itself, which
	// it would do for a GET without a body whose connection broke.
	request, err := http.NewRequest(o.method, "http://"+via.address(portCaller)+o.path, io.NopCloser(reader))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(o.size)
	request.Header.Set(upstream.HeaderNonce, e.nonce)
	if k.secret != "" {
		request.Header.Set("Authorization", "Bearer "+k.secret)
	}
	if id != "" {
		request.Header.Set(call.HeaderRequestID, id)
	}
	if o.timeoutMS > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), patience+time.Duration(o.timeoutMS)*time.Millisecond)
		defer cancel()
		request = request.WithContext(ctx)
		request.Header.Set(call.HeaderTimeout, strconv.Itoa(o.timeoutMS))
	}
	w.mutex.Lock()
	w.exchanges = append(w.exchanges, e)
	w.mutex.Unlock()
	sent := time.Now()
	result := w.client.run(request)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	result.into(e)
	e.sent, e.ended = sent, time.Now()
	if o.name != "" {
		w.named[o.name] = e
	}
	return e, nil
}

// result is what came back.
type result struct {
	status  string
	header  http.Header
	body    []byte
	failure error
}

func (c *caller) run(request *http.Request) result {
	response, err := c.http.Do(request)
	if err != nil {
		return result{status: statusBroken, failure: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{status: statusBroken, failure: err}
	}
	return result{status: strconv.Itoa(response.StatusCode), header: response.Header, body: body}
}

// into fills in the record. The answer of an upstream carries the hash of its body; that of a node does
// not.
func (r result) into(e *exchange) {
	e.status, e.failure = r.status, r.failure
	if r.failure != nil {
		return
	}
	e.announced = r.header.Get(upstream.HeaderResponseHash)
	e.hash = xxhash.Sum64(r.body)
	if e.announced != "" {
		line, _, _ := bytes.Cut(r.body, []byte("\n"))
		_ = json.Unmarshal(line, &e.answer)
		return
	}
	var refusal httpresponse.RefusalBody
	if json.Unmarshal(r.body, &refusal) == nil {
		e.code, e.outcome = string(refusal.Code), refusal.Outcome
	}
}

// compare returns an error when an exchange is not as expected.
func (w *world) compare(o *order, e *exchange) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case o.status != nil && !slices.Contains(o.status, e.status) && (e.outcome == "" || !slices.Contains(o.status, e.outcome)):
		return fmt.Errorf("status is not %v: %v", o.status, e)
	case o.code != nil && !slices.Contains(o.code, e.code):
		return fmt.Errorf("code is not %v: %v", o.code, e)
	case o.outcome != "" && o.outcome != e.outcome:
		return fmt.Errorf("outcome is not %s: %v", o.outcome, e)
	}
	if o.same == "" {
		return nil
	}
	first := w.named[o.same]
	if first == nil || first.hash != e.hash || first.status != e.status {
		return fmt.Errorf("answer differs from that of %s: %v, %v", o.same, first, e)
	}
	return nil
}

// sendAll sends the requests of an order and returns how many were as expected and the first that
// was not.
func (w *world) sendAll(o *order, gated bool) (good int, firstBad error) {
	var mutex sync.Mutex
	var senders sync.WaitGroup
	next := 0
	for range max(1, o.parallel) {
		senders.Go(func() {
			for {
				mutex.Lock()
				number := next
				next++
				mutex.Unlock()
				if number >= o.count {
					return
				}
				e, err := w.exchange(o, o.via[number%len(o.via)], gated)
				if err == nil {
					err = w.compare(o, e)
				}
				mutex.Lock()
				if err == nil {
					good++
				} else if firstBad == nil {
					firstBad = err
				}
				mutex.Unlock()
			}
		})
	}
	senders.Wait()
	return good, firstBad
}

// verdict compares the results of an order with its expectation.
func (o *order) verdict(good int, firstBad error) error {
	needed := o.least
	if needed < 0 {
		needed = o.count
	}
	if good < needed {
		return fmt.Errorf("%d of %d requests were as expected, %d are needed: %w", good, o.count, needed, firstBad)
	}
	return nil
}

// send sends and compares. Several names in via take turns, unless count is 1: then each is sent to.
func (w *world) send(_ *testscript.TestScript, args arguments) error {
	o, err := w.parseOrder(args)
	if err != nil {
		return err
	}
	return w.sendOrder(&o)
}

func (w *world) sendOrder(o *order) error {
	o.count = max(o.count, len(o.via))
	good, firstBad := w.sendAll(o, false)
	return o.verdict(good, firstBad)
}

// job is work in the background.
type job struct {
	order    order
	end      chan struct{}
	endOnce  sync.Once
	done     chan struct{}
	mutex    sync.Mutex
	sent     int
	good     int
	firstBad error
}

func (j *job) stop() { j.endOnce.Do(func() { close(j.end) }) }

func (j *job) counts() (sent, good int, firstBad error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.sent, j.good, j.firstBad
}

func (j *job) add(err error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.sent++
	if err == nil {
		j.good++
	} else if j.firstBad == nil {
		j.firstBad = err
	}
}

func (w *world) newJob(args arguments, run func(*job)) (*job, error) {
	name, err := args.name(0, "job")
	if err != nil {
		return nil, err
	}
	o, err := w.parseOrder(args)
	if err != nil {
		return nil, err
	}
	j := &job{order: o, end: make(chan struct{}), done: make(chan struct{})}
	w.jobs[name] = j
	go func() {
		defer close(j.done)
		run(j)
	}()
	return j, nil
}

func (w *world) sendLater(_ *testscript.TestScript, args arguments) error {
	_, err := w.newJob(args, func(j *job) {
		good, firstBad := w.sendAll(&j.order, false)
		j.mutex.Lock()
		defer j.mutex.Unlock()
		j.sent, j.good, j.firstBad = j.order.count, good, firstBad
	})
	return err
}

// upload returns when the first half of every body has been handed to the connection.
func (w *world) upload(_ *testscript.TestScript, args arguments) error {
	j, err := w.newJob(args, func(j *job) {
		e, err := w.exchange(&j.order, j.order.via[0], true)
		if err == nil {
			err = w.compare(&j.order, e)
		}
		j.add(err)
	})
	if err != nil {
		return err
	}
	select {
	case <-j.order.halfSent:
		return nil
	case <-j.done:
		return fmt.Errorf("upload ended before its first half was sent: %w", j.firstBad)
	case <-time.After(defaultDeadline):
		return errors.New("first half of the upload was not taken")
	}
}

func (w *world) job(args arguments) (*job, error) {
	name, err := args.name(0, "job")
	if err != nil {
		return nil, err
	}
	j := w.jobs[name]
	if j == nil {
		return nil, fmt.Errorf("there is no job %q", name)
	}
	return j, nil
}

func (w *world) finish(_ *testscript.TestScript, args arguments) error {
	j, err := w.job(args)
	if err != nil {
		return err
	}
	j.order.restOnce.Do(func() { close(j.order.rest) })
	return w.join(nil, args)
}

func (w *world) join(_ *testscript.TestScript, args arguments) error {
	j, err := w.job(args)
	if err != nil {
		return err
	}
	select {
	case <-j.done:
	case <-time.After(2 * defaultDeadline):
		return errors.New("the job does not end")
	}
	_, good, firstBad := j.counts()
	return j.order.verdict(good, firstBad)
}

// load sends at a rate until its end, whether answers come or not. What is not as expected is compared
// by "check sent".
func (w *world) load(_ *testscript.TestScript, args arguments) error {
	rate, err := args.number("rate", 20)
	if err != nil {
		return err
	}
	_, err = w.newJob(args, func(j *job) {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		var open sync.WaitGroup
		defer open.Wait()
		for number := 0; ; number++ {
			select {
			case <-j.end:
				return
			case <-ticker.C:
			}
			open.Go(func() {
				e, err := w.exchange(&j.order, j.order.via[number%len(j.order.via)], false)
				if err == nil {
					err = w.compare(&j.order, e)
				}
				j.add(err)
			})
		}
	})
	return err
}

func (w *world) end(ts *testscript.TestScript, args arguments) error {
	j, err := w.job(args)
	if err != nil {
		return err
	}
	j.stop()
	select {
	case <-j.done:
	case <-time.After(2 * defaultDeadline):
		return errors.New("the load does not end")
	}
	sent, good, firstBad := j.counts()
	ts.Logf("%s: %d requests, %d as expected; first other: %v", args.names[0], sent, good, firstBad)
	return nil
}

func (w *world) stopJobs() {
	for _, j := range w.jobs {
		j.stop()
		j.order.restOnce.Do(func() { close(j.order.rest) })
	}
}
