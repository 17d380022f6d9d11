package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
	"github.com/cowslipglade/cowslipglade/internal/signature"
)

// Incoming is a verified call from another node.
type Incoming struct {
	call.Request
	Sender string
	// Incarnation is the incarnation of this node that the sender addressed.
	Incarnation uint64
	Kind        Kind
	// AbortBody ends a wait for the rest of the body. Only an Acceptor sets it.
	AbortBody func()
}

// bodyGrace lets the deadline of a call end it before its connection is given up.
const bodyGrace = 100 * time.Millisecond

// Handler runs calls from other nodes. An error that is not a *call.Refusal counts as may have run.
type Handler interface {
	HandlePeer(ctx context.Context, incoming *Incoming) (*call.Response, error)
}

// Server takes forwarded calls. It is safe for concurrent use.
type Server struct {
	keyring *signature.Keyring
	handler Handler
	now     func() time.Time
}

// NewServer returns a server to be mounted at Path.
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
	restoreReplayHeaders(incoming.Header)
	incoming.Body = r.Body
	incoming.ContentLength = r.ContentLength
	// http.Transport returns only when its last read of the body has, so a peer that stops in the middle
	// of a body would hold a slot of the upstream for ever. Recorders of tests have no deadline.
	_ = http.NewResponseController(w).SetReadDeadline(incoming.Deadline.Add(bodyGrace))
	ctx, cancel := context.WithDeadline(r.Context(), incoming.Deadline)
	defer cancel()
	answer, err := s.handler.HandlePeer(ctx, incoming)
	if err != nil {
		s.writeRefusal(w, incoming.CallID, call.AsRefusal(err))
		return
	}
	s.writeAnswer(w, incoming.CallID, answer)
}

func (s *Server) writeRefusal(w http.ResponseWriter, callID string, refusal *call.Refusal) {
	encoded, sign, err := encodeAnswer(s.keyring, callID, nil, refusal)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header()[headerAnswer] = []string{encoded}
	w.Header()[headerSignature] = []string{sign}
	w.WriteHeader(refusal.Status())
}

func (s *Server) writeAnswer(w http.ResponseWriter, callID string, answer *call.Response) {
	encoded, sign, err := encodeAnswer(s.keyring, callID, answer, nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header()[headerAnswer] = []string{encoded}
	w.Header()[headerSignature] = []string{sign}
	httpresponse.Write(w, http.MethodPost, answer)
}
