package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowslipglade/cowslipglade/internal/emulator/upstream"
)

// run is the execution of one request at an upstream.
type run struct {
	upstream.Record
	vm *vm
}

// readRecords reads the record file of an upstream, which includes the runs of processes that were killed.
func (h *harness) readRecords(v *vm) ([]run, error) {
	text, err := os.ReadFile(h.recordFile(v))
	if err != nil {
		return nil, err
	}
	type runID struct {
		process int
		run     uint64
	}
	latest := map[runID]int{}
	var runs []run
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var r upstream.Record
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			continue // incomplete line of a process that was killed while writing it
		}
		id := runID{r.Process, r.Run}
		if index, ok := latest[id]; ok {
			runs[index].Record = r
			continue
		}
		latest[id] = len(runs)
		runs = append(runs, run{r, v})
	}
	return runs, lines.Err()
}

// observations are the records of callers and upstreams.
type observations struct {
	exchanges []*exchange
	runs      []run
	byNonce   map[string][]run // started runs
	byID      map[string][]run // started runs of non-idempotent requests, by the request ID that the caller sent
}

func (h *harness) observe() (*observations, error) {
	obs := &observations{byNonce: map[string][]run{}, byID: map[string][]run{}}
	h.mutex.Lock()
	for _, e := range h.exchanges {
		snapshot := *e
		obs.exchanges = append(obs.exchanges, &snapshot)
	}
	h.mutex.Unlock()
	for _, v := range h.vms {
		runs, err := h.readRecords(v)
		if err != nil {
			return nil, err
		}
		obs.runs = append(obs.runs, slices.DeleteFunc(runs, func(r run) bool { return r.Workspace == readinessWorkspace })...)
	}
	requestIDs := map[string]string{} // by nonce
	for _, e := range obs.exchanges {
		requestIDs[e.nonce] = e.requestID
	}
	for _, r := range obs.runs {
		if !r.Started {
			continue
		}
		if r.Nonce != "" {
			obs.byNonce[r.Nonce] = append(obs.byNonce[r.Nonce], r)
		}
		if r.Method != http.MethodGet {
			obs.byID[requestIDs[r.Nonce]] = append(obs.byID[requestIDs[r.Nonce]], r)
		}
	}
	return obs, nil
}

func (h *harness) check(ts *testscript.TestScript, args arguments) error {
	kind, err := args.operand(0, "kind of check")
	if err != nil {
		return err
	}
	obs, err := h.observe()
	if err != nil {
		return err
	}
	remaining := arguments{operands: args.operands[1:], options: args.options}
	var errs []error
	switch kind {
	case "all":
		errs = append(errs, obs.checkAtMostOnce(), obs.checkNotRun(), obs.checkResponses(), obs.checkKeys(h), h.checkLogs())
		refused, answered, broken := obs.countResults()
		ts.Logf("%d requests: %d answered, %d refused, %d broken; %d runs", len(obs.exchanges), answered, refused, broken, len(obs.runs))
	case "once":
		errs = append(errs, obs.checkAtMostOnce())
	case "not-run":
		errs = append(errs, obs.checkNotRun())
	case "whole":
		errs = append(errs, obs.checkResponses())
	case "rate":
		errs = append(errs, h.checkRate(ts, obs, remaining))
	case "runs":
		errs = append(errs, h.checkRunRatio(ts, obs, remaining))
	case "none":
		errs = append(errs, h.checkNoneSince(obs, remaining))
	case "refused":
		errs = append(errs, obs.checkRefusals(ts, remaining))
	case "sent":
		errs = append(errs, h.checkMatchRatio(ts, remaining))
	default:
		errs = append(errs, fmt.Errorf("unknown check %q", kind))
	}
	return errors.Join(errs...)
}

func (obs *observations) countResults() (refused, answered, broken int) {
	for _, e := range obs.exchanges {
		switch {
		case e.status == statusBroken || e.status == "":
			broken++
		case e.announcedHash != "":
			answered++
		default:
			refused++
		}
	}
	return refused, answered, broken
}

// checkAtMostOnce checks invariant 7 against the records of the upstreams.
func (obs *observations) checkAtMostOnce() error {
	var errs []error
	for id, runs := range obs.byID {
		if id == "" || len(runs) > 1 {
			errs = append(errs, fmt.Errorf("non-idempotent request %q ran %d times: %s", id, len(runs), describe(runs)))
		}
	}
	return errors.Join(errs...)
}

func describe(runs []run) string {
	text := ""
	for _, r := range runs {
		text += fmt.Sprintf("[%s at %s, %s, nonce %s]", r.vm.name, time.Unix(0, r.StartNS).Format("15:04:05.000"), r.Outcome, r.Nonce)
	}
	return text
}

// checkNotRun checks invariant 6: a request refused with outcome not_run did not run, and no request with the same
// ID had run when it was sent. A later request with that ID may run.
func (obs *observations) checkNotRun() error {
	var errs []error
	for _, e := range obs.exchanges {
		if e.outcome != "not_run" {
			continue
		}
		runs := obs.byNonce[e.nonce]
		for _, r := range obs.byID[e.requestID] {
			if e.requestID != "" && r.StartNS < e.sent.UnixNano() {
				runs = append(runs, r)
			}
		}
		if len(runs) > 0 {
			errs = append(errs, fmt.Errorf("refused with outcome not_run, but ran: %v: %s", e, describe(runs)))
		}
	}
	return errors.Join(errs...)
}

// checkResponses checks invariant 5: a response that the caller received as complete is complete, belongs to the
// request and was produced by a run of it.
func (obs *observations) checkResponses() error {
	var errs []error
	for _, e := range obs.exchanges {
		if e.announcedHash == "" {
			if e.status == "200" {
				errs = append(errs, fmt.Errorf("status 200 without an upstream's response: %v", e))
			}
			continue
		}
		belongs := e.response.Nonce == e.nonce
		for _, r := range obs.byID[e.requestID] {
			// A repeated request gets the response to the first one.
			belongs = belongs || (e.requestID != "" && r.Nonce == e.response.Nonce)
		}
		switch {
		case upstream.FormatHash(e.responseHash) != e.announcedHash:
			errs = append(errs, fmt.Errorf("response differs from what the upstream sent: %v", e))
		case !belongs:
			errs = append(errs, fmt.Errorf("response belongs to another request: %v", e))
		case e.response.BodyHash != e.requestHash:
			errs = append(errs, fmt.Errorf("upstream received a different request body: %v", e))
		case len(obs.byNonce[e.response.Nonce]) == 0:
			errs = append(errs, fmt.Errorf("response without a run: %v", e))
		}
	}
	return errors.Join(errs...)
}

// checkKeys checks the first part of invariant 3: no upstream receives a key, and a request runs only for the
// workspace of its key. It also checks that no key appears in the logs of nodes.
func (obs *observations) checkKeys(h *harness) error {
	var errs []error
	for _, r := range obs.runs {
		if r.KeySeen {
			errs = append(errs, fmt.Errorf("an upstream received a key: %s", describe([]run{r})))
		}
	}
	for _, e := range obs.exchanges {
		for _, r := range obs.byNonce[e.nonce] {
			if r.Workspace != e.workspace {
				errs = append(errs, fmt.Errorf("ran for workspace %q, want %q: %v", r.Workspace, e.workspace, e))
			}
		}
	}
	paths, _ := filepath.Glob(filepath.Join(h.dir, "*.node.log"))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for name, k := range h.keys {
			if bytes.Contains(text, []byte(k.secret)) {
				errs = append(errs, fmt.Errorf("%s contains key %s", filepath.Base(path), name))
			}
		}
	}
	return errors.Join(errs...)
}

// checkLogs searches the logs of all processes for race detector reports, panics and fatal errors.
func (h *harness) checkLogs() error {
	paths, err := filepath.Glob(filepath.Join(h.dir, "*.log"))
	for _, path := range paths {
		text, readErr := os.ReadFile(path)
		err = errors.Join(err, readErr)
		for _, marker := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
			if index := bytes.Index(text, []byte(marker)); index >= 0 {
				err = errors.Join(err, fmt.Errorf("%s: %.3000s", filepath.Base(path), text[index:]))
			}
		}
	}
	return err
}

// checkRate checks invariant 4 in every window between the start of one request and the end of another. A request
// that was both sent and ended in a window was admitted in it.
func (h *harness) checkRate(ts *testscript.TestScript, obs *observations, args arguments) error {
	name, err := args.operand(0, "workspace")
	if err != nil {
		return err
	}
	q := h.workspaces[name]
	var admitted []*exchange
	for _, e := range obs.exchanges {
		if e.workspace == name && !e.ended.IsZero() && len(obs.byNonce[e.nonce]) > 0 {
			admitted = append(admitted, e)
		}
	}
	slices.SortFunc(admitted, func(a, b *exchange) int { return a.ended.Compare(b.ended) })
	worst := 0.0
	for _, first := range admitted {
		count := 0
		for _, e := range admitted {
			if e.sent.Before(first.sent) {
				continue
			}
			count++
			window := e.ended.Sub(first.sent).Seconds()
			allowed := float64(q.burst) + q.rate*window
			worst = max(worst, float64(count)/allowed)
			if float64(count) > allowed {
				return fmt.Errorf("workspace %s: %d requests admitted in %.3f s, limit is %.1f", name, count, window, allowed)
			}
		}
	}
	minimum, err := args.numberOption("least", 1)
	if err != nil {
		return err
	}
	ts.Logf("workspace %s: %d admitted, at most %.0f%% of the limit in any window", name, len(admitted), 100*worst)
	if len(admitted) < int(minimum) {
		return fmt.Errorf("workspace %s: only %d requests were admitted, too few for the check", name, len(admitted))
	}
	return nil
}

// checkRunRatio checks invariant 1: the number of runs of a service per root request.
func (h *harness) checkRunRatio(ts *testscript.TestScript, obs *observations, args arguments) error {
	service, err := args.operand(0, "service")
	if err != nil {
		return err
	}
	ratio, err := args.numberOption("max", 1)
	if err != nil {
		return err
	}
	minimum, err := args.numberOption("least", 1)
	if err != nil {
		return err
	}
	runs := 0
	for _, r := range obs.runs {
		if r.Started && r.vm.service == service {
			runs++
		}
	}
	ts.Logf("%d runs of %s for %d requests", runs, service, len(obs.exchanges))
	if runs < int(minimum) {
		return fmt.Errorf("only %d runs of %s, too few for the check", runs, service)
	}
	if float64(runs) > ratio*float64(len(obs.exchanges)) {
		return fmt.Errorf("%d runs of %s for %d requests exceed %g per request", runs, service, len(obs.exchanges), ratio)
	}
	return nil
}

// checkNoneSince checks that no request started to run after a mark. The options key and vm restrict the check to
// the requests of one key and to one VM.
func (h *harness) checkNoneSince(obs *observations, args arguments) error {
	mark, ok := h.marks[args.stringOption("since", "")]
	if !ok {
		return errors.New("unknown mark")
	}
	keyName, vmName := args.stringOption("key", ""), args.stringOption("vm", "")
	withKey := map[string]bool{}
	for _, e := range obs.exchanges {
		if e.keyName == keyName {
			withKey[e.nonce] = true
		}
	}
	for _, r := range obs.runs {
		if (keyName == "" || withKey[r.Nonce]) && (vmName == "" || r.vm.name == vmName) && r.StartNS > mark.UnixNano() {
			return fmt.Errorf("started %v after the mark: %s", time.Unix(0, r.StartNS).Sub(mark), describe([]run{r}))
		}
	}
	return nil
}

// checkRefusals checks the number of refusals with outcome not_run. A minimum ensures that a script caused enough
// refusals for its other checks to be meaningful.
func (obs *observations) checkRefusals(ts *testscript.TestScript, args arguments) error {
	minimum, err := args.numberOption("least", 0)
	if err != nil {
		return err
	}
	maximum, err := args.numberOption("most", float64(len(obs.exchanges)))
	if err != nil {
		return err
	}
	codes := map[string]int{}
	for _, e := range obs.exchanges {
		if e.outcome == "not_run" {
			codes[e.code]++
			codes[""]++ // total
		}
	}
	ts.Logf("refused with outcome not_run, by code: %v", codes)
	if count := codes[args.stringOption("code", "")]; count < int(minimum) || count > int(maximum) {
		return fmt.Errorf("refused with outcome not_run: %v, want %v to %v", codes, minimum, maximum)
	}
	return nil
}

// checkMatchRatio checks the fraction of a load's requests that matched the expectations.
func (h *harness) checkMatchRatio(ts *testscript.TestScript, args arguments) error {
	j, err := h.findJob(args)
	if err != nil {
		return err
	}
	ratio, err := args.numberOption("ok", 1)
	if err != nil {
		return err
	}
	sent, matched, firstMismatch := j.counts()
	ts.Logf("%s: %d of %d as expected", args.operands[0], matched, sent)
	if sent == 0 || float64(matched) < ratio*float64(sent) {
		return fmt.Errorf("%d of %d requests were as expected, want a fraction of at least %g: %w", matched, sent, ratio, firstMismatch)
	}
	return nil
}
