package retry

import "sync"

// Budget is the number of extra attempts that one call and its call tree may still make. It is safe for
// concurrent use, because the child calls of a call run concurrently.
type Budget struct {
	mu        sync.Mutex
	reserved  int
	remaining int
	closed    bool
}

// NewBudget returns a budget with the tokens that arrived with a call. A negative number counts as 0.
func NewBudget(tokens int) *Budget {
	tokens = max(tokens, 0)
	return &Budget{reserved: tokens, remaining: tokens}
}

// Remaining returns the number of tokens that are neither spent nor granted.
func (b *Budget) Remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining
}

// Spend takes one token for an extra attempt and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Grant takes tokens for a child call. The caller must call Settle when the response arrives; a grant that
// is never settled counts as spent.
//
// All tokens are granted, except that one is kept back when there are several. A single token is of more
// use to the child, which sees the failures of deeper hops and returns the token with a refusal.
func (b *Budget) Grant() *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return &Grant{budget: b}
	}
	tokens := b.remaining
	if tokens > 1 {
		tokens--
	}
	b.remaining -= tokens
	return &Grant{budget: b, tokens: tokens}
}

// Close ends the budget and returns the remaining tokens. Later operations have no effect.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.remaining
	b.remaining = 0
	b.closed = true
	return remaining
}

// fill adds up to available tokens from a bucket to the budget and returns their number. The budget never
// receives more than limit tokens in total.
func (b *Budget) fill(limit int, available int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0
	}
	tokens := max(0, min(limit-b.reserved, available))
	b.reserved += tokens
	b.remaining += tokens
	return tokens
}

// Grant is the part of a budget that travels with one child call. It is safe for concurrent use.
type Grant struct {
	budget  *Budget
	tokens  int // does not change
	settled bool
}

// Tokens returns the number of extra attempts that the child call may make.
func (g *Grant) Tokens() int { return g.tokens }

// Settle returns the unspent tokens to the budget. Only the first call counts, so a duplicate response is
// harmless, and at most the granted tokens are returned, so a wrong count cannot create tokens. When the
// response is lost, the caller uses Settle(0) or nothing; when the call was never sent, SettleUnsent.
func (g *Grant) Settle(unspent int) {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	if g.settled || g.budget.closed {
		return
	}
	g.settled = true
	g.budget.remaining += min(max(unspent, 0), g.tokens)
}

// SettleUnsent returns all granted tokens. The caller must not have sent any byte of the call.
func (g *Grant) SettleUnsent() { g.Settle(g.tokens) }
