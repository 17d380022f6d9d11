package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

const (
	// maxConfigurationRefreshAge is the maximum age at which the configuration is read again: half of the
	// usual 2 s within which a change must be in force. Reads by other nodes count, because gossip relays
	// the age.
	maxConfigurationRefreshAge = time.Second
	// readerRefreshFactor keeps the reader's reads within the refresh age despite jitter; nonReaderRefreshFactor
	// lets the others read only when the exchanges with it are late. Together with the jitter the age stays
	// below three quarters of the time within which a change must be in force.
	readerRefreshFactor    = 0.8
	nonReaderRefreshFactor = 1.45
	// firstConfigurationWait is the time between two reads of a configuration that operators have not written yet, at
	// nodes that are not readers. Exchanges with the reader bring it sooner.
	firstConfigurationWait = 4 * time.Second
	// storeTimeout bounds a store call; a slow store takes about 250 ms.
	storeTimeout = time.Second
	// maxWithdrawalMargin is subtracted from the operators' time limit for withdrawn keys, to allow for
	// clock drift and for the transit time of a request to its upstream.
	maxWithdrawalMargin = 500 * time.Millisecond
)

// activeConfiguration is the configuration in force.
type activeConfiguration struct {
	document *config.Document
	raw      []byte
	routes   routeTable
}

// configuration holds the newest known configuration and its age. A node never reverts to an older revision.
type configuration struct {
	node    *Node
	current atomic.Pointer[activeConfiguration]

	mu sync.Mutex
	// confirmedAt is when the revision was last known to be the newest, on the lease clock.
	confirmedAt time.Time
	// announced is the newest revision that another node has in force, as far as known without its document.
	announced int64
	loaded    chan struct{} // closed when the first configuration is loaded
}

func newConfiguration(n *Node) *configuration {
	return &configuration{node: n, loaded: make(chan struct{})}
}

var emptyDocument = config.NewDocument()

// document returns the configuration in force, or an empty one if none is loaded.
func (c *configuration) document() *config.Document {
	if p := c.current.Load(); p != nil {
		return p.document
	}
	return emptyDocument
}

// revision returns the revision in force, or 0 if none is loaded.
func (c *configuration) revision() int64 { return c.document().Revision }

// age returns the time since the configuration was last known to be the newest, and false if it never was.
func (c *configuration) age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return 0, false
	}
	return clock.Boot().Sub(c.confirmedAt), true
}

// snapshot returns the configuration in force, nil if none is loaded, and its age, -1 if it never was known to be the
// newest. The age is that of this revision, not of one that replaces it meanwhile.
func (c *configuration) snapshot() (active *activeConfiguration, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	active = c.current.Load()
	if active == nil || c.confirmedAt.IsZero() {
		return active, -1
	}
	return active, clock.Boot().Sub(c.confirmedAt)
}

// freshWithin reports whether the configuration was known to be the newest within the last d.
func (c *configuration) freshWithin(d time.Duration) bool {
	age, ok := c.age()
	return ok && age <= d
}

// admitsKeys reports whether keyed requests may be admitted. A node that has just started waits for the other nodes, as
// a restored store may return a configuration older than theirs.
func (c *configuration) admitsKeys() bool {
	maxAge := c.node.settings().maxKeyConfigurationAge()
	return maxAge <= 0 || c.node.gossip.hasJoined() && !c.outdated() && c.freshWithin(maxAge)
}

// outdated reports whether another node has a newer configuration.
func (c *configuration) outdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document().Revision < c.announced
}

// errOutdatedConfiguration means that a configuration is older than the one in force.
var errOutdatedConfiguration = errors.New("sidecar: configuration is older than the one in force")

// update applies a configuration that was the newest at readAt, unless a newer revision is in force.
func (c *configuration) update(raw []byte, readAt time.Time, from string) error {
	document, err := c.node.source.Decode(raw)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old, first := c.document(), c.current.Load() == nil
	switch {
	case document.Revision < old.Revision:
		return fmt.Errorf("%w: revision %d, not %d", errOutdatedConfiguration, document.Revision, old.Revision)
	case document.Revision > old.Revision || first:
		c.current.Store(&activeConfiguration{document: document, raw: raw, routes: newRouteTable(document)})
		c.node.shares.SetWorkspaces(c.node.quotas(document), time.Now())
		c.node.local.configurePacer(time.Now())
		c.node.registry.refresh()
		if first {
			close(c.loaded)
		}
		c.node.log.event("configuration").Int64("revision", document.Revision).Int64("previous", old.Revision).
			Str("from", from).Int("routes", len(document.Routes)).Msg("configuration in force")
	}
	if readAt.After(c.confirmedAt) {
		c.confirmedAt = readAt
	}
	return nil
}

// confirm records that a revision was the newest at the given time.
func (c *configuration) confirm(revision int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = max(c.announced, revision)
	if revision == c.document().Revision && revision != 0 && at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// run reads the configuration from the store until ctx ends.
func (c *configuration) run(ctx context.Context) {
	monitor := dependencyMonitor{node: c.node, name: "store"}
	var retry storeBackoff
	for ctx.Err() == nil {
		if wait := c.timeUntilRead(); wait > 0 {
			clock.Sleep(ctx, wait)
			continue
		}
		start := clock.Boot()
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		raw, err := c.node.source.Read(callCtx)
		cancel()
		c.node.checkStoreGeneration()
		if err == nil {
			err = c.update(raw, start, "store")
		}
		if errors.Is(err, kvstore.ErrNotFound) && c.current.Load() == nil {
			err = nil // no configuration has been written yet
		}
		monitor.report(err)
		if err != nil || c.current.Load() == nil {
			wait := retry.failed()
			if err == nil && !c.node.registry.isReader() {
				wait = jittered(firstConfigurationWait)
			}
			clock.Sleep(ctx, wait)
			continue
		}
		retry.succeeded()
	}
}

// timeUntilRead returns the time until the configuration must be read again.
func (c *configuration) timeUntilRead() time.Duration {
	age, ok := c.age()
	if !ok {
		return 0
	}
	refreshAge := c.node.settings().configurationRefreshAge()
	if !c.node.registry.isReader() {
		refreshAge = time.Duration(float64(refreshAge) * nonReaderRefreshFactor)
	}
	return time.Duration(float64(jittered(refreshAge))*readerRefreshFactor) - age
}

// dependencyMonitor logs when a dependency of the node becomes unavailable and available again.
type dependencyMonitor struct {
	node  *Node
	name  string
	down  bool
	since time.Time
}

func (d *dependencyMonitor) report(err error) {
	if (err != nil) == d.down {
		return
	}
	now := time.Now()
	if err != nil {
		d.node.log.event("dependency").Str("name", d.name).Str("outcome", "lost").Err(err).Msg("dependency unavailable")
	} else {
		d.node.log.event("dependency").Str("name", d.name).Str("outcome", "regained").Dur("lost_for_ms", now.Sub(d.since)).Msg("dependency available again")
	}
	d.down, d.since = err != nil, now
}
