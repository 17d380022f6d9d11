package requestid

import (
	"container/list"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

const shardCount = 32

// Digest identifies a request by its method, target and body.
type Digest = [sha256.Size]byte

// TableConfig bounds the memory of a Table.
type TableConfig struct {
	// MaxRecords bounds the number of records, at about 400 bytes each. Further ids are refused as not
	// run.
	MaxRecords int
	// ResponseBytes bounds the total size of the stored responses. The oldest are evicted first.
	ResponseBytes int64
}

// DefaultTableConfig returns the limits for 100 non-idempotent requests per second over 10 minutes within
// 40 MB.
func DefaultTableConfig() TableConfig {
	return TableConfig{MaxRecords: 60_000, ResponseBytes: 16 << 20}
}

// Response is a complete response and its size in memory. Value is opaque to the table.
type Response struct {
	Value any
	Size  int64
}

// Action is what the caller of Table.Begin must do.
type Action uint8

// Actions of Table.Begin.
const (
	// Run means that the caller holds Decision.Attempt and must finish it.
	Run Action = iota
	// Wait means that another attempt is in progress; call Begin again when Decision.Done is closed.
	Wait
	// Replay means that the request has run and Decision.Response is its response.
	Replay
	// Refuse means that the request is refused with Decision.Refusal.
	Refuse
)

// Decision is the result of Table.Begin. Only the field that belongs to the action is set.
type Decision struct {
	Action   Action
	Attempt  *Attempt
	Done     <-chan struct{}
	Response Response
	Refusal  *call.Refusal
}

type recordState uint8

const (
	running recordState = iota
	dispatched
	completed
	mayHaveRun
)

type record struct {
	sequence uint64
	digest   Digest
	expires  time.Time
	state    recordState
	done     chan struct{}
	response Response
	// responseElement is the element of the list of responses, nil when no response is stored.
	responseElement *list.Element
	// orderElement is the element of the order list.
	orderElement *list.Element
}

type tableShard struct {
	mu      sync.Mutex
	records map[uint64]*record
	// order lists records in order of creation, which is nearly the order of expiry, because all ids have
	// the same lifetime.
	order         *list.List
	responses     *list.List
	responseBytes int64
	// latest is the latest time seen. Expiry uses no earlier time: after a clock step back, an id whose
	// record was removed would otherwise be valid again.
	latest time.Time
}

// Table holds the records of the ids presented to their home. It is safe for concurrent use; ids are
// divided into shards by sequence, each with its own lock.
type Table struct {
	issuer *Issuer
	// Limits of each shard.
	maxRecords       int
	maxResponseBytes int64
	shards           [shardCount]tableShard
	// ignoreDispatch disables MarkDispatched, so that a test can show that it is needed.
	ignoreDispatch bool
}

// NewTable returns an empty Table for the ids of the issuer.
func NewTable(issuer *Issuer, config TableConfig) *Table {
	t := &Table{
		issuer:           issuer,
		maxRecords:       max(1, config.MaxRecords/shardCount),
		maxResponseBytes: config.ResponseBytes / shardCount,
	}
	for i := range t.shards {
		t.shards[i].records = map[uint64]*record{}
		t.shards[i].order = list.New()
		t.shards[i].responses = list.New()
	}
	return t
}

// Begin decides what to do with a presented id. It never blocks. If the action is Run, the caller must
// finish the attempt and should defer Attempt.Close.
func (t *Table) Begin(now time.Time, id ID, workspace string, digest Digest) Decision {
	if refusal := t.check(id, workspace); refusal != nil {
		return Decision{Action: Refuse, Refusal: refusal}
	}
	s := t.shard(id.Sequence)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if !id.Expires.After(s.latest) {
		return refuse(call.CodeRequestIDLost, call.MayHaveRun, "request id expired at %s", id.Expires.UTC().Format(time.RFC3339))
	}
	r, known := s.records[id.Sequence]
	if !known {
		return t.create(s, id, digest)
	}
	if r.digest != digest {
		return refuse(call.CodeRequestIDConflict, call.NotRun, "request id was used for another request")
	}
	return r.decide()
}

func (t *Table) check(id ID, workspace string) *call.Refusal {
	if id.WorkspaceHash != hashWorkspace(workspace) {
		return call.NewRefusal(call.CodeRequestIDConflict, call.NotRun, "request id belongs to another workspace")
	}
	err := t.issuer.Verify(id, workspace)
	switch {
	case errors.Is(err, ErrOtherHome):
		return call.NewRefusal(call.CodeRequestIDLost, call.MayHaveRun, "the node that issued the request id was replaced")
	case err != nil:
		return call.NewRefusal(call.CodeRequestIDInvalid, call.NotRun, "request id was not issued by this node")
	}
	return nil
}

func (t *Table) create(s *tableShard, id ID, digest Digest) Decision {
	if len(s.records) >= t.maxRecords {
		return refuse(call.CodeOverloaded, call.NotRun, "request id table is full")
	}
	r := &record{sequence: id.Sequence, digest: digest, expires: id.Expires, done: make(chan struct{})}
	s.records[id.Sequence] = r
	r.orderElement = s.order.PushBack(r)
	return Decision{Action: Run, Attempt: &Attempt{table: t, record: r}}
}

func (r *record) decide() Decision {
	switch {
	case r.state == running || r.state == dispatched:
		return Decision{Action: Wait, Done: r.done}
	case r.responseElement != nil:
		return Decision{Action: Replay, Response: r.response}
	case r.state == completed:
		return refuse(call.CodeRequestIDLost, call.MayHaveRun, "the request has run, but its answer is no longer kept")
	default:
		return refuse(call.CodeRequestIDLost, call.MayHaveRun, "the request was sent and its answer was lost")
	}
}

func refuse(code call.Code, outcome call.Outcome, format string, args ...any) Decision {
	return Decision{Action: Refuse, Refusal: call.NewRefusal(code, outcome, format, args...)}
}

// Len returns the number of records.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].records)
		t.shards[i].mu.Unlock()
	}
	return n
}

// Expire removes the records of expired ids. Begin does the same for one shard, so Expire is needed only
// to free memory when no ids are presented.
func (t *Table) Expire(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.expire(now)
		s.mu.Unlock()
	}
}

func (t *Table) shard(sequence uint64) *tableShard {
	return &t.shards[sequence%shardCount]
}

// expire removes expired records up to the first unexpired one, so that its cost is amortized over calls.
func (s *tableShard) expire(now time.Time) {
	if now.After(s.latest) {
		s.latest = now
	}
	for e := s.order.Front(); e != nil; e = s.order.Front() {
		r := e.Value.(*record)
		if r.expires.After(s.latest) {
			return
		}
		s.evictResponse(r)
		s.remove(r)
	}
}

func (s *tableShard) remove(r *record) {
	delete(s.records, r.sequence)
	s.order.Remove(r.orderElement)
}

func (s *tableShard) evictResponse(r *record) {
	if r.responseElement == nil {
		return
	}
	s.responses.Remove(r.responseElement)
	s.responseBytes -= r.response.Size
	r.responseElement, r.response = nil, Response{}
}

// Attempt is the permission to run the request of one id. It is used by one goroutine at a time. The first
// call that finishes it counts; later ones have no effect.
type Attempt struct {
	table    *Table
	record   *record
	finished bool
}

// MarkDispatched records that the request may run from now on. It must return before anything is sent
// that an upstream could run.
func (a *Attempt) MarkDispatched() {
	if a.table.ignoreDispatch {
		return
	}
	a.withLock(func(*tableShard) {
		if !a.finished {
			a.record.state = dispatched
		}
	})
}

// Finish records the response, which later presentations of the id get.
func (a *Attempt) Finish(response Response) {
	a.finish(func(s *tableShard) {
		a.record.state = completed
		s.storeResponse(a.record, response, a.table.maxResponseBytes)
	})
}

// FinishNotRun makes the id available for another attempt. The caller must be certain that no upstream ran
// any part of the request or will run it: every call sent got a not-run response.
func (a *Attempt) FinishNotRun() {
	a.finish(a.release)
}

// FinishMayHaveRun records that the request may have run without a response.
func (a *Attempt) FinishMayHaveRun() {
	a.finish(func(*tableShard) { a.record.state = mayHaveRun })
}

// Close finishes an unfinished attempt, for instance when its caller has disconnected, and returns the
// outcome: NotRun if nothing was dispatched, so that the id is available again, otherwise MayHaveRun. On a
// finished attempt it has no effect and returns MayHaveRun.
func (a *Attempt) Close() call.Outcome {
	outcome := call.MayHaveRun
	a.finish(func(s *tableShard) {
		if a.record.state == running {
			outcome = call.NotRun
			a.release(s)
			return
		}
		a.record.state = mayHaveRun
	})
	return outcome
}

func (a *Attempt) release(s *tableShard) {
	// The record may have expired; the id is then refused without it.
	if s.records[a.record.sequence] == a.record {
		s.remove(a.record)
	}
}

func (a *Attempt) finish(apply func(*tableShard)) {
	a.withLock(func(s *tableShard) {
		if a.finished {
			return
		}
		a.finished = true
		apply(s)
		close(a.record.done)
	})
}

func (a *Attempt) withLock(f func(*tableShard)) {
	s := a.table.shard(a.record.sequence)
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *tableShard) storeResponse(r *record, response Response, maxBytes int64) {
	if response.Size > maxBytes || !r.expires.After(s.latest) {
		return
	}
	r.response = response
	r.responseElement = s.responses.PushBack(r)
	s.responseBytes += response.Size
	for s.responseBytes > maxBytes {
		s.evictResponse(s.responses.Front().Value.(*record))
	}
}
