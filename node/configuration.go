package node

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/member"
	"github.com/cowslipglade/cowslipglade/peer"
	configurationv1 "github.com/cowslipglade/cowslipglade/rpc/configuration/v1"
)

// Intervals of the platform connection.
const (
	platformRetry   = time.Second
	platformTimeout = 2 * time.Second
	// watchTimeout is how often a watcher confirms that its revision is the newest.
	watchTimeout    = 5 * time.Second
	configPushTime  = 2 * time.Second
	watcherPollTime = 500 * time.Millisecond
)

// configuration keeps the node's copy of the configuration and spreads it.
type configuration struct {
	node    *Node
	current atomic.Pointer[config.Document]
	// ready is false while the revision is below the one that was in force here before.
	ready atomic.Bool

	mu      sync.Mutex // guards replica and pulling
	replica *config.Replica
	pulling bool
}

func newConfiguration(n *Node) *configuration {
	c := &configuration{node: n, replica: config.NewReplica(config.DefaultRetainedChanges)}
	c.current.Store(c.replica.Document())
	return c
}

// document returns the configuration in force. It takes no lock.
func (c *configuration) document() *config.Document { return c.current.Load() }

// check refuses requests while the node has no configuration that it may serve by.
func (c *configuration) check(outcome call.Outcome) error {
	document := c.document()
	if document.Revision == 0 || !c.ready.Load() {
		return call.NewRefusal(call.CodeStaleConfiguration, outcome, "this node has not yet got the configuration in force")
	}
	if limit := document.Rules.MaxConfigAge; limit > 0 && c.age() > limit {
		return call.NewRefusal(call.CodeStaleConfiguration, outcome, "the configuration is older than max_config_age (%s)", limit)
	}
	return nil
}

// age is the time since the platform confirmed the revision in force.
func (c *configuration) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.ConfirmedAge(c.node.now())
}

// raiseFloor notes a revision that was in force at this VM before the node started.
func (c *configuration) raiseFloor(revision int64) {
	if revision <= c.document().Revision {
		return
	}
	c.mu.Lock()
	c.replica.RaiseMinRevision(revision)
	c.mu.Unlock()
	c.ready.Store(false)
}

// piggyback is what every membership packet tells about this node.
func (c *configuration) piggyback(now time.Time) *member.Piggyback {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &member.Piggyback{
		ConfigRevision:   c.replica.Revision(),
		ConfigAgeMs:      milliseconds(c.replica.ConfirmedAge(now)),
		WithdrawalDigest: c.node.withdrawals.digest(),
	}
}

func milliseconds(d time.Duration) int64 {
	return min(d.Milliseconds(), math.MaxInt64/int64(time.Millisecond))
}

// take changes the replica under the lock and puts a newer document in force.
func (c *configuration) take(change func(*config.Replica)) bool {
	c.mu.Lock()
	before := c.replica.Revision()
	change(c.replica)
	document := c.replica.Document()
	newer := document.Revision > before
	if newer {
		c.current.Store(document)
	}
	c.ready.Store(c.replica.Ready() == nil)
	c.mu.Unlock()
	if newer {
		c.applied(document)
	}
	return newer
}

// applied tells the rest of the node about a newer document.
func (c *configuration) applied(document *config.Document) {
	c.node.quota.configure(document)
	c.node.quarantine.SetCrashes(document.Rules.QuarantineCrashes)
	c.node.withdrawals.applied(document)
	c.node.log.Info().Int64("revision", document.Revision).Msg("configuration in force")
}

// offer takes changes that follow the revision in force and pushes them on when they are new.
func (c *configuration) offer(changes []config.CommittedChange, age time.Duration) {
	if len(changes) == 0 {
		return
	}
	last := changes[len(changes)-1].Revision
	newer := c.take(func(r *config.Replica) {
		if _, err := r.ApplyChanges(changes); err != nil {
			c.node.log.Error().Err(err).Msg("configuration change does not fit")
		}
		r.Confirm(c.node.now(), last, age)
	})
	if newer {
		c.push(changes, age)
	}
}

func (c *configuration) offerDocument(document *config.Document, age time.Duration) {
	c.take(func(r *config.Replica) {
		r.InstallDocument(document)
		r.Confirm(c.node.now(), document.Revision, age)
	})
}

// push sends changes to random members in the background.
func (c *configuration) push(changes []config.CommittedChange, age time.Duration) {
	request := &configurationv1.PushRequest{ConfirmedAgeMs: milliseconds(age)}
	for _, change := range changes {
		data, err := change.Encode()
		if err != nil {
			c.node.log.Error().Err(err).Msg("configuration change not encoded")
			return
		}
		request.Changes = append(request.Changes, data)
	}
	for _, target := range c.node.membership.randomMembers(config.PushFanout) {
		c.node.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(c.node.background, configPushTime)
			defer cancel()
			if _, err := c.client(target.address).Push(ctx, request); err != nil {
				c.node.log.Debug().Err(err).Str("peer", target.name).Msg("configuration not pushed")
			}
		})
	}
}

func (c *configuration) client(address string) configurationv1.Configuration {
	return configurationv1.NewConfigurationProtobufClient("http://"+address, c.node.membership.client)
}

// heard learns from what another member says about itself.
func (c *configuration) heard(ctx context.Context, from *member.Member, piggyback *member.Piggyback) {
	if piggyback == nil || from == nil {
		return
	}
	c.take(func(r *config.Replica) {
		r.Confirm(c.node.now(), piggyback.GetConfigRevision(), time.Duration(piggyback.GetConfigAgeMs())*time.Millisecond)
	})
	if piggyback.GetConfigRevision() > c.document().Revision {
		c.startPull(ctx, from.GetPeerAddress())
	}
	c.node.withdrawals.heard(ctx, from.GetPeerAddress(), piggyback.GetWithdrawalDigest())
}

// startPull asks a member for missing changes; one pull runs at a time.
func (c *configuration) startPull(ctx context.Context, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pulling {
		return
	}
	c.pulling = true
	c.node.tasks.Go(func() {
		c.pull(ctx, address)
		c.mu.Lock()
		c.pulling = false
		c.mu.Unlock()
	})
}

func (c *configuration) pull(ctx context.Context, address string) {
	response, err := c.client(address).Pull(ctx, &configurationv1.PullRequest{AfterRevision: c.document().Revision})
	if err != nil {
		c.node.log.Debug().Err(err).Str("peer", address).Msg("configuration not pulled")
		return
	}
	age := time.Duration(response.GetConfirmedAgeMs()) * time.Millisecond
	c.take(func(r *config.Replica) {
		if len(response.GetSnapshot()) > 0 {
			_, err = r.InstallSnapshot(response.GetSnapshot())
		} else {
			_, err = r.ApplyEncodedChanges(response.GetChanges())
		}
		r.Confirm(c.node.now(), response.GetRevision(), age)
	})
	if err != nil {
		c.node.log.Warn().Err(err).Str("peer", address).Msg("pulled configuration does not fit")
	}
}

// Pull implements configurationv1.Configuration.
func (c *configuration) Pull(_ context.Context, req *configurationv1.PullRequest) (*configurationv1.PullResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := &configurationv1.PullResponse{
		Revision:       c.replica.Revision(),
		ConfirmedAgeMs: milliseconds(c.replica.ConfirmedAge(c.node.now())),
	}
	changes, ok := c.replica.ChangesSince(req.GetAfterRevision())
	if ok {
		response.Changes = changes
		return response, nil
	}
	snapshot, err := c.replica.Document().EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	response.Snapshot = snapshot
	return response, nil
}

// Push implements configurationv1.Configuration.
func (c *configuration) Push(_ context.Context, req *configurationv1.PushRequest) (*configurationv1.PushResponse, error) {
	changes := make([]config.CommittedChange, 0, len(req.GetChanges()))
	for _, data := range req.GetChanges() {
		change, err := config.DecodeCommittedChange(data)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	c.offer(changes, time.Duration(req.GetConfirmedAgeMs())*time.Millisecond)
	return &configurationv1.PushResponse{Revision: c.document().Revision}, nil
}

func (c *configuration) mount(mux *http.ServeMux) {
	handler := configurationv1.NewConfigurationServer(c)
	mux.Handle(handler.PathPrefix(), peer.RequireSignature(c.node.keyring, handler))
}

// run reads the configuration once at the start and follows the platform while this node is a watcher,
// until ctx ends. Other nodes get changes from their peers.
func (c *configuration) run(ctx context.Context) {
	for first := true; ctx.Err() == nil; {
		if !first && !c.node.membership.watching() {
			clock.Sleep(ctx, watcherPollTime)
			continue
		}
		if err := c.follow(ctx, first); err != nil && ctx.Err() == nil {
			c.node.log.Warn().Err(err).Msg("configuration not read from the platform")
			clock.Sleep(ctx, platformRetry)
		} else {
			first = false
		}
		// A peer may have given the configuration while the platform did not answer.
		first = first && c.document().Revision == 0
	}
}

// follow reads the newest configuration, and goes on with a watch while this node is a watcher.
func (c *configuration) follow(ctx context.Context, first bool) error {
	if first {
		if err := c.node.membership.findWatchers(ctx); err != nil {
			return err
		}
	}
	reader := config.Reader{Store: c.node.store}
	document, err := c.load(ctx, reader)
	if err != nil {
		return err
	}
	c.offerDocument(document, 0)
	_, after, err := c.node.store.List(ctx, config.LogKey(document.Revision))
	if err != nil {
		return err
	}
	for ctx.Err() == nil && c.node.membership.watching() {
		if err := c.advance(ctx, reader); err != nil {
			return err
		}
		watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
		_, after, err = c.node.store.Watch(watchCtx, config.LogPrefix, after)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *configuration) load(ctx context.Context, reader config.Reader) (*config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return reader.Load(ctx)
}

// advance reads the changes after the revision in force and confirms that it is the newest.
func (c *configuration) advance(ctx context.Context, reader config.Reader) error {
	readCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	asked := c.node.now()
	document, changes, err := reader.Advance(readCtx, c.document())
	if err != nil {
		return err
	}
	c.offer(changes, c.node.now().Sub(asked))
	c.offerDocument(document, c.node.now().Sub(asked))
	if _, err := (config.Writer{Store: c.node.store}).Compact(readCtx, c.document()); err != nil {
		c.node.log.Warn().Err(err).Msg("configuration log not compacted")
	}
	return nil
}
