package sidecar

import (
	"context"
	"sync"
	"time"

	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

const (
	// loanTimeout bounds the answer of one node: four round trips between regions of 12 ms each way.
	loanTimeout = 100 * time.Millisecond
	// loanPause follows a loan that brought nothing, so that a workspace above its rate costs few calls.
	loanPause = 100 * time.Millisecond
)

// loans borrows tokens of other nodes for requests that wait. One loan of a workspace is under way at a
// time, and all of its requests wait for the same one.
type loans struct {
	node *Node

	mu         sync.Mutex
	workspaces map[string]*loan
}

type loan struct {
	waiting int
	// done is closed at the end of the loan that is under way, and nil when there is none.
	done      chan struct{}
	notBefore time.Time
}

func newLoans(n *Node) *loans { return &loans{node: n, workspaces: map[string]*loan{}} }

// await borrows for one request and returns when the loan has ended. It returns false when none was tried
// or ctx ended before.
func (l *loans) await(ctx context.Context, workspace string) bool {
	l.mu.Lock()
	state := l.workspaces[workspace]
	if state == nil {
		state = &loan{}
		l.workspaces[workspace] = state
	}
	if time.Now().Before(state.notBefore) {
		l.mu.Unlock()
		return false
	}
	state.waiting++
	if state.done == nil {
		state.done = make(chan struct{})
		go l.run(workspace, state)
	}
	done := state.done
	l.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// run asks the likely lenders until the tokens suffice.
func (l *loans) run(workspace string, state *loan) {
	n := l.node
	l.mu.Lock()
	waiting := state.waiting
	l.mu.Unlock()
	request := n.shares.PlanLoan(workspace, waiting, time.Now())
	missing := request.Tokens
	for _, name := range request.Lenders {
		if missing <= 0 {
			break
		}
		missing -= l.borrow(name, workspace, missing)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if missing >= request.Tokens {
		state.notBefore = time.Now().Add(loanPause)
	}
	state.waiting = 0
	close(state.done)
	state.done = nil
}

// borrow asks one node and returns the tokens that it has given.
func (l *loans) borrow(lender, workspace string, tokens float64) float64 {
	n := l.node
	address := n.registry.controlAddress(lender)
	if address == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(n.ctx, loanTimeout)
	defer cancel()
	answer, err := n.gossip.rpc(address).Borrow(ctx, &gossipv1.BorrowRequest{Node: n.settings().Node, Workspace: workspace, Tokens: tokens})
	if err != nil {
		n.metrics.loans.Add("failed", 1)
		n.log.event("loan_failed").Str("lender", lender).Str("workspace", workspace).Err(err).Msg("no tokens borrowed")
		n.shares.RecordLoan(lender, workspace, 0, 0, time.Now())
		return 0
	}
	n.metrics.loans.AddFloat("tokens", answer.Given)
	n.shares.RecordLoan(lender, workspace, answer.Given, answer.Left, time.Now())
	return answer.Given
}

// Borrow implements gossipv1.Gossip.
func (g *gossip) Borrow(_ context.Context, request *gossipv1.BorrowRequest) (*gossipv1.BorrowResponse, error) {
	given, left := g.node.shares.Lend(request.Workspace, request.Tokens, time.Now())
	return &gossipv1.BorrowResponse{Given: given, Left: left}, nil
}
