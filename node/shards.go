package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
	quotav1 "github.com/cowslipglade/cowslipglade/rpc/quota/v1"
)

// Platform keys of quota shards. The owner key is attached to the owner's lease. The term key is
// permanent, so that terms only increase.
const (
	shardOwnerPrefix = "quota/owner/"
	shardTermPrefix  = "quota/term/"
)

const (
	// shardLeaseTTL outlasts platform outages and hour-long partitions between regions, but the shard of
	// a crashed owner is unavailable for as long.
	shardLeaseTTL      = 2 * time.Hour
	shardRenewInterval = 10 * time.Minute
	// shardInterval is also the delay before the first check, for a new node to learn of its peers.
	shardInterval   = time.Second
	shardCandidates = shardsPerDomain + 2 // nodes of a domain that check for free shards
)

var errNotOwner = errors.New("node: quota shard is owned by another node")

// shardOwner manages the quota shards of its failure domain that this node owns.
type shardOwner struct {
	node      *Node
	allotment *ratelimit.Allotment

	mu     sync.Mutex
	quotas map[string]ratelimit.Quota
	owned  map[int]*ownedShard
}

type ownedShard struct {
	shard   *ratelimit.Shard
	lease   kvstore.LeaseID
	term    uint64
	renewed time.Time
}

// shardRecord is the value of an owner key.
type shardRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
}

func newShardOwner(n *Node, allotment *ratelimit.Allotment) *shardOwner {
	return &shardOwner{
		node:      n,
		allotment: allotment,
		quotas:    map[string]ratelimit.Quota{},
		owned:     map[int]*ownedShard{},
	}
}

// configure sets the quotas and returns the workspaces that no longer exist.
func (o *shardOwner) configure(now time.Time, quotas map[string]ratelimit.Quota) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var removed []string
	for name := range o.quotas {
		if _, ok := quotas[name]; !ok {
			removed = append(removed, name)
		}
	}
	o.quotas = quotas
	for number, owned := range o.owned {
		for _, name := range removed {
			owned.shard.Configure(now, name, ratelimit.Quota{})
		}
		o.configureShard(now, number, owned.shard)
	}
	return removed
}

// configureShard sets a shard's part of every quota. The caller holds o.mu.
func (o *shardOwner) configureShard(now time.Time, number int, shard *ratelimit.Shard) {
	index := slices.Index(o.allotment.Shards(), o.id(number))
	for name, total := range o.quotas {
		shard.Configure(now, name, o.allotment.Divide(name, total)[index])
	}
}

func (o *shardOwner) id(number int) ratelimit.ShardID {
	return ratelimit.ShardID{Domain: o.node.settings.FailureDomain, Number: number}
}

// grant handles a request of a node's cache.
func (o *shardOwner) grant(request ratelimit.Request) ratelimit.Response {
	o.mu.Lock()
	owned, ok := o.owned[request.Shard.Number]
	o.mu.Unlock()
	if !ok || request.Shard.Domain != o.node.settings.FailureDomain {
		return ratelimit.Response{Status: ratelimit.StatusNotOwner, Sequence: request.Sequence}
	}
	return owned.shard.Grant(o.node.leaseNow(), request)
}

// terms returns the owned shards for the member record.
func (o *shardOwner) terms() []*membershipv1.ShardTerm {
	o.mu.Lock()
	defer o.mu.Unlock()
	var terms []*membershipv1.ShardTerm
	for _, number := range slices.Sorted(maps.Keys(o.owned)) {
		terms = append(terms, &membershipv1.ShardTerm{Number: uint32(number), Term: o.owned[number].term})
	}
	return terms
}

// run acquires free shards and renews the leases of owned ones until ctx ends.
func (o *shardOwner) run(ctx context.Context) {
	for {
		clock.Sleep(ctx, shardInterval)
		if ctx.Err() != nil {
			return
		}
		if err := o.maintain(ctx); err != nil && ctx.Err() == nil {
			o.node.log.Warn().Err(err).Msg("quota shards not maintained")
		}
	}
}

func (o *shardOwner) maintain(ctx context.Context) error {
	if err := o.renew(ctx); err != nil {
		return err
	}
	rank, members := o.node.membership.domainRank()
	if rank >= shardCandidates {
		return nil
	}
	fairShare := (shardsPerDomain + members - 1) / members
	for o.count() < fairShare {
		free, err := o.freeShards(ctx)
		if err != nil || len(free) == 0 {
			return err
		}
		// Candidates start at different shards, so that they rarely contend for the same one.
		if err := o.acquire(ctx, free[rank%len(free)]); err != nil {
			return err
		}
	}
	return nil
}

func (o *shardOwner) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.owned)
}

// freeShards returns the numbers of the shards without an owner.
func (o *shardOwner) freeShards(ctx context.Context) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	prefix := shardOwnerPrefix + o.node.settings.FailureDomain + "/"
	entries, _, err := o.node.store.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list owners: %w", err)
	}
	owned := map[string]bool{}
	for _, entry := range entries {
		owned[strings.TrimPrefix(entry.Key, prefix)] = true
	}
	var free []int
	for number := range shardsPerDomain {
		if !owned[strconv.Itoa(number)] {
			free = append(free, number)
		}
	}
	return free, nil
}

func (o *shardOwner) key(prefix string, number int) string {
	return prefix + o.node.settings.FailureDomain + "/" + strconv.Itoa(number)
}

// acquire makes this node the owner of a free shard. The lease counts from before its request.
func (o *shardOwner) acquire(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	requested := o.node.leaseNow()
	lease, err := o.node.store.GrantLease(ctx, shardLeaseTTL)
	if err != nil {
		return fmt.Errorf("lease: %w", err)
	}
	if err := o.claim(ctx, number, lease); err != nil {
		_ = o.node.store.RevokeLease(ctx, lease)
		if errors.Is(err, errNotOwner) {
			return nil
		}
		return err
	}
	term, err := o.nextTerm(ctx, number)
	if err != nil {
		_ = o.node.store.RevokeLease(ctx, lease)
		return err
	}
	o.startTerm(number, lease, term, requested)
	return nil
}

// claim creates the owner key. If the response is lost, it reads the key back.
func (o *shardOwner) claim(ctx context.Context, number int, lease kvstore.LeaseID) error {
	record, err := json.Marshal(shardRecord{
		Node: o.node.settings.Name, Incarnation: o.node.incarnation, Address: o.node.settings.Advertised(),
	})
	if err != nil {
		return err
	}
	key := o.key(shardOwnerPrefix, number)
	_, err = o.node.store.CompareAndSwap(ctx, key, 0, record, lease)
	if errors.Is(err, kvstore.ErrConflict) {
		return errNotOwner
	}
	if !errors.Is(err, kvstore.ErrUnknownOutcome) {
		return err
	}
	entry, readErr := o.node.store.Get(ctx, key)
	if readErr != nil {
		return readErr
	}
	if string(entry.Value) != string(record) {
		return errNotOwner
	}
	return nil
}

// nextTerm increments and returns the term of a shard whose owner key this node holds.
func (o *shardOwner) nextTerm(ctx context.Context, number int) (uint64, error) {
	key := o.key(shardTermPrefix, number)
	entry, err := o.node.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return 0, fmt.Errorf("read term: %w", err)
	}
	term := uint64(1)
	if err == nil {
		last, parseErr := strconv.ParseUint(string(entry.Value), 10, 64)
		if parseErr != nil {
			return 0, fmt.Errorf("term of shard %d: %w", number, parseErr)
		}
		term = last + 1
	}
	_, err = o.node.store.CompareAndSwap(ctx, key, entry.Revision, []byte(strconv.FormatUint(term, 10)), kvstore.NoLease)
	if err != nil {
		return 0, fmt.Errorf("raise term: %w", err)
	}
	return term, nil
}

func (o *shardOwner) startTerm(number int, lease kvstore.LeaseID, term uint64, requested time.Time) {
	now := o.node.leaseNow()
	shard := ratelimit.NewShard(o.id(number), ratelimit.DefaultShardConfig())
	shard.Begin(requested, now, shardLeaseTTL, term)
	if term == 1 {
		// There was no earlier owner whose granted tokens could still be valid.
		shard.Import(now, ratelimit.State{Shard: o.id(number)})
	}
	o.mu.Lock()
	o.configureShard(now, number, shard)
	o.owned[number] = &ownedShard{shard: shard, lease: lease, term: term, renewed: requested}
	o.mu.Unlock()
	o.node.log.Info().Int("shard", number).Uint64("term", term).Msg("quota shard acquired")
	o.node.membership.setShards(o.terms())
}

// renew keeps the leases of owned shards alive and drops shards whose term has ended.
func (o *shardOwner) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o.mu.Lock()
	owned := maps.Clone(o.owned)
	o.mu.Unlock()
	var errs []error
	for number, s := range owned {
		now := o.node.leaseNow()
		if _, _, ok := s.shard.Term(now); !ok {
			o.drop(number)
			continue
		}
		if now.Sub(s.renewed) < shardRenewInterval {
			continue
		}
		err := o.node.store.KeepAlive(ctx, s.lease)
		switch {
		case err == nil:
			s.shard.Renew(now, shardLeaseTTL)
			s.renewed = now
		case errors.Is(err, kvstore.ErrLeaseExpired):
			o.drop(number)
		default:
			errs = append(errs, fmt.Errorf("renew shard %d: %w", number, err))
		}
	}
	return errors.Join(errs...)
}

func (o *shardOwner) drop(number int) {
	o.mu.Lock()
	if owned, ok := o.owned[number]; ok {
		owned.shard.End()
		delete(o.owned, number)
	}
	o.mu.Unlock()
	o.node.log.Warn().Int("shard", number).Msg("quota shard lost")
	o.node.membership.setShards(o.terms())
}

// stop hands every owned shard over to another node of the failure domain. It revokes the lease first, so
// that the other node can acquire the shard when it receives the state.
func (o *shardOwner) stop(ctx context.Context) {
	o.mu.Lock()
	owned := o.owned
	o.owned = map[int]*ownedShard{}
	o.mu.Unlock()
	for number, s := range owned {
		state, ok := s.shard.Export(o.node.leaseNow())
		if err := o.node.store.RevokeLease(ctx, s.lease); err != nil {
			o.node.log.Warn().Err(err).Int("shard", number).Msg("quota shard lease not revoked; the shard has no owner until the lease expires")
			continue
		}
		if ok {
			o.handOver(ctx, state)
		}
	}
}

func (o *shardOwner) handOver(ctx context.Context, state ratelimit.State) {
	successor, ok := o.node.membership.successor()
	if !ok {
		return
	}
	client := quotav1.NewQuotaProtobufClient("http://"+successor.address, o.node.quota.client)
	response, err := client.HandOver(ctx, ratelimit.EncodeState(state))
	o.node.log.Info().Err(err).Str("successor", successor.name).Int("shard", state.Shard.Number).
		Bool("accepted", response.GetAccepted()).Msg("quota shard handed over")
}

// Grant implements quotav1.Quota.
func (o *shardOwner) Grant(_ context.Context, req *quotav1.GrantRequest) (*quotav1.GrantResponse, error) {
	request, err := ratelimit.DecodeRequest(req)
	if err != nil {
		return nil, twirp.InvalidArgumentError("request", err.Error())
	}
	return ratelimit.EncodeResponse(o.grant(request)), nil
}

// HandOver implements quotav1.Quota. It acquires the shard and imports its state.
func (o *shardOwner) HandOver(ctx context.Context, req *quotav1.HandOverRequest) (*quotav1.HandOverResponse, error) {
	state, err := ratelimit.DecodeState(req)
	if err != nil {
		return nil, twirp.InvalidArgumentError("state", err.Error())
	}
	if state.Shard.Domain != o.node.settings.FailureDomain || state.Shard.Number < 0 || state.Shard.Number >= shardsPerDomain {
		return nil, twirp.InvalidArgumentError("shard", "is not one of this failure domain")
	}
	if err := o.acquire(ctx, state.Shard.Number); err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	o.mu.Lock()
	owned, ok := o.owned[state.Shard.Number]
	o.mu.Unlock()
	accepted := ok && owned.shard.Import(o.node.leaseNow(), state)
	return &quotav1.HandOverResponse{Accepted: accepted}, nil
}
