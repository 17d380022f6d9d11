package sidecar

import (
	"context"
	"sync"
	"time"

	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

const (
	// loanTimeout bounds the response of one lender: four round trips between regions at 12 ms one way.
	loanTimeout = 100 * time.Millisecond
	// loanBackoff is the delay after a loan that yielded no tokens. It limits the calls caused by a
	// workspace that exceeds its rate.
	loanBackoff = 100 * time.Millisecond
)

// loans borrows tokens from other nodes for waiting requests. At most one loan per workspace is in progress,
// and all waiting requests of the workspace share it.
type loans struct {
	node *Node

	mu         sync.Mutex
	workspaces map[string]*workspaceLoan
}

type workspaceLoan struct {
	waiting int
	// done is closed when the loan in progress ends. It is nil if none is in progress.
	done      chan struct{}
	notBefore time.Time
}

func newLoans(n *Node) *loans { return &loans{node: n, workspaces: map[string]*workspaceLoan{}} }

// awaitLoan requests a token for one request and waits for the loan to end. It returns false if no loan was
// attempted or ctx ended first.
func (l *loans) awaitLoan(ctx context.Context, workspace string) bool {
	l.mu.Lock()
	state := l.workspaces[workspace]
	if state == nil {
		state = &workspaceLoan{}
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

// run makes a loan and ends the wait for it.
func (l *loans) run(workspace string, state *workspaceLoan) {
	l.mu.Lock()
	waiting := state.waiting
	l.mu.Unlock()
	borrowed := false
	l.node.contain("loan", func() { borrowed = l.borrowFor(workspace, waiting) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if !borrowed {
		state.notBefore = time.Now().Add(loanBackoff)
	}
	state.waiting = 0
	close(state.done)
	state.done = nil
}

// borrowFor asks the suggested lenders in order until enough tokens were borrowed, and reports whether any were.
func (l *loans) borrowFor(workspace string, waiting int) bool {
	n := l.node
	request := n.shares.PlanLoan(workspace, waiting, time.Now())
	missing := request.Tokens
	for _, name := range request.Lenders {
		if missing <= 0 {
			break
		}
		missing -= l.borrow(name, workspace, missing)
	}
	return missing < request.Tokens
}

// borrow asks one node for tokens and returns the number received.
func (l *loans) borrow(lender, workspace string, tokens float64) float64 {
	n := l.node
	address := n.registry.controlAddress(lender)
	if address == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(n.ctx, loanTimeout)
	defer cancel()
	asked := time.Now()
	response, err := n.gossip.rpcClient(address).Borrow(ctx, &gossipv1.BorrowRequest{Node: n.settings().Node, Workspace: workspace, Tokens: tokens})
	if err != nil {
		n.metrics.loans.Add("failed", 1)
		n.log.event("loan_failed").Str("lender", lender).Str("workspace", workspace).Err(err).Msg("cannot borrow tokens")
		n.shares.LoanFailed(lender)
		return 0
	}
	n.metrics.loans.AddFloat("tokens", response.Given)
	n.shares.RecordLoan(lender, workspace, response.Given, response.Left, asked)
	return response.Given
}

// Borrow implements gossipv1.Gossip.
func (g *gossip) Borrow(_ context.Context, request *gossipv1.BorrowRequest) (*gossipv1.BorrowResponse, error) {
	given, left := g.node.shares.Lend(request.Workspace, request.Tokens, time.Now())
	return &gossipv1.BorrowResponse{Given: given, Left: left}, nil
}
