package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
)

// Outcomes of requests.
const (
	OutcomeOK               = "ok"
	OutcomeShed             = "shed" // took no slot
	OutcomeCanceled         = "canceled"
	OutcomeDeadline         = "deadline"
	OutcomeCrashed          = "crashed"
	OutcomeDied             = "died" // the response was truncated on request
	OutcomeBodyFailed       = "body_failed"
	OutcomeDownstreamFailed = "downstream_failed"
	OutcomeResponseFailed   = "answer_failed"
)

// Record is one request that reached the upstream.
type Record struct {
	// Run is the number of the request in its process, starting at 1.
	Run       uint64 `json:"run"`
	Process   int    `json:"process"`
	RequestID string `json:"request_id,omitempty"`
	Nonce     string `json:"nonce,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Workspace string `json:"workspace,omitempty"`
	// StartNS and EndNS are Unix times; EndNS is 0 while the request runs.
	StartNS int64 `json:"start_ns"`
	EndNS   int64 `json:"end_ns,omitempty"`
	// Started is set once the request has taken a slot, so that a shed request does not count as run.
	Started bool   `json:"started,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	// KeySeen is set when the request carried an Authorization header or a key.
	KeySeen   bool  `json:"key_seen,omitempty"`
	Draining  bool  `json:"draining,omitempty"`
	BodyBytes int64 `json:"body_bytes,omitempty"`
}

// Counts holds totals over all requests.
type Counts struct {
	Received           int64            `json:"received"`
	Started            int64            `json:"started"`
	KeysSeen           int64            `json:"keys_seen"`
	WhileDraining      int64            `json:"while_draining"`
	RefusedConnections int64            `json:"refused_connections"`
	DroppedRecords     int64            `json:"dropped_records"`
	Announcements      int64            `json:"announcements"`
	ConfigRevision     int64            `json:"config_revision"`
	ByOutcome          map[string]int64 `json:"by_outcome"`
	ByWorkspace        map[string]int64 `json:"by_workspace"`
}

// maxRecords bounds the memory of one upstream to about 300 MB.
const maxRecords = 1_000_000

// recorder keeps the records and counts of requests. It is safe for concurrent use.
type recorder struct {
	mutex   sync.Mutex
	records []*Record
	counts  Counts
	next    uint64
	file    *os.File
}

func newRecorder(path string) (*recorder, error) {
	r := &recorder{counts: Counts{ByOutcome: map[string]int64{}, ByWorkspace: map[string]int64{}}}
	if path == "" {
		return r, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("record_file %q: %w", path, err)
	}
	r.file = file
	return r, nil
}

// begin adds the record and writes it to the file before the request runs.
func (r *recorder) begin(record *Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.next++
	record.Run = r.next
	record.Process = os.Getpid()
	r.counts.Received++
	if record.KeySeen {
		r.counts.KeysSeen++
	}
	if record.Draining {
		r.counts.WhileDraining++
	}
	if len(r.records) < maxRecords {
		r.records = append(r.records, record)
	} else {
		r.counts.DroppedRecords++
	}
	r.write(record)
}

// start records that the request took a slot.
func (r *recorder) start(record *Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record.Started = true
	r.counts.Started++
	r.counts.ByWorkspace[record.Workspace]++
	r.write(record)
}

func (r *recorder) end(record *Record, nowNS, bodyBytes int64, outcome string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record.EndNS = nowNS
	record.BodyBytes = bodyBytes
	record.Outcome = outcome
	r.counts.ByOutcome[outcome]++
	r.write(record)
}

func (r *recorder) write(record *Record) {
	if r.file != nil {
		_ = json.NewEncoder(r.file).Encode(record)
	}
}

func (r *recorder) update(change func(*Counts)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.counts)
}

// writeCounts writes the counts as JSON.
func (r *recorder) writeCounts(w io.Writer) error {
	r.mutex.Lock()
	text, err := json.Marshal(r.counts)
	r.mutex.Unlock()
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// writeRecords writes all records as JSON lines.
func (r *recorder) writeRecords(w io.Writer) error {
	r.mutex.Lock()
	copies := make([]Record, len(r.records))
	for i, record := range r.records {
		copies[i] = *record
	}
	r.mutex.Unlock()
	encoder := json.NewEncoder(w)
	for i := range copies {
		if err := encoder.Encode(&copies[i]); err != nil {
			return err
		}
	}
	return nil
}
