package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	quotav1 "github.com/cowslipglade/cowslipglade/rpc/quota/v1"
)

const (
	// shardsPerDomain divides each failure domain's quota. With more shards, less quota is lost when an
	// owner crashes, but each has fewer burst tokens.
	shardsPerDomain = 4
	// tokenWait is the maximum wait of a request for a token. It covers a round trip within the local
	// failure domain, one to another, and a lost message.
	tokenWait = 100 * time.Millisecond
	// maxTokenWaiters limits a workspace's requests that wait for tokens at this node. With more waiters
	// it is far above its rate.
	maxTokenWaiters = 64
	grantTimeout    = 500 * time.Millisecond
	// rateRetryAfter is suggested to callers above their rate.
	rateRetryAfter = time.Second
)

// quota obtains tokens of the fleet-wide rates for this node's callers.
type quota struct {
	node      *Node
	allotment *ratelimit.Allotment
	cache     *ratelimit.Cache
	shards    *shardOwner
	client    *http.Client
	wake      chan struct{} // wakes the planner in run

	mu       sync.Mutex
	arrivals map[string]chan struct{} // by workspace; closed when tokens arrive
	waiting  map[string]int
	revision int64 // of the configuration of cache and shards
}

func newQuota(n *Node) *quota {
	s := n.settings
	allotment := ratelimit.NewAllotment(s.FailureDomains, shardsPerDomain)
	q := &quota{
		node:      n,
		allotment: allotment,
		cache:     ratelimit.NewCache(ratelimit.DefaultCacheConfig(s.Name, n.incarnation, s.FailureDomain), allotment),
		client:    peer.NewControlClient(s.PeerIP(), n.keyring),
		wake:      make(chan struct{}, 1),
		arrivals:  map[string]chan struct{}{},
		waiting:   map[string]int{},
	}
	q.shards = newShardOwner(n, allotment)
	return q
}

// takeToken takes one token of the workspace's fleet-wide rate. Open routes have no workspace, and the
// baseline policy has no rates.
func (n *Node) takeToken(ctx context.Context, req *call.Request) error {
	if req.Workspace == "" || n.settings.Policy == settings.PolicyNone {
		return nil
	}
	taken, plan := n.quota.cache.TryTake(n.leaseNow(), req.Workspace)
	if plan {
		n.quota.wakePlanner()
	}
	if taken || n.quota.awaitToken(ctx, req.Workspace) {
		return nil
	}
	refusal := call.NewRefusal(call.CodeRateExceeded, call.NotRun, "workspace %s is above its rate", req.Workspace)
	refusal.RetryAfter = n.retryConfig.SpreadRetryAfter(rateRetryAfter, n.random)
	return refusal
}

// awaitToken waits for a token and reports whether it took one.
func (q *quota) awaitToken(ctx context.Context, workspace string) bool {
	if !q.addWaiter(workspace) {
		return false
	}
	defer q.removeWaiter(workspace)
	timeout := time.NewTimer(tokenWait)
	defer timeout.Stop()
	for {
		arrival := q.arrival(workspace)
		if q.cache.Retake(q.node.leaseNow(), workspace) {
			return true
		}
		q.wakePlanner()
		select {
		case <-arrival:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (q *quota) addWaiter(workspace string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[workspace] >= maxTokenWaiters {
		return false
	}
	q.waiting[workspace]++
	q.cache.AddWaiter(workspace)
	return true
}

func (q *quota) removeWaiter(workspace string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cache.RemoveWaiter(workspace)
	if q.waiting[workspace]--; q.waiting[workspace] == 0 {
		delete(q.waiting, workspace)
	}
}

// arrival returns a channel that is closed when tokens of the workspace arrive.
func (q *quota) arrival(workspace string) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	arrival, ok := q.arrivals[workspace]
	if !ok {
		arrival = make(chan struct{})
		q.arrivals[workspace] = arrival
	}
	return arrival
}

func (q *quota) notifyArrivals(workspaces []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, workspace := range workspaces {
		if arrival, ok := q.arrivals[workspace]; ok {
			close(arrival)
			delete(q.arrivals, workspace)
		}
	}
}

func (q *quota) wakePlanner() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// configure applies the quotas of a newer configuration.
func (q *quota) configure(document *config.Document) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if document.Revision <= q.revision {
		return
	}
	q.revision = document.Revision
	quotas := map[string]ratelimit.Quota{}
	for name, workspace := range document.Workspaces {
		quotas[name] = ratelimit.Quota{Rate: workspace.Rate, Burst: workspace.Burst}
	}
	for _, removed := range q.shards.configure(q.node.leaseNow(), quotas) {
		q.cache.Configure(removed, ratelimit.Quota{})
	}
	for name, workspaceQuota := range quotas {
		q.cache.Configure(name, workspaceQuota)
	}
}

// run sends the requests that the cache plans until ctx ends.
func (q *quota) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-timer.C:
		}
		requests, next := q.cache.Plan(q.node.leaseNow())
		for _, request := range requests {
			q.node.tasks.Go(func() { q.send(ctx, request) })
		}
		timer.Reset(next.Sub(q.node.leaseNow()))
	}
}

// stop returns unused tokens.
func (q *quota) stop(ctx context.Context) {
	q.cache.Stop(q.node.leaseNow())
	requests, _ := q.cache.Plan(q.node.leaseNow())
	var sent sync.WaitGroup
	for _, request := range requests {
		sent.Go(func() { q.send(ctx, request) })
	}
	sent.Wait()
}

func (q *quota) send(ctx context.Context, request ratelimit.Request) {
	response, ok := q.requestGrant(ctx, request)
	now := q.node.leaseNow()
	if !ok {
		q.cache.HandleFailure(now, request.Shard, request.Sequence)
		q.wakePlanner()
		return
	}
	q.notifyArrivals(q.cache.HandleResponse(now, request.Shard, response))
	q.wakePlanner()
}

// requestGrant sends a request to the owner of its shard.
func (q *quota) requestGrant(ctx context.Context, request ratelimit.Request) (ratelimit.Response, bool) {
	owner, ok := q.node.membership.view.shardOwner(request.Shard)
	if !ok {
		return ratelimit.Response{}, false
	}
	if owner.name == q.node.settings.Name {
		return q.shards.grant(request), true
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	client := quotav1.NewQuotaProtobufClient("http://"+owner.address, q.client)
	response, err := client.Grant(ctx, ratelimit.EncodeRequest(request))
	if err != nil {
		q.node.log.Debug().Err(err).Str("owner", owner.name).Msg("quota shard owner unreachable")
		return ratelimit.Response{}, false
	}
	decoded, err := ratelimit.DecodeResponse(response)
	if err != nil {
		q.node.log.Warn().Err(err).Str("owner", owner.name).Msg("malformed grant response")
		return ratelimit.Response{}, false
	}
	return decoded, true
}

func (q *quota) mount(mux *http.ServeMux) {
	handler := quotav1.NewQuotaServer(q.shards)
	mux.Handle(handler.PathPrefix(), peer.RequireSignature(q.node.keyring, handler))
}
