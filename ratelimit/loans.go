package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LoanRequest describes a loan that a node needs.
type LoanRequest struct {
	// Lenders are the nodes to ask, in order.
	Lenders []string
	// Tokens is the number of tokens to ask for.
	Tokens float64
}

// PlanLoan returns the loan to request for the given number of waiting requests. Lenders in the local failure
// domain come first, then the others; in each group the ones with the most tokens come first. Nodes that are
// not expected to have a whole token are left out.
func (s *Shares) PlanLoan(workspace string, waiting int, now time.Time) LoanRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.workspaces[workspace]
	if b == nil {
		return LoanRequest{}
	}
	b.updateDemand(&s.config, now)
	type lender struct {
		name   string
		remote int // 1 in another failure domain
		tokens float64
		order  uint64 // differs between borrowers, which would otherwise all ask the same nodes
	}
	var lenders []lender
	for name, m := range s.members {
		entry := m.entries[workspace]
		tokens := s.estimateTokens(b, m, &entry, now)
		if tokens < minLoan || m.loanFailed {
			continue
		}
		l := lender{name: name, tokens: tokens, order: xxhash.Sum64String(s.self.Name + "/" + name)}
		if m.FailureDomain != s.self.FailureDomain {
			l.remote = 1
		}
		lenders = append(lenders, l)
	}
	slices.SortFunc(lenders, func(a, b lender) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.order, b.order))
	})
	request := LoanRequest{Tokens: float64(waiting) + math.Floor(b.demand*s.config.LoanLookahead.Seconds())}
	expected := b.tokens
	for _, l := range lenders[:min(s.config.MaxLenders, len(lenders))] {
		request.Lenders = append(request.Lenders, l.name)
		expected += l.tokens
	}
	if expected < 1 {
		request.Lenders = nil
	}
	return request
}

// minLoan is the smallest part of a token that is lent. In a large fleet most of a workspace's tokens may be parts.
const minLoan = 0.25

// Lend gives up to wanted tokens to another node: at most half of the tokens here, or one token if that is
// more. It returns the tokens given and those remaining. The given tokens are deducted even if the response is
// lost, so they are never used twice. Until they expire at the borrower, the bucket here keeps room for them.
func (s *Shares) Lend(workspace string, wanted float64, now time.Time) (given, remaining float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.workspaces[workspace]
	if b == nil || !s.joined || !(wanted > 0) { // !(wanted > 0) also rejects NaN
		return 0, 0
	}
	b.refill(now)
	if b.tokens < minLoan {
		return 0, b.tokens
	}
	given = min(wanted, b.tokens, max(1, b.tokens/2))
	b.tokens -= given
	b.lent.add(given, now.Add(s.config.LoanLifetime+loanGranularity), now)
	b.lentTotal += given
	b.arrivals += given // the demand of nodes that rely on this one
	return given, b.tokens
}

// RecordLoan adds tokens that another node has lent and records how many the lender has remaining. asked is when the loan
// was asked for: the lender keeps room for the tokens from a later time on, for as long as they are usable here.
func (s *Shares) RecordLoan(lender, workspace string, given, remaining float64, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[lender]; m != nil {
		entry := m.entries[workspace]
		entry.Workspace, entry.Tokens = workspace, remaining
		m.entries[workspace], m.loanedAt[workspace] = entry, asked
	}
	b := s.workspaces[workspace]
	if b == nil || given <= 0 {
		return
	}
	b.refill(asked)
	b.borrowedTotal += given
	b.borrowed.add(given, asked.Add(s.config.LoanLifetime), asked)
}

// LoanFailed records that a node could not be asked for a loan. It is not asked again before the next contact.
func (s *Shares) LoanFailed(lender string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[lender]; m != nil {
		m.loanFailed = true
	}
}

// loanGranularity is the difference in expiry up to which loaned tokens are kept together, which bounds their number.
const loanGranularity = 20 * time.Millisecond

// loanedTokens are tokens that expire, in the order in which they do.
type loanedTokens []loanedLot

type loanedLot struct {
	tokens  float64
	expires time.Time
}

// add adds tokens that expire at the given time or up to loanGranularity earlier, and drops expired ones.
func (l *loanedTokens) add(tokens float64, expires, now time.Time) {
	l.expire(now)
	at := 0
	for ; at < len(*l) && !(*l)[at].expires.After(expires); at++ {
		if expires.Sub((*l)[at].expires) <= loanGranularity {
			(*l)[at].tokens += tokens
			return
		}
	}
	*l = slices.Insert(*l, at, loanedLot{tokens, expires})
}

// expire drops expired tokens and returns their number.
func (l *loanedTokens) expire(now time.Time) (expired float64) {
	at := 0
	for ; at < len(*l) && !(*l)[at].expires.After(now); at++ {
		expired += (*l)[at].tokens
	}
	*l = slices.Delete(*l, 0, at)
	return expired
}

// total returns the tokens that have not expired.
func (l loanedTokens) total(now time.Time) (sum float64) {
	for _, lot := range l {
		if lot.expires.After(now) {
			sum += lot.tokens
		}
	}
	return sum
}

// spend takes unexpired tokens, those that expire first before the others.
func (l loanedTokens) spend(tokens float64, now time.Time) {
	for i := range l {
		if l[i].expires.After(now) {
			taken := min(tokens, l[i].tokens)
			l[i].tokens -= taken
			tokens -= taken
		}
	}
}

// nextExpiry returns the first expiry after one time and before another, or the latter.
func (l loanedTokens) nextExpiry(after, until time.Time) time.Time {
	for _, lot := range l {
		if lot.expires.After(after) && lot.expires.Before(until) {
			return lot.expires
		}
	}
	return until
}
