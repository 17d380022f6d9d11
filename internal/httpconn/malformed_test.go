package httpconn

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/responsetest"
)

const (
	testFields = "Request-Id: r\r\nSignature: s\r\n"
	testBody   = "whole answer"
)

// readText reads the final response and its body from a text.
func readText(text string) (*Response, string, error) {
	limiter := &headLimiter{raw: strings.NewReader(text)}
	c := &Conn{pool: NewPool(Config{MaxHeadBytes: 64 << 10}), limiter: limiter, reader: bufio.NewReader(limiter)}
	response, err := c.ReadFinal(http.MethodPost)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func testMalformed(t *testing.T, cases []responsetest.Case) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			response, body, err := readText(c.Raw)
			must.Error(t, err, must.Sprintf("%q is read as %+v with the body %q", c.Raw, response, body))
		})
	}
}

// Guards against skipping a response with a status that does not exist as if it were an interim one, which makes the bytes
// that follow it the answer.
func TestMalformedStatus(t *testing.T) {
	testMalformed(t, responsetest.MalformedStatus(testFields, testBody))
}

// Guards against ignoring a header line that is not a field, such as one that would frame the body.
func TestMalformedFields(t *testing.T) {
	testMalformed(t, responsetest.MalformedFields(testFields, testBody))
}

// Guards against taking a body for complete whose trailer section is malformed.
func TestMalformedTrailers(t *testing.T) {
	testMalformed(t, responsetest.MalformedTrailers(testFields, testBody))
}

// Guards against returning chunk sizes as a part of the body.
func TestChunkedHTTP10(t *testing.T) {
	testMalformed(t, responsetest.ChunkedHTTP10(testFields, testBody))
}

// Guards against rejecting sound responses together with malformed ones.
func TestSoundResponses(t *testing.T) {
	for _, c := range responsetest.Sound(testFields, testBody) {
		t.Run(c.Name, func(t *testing.T) {
			response, body, err := readText(c.Raw)
			must.NoError(t, err, must.Sprintf("%q", c.Raw))
			must.Eq(t, http.StatusOK, response.Status)
			must.Eq(t, "s", response.Header.Get("Signature"))
			must.Eq(t, testBody, body)
		})
	}
}
