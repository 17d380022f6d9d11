// Package httpresponse writes answers and refusals to HTTP clients. All listeners share it.
package httpresponse

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Write writes status and body of an answer to a request with the method and closes the body. When the
// body breaks off it aborts the connection, so that the receiver cannot take half an answer for a whole
// one. An answer to HEAD gets no length, because the one of the missing body is not known.
func Write(w http.ResponseWriter, method string, answer *call.Response) {
	defer answer.Body.Close()
	call.CopyHeader(w.Header(), answer.Header)
	if answer.ContentLength >= 0 && method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	if !answer.Buffered && !answer.Deadline.IsZero() {
		// A receiver that stops reading would hold a slot of the upstream for ever. Recorders of tests have
		// no deadline. The next request on the connection must not inherit it.
		controller := http.NewResponseController(w)
		_ = controller.SetWriteDeadline(answer.Deadline.Add(writeGrace))
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(answer.Status)
	if _, err := io.Copy(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeGrace lets the deadline of a call end its stream before the connection is given up.
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
	// A write error means that the caller has gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(RefusalBody{
		Code:      refusal.Code,
		Message:   refusal.Message,
		RequestID: requestID,
		Outcome:   refusal.Outcome.String(),
	})
}
