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

// upstreamState owns the state of the upstream on the same VM.
type upstreamState struct {
	current  atomic.Pointer[localUpstream]
	draining atomic.Bool // set by an operator or a planned stop

	mu sync.Mutex // serializes announcements
}

// localUpstream is the upstream on the same VM as described by its last announcement.
type localUpstream struct {
	upstream.Announcement
	received time.Time
	// gate admits calls to the upstream. It is kept while the service and address stay the same.
	gate *admission.Gate
	// crashes has the lifetime of gate.
	crashes *crashDetector
}

// available returns the upstream, or nil if it does not accept connections or its announcements are missing.
func (s *upstreamState) available(now time.Time) *localUpstream {
	u := s.current.Load()
	if u == nil || now.Sub(u.received) > announcementLifetime {
		return nil
	}
	return u
}

// markUnreachable makes an upstream that does not accept connections unavailable until its next
// announcement.
func (s *upstreamState) markUnreachable(u *localUpstream) {
	down := *u
	down.received = time.Time{}
	s.current.CompareAndSwap(u, &down)
}

func (s *upstreamState) setDraining(draining bool) {
	s.draining.Store(draining)
	if u := s.current.Load(); u != nil {
		u.gate.SetDraining(s.isDraining())
	}
}

// isDraining reports whether new calls must be refused.
func (s *upstreamState) isDraining() bool {
	u := s.current.Load()
	return s.draining.Load() || (u != nil && u.Draining)
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
func (s *upstreamState) announce(n *Node, announcement *upstream.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.current.Load()
	next := &localUpstream{Announcement: *announcement, received: n.now()}
	same := previous != nil && previous.Service == announcement.Service && previous.Address == announcement.Address
	if same {
		next.gate, next.crashes = previous.gate, previous.crashes
		next.gate.SetSlots(announcement.Slots)
	} else {
		next.gate, next.crashes = n.newGate(announcement.Slots), newCrashDetector(n, announcement.Service)
	}
	s.current.Store(next)
	next.gate.SetDraining(s.isDraining())
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

// queueSweepInterval is how often overdue calls are removed from an otherwise idle queue.
const queueSweepInterval = 20 * time.Millisecond

// sweepQueue removes overdue calls from the queue until ctx ends.
func (n *Node) sweepQueue(ctx context.Context) {
	for ctx.Err() == nil {
		if local := n.local.current.Load(); local != nil {
			local.gate.Sweep()
		}
		clock.Sleep(ctx, queueSweepInterval)
	}
}
