package faultmatrix

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

type ownedShard struct {
	shard     *ratelimit.Shard
	lease     kvstore.LeaseID
	term      uint64
	renewedAt time.Time
}

// takeToken calls done with true once it has taken a token, or with false after tokenWait.
func (p *process) takeToken(workspace string, done func(bool)) {
	taken, _ := p.cache.TryTake(p.now(), workspace)
	if taken {
		p.schedulePlan()
		done(true)
		return
	}
	p.cache.AddWaiter(workspace)
	ended := false
	end := func(taken bool) {
		ended = true
		p.cache.RemoveWaiter(workspace)
		done(taken)
	}
	p.waiters[workspace] = append(p.waiters[workspace], func() bool {
		if !ended && p.cache.Retake(p.now(), workspace) {
			end(true)
		}
		return ended
	})
	p.after(tokenWait, func() {
		if !ended {
			end(false)
		}
	})
	p.schedulePlan()
}

// wakeWaiters lets waiting requests of a workspace take tokens that have arrived.
func (p *process) wakeWaiters(workspace string) {
	waiters := p.waiters[workspace]
	p.waiters[workspace] = nil
	for _, ended := range waiters {
		if !ended() {
			p.waiters[workspace] = append(p.waiters[workspace], ended)
		}
	}
}

// schedulePlan sends the quota requests that the cache plans.
func (p *process) schedulePlan() {
	if p.planScheduled {
		return
	}
	p.planScheduled = true
	p.after(0, func() {
		p.planScheduled = false
		// Each tick plans again, so the time of the next plan is ignored.
		requests, _ := p.cache.Plan(p.now())
		for _, request := range requests {
			p.sendQuotaRequest(request)
		}
	})
}

func (p *process) sendQuotaRequest(request ratelimit.Request) {
	done := func(payload any, err sendError) {
		if err != delivered {
			if !p.sim.mutations.KeepLostQuotaRequests {
				p.cache.HandleFailure(p.now(), request.Shard, request.Sequence)
			}
			return
		}
		for _, workspace := range p.cache.HandleResponse(p.now(), request.Shard, payload.(ratelimit.Response)) {
			p.wakeWaiters(workspace)
		}
		p.schedulePlan()
	}
	owner := p.shardOwner(request.Shard)
	switch owner {
	case "":
		p.after(time.Millisecond, func() { done(nil, notSent) })
	case p.name:
		response := p.grant(request)
		p.after(time.Millisecond, func() { done(response, delivered) })
	default:
		p.rpc(owner, kindGrant, grantTimeout, func(q *process, respond func(any)) {
			q.reachStep(ShareGrant, func() { respond(q.grant(request)) })
		}, done)
	}
}

func (p *process) shardOwner(id ratelimit.ShardID) string {
	owner, highest := "", uint64(0)
	for _, m := range p.members() {
		for _, shard := range m.GetShards() {
			if m.GetFailureDomain() == id.Domain && int(shard.GetNumber()) == id.Number && shard.GetTerm() > highest {
				owner, highest = m.GetName(), shard.GetTerm()
			}
		}
	}
	return owner
}

func (p *process) grant(request ratelimit.Request) ratelimit.Response {
	owned, ok := p.ownedShards[request.Shard.Number]
	if !ok || request.Shard.Domain != p.domain {
		return ratelimit.Response{Status: ratelimit.StatusNotOwner, Sequence: request.Sequence}
	}
	return owned.shard.Grant(p.now(), request)
}

// maintainShards periodically renews owned shards and acquires free ones, as package node does. Platform
// calls take effect one latency after they are sent, and their responses arrive another latency later.
func (p *process) maintainShards() {
	defer p.after(shardInterval, p.maintainShards)
	if p.draining || p.configuredRevision == 0 {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(p.ownedShards)) {
		p.renewShard(number, p.ownedShards[number])
	}
	if len(p.ownedShards) >= 1 && p.domainMembers() > 1 || len(p.ownedShards) >= shardsPerDomain {
		return
	}
	p.callPlatform(func(s kvstore.Store) any {
		entries, _, err := s.List(context.Background(), p.ownerKey(-1))
		if err != nil {
			return []int(nil)
		}
		var free []int
		for number := range shardsPerDomain {
			if !slices.ContainsFunc(entries, func(e kvstore.Entry) bool { return e.Key == p.ownerKey(number) }) {
				free = append(free, number)
			}
		}
		return free
	}, func(result any) {
		if free := result.([]int); len(free) > 0 {
			p.acquireShard(free[p.sim.random.IntN(len(free))], nil)
		}
	})
}

func (p *process) domainMembers() int {
	count := 0
	for _, m := range p.members() {
		if m.GetFailureDomain() == p.domain {
			count++
		}
	}
	return count
}

func (p *process) ownerKey(number int) string {
	if number < 0 {
		return "quota/owner/" + p.domain + "/"
	}
	return "quota/owner/" + p.domain + "/" + strconv.Itoa(number)
}

func (p *process) renewShard(number int, s *ownedShard) {
	if _, _, ok := s.shard.Term(p.now()); !ok {
		p.dropShard(number, s)
		return
	}
	requestedAt := p.now()
	if requestedAt.Sub(s.renewedAt) < shardRenewal {
		return
	}
	p.callPlatform(func(store kvstore.Store) any { return store.KeepAlive(context.Background(), s.lease) }, func(result any) {
		err, _ := result.(error)
		switch {
		case err == nil:
			s.shard.Renew(requestedAt, shardLease)
			s.renewedAt = requestedAt
		case errors.Is(err, kvstore.ErrLeaseExpired):
			p.dropShard(number, s)
		}
	})
}

func (p *process) dropShard(number int, s *ownedShard) {
	if p.ownedShards[number] == s {
		s.shard.End()
		delete(p.ownedShards, number)
		p.publishShards()
	}
}

func (p *process) publishShards() {
	var terms []*membershipv1.ShardTerm
	for _, number := range slices.Sorted(maps.Keys(p.ownedShards)) {
		terms = append(terms, &membershipv1.ShardTerm{Number: uint32(number), Term: p.ownedShards[number].term})
	}
	p.handleOutput(p.machine.SetShards(p.now(), terms))
}

// shardClaim is the result of the platform calls that claim a shard; a term of 0 means that the claim failed.
type shardClaim struct {
	lease kvstore.LeaseID
	term  uint64
}

// acquireShard claims a free shard. If then is not nil, it is called with the shard, or with nil if this
// process did not acquire it.
func (p *process) acquireShard(number int, then func(*ratelimit.Shard)) {
	requestedAt := p.now()
	p.callPlatform(func(s kvstore.Store) any { return p.claimShard(s, number) }, func(result any) {
		claimed := result.(shardClaim)
		if claimed.term == 0 || p.ownedShards[number] != nil {
			if then != nil {
				then(nil)
			}
			return
		}
		shard := p.beginTerm(number, claimed, requestedAt)
		if then != nil {
			then(shard)
		}
		p.publishShards()
	})
}

func (p *process) beginTerm(number int, claimed shardClaim, requestedAt time.Time) *ratelimit.Shard {
	id := ratelimit.ShardID{Domain: p.domain, Number: number}
	shardConfig := ratelimit.DefaultShardConfig()
	shardConfig.GrantLifetime = grantLifetime
	shard := ratelimit.NewShard(id, shardConfig)
	shard.Begin(requestedAt, p.now(), shardLease, claimed.term)
	p.ownedShards[number] = &ownedShard{shard: shard, lease: claimed.lease, term: claimed.term, renewedAt: requestedAt}
	p.configureShard(number, shard)
	state := ratelimit.State{Shard: id, Term: claimed.term - 1}
	if claimed.term == 1 || p.sim.mutations.StartShardsFull {
		// The run starts with full buckets, so that the rate bound is tight from the beginning.
		for name, quota := range p.quotas() {
			divided := p.shardQuota(name, quota, number)
			state.Workspaces = append(state.Workspaces, ratelimit.WorkspaceState{Workspace: name, Free: float64(divided.Burst)})
		}
	}
	if claimed.term == 1 || p.sim.mutations.StartShardsFull {
		shard.Import(p.now(), state)
	}
	p.sim.logf("%s owns shard %s/%d term %d", p.name, p.domain, number, claimed.term)
	return shard
}

func (p *process) claimShard(s kvstore.Store, number int) shardClaim {
	ctx := context.Background()
	lease, err := s.GrantLease(ctx, shardLease)
	if err != nil {
		return shardClaim{}
	}
	record := fmt.Sprintf("%s/%d", p.name, p.incarnation)
	_, err = s.CompareAndSwap(ctx, p.ownerKey(number), 0, []byte(record), lease)
	if errors.Is(err, kvstore.ErrUnknownOutcome) {
		var entry kvstore.Entry
		if entry, err = s.Get(ctx, p.ownerKey(number)); err == nil && string(entry.Value) != record {
			err = kvstore.ErrConflict
		}
	}
	term := uint64(0)
	if err == nil {
		term, err = p.nextTerm(s, number)
	}
	if err != nil {
		_ = s.RevokeLease(ctx, lease)
		return shardClaim{}
	}
	return shardClaim{lease, term}
}

func (p *process) nextTerm(s kvstore.Store, number int) (uint64, error) {
	key := strings.Replace(p.ownerKey(number), "owner", "term", 1)
	entry, err := s.Get(context.Background(), key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return 0, err
	}
	last, _ := strconv.ParseUint(string(entry.Value), 10, 64)
	_, err = s.CompareAndSwap(context.Background(), key, entry.Revision, []byte(strconv.FormatUint(last+1, 10)), kvstore.NoLease)
	return last + 1, err
}

func (p *process) quotas() map[string]ratelimit.Quota {
	quotas := map[string]ratelimit.Quota{}
	for name, workspace := range p.replica.Document().Workspaces {
		quotas[name] = ratelimit.Quota{Rate: workspace.Rate, Burst: workspace.Burst}
	}
	return quotas
}

func (p *process) shardQuota(name string, quota ratelimit.Quota, number int) ratelimit.Quota {
	index := slices.Index(p.allotment.Shards(), ratelimit.ShardID{Domain: p.domain, Number: number})
	return p.allotment.Divide(name, quota)[index]
}

func (p *process) configureShard(number int, shard *ratelimit.Shard) {
	quotas := p.quotas()
	for _, name := range slices.Sorted(maps.Keys(quotas)) {
		shard.Configure(p.now(), name, p.shardQuota(name, quotas[name], number))
	}
}

// stopGracefully returns tokens and hands over owned shards, as a graceful shutdown of cowslipd does.
func (p *process) stopGracefully() {
	p.cache.Stop(p.now())
	p.schedulePlan()
	for _, number := range slices.Sorted(maps.Keys(p.ownedShards)) {
		s := p.ownedShards[number]
		delete(p.ownedShards, number)
		state, open := s.shard.Export(p.now())
		p.callPlatform(func(store kvstore.Store) any { return store.RevokeLease(context.Background(), s.lease) }, func(result any) {
			if err, _ := result.(error); err == nil && open {
				p.reachStep(HandOver, func() { p.handOver(state) })
			}
		})
	}
	p.publishShards()
}

func (p *process) handOver(state ratelimit.State) {
	for _, m := range p.members() {
		if m.GetFailureDomain() != p.domain || m.GetName() == p.name {
			continue
		}
		p.rpc(m.GetName(), kindHandOver, requestTimeout, func(q *process, respond func(any)) {
			q.acquireShard(state.Shard.Number, func(shard *ratelimit.Shard) {
				if shard == nil && q.ownedShards[state.Shard.Number] != nil {
					shard = q.ownedShards[state.Shard.Number].shard
				}
				respond(shard != nil && shard.Import(q.now(), state))
			})
		}, func(payload any, _ sendError) { p.sim.logf("%s handed over %v: %v", p.name, state.Shard, payload) })
		return
	}
	p.sim.logf("%s has no other member in its failure domain to hand shards over to", p.name)
}
