package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
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
