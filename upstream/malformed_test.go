package upstream

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/responsetest"
)

// Guards against taking a malformed response for a sign of health, and against failing a probe because of an interim
// response.
func TestHealthResponses(t *testing.T) {
	const fields = "Instance-Id: i-1\r\n"
	// probe returns the results of a single probe and of a health connection.
	probe := func(t *testing.T, raw string) (statuses [2]int, errs [2]error) {
		t.Helper()
		address := responsetest.Start(t, raw)
		d := newDirectClient()
		defer d.Close()
		statuses[0], _, errs[0] = d.Probe(t.Context(), address, "/health")
		h, err := d.OpenHealth(t.Context(), address)
		must.NoError(t, err)
		defer h.Close()
		statuses[1], _, errs[1] = h.Probe(t.Context(), "/health")
		return statuses, errs
	}
	for name, group := range map[string]responsetest.Group{
		"status": responsetest.MalformedStatus, "fields": responsetest.MalformedFields, "HTTP10": responsetest.ChunkedHTTP10,
	} {
		for _, c := range group(fields, "healthy") {
			t.Run(name+"/"+c.Name, func(t *testing.T) {
				statuses, errs := probe(t, c.Raw)
				must.Error(t, errs[0], must.Sprint(statuses))
				must.Error(t, errs[1], must.Sprint(statuses))
			})
		}
	}
	for _, c := range responsetest.Sound(fields, "healthy") {
		t.Run(c.Name, func(t *testing.T) {
			statuses, errs := probe(t, c.Raw)
			must.NoError(t, errs[0])
			must.NoError(t, errs[1])
			must.Eq(t, [2]int{http.StatusOK, http.StatusOK}, statuses)
		})
	}
}

// runClient runs a call on an upstream with the client of cowslipd and returns the response with its whole body.
func runClient(t *testing.T, address string, body io.Reader, length int64) (*call.Response, string, error) {
	t.Helper()
	c := NewClient()
	defer c.Close()
	response, err := c.Run(t.Context(), address, "token", &call.Request{
		Context: call.Context{RequestID: "r", Deadline: time.Now().Add(20 * time.Second)},
		Method:  http.MethodPost, Target: "/", Header: http.Header{}, Body: body, ContentLength: length,
	})
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// Guards against passing on a malformed response or the bytes that follow it.
func TestClientMalformedResponses(t *testing.T) {
	for name, group := range responsetest.Malformed {
		t.Run(name, func(t *testing.T) { testClientMalformed(t, group("A: b\r\n", "whole answer")) })
	}
}

// Guards against returning chunk sizes as a part of the body.
func TestClientChunkedHTTP10(t *testing.T) {
	testClientMalformed(t, responsetest.ChunkedHTTP10("A: b\r\n", "whole answer"))
}

func testClientMalformed(t *testing.T, cases []responsetest.Case) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			response, body, err := runClient(t, responsetest.Start(t, c.Raw), nil, 0)
			must.Error(t, err, must.Sprintf("%q is returned as %+v with the body %q", c.Raw, response, body))
			must.False(t, errors.Is(err, ErrNotConnected), must.Sprint("the call may have run"))
		})
	}
}

// Guards against rejecting sound responses together with malformed ones.
func TestClientSoundResponses(t *testing.T) {
	for _, c := range responsetest.Sound("A: b\r\n", "whole answer") {
		t.Run(c.Name, func(t *testing.T) {
			response, body, err := runClient(t, responsetest.Start(t, c.Raw), nil, 0)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.Status)
			must.Eq(t, "whole answer", body)
		})
	}
}
