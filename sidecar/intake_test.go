package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// limited starts a node whose configuration has limits for clients.
func limited(t *testing.T) *fleet {
	f := startFleet(t, 1, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		respond(w, r)
	}))
	document := strings.TrimSuffix(fmt.Sprintf(configuration, 2, `"key-1"`, 1000, 1000), "}") +
		`,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}`
	entry, err := f.store.Get(t.Context(), "op/config")
	must.NoError(t, err)
	_, err = f.store.CompareAndSwap(t.Context(), "op/config", entry.Revision, []byte(document), 0)
	must.NoError(t, err)
	f.eventually(func() error {
		if _, vars := f.vars(f.nodes[0]); !strings.Contains(vars, `"configuration_revision": 2`) {
			return fmt.Errorf("not in force: %s", vars)
		}
		return nil
	})
	return f
}

// Guards against refusing a request within the operators' limits, and against untrue refusals of others.
func TestClientLimits(t *testing.T) {
	f := limited(t)
	post := "POST /open/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: limit-1\r\nTimeout-Ms: 2000\r\n"
	chunk := "10000\r\n" + strings.Repeat("a", 0x10000) + "\r\n"
	for _, test := range []struct {
		name, request string
		status        int
		body          string
	}{
		{"fields", post + strings.Repeat("a:\r\n", (16384-len(post)-23)/4) + "Content-Length: 0\r\n\r\n", http.StatusOK, "from"},
		{"body", post + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("a", 1<<20), http.StatusOK, "from"},
		{"chunks", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 16) + "0\r\n\r\n", http.StatusOK, "from"},
		{"header above", post + "A: " + strings.Repeat("a", 18<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, "header_too_large (not_run)"},
		{"body above", post + "Content-Length: 1048577\r\n\r\n", http.StatusRequestEntityTooLarge, "body_too_large (not_run)"},
		{"chunks above", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 17), http.StatusRequestEntityTooLarge, "body_too_large (may_have_run)"},
		{"no route", strings.Replace(post, "/open/a", "/none", 1) + "Content-Length: 1048577\r\n\r\n", http.StatusRequestEntityTooLarge, "body_too_large (not_run)"},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", f.nodes[0].settings.RequestAddress)
			must.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, test.request)
			must.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			defer response.Body.Close()
			data, _ := io.ReadAll(response.Body)
			must.Eq(t, test.status, response.StatusCode, must.Sprint(string(data)))
			must.StrContains(t, string(data), test.body)
		})
	}
	_, vars := f.vars(f.nodes[0])
	must.StrContains(t, vars, `"clients": {`)
}
