package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
	"github.com/cowslipglade/cowslipglade/internal/signature"
)

// Incoming is a call received from another node.
type Incoming struct {
	call.Request
	Sender string
	// Incarnation is the incarnation of this node that the sender addressed.
	Incarnation uint64
	Kind        Kind
	// AbortBody aborts pending reads of the body. Only an Acceptor sets it.
	AbortBody func()
	// Queued tells the sender that the call waits for a slot. Only an Acceptor sets it.
	Queued func()
}

// deadlineGrace is the time from the deadline of a call to that of its connection, so that the call ends first.
const deadlineGrace = 100 * time.Millisecond

// Handler runs calls from other nodes. After an error that is not a *call.Refusal, the call counts as may have
// run.
type Handler interface {
	HandlePeer(ctx context.Context, incoming *Incoming) (*call.Response, error)
}

// Server receives calls from Clients and verifies their signatures. It is safe for concurrent use.
type Server struct {
	keyring *signature.Keyring
	handler Handler
	now     func() time.Time
}

// NewServer returns a server that must be mounted at Path.
func NewServer(keyring *signature.Keyring, handler Handler) *Server {
	return &Server{keyring: keyring, handler: handler, now: time.Now}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	incoming, err := decodeContext(s.keyring, r.Header.Get(headerContext), r.Header.Get(headerSignature), s.now())
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, ErrUnauthenticated) {
			status = http.StatusForbidden
		}
		http.Error(w, err.Error(), status)
		return
	}
	incoming.Header = http.Header{}
	call.CopyHeader(incoming.Header, r.Header)
	restoreHeaders(incoming.Header)
	body := httpserver.NewBody(w, r)
	incoming.Body = body
	incoming.ContentLength = r.ContentLength
	// http.Transport returns only after its last read of the body has returned, so a peer that stops sending
	// in the middle of a body would occupy an upstream slot forever. An httptest.ResponseRecorder has no deadline.
	_ = body.SetDeadline(incoming.Deadline.Add(deadlineGrace))
	ctx, cancel := context.WithDeadline(r.Context(), incoming.Deadline)
	defer cancel()
	if err := bufferDeclared(&incoming.Request); err != nil {
		s.writeRefusal(w, incoming.CallID, call.AsRefusal(err))
		return
	}
	response, err := s.handler.HandlePeer(ctx, incoming)
	if err != nil {
		s.writeRefusal(w, incoming.CallID, call.AsRefusal(err))
		return
	}
	s.writeResponse(w, r, incoming.CallID, response)
}

func (s *Server) writeRefusal(w http.ResponseWriter, callID string, refusal *call.Refusal) {
	encoded, sign, err := encodeResponseMetadata(s.keyring, callID, nil, refusal)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header()[headerResponse] = []string{encoded}
	w.Header()[headerSignature] = []string{sign}
	w.WriteHeader(refusal.Status())
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, callID string, response *call.Response) {
	encoded, sign, err := encodeResponseMetadata(s.keyring, callID, response, nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header()[headerResponse] = []string{encoded}
	w.Header()[headerSignature] = []string{sign}
	httpresponse.Write(w, r, response)
}
