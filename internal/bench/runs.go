package bench

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/cowslipglade/cowslipglade/internal/emulator/upstream"
)

// Violations counts violated invariants; all must be 0.
type Violations struct {
	WrongResponses   int64 `json:"wrong_answers"`
	CorruptResponses int64 `json:"corrupt_answers"`
	// FalseNotRun counts attempts that were refused with outcome not_run although they ran.
	FalseNotRun int64 `json:"false_not_run"`
	// RanTwice counts non-idempotent requests that ran more than once.
	RanTwice int64 `json:"ran_twice"`
	// KeysSeen counts runs in which an upstream received credentials.
	KeysSeen int64 `json:"keys_seen"`
}

// runSummary counts runs in the records of all upstreams.
type runSummary struct {
	byNonce   map[string]int // started root runs by client attempt
	byRequest map[string]int // started runs of POST requests by request id
	byPath    map[string]int // started runs
	keysSeen  int64
}

func newRunSummary() runSummary {
	return runSummary{byNonce: map[string]int{}, byRequest: map[string]int{}, byPath: map[string]int{}}
}

// readRunRecords reads the record files of the deployment.
func (r *RunningDeployment) readRunRecords() (runSummary, error) {
	all := newRunSummary()
	for _, vm := range r.VMs {
		if err := all.readFile(r.RecordFile(vm)); err != nil {
			return runSummary{}, err
		}
	}
	return all, nil
}

// maxRecordLine limits the length of a line of a record file in bytes.
const maxRecordLine = 1 << 20

// readFile adds the runs of one file. Each run has up to three lines, of which only the one that records
// its start counts. Lines that a crash truncated are skipped.
func (r *runSummary) readFile(path string) error {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("bench: records: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxRecordLine)
	for lines.Scan() {
		var record upstream.Record
		if json.Unmarshal(lines.Bytes(), &record) == nil {
			r.add(record)
		}
	}
	return lines.Err()
}

func (r *runSummary) add(record upstream.Record) {
	if !record.Started || record.EndNS != 0 {
		return
	}
	if record.KeySeen {
		r.keysSeen++
	}
	r.byPath[record.Path]++
	if record.Nonce != "" {
		r.byNonce[record.Nonce]++
	}
	if record.RequestID != "" && record.Method != http.MethodGet {
		r.byRequest[record.RequestID]++
	}
}

// attemptsPerRequest returns the number of root runs per client attempt that ran.
func (r *runSummary) attemptsPerRequest() float64 {
	if len(r.byNonce) == 0 {
		return 0
	}
	total := 0
	for _, n := range r.byNonce {
		total += n
	}
	return float64(total) / float64(len(r.byNonce))
}

// downstreamRunsPerCall returns the number of runs of a downstream path per run that calls it, for the path
// with the highest value.
func (r *runSummary) downstreamRunsPerCall(d Deployment) float64 {
	most := 0.0
	for _, s := range d.Services {
		for _, c := range s.Calls {
			callers := 0
			for path, n := range r.byPath {
				if strings.HasPrefix(path, c.Prefix) {
					callers += n
				}
			}
			if callers > 0 {
				most = max(most, float64(r.byPath[c.Path])/float64(callers))
			}
		}
	}
	return most
}

// violations compares the runs with the responses that the clients received.
func (r *runSummary) violations(result Result) Violations {
	v := Violations{
		WrongResponses:   result.WrongResponses,
		CorruptResponses: result.CorruptResponses,
		KeysSeen:         r.keysSeen,
	}
	for _, nonce := range result.notRunNonces {
		if r.byNonce[nonce] > 0 {
			v.FalseNotRun++
		}
	}
	for _, n := range r.byRequest {
		if n > 1 {
			v.RanTwice++
		}
	}
	return v
}
