package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// loanPair returns two nodes that share the burst of a workspace evenly.
func loanPair(t *testing.T, burst int64) (*Shares, *Shares, time.Time) {
	t.Helper()
	now := time.Unix(1, 0)
	a, b := NewShares(Member{"a", "d"}, DefaultSharesConfig()), NewShares(Member{"b", "d"}, DefaultSharesConfig())
	a.SetMembers([]Member{{"b", "d"}}, true)
	b.SetMembers([]Member{{"a", "d"}}, true)
	for _, s := range []*Shares{a, b} {
		s.SetWorkspaces(map[string]Quota{"w": {Rate: 1, Burst: burst}}, now)
	}
	b.Receive("a", a.PrepareMessage("b", now), now)
	a.Receive("b", b.PrepareMessage("a", now), now)
	must.True(t, a.Reconcile(now))
	must.False(t, b.Reconcile(now), must.Sprint("a divides the rates"))
	b.Receive("a", a.PrepareMessage("b", now), now)
	must.True(t, b.Reconcile(now))
	now = now.Add(time.Duration(burst) * time.Second) // fills the burst
	b.Receive("a", a.PrepareMessage("b", now), now)
	a.Receive("b", b.PrepareMessage("a", now), now)
	return a, b, now
}

// Checks that a node that borrows until the lender is empty admits the burst and no more.
func TestLoansStayWithinBurst(t *testing.T) {
	a, b, now := loanPair(t, 20)
	admitted := 0
	for range 40 {
		ok, _ := a.Take("w", now)
		if request := a.PlanLoan("w", 1, now); !ok && len(request.Lenders) > 0 {
			given, remaining := b.Lend("w", request.Tokens, now)
			a.RecordLoan("b", "w", given, remaining, now)
			ok, _ = a.Retake("w", now)
		}
		if ok {
			admitted++
		}
	}
	must.Eq(t, 20, admitted)
	must.SliceEmpty(t, a.PlanLoan("w", 1, now).Lenders, must.Sprint("the lender has nothing left"))
	status := a.Status(now)["w"]
	must.Eq(t, 20, status.Admitted)
	must.Eq(t, 20, status.Refused)
}

// Checks that borrowed tokens expire, so that a node cannot accumulate them beyond its share of the burst, and that they
// are not lost where there is room for them.
func TestLoanExpires(t *testing.T) {
	a, b, now := loanPair(t, 20)
	for range 10 {
		ok, _ := a.Take("w", now)
		must.True(t, ok)
	}
	given, remaining := b.Lend("w", 4, now)
	must.Eq(t, 4, given)
	must.Eq(t, 6, remaining)
	a.RecordLoan("b", "w", given, remaining, now)
	now = now.Add(DefaultSharesConfig().LoanLifetime + time.Millisecond)
	must.Eq(t, 0, a.workspaces["w"].borrowed.total(now))
	admitted := 0
	for ok, _ := a.Take("w", now); ok; ok, _ = a.Take("w", now) {
		admitted++
	}
	must.Eq(t, 4, admitted, must.Sprint("the lender has given them"))
	// In a full bucket, expired tokens find no room.
	now = now.Add(20 * time.Second)
	given, remaining = b.Lend("w", 4, now)
	a.RecordLoan("b", "w", given, remaining, now)
	now = now.Add(DefaultSharesConfig().LoanLifetime + time.Millisecond)
	must.Eq(t, 10, a.Status(now)["w"].Tokens)
}

// Guards against tokens that are usable twice: the lender refilled its bucket while the borrower could still use them.
func TestLenderKeepsRoomForLentTokens(t *testing.T) {
	_, lender, now := loanPair(t, 20)
	lender.SetWorkspaces(map[string]Quota{"w": {Rate: 1000, Burst: 20}}, now)
	given, _ := lender.Lend("w", 4, now)
	must.Eq(t, 4, given)
	must.Eq(t, 6, lender.Status(now.Add(DefaultSharesConfig().LoanLifetime))["w"].Tokens)
	now = now.Add(DefaultSharesConfig().LoanLifetime + loanGranularity)
	must.Eq(t, 6, lender.Status(now)["w"].Tokens)
	must.InDelta(t, 7, lender.Status(now.Add(2 * time.Millisecond))["w"].Tokens, 1e-6)
}

// Guards against loans that are asked of unreachable nodes again and again, while others have tokens.
func TestFailedLenderIsNotAskedBeforeContact(t *testing.T) {
	borrower, lender, now := loanPair(t, 20)
	must.Eq(t, []string{"b"}, borrower.PlanLoan("w", 1, now).Lenders)
	borrower.LoanFailed("b")
	must.SliceEmpty(t, borrower.PlanLoan("w", 1, now).Lenders)
	borrower.Receive("b", lender.PrepareMessage("a", now), now)
	must.Eq(t, []string{"b"}, borrower.PlanLoan("w", 1, now).Lenders)
}

// Checks that a node lends nothing before it holds shares, for an unknown workspace, or for an invalid amount.
func TestLendWithoutShares(t *testing.T) {
	now := time.Unix(1, 0)
	s := NewShares(Member{"a", "d"}, DefaultSharesConfig())
	s.SetMembers([]Member{{"b", "d"}}, true)
	s.SetWorkspaces(map[string]Quota{"w": {Rate: 1, Burst: 20}}, now)
	given, _ := s.Lend("w", 1, now)
	must.Eq(t, 0, given)
	given, _ = s.Lend("other", 1, now)
	must.Eq(t, 0, given)
	lender, _, now := loanPair(t, 20)
	given, remaining := lender.Lend("w", math.NaN(), now)
	must.Eq(t, 0, given+remaining)
	given, _ = lender.Lend("w", -1, now)
	must.Eq(t, 0, given)
	must.Eq(t, LoanRequest{}, s.PlanLoan("other", 1, now))
}

// Guards against sends beyond the first of a request that run in addition to the rate and burst.
func TestRepeatsTakeTokens(t *testing.T) {
	lender, _, now := loanPair(t, 100)
	sent := 0
	for i := range 1000 {
		admitted, _ := lender.Take("w", now)
		if admitted {
			sent++
		}
		if i%2 == 0 && lender.TakeRepeat("w", now) {
			sent++
		}
	}
	must.Eq(t, int(lender.Status(now)["w"].Share*100), sent)
	must.True(t, lender.TakeRepeat("unlimited", now))
}
