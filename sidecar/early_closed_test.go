package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
