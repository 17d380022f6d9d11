package sidecar_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

// readResponses reads up to count responses and returns their statuses, with "broken" for a body that ends early and "closed"
// for a connection that does.
func readResponses(reader *bufio.Reader, count int) string {
	var outcomes []string
	for range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return strings.Join(append(outcomes, "closed"), " ")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return strings.Join(append(outcomes, "broken"), " ")
		}
		outcomes = append(outcomes, fmt.Sprint(response.StatusCode))
	}
	return strings.Join(outcomes, " ")
}

// Guards against running requests behind one that net/http rejects: it closes the connection, and they get no response.
func TestPipelinedBehindRejectedRequestDoNotRun(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		respond(w, r)
	}))
	for name, line := range map[string]string{
		"malformed host":        "Host: h.example:<>",
		"two hosts":             "Host: h.example\r\nHost: h.example",
		"control character":     "Host: h.example\r\nNote: a\x01b",
		"space in a field name": "Host: h.example\r\nNo te: a",
	} {
		before := f.totalRequests()
		rejected := strings.Replace(pipelined(http.MethodGet, "/read/", 1), "Host: h.example", line, 1)
		conn := sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 0), rejected,
			pipelined(http.MethodGet, "/read/", 2), pipelined(http.MethodGet, "/read/", 3))
		got := readResponses(bufio.NewReader(conn), 4)
		time.Sleep(100 * time.Millisecond)
		if ran := f.totalRequests() - before; got != "200 400 closed" || ran != 1 {
			t.Errorf("%s: %d requests at the upstream, responses: %s", name, ran, got)
		}
	}
}

// Guards against running a request whose header is above the operators' limit, and those behind it: it is refused in its turn,
// with which the connection ends.
func TestPipelinedBehindLargeHeaderDoNotRun(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		respond(w, r)
	}))
	entry, err := f.store.Get(t.Context(), "op/config")
	must.NoError(t, err)
	document := strings.TrimSuffix(fmt.Sprintf(configuration, 2, `"key-1"`, 1000, 1000), "}") + `,"limits":{"maxHeaderBytes":4096}}`
	_, err = f.store.CompareAndSwap(t.Context(), "op/config", entry.Revision, []byte(document), kvstore.NoLease)
	must.NoError(t, err)
	f.eventually(func() error {
		if _, body := f.vars(f.nodes[0]); !strings.Contains(body, `"configuration_revision": 2`) {
			return fmt.Errorf("configuration not in force: %s", body)
		}
		return nil
	})
	large := strings.Replace(pipelined(http.MethodGet, "/read/", 1), "\r\n\r\n", "\r\nNote: "+strings.Repeat("x", 8<<10)+"\r\n\r\n", 1)
	reader := bufio.NewReader(sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 0), large,
		pipelined(http.MethodGet, "/read/", 2), pipelined(http.MethodGet, "/read/", 3)))
	must.Eq(t, "200 431 closed", readResponses(reader, 4))
	must.Eq(t, 1, f.totalRequests(), must.Sprint("requests at upstreams"))
}

// breakingHandler breaks a response of size bytes off in its last quarter if the path contains "break". Others take a moment, so
// that requests sent ahead have begun before the first response.
func breakingHandler(size int, declared bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		if !strings.Contains(r.URL.Path, "/break") {
			respond(w, r)
			return
		}
		w.Header().Set("Response-Signature", "signed")
		if declared {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		_, _ = w.Write(make([]byte, size*3/4))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// Guards against losing the requests that wait behind a response that breaks off, at whatever size and place.
func TestPipelinedBehindBrokenResponse(t *testing.T) {
	for _, count := range []int{1, 2} {
		for _, size := range []int{call.BufferLimit, call.BufferLimit + 1, 4 * call.BufferLimit, 1 << 20} {
			for _, declared := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d nodes, %d bytes, declared %v", count, size, declared), func(t *testing.T) {
					f := startFleet(t, count, sameHandler(breakingHandler(size, declared)))
					for _, at := range []int{0, 2} {
						var requests, want []string
						for i := range 8 {
							path, status := "/read/long/", "200"
							if i == at {
								path, status = "/read/long/break", "502"
							}
							requests, want = append(requests, pipelined(http.MethodGet, path, i)), append(want, status)
						}
						reader := bufio.NewReader(sendAhead(t, f.nodes[0], requests...))
						must.Eq(t, strings.Join(want, " "), readResponses(reader, 8), must.Sprint("broken at ", at))
					}
					must.SliceEmpty(t, f.logs.find(`"event":"request_unanswered"`))
					f.eventually(func() error { return expectNothingHeld(f.nodes[0], f) })
				})
			}
		}
	}
}

// Guards against a wrong body where a response is held while others wait behind it, in whole, in part or not at all.
func TestPipelinedLongResponsesAreWhole(t *testing.T) {
	for _, size := range []int{call.BufferLimit + 1, 2 * call.BufferLimit, 16*call.BufferLimit - 1, 16 * call.BufferLimit, 16*call.BufferLimit + 1, 5 << 20} {
		for _, declared := range []bool{true, false} {
			content := make([]byte, size)
			for i := range content {
				content[i] = byte(i % 251)
			}
			f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(20 * time.Millisecond)
				w.Header().Set("Response-Signature", "signed")
				if declared {
					w.Header().Set("Content-Length", fmt.Sprint(size))
				}
				_, _ = w.Write(content)
			}))
			reader := bufio.NewReader(sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 0), pipelined(http.MethodGet, "/read/", 1), pipelined(http.MethodGet, "/read/", 2)))
			for i := range 3 {
				response, err := http.ReadResponse(reader, nil)
				must.NoError(t, err)
				must.Eq(t, http.StatusOK, response.StatusCode)
				must.Eq(t, fmt.Sprint("id", i), response.Header.Get("Request-Id"))
				data, err := io.ReadAll(response.Body)
				must.NoError(t, err)
				must.True(t, bytes.Equal(content, data), must.Sprint(size, declared, i, len(data)))
			}
			f.eventually(func() error { return expectNothingHeld(f.nodes[0], f) })
		}
	}
}

func expectNothingHeld(n *fleetNode, f *fleet) error {
	if _, vars := f.vars(n); !strings.Contains(vars, `"waiting":0,"held":0`) {
		return fmt.Errorf("held: %s", vars)
	}
	return nil
}

// Guards against losing requests that wait behind a response that is broken off by the destination's stop.
func TestPipelinedBehindResponseAbortedByDestinationStop(t *testing.T) {
	f := startFleet(t, 2, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "/break") {
			time.Sleep(100 * time.Millisecond)
			respond(w, r)
			return
		}
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", fmt.Sprint(4*call.BufferLimit))
		_, _ = w.Write(make([]byte, 2*call.BufferLimit))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	f.setShutdownTimeout(1500 * time.Millisecond)
	must.NoError(t, f.nodes[1].node.Heartbeat(f.nodes[1].beat(2, true))) // leaves n0 as the destination
	time.Sleep(300 * time.Millisecond)
	reader := bufio.NewReader(sendAhead(t, f.nodes[1], pipelined(http.MethodGet, "/read/long/break", 0),
		pipelined(http.MethodGet, "/read/", 1), pipelined(http.MethodGet, "/read/", 2)))
	f.eventually(func() error { return expectRequests(f, 3) })
	time.Sleep(100 * time.Millisecond)
	_ = f.nodes[0].stopAndClose()
	must.Eq(t, "502 200 200", readResponses(reader, 3))
}

// Guards against starting requests behind a response that is being streamed, which may break off.
func TestPipelinedBehindStreamedResponseWait(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "/break") {
			respond(w, r)
			return
		}
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", fmt.Sprint(4*call.BufferLimit))
		_, _ = w.Write(make([]byte, 2*call.BufferLimit))
		w.(http.Flusher).Flush()
		time.Sleep(500 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}))
	conn := sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/break", 0))
	reader := bufio.NewReader(conn)
	_, err := reader.Peek(1) // the response has begun
	must.NoError(t, err)
	for i := range 3 {
		_, err = io.WriteString(conn, pipelined(http.MethodGet, "/read/", i+1))
		must.NoError(t, err)
	}
	must.Eq(t, "broken", readResponses(reader, 4))
	must.Eq(t, 1, f.totalRequests(), must.Sprint("requests at the upstream"))
}

// Guards against upstreams that work on after a client has left that had sent requests behind a response being streamed.
func TestPipelinedClientLeavesDuringStream(t *testing.T) {
	ended := make(chan struct{})
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Content-Length", fmt.Sprint(4*call.BufferLimit))
		_, _ = w.Write(make([]byte, 2*call.BufferLimit))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	}))
	conn := sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/long/", 0))
	_, err := io.ReadFull(conn, make([]byte, 2*call.BufferLimit))
	must.NoError(t, err)
	for i := range 3 {
		_, err = io.WriteString(conn, pipelined(http.MethodGet, "/read/long/", i+1))
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	must.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the upstream still runs the request")
	}
	must.Eq(t, 1, f.totalRequests())
}

// Guards against leaving a long response unread until its turn: upstreams cut off responses that are not read.
func TestPipelinedLongResponseIsReadBeforeItsTurn(t *testing.T) {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "/long") {
			time.Sleep(time.Second)
			respond(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		must.NoError(t, err)
		defer conn.Close()
		must.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(16<<10))
		must.NoError(t, conn.SetWriteDeadline(time.Now().Add(500*time.Millisecond)))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nResponse-Signature: signed\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n",
			r.Header.Get("Request-Id"), 16*call.BufferLimit)
		_, _ = conn.Write(make([]byte, 16*call.BufferLimit))
	}))
	conn := sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 0), pipelined(http.MethodGet, "/read/long", 1), pipelined(http.MethodGet, "/read/", 2))
	must.Eq(t, "200 200 200", readResponses(bufio.NewReader(conn), 3))
}

// Guards against closing a connection in a stop while requests behind the answered one have been read: started early, beyond the
// bound on these, or a write that waits for its turn.
func TestPipelinedDuringStopAreAnswered(t *testing.T) {
	for _, last := range []string{pipelined(http.MethodGet, "/read/", 90), pipelined(http.MethodPost, "/once/", 91)} {
		for _, count := range []int{1, 7, 19} {
			f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(50 * time.Millisecond)
				respond(w, r)
			}))
			conn := sendAhead(t, f.nodes[0], pipelined(http.MethodGet, "/read/", 80))
			reader := bufio.NewReader(conn)
			must.Eq(t, "200", readResponses(reader, 1))
			stopped := make(chan error, 1)
			go func() { stopped <- f.nodes[0].node.Stop() }()
			time.Sleep(300 * time.Millisecond)
			var requests string
			for i := range count {
				requests += pipelined(http.MethodGet, "/read/", i)
			}
			_, err := io.WriteString(conn, requests+last)
			must.NoError(t, err)
			got := readResponses(reader, count+2)
			if want := strings.Repeat("200 ", count+1) + "closed"; got != want {
				t.Errorf("%d requests and %.8q: %s", count, last, got)
			}
			must.NoError(t, <-stopped)
		}
	}
}
