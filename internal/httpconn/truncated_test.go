package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// resetReader ends as a socket does after a reset: with one error, then io.EOF.
type resetReader struct{ reported bool }

func (r *resetReader) Read([]byte) (int, error) {
	if r.reported {
		return 0, io.EOF
	}
	r.reported = true
	return 0, syscall.ECONNRESET
}

// Guards against taking a response that ends early, also within its head, for a complete one.
func TestTruncatedResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
	for name, test := range map[string]struct {
		method, response string
		endedByClose     bool
	}{
		"length":            {response: head + "Content-Length: 12\r\n\r\nwhole answer"},
		"length first":      {response: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nSignature: s\r\n\r\nwhole answer"},
		"no body":           {response: head + "Content-Length: 0\r\n\r\n"},
		"chunked":           {response: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n"},
		"trailers":          {response: head + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nA: b\r\nC: d\r\n\r\n"},
		"ended by close":    {response: head + "\r\nwhole answer", endedByClose: true},
		"HTTP/1.0":          {response: "HTTP/1.0 200 OK\r\nSignature: s\r\n\r\nwhole", endedByClose: true},
		"line feeds":        {response: "HTTP/1.1 200 OK\nSignature: s\nContent-Length: 5\n\nwhole"},
		"mixed line ends":   {response: "HTTP/1.1 200 OK\r\nSignature: s\nContent-Length: 5\r\n\nwhole"},
		"folded":            {response: head + "A: b\r\n c\r\n\t d\r\nContent-Length: 5\r\n \r\n\r\nwhole"},
		"continue":          {response: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole"},
		"no content":        {response: "HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n"},
		"not modified":      {response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		"to HEAD":           {method: http.MethodHead, response: head + "Content-Length: 5\r\n\r\n"},
		"to HEAD, unframed": {method: http.MethodHead, response: head + "\r\n"},
	} {
		read := func(r io.Reader) (string, error) {
			limiter := &headLimiter{raw: r}
			c := &Conn{pool: NewPool(Config{MaxHeadBytes: 64 << 10}), limiter: limiter, reader: bufio.NewReader(limiter)}
			response, err := c.ReadFinal(test.method)
			if err != nil {
				return "", err
			}
			body, err := io.ReadAll(response.Body)
			return string(body), err
		}
		t.Run(name, func(t *testing.T) {
			headLength := strings.Index(test.response, "\r\n\r\n") + len("\r\n\r\n")
			for end := range len(test.response) + 1 {
				for pieces, split := range map[string]func(io.Reader) io.Reader{
					"one piece": func(r io.Reader) io.Reader { return r }, "single bytes": iotest.OneByteReader, "halves": iotest.HalfReader,
				} {
					prefix := test.response[:end]
					note := must.Sprint(pieces, fmt.Sprintf(" %q", prefix))
					whole := end == len(test.response)
					got, err := read(split(strings.NewReader(prefix)))
					if whole || test.endedByClose && end >= headLength {
						must.NoError(t, err, note)
					} else {
						must.Error(t, err, note, must.Sprint(got))
					}
					got, err = read(split(io.MultiReader(strings.NewReader(prefix), &resetReader{})))
					if whole && !test.endedByClose {
						must.NoError(t, err, note)
						continue
					}
					must.Error(t, err, note, must.Sprint("reset, ", got))
					must.False(t, errors.Is(err, io.EOF) && !errors.Is(err, ErrNoResponse), note)
				}
			}
		})
	}
}
