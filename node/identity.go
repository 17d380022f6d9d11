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

// Limits of the request id records.
const (
	requestIDLifetime = 10 * time.Minute
	// seenCalls and seenRetention cover 100 non-idempotent calls per second for the longest time that a
	// connection may delay a message.
	seenCalls     = 20_000
	seenRetention = 3 * time.Minute
	secretBytes   = 32
)

// identity holds the state of one incarnation that makes non-idempotent requests run at most once.
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
		panic(err) // the settings were validated
	}
	return &identity{
		incarnation: incarnation,
		issuer:      issuer,
		table:       requestid.NewTable(issuer, requestid.DefaultTableConfig()),
		seen:        requestid.NewSeenSet(seenCalls, seenRetention),
	}
}

// reincarnate switches to a higher incarnation, because an earlier process with this name had a higher
// one than the start time of this process. Ids issued before are no longer accepted.
func (n *Node) reincarnate(incarnation uint64) {
	n.identity.Store(newIdentity(n, incarnation))
	n.log.Warn().Uint64("incarnation", incarnation).Msg("an earlier process with this name had a higher incarnation; check the clock")
}

// IssueRequestIDs implements caller.Handler. Ids issued without a key are valid on open routes.
func (n *Node) IssueRequestIDs(presented string, count int) ([]string, error) {
	if n.requests.stopping() {
		return nil, n.drainingRefusal(call.NotRun) // their records would be lost with this node
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

// runWithRequestID runs a non-idempotent request with the id that its caller presented, at this node or
// at the home node of the id.
func (n *Node) runWithRequestID(ctx context.Context, req *call.Request, body *call.ReplayBody, rules config.Rules) (*call.Response, error) {
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
	response, err := n.peers.Forward(ctx, destination, attempt)
	if err == nil {
		return response, nil
	}
	refusal := call.AsRefusal(err)
	if refusal.Code == call.CodePeerFailed {
		// Even if this message was not sent, an earlier presentation of the id may have run.
		refusal.Outcome = call.MayHaveRun
	}
	return nil, refusal
}

// isHome reports whether this incarnation issued the id.
func (n *Node) isHome(id requestid.ID) bool {
	return id.Node == n.settings.Name && id.Incarnation == n.identity.Load().incarnation
}

// runHome handles a request with an id that this incarnation issued. It runs to its end even if the caller
// disconnects, so that a repeat gets the response, unless the node stops.
func (n *Node) runHome(ctx context.Context, id requestid.ID, req *call.Request, body *call.ReplayBody, rules config.Rules) (*call.Response, error) {
	digest := requestDigest(req, body)
	for {
		decision := n.identity.Load().table.Begin(n.now(), id, req.Workspace, digest)
		switch decision.Action {
		case requestid.Replay:
			return decision.Response.Value.(*storedResponse).response(), nil
		case requestid.Refuse:
			return nil, decision.Refusal
		case requestid.Wait:
			select {
			case <-decision.Done:
			case <-ctx.Done():
				return nil, call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "the request is still running")
			}
		default:
			if n.requests.refuses(ctx, req.Deadline) {
				// This presentation created the record, so no earlier one has run.
				decision.Attempt.FinishNotRun()
				return nil, n.drainingRefusal(call.NotRun)
			}
			ctx, cancel := context.WithDeadline(n.requests.ctx, req.Deadline)
			response, err := n.runAttempt(ctx, decision.Attempt, req, body, rules)
			if err != nil {
				cancel()
				return nil, err
			}
			response.Body = call.OnClose(response.Body, cancel)
			return response, nil
		}
	}
}

func (n *Node) runAttempt(ctx context.Context, attempt *requestid.Attempt, req *call.Request, body *call.ReplayBody, rules config.Rules) (*call.Response, error) {
	defer attempt.Close()
	if err := n.refuseQuarantined(req.Fingerprint); err != nil {
		return nil, err
	}
	if err := n.takeToken(ctx, req); err != nil {
		return nil, err
	}
	response, err := n.dispatchRoot(ctx, req, body, rules, attempt.MarkDispatched)
	switch {
	case err != nil && call.AsRefusal(err).Outcome == call.NotRun:
		attempt.FinishNotRun()
		return nil, err
	case err != nil:
		attempt.FinishMayHaveRun()
		return nil, err
	case !response.Buffered:
		attempt.FinishMayHaveRun() // too large to store for repeats
		return response, nil
	}
	stored, err := storeResponse(response)
	if err != nil {
		attempt.FinishMayHaveRun()
		return nil, call.NewRefusal(call.CodeInternal, call.MayHaveRun, "answer not read: %v", err)
	}
	attempt.Finish(requestid.Response{Value: stored, Size: stored.size()})
	return stored.response(), nil
}

// storedResponse is a response that can be replayed.
type storedResponse struct {
	status int
	header http.Header
	body   []byte
}

func storeResponse(response *call.Response) (*storedResponse, error) {
	var body bytes.Buffer
	_, err := body.ReadFrom(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return nil, err
	}
	return &storedResponse{status: response.Status, header: response.Header, body: body.Bytes()}, nil
}

func (r *storedResponse) response() *call.Response {
	return &call.Response{
		Status:        r.status,
		Header:        r.header.Clone(),
		Body:          call.BytesBody(r.body),
		ContentLength: int64(len(r.body)),
		Buffered:      true,
	}
}

func (r *storedResponse) size() int64 {
	size := len(r.body)
	for name, values := range r.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return int64(size)
}

// requestDigest covers the method, the target, and the body or, if it is too large to buffer, its length.
func requestDigest(req *call.Request, body *call.ReplayBody) requestid.Digest {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %q %d\n", req.Method, req.Target, req.ContentLength)
	hash.Write(body.Data())
	return requestid.Digest(hash.Sum(nil))
}

// refuseDuplicate refuses a non-idempotent call that has been delivered before.
func (n *Node) refuseDuplicate(callID string) error {
	switch n.identity.Load().seen.Add(n.now(), callID) {
	case requestid.SeenDuplicate:
		return call.NewRefusal(call.CodeDuplicate, call.MayHaveRun, "call %s was delivered twice", callID)
	case requestid.SeenFull:
		return call.NewRefusal(call.CodeOverloaded, call.NotRun, "too many non-idempotent calls to remember")
	default:
		return nil
	}
}
