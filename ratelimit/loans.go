package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
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
	}
	var lenders []lender
	for name, m := range s.members {
		entry := m.entries[workspace]
		tokens := s.estimateTokens(b, m, &entry, now)
		if tokens < 1 {
			continue
		}
		l := lender{name: name, tokens: tokens}
		if m.FailureDomain != s.self.FailureDomain {
			l.remote = 1
		}
		lenders = append(lenders, l)
	}
	slices.SortFunc(lenders, func(a, b lender) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(b.tokens, a.tokens))
	})
	request := LoanRequest{Tokens: float64(waiting) + math.Floor(b.demand*s.config.LoanLookahead.Seconds())}
	for _, l := range lenders[:min(s.config.MaxLenders, len(lenders))] {
		request.Lenders = append(request.Lenders, l.name)
	}
	return request
}

// Lend gives up to wanted tokens to another node: at most half of the tokens here, or one token if that is
// more. It returns the tokens given and those remaining. The given tokens are deducted even if the response is
// lost, so they are never used twice.
func (s *Shares) Lend(workspace string, wanted float64, now time.Time) (given, remaining float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.workspaces[workspace]
	if b == nil || !s.joined || !(wanted > 0) { // !(wanted > 0) also rejects NaN
		return 0, 0
	}
	b.refill(b.share, now)
	if b.tokens < 1 {
		return 0, b.tokens
	}
	given = min(wanted, max(1, b.tokens/2))
	b.tokens -= given
	b.lent += given
	b.arrivals += given // the demand of nodes that rely on this one
	return given, b.tokens
}

// RecordLoan adds tokens that another node has lent and records how many the lender has remaining.
func (s *Shares) RecordLoan(lender, workspace string, given, remaining float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[lender]; m != nil {
		entry := m.entries[workspace]
		entry.Tokens = remaining
		m.entries[workspace] = entry
	}
	b := s.workspaces[workspace]
	if b == nil || given <= 0 {
		return
	}
	b.expireBorrowed(now)
	b.borrowed += given
	b.borrowedTotal += given
	b.borrowedUntil = now.Add(s.config.LoanLifetime)
}
