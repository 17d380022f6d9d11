package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/upstream"
)

// announcementLifetime is three missed announcements of one second.
const announcementLifetime = 3 * time.Second

// localUpstream is what the node knows of the upstream on its VM.
type localUpstream struct {
	current  atomic.Pointer[announced]
	draining atomic.Bool // set by an operator or a planned stop

	mu sync.Mutex // orders announcements
}

type announced struct {
	upstream.Announcement
	received time.Time
	// gate admits calls to the upstream. It is kept while the upstream stays the same.
	gate *admission.Gate
	// crashes is kept as long as gate.
	crashes *crashDetector
}

// get returns the announcement in force, or nil when the upstream is not available.
func (l *localUpstream) get(now time.Time) *announced {
	a := l.current.Load()
	if a == nil || now.Sub(a.received) > announcementLifetime {
		return nil
	}
	return a
}

// lost makes the upstream unavailable until its next announcement, because it does not accept
// connections.
func (l *localUpstream) lost(a *announced) {
	down := *a
	down.received = time.Time{}
	l.current.CompareAndSwap(a, &down)
}

func (l *localUpstream) setDraining(draining bool) {
	l.draining.Store(draining)
	if a := l.current.Load(); a != nil {
		a.gate.SetDraining(l.isDraining())
	}
}

// isDraining tells whether new work must be refused.
func (l *localUpstream) isDraining() bool {
	a := l.current.Load()
	return l.draining.Load() || (a != nil && a.Draining)
}

// Announce implements upstream.Handler.
func (n *Node) Announce(announcement *upstream.Announcement) upstream.AnnouncementReply {
	if n.local.announce(n, announcement) {
		n.log.Info().Str("service", announcement.Service).Str("address", announcement.Address).
			Int("slots", announcement.Slots).Bool("draining", announcement.Draining).Msg("upstream announced")
	}
	n.configuration.raiseFloor(announcement.ConfigRevision)
	n.membership.announce(announcement, n.local.isDraining())
	return upstream.AnnouncementReply{ConfigRevision: n.configuration.document().Revision}
}

// announce takes an announcement and tells whether it differs from the one before.
func (l *localUpstream) announce(n *Node, announcement *upstream.Announcement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.current.Load()
	next := &announced{Announcement: *announcement, received: n.now()}
	same := previous != nil && previous.Service == announcement.Service && previous.Address == announcement.Address
	if same {
		next.gate, next.crashes = previous.gate, previous.crashes
		next.gate.SetSlots(announcement.Slots)
	} else {
		next.gate, next.crashes = n.newGate(announcement.Slots), newCrashDetector(n, announcement.Service)
	}
	l.current.Store(next)
	next.gate.SetDraining(l.isDraining())
	return !same || previous.Draining != announcement.Draining || previous.Slots != announcement.Slots
}

// newGate returns the admission queue for an upstream. Slots have been checked with the announcement.
func (n *Node) newGate(slots int) *admission.Gate {
	cfg := admission.DefaultConfig(slots)
	limiter := admission.NewCeilingLimiter(admission.NewFixedLimiter(slots), slots)
	queue, err := admission.NewQueue(cfg, limiter)
	if err != nil {
		panic(err) // the default configuration is valid for every number of slots
	}
	return admission.NewGate(queue, admission.GateConfig{
		Now:       n.now,
		Random:    rand.Float64,
		Withdrawn: func(item *admission.Item) bool { return n.withdrawn(item.KeyHash) },
	})
}

// sweepInterval is how often overdue items are taken out of the queue while nothing else happens.
const sweepInterval = 20 * time.Millisecond

// sweepQueue keeps the admission queue free of overdue items until ctx ends.
func (n *Node) sweepQueue(ctx context.Context) {
	for ctx.Err() == nil {
		if local := n.local.current.Load(); local != nil {
			local.gate.Sweep()
		}
		clock.Sleep(ctx, sweepInterval)
	}
}
