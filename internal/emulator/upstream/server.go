package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/keys"
)

// crashExitCode is the exit code of a crash that a request asked for.
const crashExitCode = 70

// Server is the emulated upstream. Its handlers are safe for concurrent use.
type Server struct {
	settings     Settings
	started      time.Time
	slots        *slots
	serviceTimes *serviceTimeSampler
	behavior     *behaviorState
	history      loadHistory
	records      *recorder
	client       *http.Client
	// exit ends the process; tests replace it.
	exit func(int)

	draining       atomic.Bool
	drainRequested chan struct{}
	inFlight       atomic.Int64
	configRevision atomic.Int64
}

// NewServer returns a server whose warm-up begins now. It returns an error if the settings are invalid or
// the record file cannot be opened.
func NewServer(settings Settings) (*Server, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	records, err := newRecorder(settings.RecordFile)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: settings.Slots, DisableCompression: true}
	return &Server{
		settings:       settings,
		started:        time.Now(),
		slots:          newSlots(settings.Slots, settings.Queue),
		serviceTimes:   newServiceTimeSampler(settings),
		behavior:       newBehaviorState(),
		records:        records,
		client:         &http.Client{Transport: transport},
		exit:           os.Exit,
		drainRequested: make(chan struct{}),
	}, nil
}

// Handler returns the handler of requests and of the health and load endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serve)
	return mux
}

// failure is an outcome other than OutcomeOK, with the status of its response, or 0 for no response.
type failure struct {
	outcome string
	status  int
}

func (f *failure) Error() string { return f.outcome }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	record := s.newRecord(r)
	s.records.begin(record)
	ctx, cancel := withDeadline(r)
	defer cancel()
	body, err := s.run(ctx, r, record)
	if err == nil {
		err = s.respond(w, r, record, body)
	}
	outcome := s.writeFailure(w, err)
	s.records.end(record, time.Now().UnixNano(), body.bytes, outcome)
	if outcome == OutcomeCrashed {
		s.exit(crashExitCode)
	}
	if outcome == OutcomeCrashed || outcome == OutcomeDied {
		panic(http.ErrAbortHandler) // closes the connection without completing the response
	}
}

func (s *Server) newRecord(r *http.Request) *Record {
	return &Record{
		RequestID: r.Header.Get(HeaderRequestID),
		Nonce:     r.Header.Get(HeaderNonce),
		Method:    r.Method,
		Path:      r.URL.Path,
		Workspace: r.Header.Get(HeaderWorkspace),
		StartNS:   time.Now().UnixNano(),
		KeySeen:   carriesCredentials(r),
		Draining:  s.draining.Load(),
	}
}

// carriesCredentials reports whether the headers or the request target contain credentials of the caller.
func carriesCredentials(r *http.Request) bool {
	if len(r.Header.Values("Authorization")) > 0 || strings.Contains(r.RequestURI, keys.Prefix) {
		return true
	}
	for _, values := range r.Header {
		for _, value := range values {
			if strings.Contains(value, keys.Prefix) {
				return true
			}
		}
	}
	return false
}

// withDeadline returns the context of the request, limited by the timeout that the node sets.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	timeout, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	if err != nil || timeout < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(timeout)*time.Millisecond)
}

// run takes a slot, reads the body, waits for the service time and makes the downstream calls.
func (s *Server) run(ctx context.Context, r *http.Request, record *Record) (bodySummary, error) {
	behavior, _ := s.behavior.get()
	acquired, err := s.slots.acquire(ctx, behavior.Shed)
	if err != nil {
		return bodySummary{}, contextFailure(err)
	}
	if !acquired {
		return bodySummary{}, &failure{OutcomeShed, http.StatusServiceUnavailable}
	}
	defer s.slots.release()
	s.records.start(record)
	body, err := readBody(r.Body)
	crash := errors.Is(err, errCrash) || strings.Contains(r.URL.Path, CrashMarker)
	if err != nil && !crash {
		return body, &failure{OutcomeBodyFailed, http.StatusBadRequest}
	}
	if crash {
		return body, &failure{OutcomeCrashed, 0}
	}
	cold := coldStartFactor(time.Since(s.started), s.settings.warmUp(), s.settings.ColdFactor)
	if err := s.behavior.work(ctx, time.Duration(float64(s.serviceTimes.draw())*cold)); err != nil {
		return body, contextFailure(err)
	}
	return body, s.callDownstream(ctx, r)
}

// contextFailure returns the failure for the error of a context that has ended.
func contextFailure(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return &failure{OutcomeDeadline, http.StatusGatewayTimeout}
	}
	return &failure{OutcomeCanceled, http.StatusServiceUnavailable}
}

// callDownstream makes the configured downstream calls sequentially through the node.
func (s *Server) callDownstream(ctx context.Context, r *http.Request) error {
	for _, d := range s.settings.Downstream {
		if !strings.HasPrefix(r.URL.Path, d.Prefix) {
			continue
		}
		if err := s.callPath(ctx, d.Path, r.Header.Get(HeaderCall)); err != nil {
			if ctx.Err() != nil {
				return contextFailure(ctx.Err())
			}
			return &failure{OutcomeDownstreamFailed, http.StatusBadGateway}
		}
	}
	return nil
}

func (s *Server) callPath(ctx context.Context, path, token string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.settings.LocalAddress+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set(HeaderCall, token)
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// respond sends the response to a successful request. The query parameter answer_bytes sets its size, and
// die=1 breaks the connection half-way through the body.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, record *Record, body bodySummary) error {
	size := s.settings.ResponseBytes
	if requested, err := strconv.Atoi(r.URL.Query().Get("answer_bytes")); err == nil {
		size = max(0, min(requested, maxResponseBytes))
	}
	truncate := r.URL.Query().Get("die") == "1"
	response := Response{
		Service:   s.settings.Service,
		Path:      record.Path,
		RequestID: record.RequestID,
		Workspace: record.Workspace,
		Nonce:     record.Nonce,
		BodyBytes: body.bytes,
		BodyHash:  FormatHash(body.hash),
	}
	if err := writeResponse(w, response, size, truncate); err != nil {
		return &failure{OutcomeResponseFailed, 0}
	}
	if truncate {
		return &failure{OutcomeDied, 0}
	}
	return nil
}

// writeFailure responds to a failure that has a status. It returns the outcome of the request.
func (s *Server) writeFailure(w http.ResponseWriter, err error) string {
	var f *failure
	if !errors.As(err, &f) {
		return OutcomeOK
	}
	if f.outcome == OutcomeShed {
		w.Header().Set(HeaderOutcome, "not_run")
	}
	if f.status != 0 {
		http.Error(w, f.outcome, f.status)
	}
	return f.outcome
}

func (s *Server) load() Load {
	return Load{
		Running:  s.slots.running(),
		Queued:   int(s.slots.queued.Load()),
		Slots:    s.settings.Slots,
		Draining: s.draining.Load(),
	}
}

// reportedLoad returns the load that the endpoints report, which Behavior can make outdated or wrong.
func (s *Server) reportedLoad() (Load, Behavior) {
	behavior, _ := s.behavior.get()
	load := s.load()
	if old, ok := s.history.at(time.Duration(behavior.LoadLagMS) * time.Millisecond); ok && behavior.LoadLagMS > 0 {
		load = old
	}
	if behavior.ReportIdle {
		load.Running, load.Queued = 0, 0
	}
	return load, behavior
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(milliseconds(s.settings.ProbeMS))
	load, _ := s.reportedLoad()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(milliseconds(s.settings.ProbeMS))
	load, behavior := s.reportedLoad()
	healthy := !load.Draining && load.Queued < s.settings.Queue
	if behavior.Health != "" {
		healthy = behavior.Health == "ok"
	}
	if !healthy {
		http.Error(w, "failing", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// Admin returns the handler through which experiments control the server: POST /admin/behavior sets the
// Behavior, POST /admin/drain starts the drain, GET /admin/records returns the records as JSON lines and
// GET /admin/counts returns the Counts.
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/behavior", func(w http.ResponseWriter, r *http.Request) {
		next := Behavior{SlowFactor: 1}
		err := json.NewDecoder(r.Body).Decode(&next)
		if err == nil {
			err = s.behavior.set(next)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("POST /admin/drain", func(http.ResponseWriter, *http.Request) { s.Drain() })
	mux.HandleFunc("GET /admin/records", func(w http.ResponseWriter, _ *http.Request) { _ = s.records.writeRecords(w) })
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { _ = s.records.writeCounts(w) })
	return mux
}
