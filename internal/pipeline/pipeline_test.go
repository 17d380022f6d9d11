package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type noResult struct{}

func (noResult) Discard() {}

// recorder is a server that records which requests were started early and which were handled in turn.
type recorder struct {
	address string

	mu      sync.Mutex
	early   []string
	handled []string
	// hold delays handlers until it is closed.
	hold chan struct{}
}

func startRecorder(t *testing.T, maxPerConnection int) *recorder {
	t.Helper()
	r := &recorder{hold: make(chan struct{})}
	pipeline := New(Config{MaxPerConnection: maxPerConnection, MaxTotal: 100, Start: func(_ context.Context, request *http.Request) Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.early = append(r.early, request.Method+request.RequestURI)
		return noResult{}
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r.address = listener.Addr().String()
	server := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, done := Take(request)
		defer done()
		_, _ = io.Copy(io.Discard, request.Body)
		<-r.hold
		r.mu.Lock()
		r.handled = append(r.handled, request.Method+request.RequestURI)
		r.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = server.Serve(pipeline.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return r
}

// exchange sends a stream in pieces and reads all responses.
func (r *recorder) exchange(t *testing.T, pieces []string) {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for _, piece := range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			break // the server has refused the stream
		}
		time.Sleep(time.Millisecond)
	}
	_ = conn.(*net.TCPConn).CloseWrite() // fails if the server has refused the stream
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against starting a request that the client has not sent as one, such as bytes of a body that look like a request.
func TestOnlyRequestsOfTheStreamAreStarted(t *testing.T) {
	inner := "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	kinds := []func(i int) string{
		func(i int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i) },
		func(i int) string {
			return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, len(inner), inner)
		},
		func(i int) string {
			return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\ncontent-length: %d\r\n\r\n%s", i, len(inner), inner)
		},
		func(i int) string {
			return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", i, len(inner), inner)
		},
		func(i int) string { return fmt.Sprintf("GET /%d HTTP/1.1\nHost: h\n\n", i) },
		func(i int) string {
			return fmt.Sprintf("PUT /%d HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", i, len(inner), inner)
		},
		func(i int) string { return fmt.Sprintf("GET /%d HTTP/1.0\r\nHost: h\r\n\r\n", i) },
		func(i int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", i) },
		func(int) string { return "GET bad\r\n\r\n" },
	}
	early := 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := startRecorder(t, 4)
		close(r.hold)
		stream := ""
		for i := range 6 {
			kind := 0
			if random.IntN(3) == 0 {
				kind = random.IntN(len(kinds))
			}
			stream += kinds[kind](i)
		}
		var pieces []string
		for len(stream) > 0 {
			n := 1 + random.IntN(len(stream))
			pieces, stream = append(pieces, stream[:n]), stream[n:]
		}
		r.exchange(t, pieces)
		r.mu.Lock()
		for _, request := range r.early {
			must.False(t, strings.Contains(request, "smuggled"), must.Sprint(seed, pieces))
		}
		early += len(r.early)
		r.mu.Unlock()
	}
	must.Positive(t, early)
}

// Guards against starting more requests of one connection than the bound, and against reading on beyond it.
func TestEarlyRequestsAreBounded(t *testing.T) {
	r := startRecorder(t, 3)
	conn, err := net.Dial("tcp", r.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for i := range 10 {
		_, err := fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		must.NoError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	r.mu.Lock()
	must.Eq(t, []string{"GET/1", "GET/2", "GET/3"}, r.early)
	r.mu.Unlock()
	close(r.hold)
	reader := bufio.NewReader(conn)
	for range 10 {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusNoContent, response.StatusCode)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	must.SliceLen(t, 10, r.handled)
}

// Guards against starting requests behind one that net/http has not accepted: it may reject it and close the connection.
func TestNothingStartsBehindRejectedRequest(t *testing.T) {
	valid := "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, rejected := range map[string]string{
		"no host":           "GET /bad HTTP/1.1\r\nNote: a\r\n\r\n",
		"malformed host":    "GET /bad HTTP/1.1\r\nHost: h<>\r\n\r\n",
		"two hosts":         "GET /bad HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
		"control character": "GET /bad HTTP/1.1\r\nHost: h\r\nNote: a\x01b\r\n\r\n",
		"space in a name":   "GET /bad HTTP/1.1\r\nHost: h\r\nNo te: a\r\n\r\n",
		"no colon":          "GET /bad HTTP/1.1\r\nHost: h\r\nNote\r\n\r\n",
		"bad target":        "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		for _, before := range []string{"", valid} {
			r := startRecorder(t, 4)
			close(r.hold)
			r.exchange(t, []string{before + rejected + strings.Repeat(valid, 2)})
			r.mu.Lock()
			must.SliceEmpty(t, r.early, must.Sprint(name, " behind ", len(before)))
			r.mu.Unlock()
		}
	}
}

// Guards against losing track of connections while there is no room for early requests: those that only send one request at a time
// would count as having sent more, and would never be looked at again.
func TestConnectionIsFollowedWithoutRoom(t *testing.T) {
	var mu sync.Mutex
	var early []string
	notLast := 0
	pipeline := New(Config{MaxPerConnection: 4, MaxTotal: 10, Start: func(_ context.Context, r *http.Request) Result {
		mu.Lock()
		defer mu.Unlock()
		early = append(early, r.RequestURI)
		return noResult{}
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, done := Take(r)
		defer done()
		if strings.HasPrefix(r.RequestURI, "/single") && !Last(r) {
			mu.Lock()
			notLast++
			mu.Unlock()
		}
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = server.Serve(pipeline.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	send := func(path string, count int) {
		for i := range count {
			_, err := fmt.Fprintf(conn, "GET %s/%d HTTP/1.1\r\nHost: h\r\nNote: %s\r\n\r\n", path, i, strings.Repeat("x", 300))
			must.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusNoContent, response.StatusCode)
		}
	}
	pipeline.waiting.Add(10)
	send("/single", 2*maxHeader/300)
	pipeline.waiting.Add(-10)
	_, err = io.WriteString(conn, strings.Repeat("GET /ahead HTTP/1.1\r\nHost: h\r\n\r\n", 3))
	must.NoError(t, err)
	for range 3 {
		_, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
	}
	mu.Lock()
	defer mu.Unlock()
	must.Eq(t, 0, notLast, must.Sprint("single requests with others behind"))
	must.SliceNotEmpty(t, early)
}
