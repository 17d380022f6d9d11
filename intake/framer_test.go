package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// recorder records the ends of requests as offsets.
type recorder struct {
	offset, headerBytes int
	heads               []Head
	ends                []int
}

func (r *recorder) HeaderPart(n, _ int) { r.offset += n; r.headerBytes += n }
func (r *recorder) HeaderEnd(h Head)    { r.heads = append(r.heads, h) }
func (r *recorder) BodyPart(n int)      { r.offset += n }
func (r *recorder) RequestEnd()         { r.ends = append(r.ends, r.offset) }

// feed passes a stream to a new framer in pieces of the given size.
func feed(stream []byte, size int) *recorder {
	f, r := &Framer{}, &recorder{}
	for len(stream) > 0 {
		n := min(size, len(stream))
		f.Feed(stream[:n], r)
		stream = stream[n:]
	}
	return r
}

// parsedEnds returns where the requests of a stream end according to net/http, up to the first error.
func parsedEnds(stream []byte) []int {
	source := bytes.NewReader(stream)
	reader := bufio.NewReader(source)
	var ends []int
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return ends
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return ends
		}
		ends = append(ends, len(stream)-source.Len()-reader.Buffered())
	}
}

var framingLines = []string{
	"Content-Length: 5\r\n", "Content-Length: 5\n", "content-length:5 \r\n", "Content-Length: 6\r\n", "Content-Length: \r\n",
	"Content-Length: -5\r\n", "Content-Length: 5, 5\r\n", "Content-Length:\r\n 5\r\n", "Content-Length : 5\r\n",
	"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: CHUNKED\r\n", "Transfer-Encoding: gzip, chunked\r\n",
	"Transfer-Encoding:\r\n chunked\r\n", "Transfer-Encoding: identity\r\n", "A: b\r\n", "A: b\r\n c\r\n", "A:\r\n", " a\r\n",
	"X: " + strings.Repeat("x", 300) + "\r\n", "Content-Length: " + strings.Repeat("0", 200) + "5\r\n",
}

var bodies = []string{
	"", "hello", "5\r\nhello\r\n0\r\n\r\n", "5;x=y\r\nhello\r\n0\r\nT: u\r\n\r\n", "5 \r\nhello\r\n00\r\n\r\n", "5\nhello\n0\n\n",
	"x\r\n", "GET / HTTP/1.1\r\n", "\r\n",
}

// Guards against taking the header of a request for the body of another, which would leave its fields uncounted: where
// net/http finds the end of a request, the framer finds it too or reports that it is uncertain.
func TestFramerFollowsNetHTTP(t *testing.T) {
	found := 0
	for seed := range uint64(20000) {
		random := rand.New(rand.NewPCG(seed, 0))
		var stream bytes.Buffer
		for range 1 + random.IntN(3) {
			fmt.Fprintf(&stream, "POST / HTTP/1.%d\r\nHost: h\r\n", min(1, random.IntN(5)))
			for range random.IntN(3) {
				stream.WriteString(framingLines[random.IntN(len(framingLines))])
			}
			stream.WriteString("\r\n" + bodies[random.IntN(len(bodies))])
		}
		whole := feed(stream.Bytes(), stream.Len())
		for _, size := range []int{1, 7} {
			must.True(t, reflect.DeepEqual(whole, feed(stream.Bytes(), size)), must.Sprintf("seed %d: %q", seed, stream.Bytes()))
		}
		for i, end := range parsedEnds(stream.Bytes()) {
			if i < len(whole.heads) && whole.heads[i].Uncertain {
				break // the server closes the connection after it
			}
			must.Less(t, len(whole.ends), i, must.Sprintf("seed %d: %q", seed, stream.Bytes()))
			must.Eq(t, end, whole.ends[i], must.Sprintf("seed %d: %q", seed, stream.Bytes()))
			found++
		}
	}
	must.Greater(t, 10000, found)
}

// Guards against losing track of clients that send an empty line after a body, which net/http accepts.
func TestFramerSkipsEmptyLines(t *testing.T) {
	got := feed([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"), 5)
	must.Len(t, 2, got.ends)
	must.Eq(t, Head{Bytes: 27, Fields: 1}, got.heads[1])
}

// Guards against a header whose size is not counted in full.
func TestFramerCountsHeaders(t *testing.T) {
	stream := []byte("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + strings.Repeat("a", 100))
	got := feed(stream, 11)
	must.Eq(t, []Head{{Bytes: 33, Fields: 2}, {Bytes: 47, Fields: 2, Length: 3}}, got.heads)
	must.Eq(t, 33+47+100, got.headerBytes)
}
