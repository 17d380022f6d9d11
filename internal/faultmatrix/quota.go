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
	shard   *ratelimit.Shard
	lease   kvstore.LeaseID
	term    uint64
	renewed time.Time
}

// takeToken calls done when a token was taken or the wait is over.
func (p *process) takeToken(workspace string, done func(bool)) {
	taken, _ := p.cache.TryTake(p.now(), workspace)
	if taken {
		p.plan()
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
	p.plan()
}

// wakeWaiters gives tokens that arrived to the requests that wait for them.
func (p *process) wakeWaiters(workspace string) {
	waiting := p.waiters[workspace]
	p.waiters[workspace] = nil
	for _, ended := range waiting {
		if !ended() {
			p.waiters[workspace] = append(p.waiters[workspace], ended)
		}
	}
}

// plan sends the requests that the cache wants to make.
func (p *process) plan() {
	if p.planned {
		return
	}
	p.planned = true
	p.after(0, func() {
		p.planned = false
		// Each tick plans again, so the time of the next plan is not used.
		requests, _ := p.cache.Plan(p.now())
		for _, request := range requests {
			p.ask(request)
		}
	})
}

func (p *process) ask(request ratelimit.Request) {
	done := func(payload any, err sendError) {
		if err != delivered {
			if !p.w.switches.KeepLostRequests {
				p.cache.HandleFailure(p.now(), request.Shard, request.Sequence)
			}
			return
		}
		for _, workspace := range p.cache.HandleResponse(p.now(), request.Shard, payload.(ratelimit.Response)) {
			p.wakeWaiters(workspace)
		}
		p.plan()
	}
	owner := p.shardOwner(request.Shard)
	switch owner {
	case "":
		p.after(time.Millisecond, func() { done(nil, notSent) })
	case p.name:
		response := p.grant(request)
		p.after(time.Millisecond, func() { done(response, delivered) })
	default:
		p.rpc(owner, kindGrant, grantTimeout, func(q *process, back func(any)) {
			q.step(ShareGrant, func() { back(q.grant(request)) })
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
	owned, ok := p.owned[request.Shard.Number]
	if !ok || request.Shard.Domain != p.domain {
		return ratelimit.Response{Status: ratelimit.StatusNotOwner, Sequence: request.Sequence}
	}
	return owned.shard.Grant(p.now(), request)
}

// maintain renews owned shards and takes free ones, as node does. Platform calls take effect one
// latency after they were asked for, and their answers arrive another latency later.
func (p *process) maintain() {
	defer p.after(shardInterval, p.maintain)
	if p.draining || p.configured == 0 {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(p.owned)) {
		p.renew(number, p.owned[number])
	}
	if len(p.owned) >= 1 && p.domainMembers() > 1 || len(p.owned) >= shardsPerDomain {
		return
	}
	p.onPlatform(func(s kvstore.Store) any {
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
			p.take(free[p.w.random.IntN(len(free))], nil)
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

func (p *process) renew(number int, s *ownedShard) {
	if _, _, ok := s.shard.Term(p.now()); !ok {
		p.lose(number, s)
		return
	}
	asked := p.now()
	if asked.Sub(s.renewed) < shardRenewal {
		return
	}
	p.onPlatform(func(store kvstore.Store) any { return store.KeepAlive(context.Background(), s.lease) }, func(result any) {
		err, _ := result.(error)
		switch {
		case err == nil:
			s.shard.Renew(asked, shardLease)
			s.renewed = asked
		case errors.Is(err, kvstore.ErrLeaseExpired):
			p.lose(number, s)
		}
	})
}

func (p *process) lose(number int, s *ownedShard) {
	if p.owned[number] == s {
		s.shard.End()
		delete(p.owned, number)
		p.publishShards()
	}
}

func (p *process) publishShards() {
	var terms []*membershipv1.ShardTerm
	for _, number := range slices.Sorted(maps.Keys(p.owned)) {
		terms = append(terms, &membershipv1.ShardTerm{Number: uint32(number), Term: p.owned[number].term})
	}
	p.carryOut(p.machine.SetShards(p.now(), terms))
}

// taken is the result of the platform calls that take a shard.
type taken struct {
	lease kvstore.LeaseID
	term  uint64
}

// take becomes the owner of a free shard; then, if not nil, is called with the shard or nil.
func (p *process) take(number int, then func(*ratelimit.Shard)) {
	asked := p.now()
	p.onPlatform(func(s kvstore.Store) any { return p.claim(s, number) }, func(result any) {
		claimed := result.(taken)
		if claimed.term == 0 || p.owned[number] != nil {
			if then != nil {
				then(nil)
			}
			return
		}
		shard := p.begin(number, claimed, asked)
		if then != nil {
			then(shard)
		}
		p.publishShards()
	})
}

func (p *process) begin(number int, claimed taken, asked time.Time) *ratelimit.Shard {
	id := ratelimit.ShardID{Domain: p.domain, Number: number}
	shardConfig := ratelimit.DefaultShardConfig()
	shardConfig.GrantLifetime = grantLifetime
	shard := ratelimit.NewShard(id, shardConfig)
	shard.Begin(asked, p.now(), shardLease, claimed.term)
	p.owned[number] = &ownedShard{shard: shard, lease: claimed.lease, term: claimed.term, renewed: asked}
	p.configureShard(number, shard)
	state := ratelimit.State{Shard: id, Term: claimed.term - 1}
	if claimed.term == 1 || p.w.switches.FullLevels {
		// The run starts with full buckets, so that the bound of the rate is tight from the start.
		for name, quota := range p.quotas() {
			part := p.part(name, quota, number)
			state.Workspaces = append(state.Workspaces, ratelimit.WorkspaceState{Workspace: name, Free: float64(part.Burst)})
		}
	}
	if claimed.term == 1 || p.w.switches.FullLevels {
		shard.Import(p.now(), state)
	}
	p.w.logf("%s owns shard %s/%d term %d", p.name, p.domain, number, claimed.term)
	return shard
}

func (p *process) claim(s kvstore.Store, number int) taken {
	ctx := context.Background()
	lease, err := s.GrantLease(ctx, shardLease)
	if err != nil {
		return taken{}
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
		return taken{}
	}
	return taken{lease, term}
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

func (p *process) part(name string, quota ratelimit.Quota, number int) ratelimit.Quota {
	index := slices.Index(p.allotment.Shards(), ratelimit.ShardID{Domain: p.domain, Number: number})
	return p.allotment.Divide(name, quota)[index]
}

func (p *process) configureShard(number int, shard *ratelimit.Shard) {
	quotas := p.quotas()
	for _, name := range slices.Sorted(maps.Keys(quotas)) {
		shard.Configure(p.now(), name, p.part(name, quotas[name], number))
	}
}

// stop hands owned shards over and gives tokens back, as a planned stop does.
func (p *process) stop() {
	p.cache.Stop(p.now())
	p.plan()
	for _, number := range slices.Sorted(maps.Keys(p.owned)) {
		s := p.owned[number]
		delete(p.owned, number)
		state, open := s.shard.Export(p.now())
		p.onPlatform(func(store kvstore.Store) any { return store.RevokeLease(context.Background(), s.lease) }, func(result any) {
			if err, _ := result.(error); err == nil && open {
				p.step(HandOver, func() { p.handOver(state) })
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
		p.rpc(m.GetName(), kindHandOver, requestTimeout, func(q *process, back func(any)) {
			q.take(state.Shard.Number, func(shard *ratelimit.Shard) {
				if shard == nil && q.owned[state.Shard.Number] != nil {
					shard = q.owned[state.Shard.Number].shard
				}
				back(shard != nil && shard.Import(q.now(), state))
			})
		}, func(payload any, _ sendError) { p.w.logf("%s handed %v over: %v", p.name, state.Shard, payload) })
		return
	}
	p.w.logf("%s has no successor", p.name)
}
