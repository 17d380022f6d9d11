package httpresponse

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

// Guards against ending the connection of a truncated response in a way that means a complete one.
func TestWriteTruncated(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, length := range []int64{-1, 1 << 20} {
			for _, sent := range []int{0, 1, 3 << 10, 100 << 10} {
				t.Run(fmt.Sprint(protocol, " ", length, " ", sent), func(t *testing.T) {
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						body := io.MultiReader(bytes.NewReader(make([]byte, sent)), iotest.ErrReader(errors.New("broken")))
						Write(w, r, &call.Response{Status: http.StatusOK, Body: io.NopCloser(body), ContentLength: length})
					}))
					defer server.Close()
					conn, err := net.Dial("tcp4", server.Listener.Addr().String())
					must.NoError(t, err)
					defer conn.Close()
					_, err = io.WriteString(conn, "GET / "+protocol+"\r\nHost: h\r\n\r\n")
					must.NoError(t, err)
					data, err := io.ReadAll(conn)
					if err != nil || len(data) == 0 {
						return // a reset, or no response
					}
					if length < 0 {
						must.False(t, protocol == "HTTP/1.0", must.Sprint("a response without a length ends with its connection"))
						must.False(t, bytes.HasSuffix(data, []byte("0\r\n\r\n")), must.Sprint("ended"))
					} else {
						must.Less(t, int(length), len(data))
					}
				})
			}
		}
	}
}
