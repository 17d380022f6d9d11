// Package httpresponse writes responses and refusals to HTTP clients. All listeners share it.
package httpresponse

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Write writes the response to a request and closes its body. If the body cannot be copied completely, it
// aborts the connection, so that the receiver cannot mistake a truncated response for a complete one. A
// response to HEAD gets no Content-Length, because the length of the omitted body is unknown.
func Write(w http.ResponseWriter, r *http.Request, response *call.Response) {
	defer response.Body.Close()
	call.CopyHeader(w.Header(), response.Header)
	if response.ContentLength >= 0 && r.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	if !response.Buffered && !response.Deadline.IsZero() {
		// Without a deadline, a receiver that stops reading would hold an upstream slot forever. The deadline
		// is cleared afterwards, because the next request on the connection must not inherit it. Errors are
		// ignored because response recorders in tests do not support deadlines.
		controller := http.NewResponseController(w)
		_ = controller.SetWriteDeadline(response.Deadline.Add(writeGrace))
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(response.Status)
	if _, err := io.Copy(w, response.Body); err != nil {
		if !r.ProtoAtLeast(1, 1) {
			resetConnection(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConnection resets the connection of an HTTP/1.0 client, for which an ordinary close is the end of a body
// without a length.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // response recorders in tests have no connection
	}
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = conn.Close()
}

// writeGrace delays the write deadline, so that the deadline of the call ends the stream before the
// connection is aborted.
const writeGrace = 100 * time.Millisecond

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Code      call.Code `json:"code"`
	Message   string    `json:"message"`
	RequestID string    `json:"request_id,omitempty"`
	// Outcome is "not_run" or "may_have_run".
	Outcome string `json:"outcome"`
}

// WriteRefusal writes a refusal as JSON.
func WriteRefusal(w http.ResponseWriter, refusal *call.Refusal, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	if requestID != "" {
		w.Header().Set(call.HeaderRequestID, requestID)
	}
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(refusal.Status())
	// A write error means that the caller has disconnected, so there is no one to report it to.
	_ = json.NewEncoder(w).Encode(RefusalBody{
		Code:      refusal.Code,
		Message:   refusal.Message,
		RequestID: requestID,
		Outcome:   refusal.Outcome.String(),
	})
}
