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

// Timing of the platform calls and of the distribution of the configuration.
const (
	platformRetryInterval = time.Second
	platformTimeout       = 2 * time.Second
	// watchTimeout is how often a watcher confirms that its revision is the newest.
	watchTimeout        = 5 * time.Second
	configPushTimeout   = 2 * time.Second
	watcherPollInterval = 500 * time.Millisecond
)

// configuration maintains and distributes the node's replica of the configuration.
type configuration struct {
	node    *Node
	current atomic.Pointer[config.Document]
	// ready is false while the revision is below one that was already in force at this VM.
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

// document returns the configuration in force without locking.
func (c *configuration) document() *config.Document { return c.current.Load() }

// check refuses requests while the configuration is missing, outdated or older than max_config_age.
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

// age returns the time since the platform confirmed the revision in force.
func (c *configuration) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.ConfirmedAge(c.node.now())
}

// raiseMinRevision records a revision that was in force at this VM before the node started.
func (c *configuration) raiseMinRevision(revision int64) {
	if revision <= c.document().Revision {
		return
	}
	c.mu.Lock()
	c.replica.RaiseMinRevision(revision)
	c.mu.Unlock()
	c.ready.Store(false)
}

// piggyback returns this node's state for membership packets.
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

// update changes the replica and reports whether this put a newer document in force.
func (c *configuration) update(change func(*config.Replica)) bool {
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
		c.documentChanged(document)
	}
	return newer
}

// documentChanged applies a newer document to the rest of the node.
func (c *configuration) documentChanged(document *config.Document) {
	c.node.quota.configure(document)
	c.node.quarantine.SetCrashes(document.Rules.QuarantineCrashes)
	c.node.withdrawals.configurationApplied(document)
	c.node.log.Info().Int64("revision", document.Revision).Msg("configuration in force")
}

// applyChanges applies changes that follow the revision in force and forwards new ones.
func (c *configuration) applyChanges(changes []config.CommittedChange, age time.Duration) {
	if len(changes) == 0 {
		return
	}
	last := changes[len(changes)-1].Revision
	newer := c.update(func(r *config.Replica) {
		if _, err := r.ApplyChanges(changes); err != nil {
			c.node.log.Error().Err(err).Msg("configuration change not applied")
		}
		r.Confirm(c.node.now(), last, age)
	})
	if newer {
		c.push(changes, age)
	}
}

func (c *configuration) installDocument(document *config.Document, age time.Duration) {
	c.update(func(r *config.Replica) {
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
			ctx, cancel := context.WithTimeout(c.node.background, configPushTimeout)
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

// handlePiggyback handles the state that another member reports about itself.
func (c *configuration) handlePiggyback(ctx context.Context, from *member.Member, piggyback *member.Piggyback) {
	if piggyback == nil || from == nil {
		return
	}
	c.update(func(r *config.Replica) {
		r.Confirm(c.node.now(), piggyback.GetConfigRevision(), time.Duration(piggyback.GetConfigAgeMs())*time.Millisecond)
	})
	if piggyback.GetConfigRevision() > c.document().Revision {
		c.startPull(ctx, from.GetPeerAddress())
	}
	c.node.withdrawals.handleDigest(ctx, from.GetPeerAddress(), piggyback.GetWithdrawalDigest())
}

// startPull requests missing changes from a member. Only one pull runs at a time.
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
	c.update(func(r *config.Replica) {
		if len(response.GetSnapshot()) > 0 {
			_, err = r.InstallSnapshot(response.GetSnapshot())
		} else {
			_, err = r.ApplyEncodedChanges(response.GetChanges())
		}
		r.Confirm(c.node.now(), response.GetRevision(), age)
	})
	if err != nil {
		c.node.log.Warn().Err(err).Str("peer", address).Msg("pulled configuration not applied")
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
	c.applyChanges(changes, time.Duration(req.GetConfirmedAgeMs())*time.Millisecond)
	return &configurationv1.PushResponse{Revision: c.document().Revision}, nil
}

func (c *configuration) mount(mux *http.ServeMux) {
	handler := configurationv1.NewConfigurationServer(c)
	mux.Handle(handler.PathPrefix(), peer.RequireSignature(c.node.keyring, handler))
}

// run reads the configuration at the start, and watches the platform while this node is a watcher, until
// ctx ends. Other nodes get changes from their peers.
func (c *configuration) run(ctx context.Context) {
	for first := true; ctx.Err() == nil; {
		if !first && !c.node.membership.watching() {
			clock.Sleep(ctx, watcherPollInterval)
			continue
		}
		if err := c.follow(ctx, first); err != nil && ctx.Err() == nil {
			c.node.log.Warn().Err(err).Msg("configuration not read from the platform")
			clock.Sleep(ctx, platformRetryInterval)
		} else {
			first = false
		}
		// A peer may have sent the configuration while the platform did not respond.
		first = first && c.document().Revision == 0
	}
}

// follow reads the newest configuration and watches for changes while this node is a watcher.
func (c *configuration) follow(ctx context.Context, first bool) error {
	if first {
		if err := c.node.membership.loadWatchers(ctx); err != nil {
			return err
		}
	}
	reader := config.Reader{Store: c.node.store}
	document, err := c.load(ctx, reader)
	if err != nil {
		return err
	}
	c.installDocument(document, 0)
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
	requested := c.node.now()
	document, changes, err := reader.Advance(readCtx, c.document())
	if err != nil {
		return err
	}
	c.applyChanges(changes, c.node.now().Sub(requested))
	c.installDocument(document, c.node.now().Sub(requested))
	if _, err := (config.Writer{Store: c.node.store}).Compact(readCtx, c.document()); err != nil {
		c.node.log.Warn().Err(err).Msg("configuration log not compacted")
	}
	return nil
}
