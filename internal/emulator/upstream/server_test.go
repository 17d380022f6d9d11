package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// frozen is a slow factor that blocks every running request until it is lowered.
const frozen = 1e15

func newTestServer(t *testing.T, change func(*Settings)) (*Server, string) {
	t.Helper()
	settings := DefaultSettings()
	settings.Service = "shelfwatch"
	settings.Address = "127.0.0.1:0"
	settings.AdminAddress = "127.0.0.1:0"
	settings.ServiceMedianMS = 1
	if change != nil {
		change(&settings)
	}
	server, err := NewServer(settings)
	must.NoError(t, err)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return server, listener.URL
}

func get(ctx context.Context, url string, header http.Header) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	request.Header = header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, body, err
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)))
}

// Guards against more running requests than slots, shed requests that take a slot, and requests that keep
// running after their caller has disconnected.
func TestSlotsQueueShedAndCancel(t *testing.T) {
	server, url := newTestServer(t, func(s *Settings) { s.Slots = 2; s.Queue = 1 })
	must.NoError(t, server.behavior.set(Behavior{SlowFactor: frozen}))
	ctx, cancel := context.WithCancel(t.Context())
	statuses := make(chan int, 3)
	for range 3 {
		go func() {
			status, _, _, _ := get(ctx, url+"/a", nil)
			statuses <- status
		}()
	}
	full := Load{Running: 2, Queued: 1, Slots: 2}
	eventually(t, func() bool { return server.load() == full })
	status, header, _, err := get(t.Context(), url+"/a", nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, "not_run", header.Get(HeaderOutcome))
	cancel()
	for range 3 {
		must.Eq(t, 0, <-statuses)
	}
	eventually(t, func() bool { return server.load() == Load{Slots: 2} })
	must.NoError(t, server.behavior.set(Behavior{SlowFactor: 1}))
	status, _, _, err = get(t.Context(), url+"/a", nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
}

// Guards against requests that stay frozen after the slow factor is lowered.
func TestSlowFactorAppliesToRunningWork(t *testing.T) {
	state := newBehaviorState()
	must.NoError(t, state.set(Behavior{SlowFactor: frozen}))
	done := make(chan error, 1)
	go func() { done <- state.work(t.Context(), time.Millisecond) }()
	must.NoError(t, state.set(Behavior{SlowFactor: 1}))
	must.NoError(t, <-done)
}

// Guards against responses that a client cannot distinguish from those to another request, and against
// truncated responses that look complete.
func TestResponseIsCompleteAndOwn(t *testing.T) {
	server, url := newTestServer(t, nil)
	header := http.Header{HeaderNonce: {"n-1"}, HeaderRequestID: {"r-1"}, HeaderWorkspace: {"w-1"}}
	_, responseHeader, body, err := get(t.Context(), url+"/shelfwatch/x?answer_bytes=100000", header)
	must.NoError(t, err)
	must.Len(t, 100_000, body)
	must.Eq(t, FormatHash(xxhash.Sum64(body)), responseHeader.Get(HeaderResponseHash))
	must.Eq(t, "n-1", responseHeader.Get(HeaderNonce))
	_, _, _, err = get(t.Context(), url+"/shelfwatch/x?answer_bytes=100000&die=1", header)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	header.Set("Authorization", "Bearer x")
	_, _, _, err = get(t.Context(), url+"/shelfwatch/x", header)
	must.NoError(t, err)

	listed := httptest.NewRecorder()
	eventually(t, func() bool { return server.inFlight.Load() == 0 })
	server.Admin().ServeHTTP(listed, httptest.NewRequest(http.MethodGet, "/admin/records", nil))
	var records []Record
	for lines := bufio.NewScanner(listed.Body); lines.Scan(); {
		var record Record
		must.NoError(t, json.Unmarshal(lines.Bytes(), &record))
		must.Eq(t, "r-1", record.RequestID)
		must.Eq(t, "w-1", record.Workspace)
		records = append(records, record)
	}
	must.Len(t, 3, records)
	must.Eq(t, []string{OutcomeOK, OutcomeDied, OutcomeOK}, []string{records[0].Outcome, records[1].Outcome, records[2].Outcome})
	must.True(t, records[2].KeySeen && !records[0].KeySeen)
}

// Guards against a wrong hash or size of an upload, and against a crash marker that is missed because it
// spans two reads.
func TestReadBody(t *testing.T) {
	upload := bytes.Repeat([]byte("glass"), 30_000)
	body, err := readBody(iotest.HalfReader(bytes.NewReader(upload)))
	must.NoError(t, err)
	must.Eq(t, bodySummary{int64(len(upload)), xxhash.Sum64(upload)}, body)
	_, err = readBody(iotest.OneByteReader(strings.NewReader(string(upload) + CrashMarker + "tail")))
	must.ErrorIs(t, err, errCrash)
	_, err = readBody(iotest.TimeoutReader(bytes.NewReader(upload)))
	must.ErrorIs(t, err, iotest.ErrTimeout)
}

// Guards against a requested crash that sends a response first.
func TestCrashOnDemand(t *testing.T) {
	server, url := newTestServer(t, nil)
	codes := make(chan int, 2)
	server.exit = func(code int) { codes <- code }
	_, err := http.Post(url+"/crackbox/1", "text/plain", strings.NewReader(CrashMarker))
	must.Error(t, err)
	_, _, _, err = get(t.Context(), url+"/"+CrashMarker, nil)
	must.Error(t, err)
	must.Eq(t, []int{crashExitCode, crashExitCode}, []int{<-codes, <-codes})
}

// Guards against a downstream call without the call token, and against a success response to a request
// whose downstream call failed.
func TestDownstreamCall(t *testing.T) {
	status := http.StatusOK
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderCall) != "token" || r.URL.Path != "/ratecard/all" {
			status = http.StatusTeapot
		}
		w.WriteHeader(status)
	}))
	defer node.Close()
	_, url := newTestServer(t, func(s *Settings) {
		s.LocalAddress = node.Listener.Addr().String()
		s.Downstream = []Downstream{{Prefix: "/shelfwatch/", Path: "/ratecard/all"}}
	})
	header := http.Header{HeaderCall: {"token"}}
	got, _, _, err := get(t.Context(), url+"/shelfwatch/1", header)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, got)
	status = http.StatusServiceUnavailable
	got, _, _, err = get(t.Context(), url+"/shelfwatch/1", header)
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, got)
}

// Guards against an upstream that does not announce its drain, exits before its requests have ended, or
// does not announce the configuration revision it received.
func TestAnnounceAndDrain(t *testing.T) {
	announcements := make(chan Announcement, 100)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var announcement Announcement
		_ = json.NewDecoder(r.Body).Decode(&announcement)
		announcements <- announcement
		_, _ = io.WriteString(w, `{"config_revision":42}`)
	}))
	defer node.Close()
	server, url := newTestServer(t, func(s *Settings) { s.LocalAddress = node.Listener.Addr().String() })
	must.NoError(t, server.behavior.set(Behavior{SlowFactor: frozen}))
	statuses := make(chan int, 1)
	go func() {
		status, _, _, _ := get(t.Context(), url+"/a", nil)
		statuses <- status
	}()
	eventually(t, func() bool { return server.load().Running == 1 })
	finished := make(chan error, 1)
	go func() { finished <- server.Run(t.Context()) }()
	first := <-announcements
	must.Eq(t, Announcement{Service: "shelfwatch", Address: "127.0.0.1:0", Slots: 16, Connections: 256}, first)
	server.Drain()
	for announcement := first; !announcement.Draining || announcement.ConfigRevision != 42; {
		announcement = <-announcements
	}
	must.NoError(t, server.behavior.set(Behavior{SlowFactor: 1}))
	must.Eq(t, http.StatusOK, <-statuses)
	must.NoError(t, <-finished)
}

// Guards against a connection limit that is not enforced, and against closed connections that still count.
func TestConnectionLimit(t *testing.T) {
	l := &limitedListener{limit: 1}
	must.True(t, l.add())
	must.False(t, l.add())
	l.remove()
	must.True(t, l.add())
}

// Guards against a cold start that is as fast as a warm one.
func TestColdFactor(t *testing.T) {
	must.Eq(t, 5, coldStartFactor(0, time.Second, 5))
	must.Eq(t, 3, coldStartFactor(500*time.Millisecond, time.Second, 5))
	must.Eq(t, 1, coldStartFactor(time.Second, time.Second, 5))
}
