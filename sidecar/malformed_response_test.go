package sidecar_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/responsetest"
)

const rawBody = "whole answer"

// sendRaw sends a response as it is and closes the connection.
func sendRaw(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, raw)
	_ = conn.Close()
}

// rawHandler sends the responses in turn: the request with ID i gets the response at i.
func rawHandler(cases []responsetest.Case) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var i int
		if _, err := fmt.Sscanf(r.Header.Get("Request-Id"), "id-%d", &i); err != nil {
			panic(err)
		}
		sendRaw(w, cases[i].Raw)
	}
}

// numberedCases returns the responses of a group, each for the request with its number. fields are further header lines.
func numberedCases(group responsetest.Group, fields string) []responsetest.Case {
	cases := group("", rawBody)
	for i := range cases {
		cases[i] = group(fmt.Sprintf("Request-Id: id-%d\r\nResponse-Signature: signed\r\n%s", i, fields), rawBody)[i]
	}
	return cases
}

// Guards against passing on a malformed response, the bytes that follow it, or the success that a second node makes of it.
// A request that must not run twice is sent once, and its client is not told that it has not run.
func TestMalformedResponses(t *testing.T) {
	groups := maps.Clone(responsetest.Malformed)
	groups["HTTP10"] = responsetest.ChunkedHTTP10
	for name, group := range groups {
		t.Run(name, func(t *testing.T) {
			cases := numberedCases(group, "")
			f := startFleet(t, 2, sameHandler(rawHandler(cases)))
			for i, c := range cases {
				t.Run(c.Name, func(t *testing.T) {
					for _, path := range []string{"/open/once/a", "/open/a"} {
						before := f.totalRequests()
						got := f.send(f.nodes[i%2], http.MethodPost, path, fmt.Sprintf("id-%d", i), "", 2*time.Second)
						note := must.Sprintf("%s: %d %q, in response to %q", path, got.status, got.body, c.Raw)
						must.NoError(t, got.err, note)
						must.Eq(t, http.StatusBadGateway, got.status, note)
						must.Eq(t, "", got.header.Get("Response-Signature"), note)
						sent, allowed := f.totalRequests()-before, 1
						if path == "/open/a" {
							allowed = 2 // the attempts of the route
						}
						must.Between(t, 1, sent, allowed, note)
					}
				})
			}
		})
	}
}

// Guards against rejecting sound responses together with malformed ones.
func TestSoundResponses(t *testing.T) {
	// Without this field, the next request could be sent just before the upstream closes the connection.
	cases := numberedCases(responsetest.Sound, "Connection: close\r\n")
	f := startFleet(t, 2, sameHandler(rawHandler(cases)))
	for i, c := range cases {
		for entry, n := range f.nodes {
			for _, path := range []string{"/open/once/a", "/open/a"} {
				got := f.send(n, http.MethodPost, path, fmt.Sprintf("id-%d", i), "", 2*time.Second)
				note := must.Sprint(entry, " ", path, " ", c.Name, " ", got)
				must.NoError(t, got.err, note)
				must.Eq(t, http.StatusOK, got.status, note)
				must.Eq(t, "signed", got.header.Get("Response-Signature"), note)
				must.Eq(t, rawBody, got.body, note)
			}
		}
	}
}

// Guards against failing an idempotent request whose first upstream sends a malformed response, and against sending it more
// often than its route allows.
func TestMalformedResponseIsRepeatedElsewhere(t *testing.T) {
	f := startFleet(t, 2, func(node int) http.HandlerFunc {
		if node == 1 {
			return respond
		}
		return func(w http.ResponseWriter, r *http.Request) {
			sendRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: signed\r\nBad Name: x\r\nContent-Length: 1\r\n\r\nx", r.Header.Get("Request-Id")))
		}
	})
	for i := range 20 {
		before := f.totalRequests()
		got := f.send(f.nodes[i%2], http.MethodGet, "/open/a", fmt.Sprint("id-", i), "", 2*time.Second)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		must.StrContains(t, got.body, "i-1")
		must.Between(t, 1, f.totalRequests()-before, 2)
	}
	must.Positive(t, len(f.nodes[0].upstream.requests()))
}

// Guards against ending a streamed response as a complete one when its trailer section is malformed.
func TestMalformedTrailersOfStreamedResponse(t *testing.T) {
	body := strings.Repeat("x", 3*call.BufferLimit)
	cases := responsetest.MalformedTrailers("Request-Id: id-0\r\nResponse-Signature: signed\r\n", body)
	f := startFleet(t, 2, sameHandler(rawHandler(cases)))
	for i, n := range f.nodes {
		for range 4 {
			got := f.send(n, http.MethodPost, "/open/once/a", "id-0", "", 2*time.Second)
			must.Error(t, got.err, must.Sprint("entry ", i, ": ", got.status, " with ", len(got.body), " bytes"))
		}
	}
}
