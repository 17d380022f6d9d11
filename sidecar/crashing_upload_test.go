package sidecar_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/sidecar"
)

// crashMarker is in the body of a request that crashes upstreams.
const crashMarker = "this one crashes the decoder"

// crashingUpstream ends when it has read a request with crashMarker, and starts again at the same address.
type crashingUpstream struct {
	address string
	// beat sends a heartbeat of a start.
	beat func(start int)

	mu      sync.Mutex
	server  *http.Server // nil while the upstream is down
	starts  int
	crashes int
}

func (u *crashingUpstream) start() {
	listener, err := net.Listen("tcp4", u.address)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: u}
	u.mu.Lock()
	u.server = server
	u.starts++
	u.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	u.heartbeat()
}

// heartbeat sends a heartbeat unless the upstream is down.
func (u *crashingUpstream) heartbeat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		u.beat(u.starts)
	}
}

// ServeHTTP implements http.Handler.
func (u *crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", "i")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !bytes.Contains(body, []byte(crashMarker)) {
		w.Header().Set("Response-Signature", "signed")
		return
	}
	u.mu.Lock()
	server := u.server
	u.server = nil
	u.crashes++
	u.mu.Unlock()
	if server != nil {
		_ = server.Close()
		time.AfterFunc(100*time.Millisecond, u.start)
	}
	panic(http.ErrAbortHandler)
}

func (u *crashingUpstream) crashCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// sendBody sends a body in chunks or with its length.
func (f *fleet) sendBody(n *fleetNode, path, id string, body []byte, chunked bool) result {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+n.settings.RequestAddress+path, bytes.NewReader(body))
	must.NoError(f.t, err)
	if chunked {
		r.ContentLength, r.TransferEncoding = -1, []string{"chunked"}
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Timeout-Ms", "5000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{id: id, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return result{id, response.StatusCode, response.Header, string(data), err}
}

// Guards against a request that crashes upstreams again and again because others that resemble it succeed, and against
// refusing these as if they were that request.
func TestCrashingUpload(t *testing.T) {
	for name, size := range map[string]int{"short": 10_000, "long": 2 * call.BufferLimit, "very long": 1<<20 + 2*call.BufferLimit} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 2, sameHandler(respond))
			var upstreams []*crashingUpstream
			for _, n := range f.nodes {
				address := freeAddress(t)
				changed := *n.settings
				changed.UpstreamAddress = address
				n.node.Reload(&changed)
				beat := func(start int) {
					_ = n.node.Heartbeat(firstHeartbeat(n, address, start)) // the node may have stopped
				}
				u := &crashingUpstream{address: address, beat: beat}
				u.start()
				upstreams = append(upstreams, u)
			}
			crashes := func() (total int) {
				for _, u := range upstreams {
					total += u.crashCount()
				}
				return total
			}
			// body returns one that begins like all others, and has the same length.
			body := func(end string) []byte {
				return append(bytes.Repeat([]byte("x"), size-100), fmt.Sprintf("%100s", end)...)
			}
			served := 0
			for i := range 8 {
				for k := range 6 {
					id := fmt.Sprintf("good-%d-%d", i, k)
					f.eventually(func() error {
						for _, u := range upstreams {
							u.heartbeat()
						}
						got := f.sendBody(f.nodes[k%2], "/open/once/long/a", id, body(id), k%3 > 0)
						if strings.Contains(got.body, "crashed upstreams") {
							t.Fatalf("%s is refused as the request that crashes upstreams: %d %s", id, got.status, got.body)
						}
						if got.err != nil || got.status != http.StatusOK {
							return errors.Join(got.err, fmt.Errorf("%s: %d %s", id, got.status, got.body))
						}
						return nil
					})
					served++
				}
				before := crashes()
				got := f.sendBody(f.nodes[i%2], "/open/once/long/a", fmt.Sprint("bad-", i), body(crashMarker), i%2 == 0)
				must.NoError(t, got.err)
				if i < 3 {
					f.awaitCrashMarks()
					continue
				}
				must.Eq(t, before, crashes(), must.Sprint(i, ": ", got.status, " ", got.body))
				must.StrContains(t, got.body, "crashed upstreams")
			}
			must.Eq(t, 48, served)
			must.LessEq(t, 3, crashes())
		})
	}
}

// awaitCrashMarks waits until all nodes know the same number of crash marks.
func (f *fleet) awaitCrashMarks() {
	f.t.Helper()
	f.eventually(func() error {
		counts := map[int]bool{}
		for _, n := range f.nodes {
			var vars struct {
				Marks int `json:"crash_marks"`
			}
			_, text := f.vars(n)
			if err := json.Unmarshal([]byte(text), &vars); err != nil {
				return err
			}
			counts[vars.Marks] = true
		}
		if len(counts) != 1 || counts[0] {
			return fmt.Errorf("crash marks: %v", counts)
		}
		return nil
	})
}

// firstHeartbeat returns the first heartbeat of a start of an upstream.
func firstHeartbeat(n *fleetNode, address string, start int) sidecar.Heartbeat {
	return sidecar.Heartbeat{Instance: "i-" + n.settings.Node, StartTimeMS: int64(1000 + start), Sequence: 1, Service: "s", Address: address, Slots: 8}
}
