package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/responsetest"
)

// uploadBytes exceeds what the kernel buffers of a connection on loopback.
const uploadBytes = 16 << 20

// upload sends a long body and returns the response's body. Between the head and the body of the response it waits.
func upload(t *testing.T, serve func(net.Conn, *http.Request), length int64, wait time.Duration) (string, error) {
	t.Helper()
	address := responsetest.StartFunc(t, serve)
	pool := NewPool(Config{DialTimeout: time.Second, MaxIdleTime: time.Second, MaxHeadBytes: 64 << 10, MaxIdlePerAddress: 1})
	defer pool.Close()
	conn, err := pool.Get(context.Background(), address, 0)
	must.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	must.NoError(t, conn.WriteHead(&Head{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Length: length}))
	body := io.LimitReader(endless{}, uploadBytes)
	response, _, err := conn.Exchange(http.MethodPost, body, length)
	if err != nil {
		return "", err
	}
	time.Sleep(wait)
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// endless is a reader that never ends.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against taking a response without a length for complete when the connection is reset while the request is being
// written: the write meets the reset, and the read after it an ordinary end.
func TestResetDuringUpload(t *testing.T) {
	for _, size := range []int{0, 1, 2000, 20000, 60000} {
		for _, length := range []int64{uploadBytes, -1} {
			for _, wait := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprint(size, " ", length, " ", wait), func(t *testing.T) {
					part := strings.Repeat("a", size)
					for range 5 {
						got, err := upload(t, responsetest.ResetDuringUpload("HTTP/1.1 200 OK\r\n\r\n"+part), length, wait)
						must.Error(t, err, must.Sprint(len(got), " bytes taken for the complete body"))
						must.False(t, errors.Is(err, io.EOF) && !errors.Is(err, ErrNoResponse))
					}
				})
			}
		}
	}
}

// Guards against rejecting complete responses to an upload together with those that are reset.
func TestEarlyResponses(t *testing.T) {
	for _, size := range []int{1, 20000} {
		body := strings.Repeat("a", size)
		for _, early := range responsetest.EarlyResponses("", body) {
			for _, wait := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprint(early.Name, " ", size, " ", wait), func(t *testing.T) {
					for range 3 {
						got, err := upload(t, early.Serve, uploadBytes, wait)
						must.NoError(t, err)
						must.Eq(t, body, got)
					}
				})
			}
		}
	}
}
