package node

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/requestid"
)

// Bounds of the record of request ids.
const (
	requestIDLifetime = 10 * time.Minute
	// seenCalls and seenRetention cover 100 non-idempotent calls a second over the longest time that a
	// connection may hold back a message.
	seenCalls     = 20_000
	seenRetention = 3 * time.Minute
	secretBytes   = 32
)

// identity is the node's part in running non-idempotent requests at most once.
type identity struct {
	incarnation uint64
	issuer      *requestid.Issuer
	table       *requestid.Table
	seen        *requestid.SeenSet
}

func newIdentity(n *Node, incarnation uint64) *identity {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // documented never to fail
	issuer, err := requestid.NewIssuer(n.settings.Name, incarnation, secret, requestIDLifetime)
	if err != nil {
		panic(err) // the settings have been checked
	}
	return &identity{
		incarnation: incarnation,
		issuer:      issuer,
		table:       requestid.NewTable(issuer, requestid.DefaultTableConfig()),
		seen:        requestid.NewSeenSet(seenCalls, seenRetention),
	}
}

// reincarnate takes a higher incarnation, because an earlier process with this name had a higher one
// than the start time of this one. Ids issued before can no longer be presented.
func (n *Node) reincarnate(incarnation uint64) {
	n.identity.Store(newIdentity(n, incarnation))
	n.log.Warn().Uint64("incarnation", incarnation).Msg("an earlier process with this name had a higher incarnation; check the clock")
}

// IssueRequestIDs implements caller.Handler. Without a key the ids serve open routes.
func (n *Node) IssueRequestIDs(presented string, count int) ([]string, error) {
	if n.work.stopping() {
		return nil, n.draining(call.NotRun) // the ids would be lost with this node
	}
	workspace := ""
	if presented != "" {
		key, err := n.authenticate(presented, call.NotRun)
		if err != nil {
			return nil, err
		}
		workspace = key.Workspace
	}
	issuer := n.identity.Load().issuer
	ids := make([]string, count)
	for i := range ids {
		ids[i] = issuer.Issue(n.now(), workspace).String()
	}
	return ids, nil
}

// runIdentified runs a non-idempotent request under the id that its caller presented, here or at the
// id's home.
func (n *Node) runIdentified(ctx context.Context, req *call.Request, body *call.ReplayBody, rules config.Rules) (*call.Response, error) {
	if req.RequestID == "" {
		return nil, call.NewRefusal(call.CodeRequestIDRequired, call.NotRun,
			"route %s is not idempotent and needs a %s from POST /cowslip/request-ids", req.Route, call.HeaderRequestID)
	}
	id, err := requestid.Decode(req.RequestID)
	if err != nil {
		return nil, call.NewRefusal(call.CodeRequestIDInvalid, call.NotRun, "%s: %v", call.HeaderRequestID, err)
	}
	if n.isHome(id) {
		return n.runHome(ctx, id, req, body, rules)
	}
	home, ok := n.membership.find(id.Node, id.Incarnation)
	if !ok {
		return nil, call.NewRefusal(call.CodeRequestIDLost, call.MayHaveRun, "the node that issued the request id cannot be reached or has been replaced")
	}
	attempt := body.Attach(req)
	attempt.CallID = randomID()
	destination := peer.Destination{Address: home.address, Incarnation: home.incarnation, Kind: peer.KindHome}
	answer, err := n.peers.Forward(ctx, destination, attempt)
	if err == nil {
		return answer, nil
	}
	refusal := call.AsRefusal(err)
	if refusal.Code == call.CodePeerFailed {
		// Even an unsent message proves nothing here: an earlier presentation may have run.
		refusal.Outcome = call.MayHaveRun
	}
	return nil, refusal
}

// isHome tells whether this incarnation issued the id.
func (n *Node) isHome(id requestid.ID) bool {
	return id.Node == n.settings.Name && id.Incarnation == n.identity.Load().incarnation
}

// runHome decides about a presentation of an id that this incarnation issued. The request runs to its
// end even when the caller goes away, so that a repeat gets the answer, but not longer than the node.
func (n *Node) runHome(ctx context.Context, id requestid.ID, req *call.Request, body *call.ReplayBody, rules config.Rules) (*call.Response, error) {
	digest := requestDigest(req, body)
	for {
		decision := n.identity.Load().table.Begin(n.now(), id, req.Workspace, digest)
		switch decision.Action {
		case requestid.Replay:
			return decision.Response.Value.(*heldAnswer).answer(), nil
		case requestid.Refuse:
			return nil, decision.Refusal
		case requestid.Wait:
			select {
			case <-decision.Done:
			case <-ctx.Done():
				return nil, call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "the request is still running")
			}
		default:
			if n.work.refuses(ctx, req.Deadline) {
				// The record was made for this presentation, so none before it has run.
				decision.Attempt.FinishNotRun()
				return nil, n.draining(call.NotRun)
			}
			ctx, cancel := context.WithDeadline(n.work.ctx, req.Deadline)
			answer, err := n.runAttempt(ctx, decision.Attempt, req, body, rules)
			if err != nil {
				cancel()
				return nil, err
			}
			answer.Body = call.OnClose(answer.Body, cancel)
			return answer, nil
		}
	}
}

func (n *Node) runAttempt(ctx context.Context, attempt *requestid.Attempt, req *call.Request, body *call.ReplayBody, rules config.Rules) (*call.Response, error) {
	defer attempt.Close()
	if err := n.refuseQuarantined(req.Fingerprint); err != nil {
		return nil, err
	}
	if err := n.takeRate(ctx, req); err != nil {
		return nil, err
	}
	answer, err := n.dispatchRoot(ctx, req, body, rules, attempt.MarkDispatched)
	switch {
	case err != nil && call.AsRefusal(err).Outcome == call.NotRun:
		attempt.FinishNotRun()
		return nil, err
	case err != nil:
		attempt.FinishMayHaveRun()
		return nil, err
	case !answer.Buffered:
		attempt.FinishMayHaveRun() // too large to be kept for repeats
		return answer, nil
	}
	held, err := holdAnswer(answer)
	if err != nil {
		attempt.FinishMayHaveRun()
		return nil, call.NewRefusal(call.CodeInternal, call.MayHaveRun, "answer not read: %v", err)
	}
	attempt.Finish(requestid.Response{Value: held, Size: held.size()})
	return held.answer(), nil
}

// heldAnswer is an answer that can be given more than once.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

func holdAnswer(answer *call.Response) (*heldAnswer, error) {
	var body bytes.Buffer
	_, err := body.ReadFrom(answer.Body)
	if err = errors.Join(err, answer.Body.Close()); err != nil {
		return nil, err
	}
	return &heldAnswer{status: answer.Status, header: answer.Header, body: body.Bytes()}, nil
}

func (h *heldAnswer) answer() *call.Response {
	return &call.Response{
		Status:        h.status,
		Header:        h.header.Clone(),
		Body:          call.BytesBody(h.body),
		ContentLength: int64(len(h.body)),
		Buffered:      true,
	}
}

func (h *heldAnswer) size() int64 {
	size := len(h.body)
	for name, values := range h.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return int64(size)
}

// requestDigest covers method, target and body; of a body that is too large to be held, its length.
func requestDigest(req *call.Request, body *call.ReplayBody) requestid.Digest {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %q %d\n", req.Method, req.Target, req.ContentLength)
	hash.Write(body.Data())
	return requestid.Digest(hash.Sum(nil))
}

// refuseDouble refuses a non-idempotent call that has been delivered before.
func (n *Node) refuseDouble(callID string) error {
	switch n.identity.Load().seen.Add(n.now(), callID) {
	case requestid.SeenDuplicate:
		return call.NewRefusal(call.CodeDuplicate, call.MayHaveRun, "call %s was delivered twice", callID)
	case requestid.SeenFull:
		return call.NewRefusal(call.CodeOverloaded, call.NotRun, "too many non-idempotent calls to remember")
	default:
		return nil
	}
}
