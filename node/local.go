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

// announcementLifetime is three missed announcements at one per second.
const announcementLifetime = 3 * time.Second

// localUpstream is the node's state of the upstream on its VM.
type localUpstream struct {
	current  atomic.Pointer[announcedUpstream]
	draining atomic.Bool // set by an operator or a planned stop

	mu sync.Mutex // orders announcements
}

type announcedUpstream struct {
	upstream.Announcement
	received time.Time
	// gate admits calls to the upstream. It is kept while the service and address stay the same.
	gate *admission.Gate
	// crashes has the lifetime of gate.
	crashes *crashDetector
}

// get returns the current announcement, or nil when the upstream is not available.
func (l *localUpstream) get(now time.Time) *announcedUpstream {
	a := l.current.Load()
	if a == nil || now.Sub(a.received) > announcementLifetime {
		return nil
	}
	return a
}

// markUnreachable makes an upstream that does not accept connections unavailable until its next
// announcement.
func (l *localUpstream) markUnreachable(a *announcedUpstream) {
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

// isDraining reports whether new calls must be refused.
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
	n.configuration.raiseMinRevision(announcement.ConfigRevision)
	n.membership.announce(announcement, n.local.isDraining())
	return upstream.AnnouncementReply{ConfigRevision: n.configuration.document().Revision}
}

// announce records an announcement and reports whether it differs from the previous one.
func (l *localUpstream) announce(n *Node, announcement *upstream.Announcement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.current.Load()
	next := &announcedUpstream{Announcement: *announcement, received: n.now()}
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

// newGate returns the admission gate of an upstream. The slots were validated with the announcement.
func (n *Node) newGate(slots int) *admission.Gate {
	cfg := admission.DefaultConfig(slots)
	limiter := admission.NewCeilingLimiter(admission.NewFixedLimiter(slots), slots)
	queue, err := admission.NewQueue(cfg, limiter)
	if err != nil {
		panic(err) // the default configuration is valid for any number of slots
	}
	return admission.NewGate(queue, admission.GateConfig{
		Now:       n.now,
		Random:    rand.Float64,
		Withdrawn: func(item *admission.Item) bool { return n.withdrawn(item.KeyHash) },
	})
}

// sweepInterval is how often expired items are removed from an otherwise idle queue.
const sweepInterval = 20 * time.Millisecond

// sweepQueue removes expired items from the admission queue until ctx ends.
func (n *Node) sweepQueue(ctx context.Context) {
	for ctx.Err() == nil {
		if local := n.local.current.Load(); local != nil {
			local.gate.Sweep()
		}
		clock.Sleep(ctx, sweepInterval)
	}
}
