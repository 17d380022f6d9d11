package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/quarantine"
)

const (
	// missedHeartbeats make the upstream unavailable. A heartbeat may be some seconds late.
	missedHeartbeats = 6
	// probeTimeout bounds the health probe after a start of the node.
	probeTimeout = time.Second
	// sweepEvery is how often overdue calls are taken out of the queue while nothing else happens.
	sweepEvery = 20 * time.Millisecond
)

// Waits in the queue of the upstream by importance. Calls of running requests and the most important ones
// wait longest, because what was spent on them is lost with them.
const (
	criticalQueueDelay  = 400 * time.Millisecond // a quarter of a usual target latency of 1.5 s
	normalQueueDelay    = 150 * time.Millisecond // an eighth of that, above which a refusal counts as late
	sheddableQueueDelay = 100 * time.Millisecond // leaves the queue to the others
)

// Errors of heartbeats.
var (
	errOtherUpstream = errors.New("sidecar: heartbeat of another upstream")
	errOldHeartbeat  = errors.New("sidecar: heartbeat of an earlier start")
)

// localUpstream is the upstream on the same VM, as its heartbeats describe it.
type localUpstream struct {
	Heartbeat
	received time.Time
	// departed means that it leaves for good.
	departed bool
	// crashed means that it did not accept connections.
	crashed bool
	gate    *admission.Gate
	tracker *quarantine.Tracker
}

func (l *localUpstream) leaving() bool { return l.Draining || l.departed }

// local owns the state of the upstream on the same VM.
type local struct {
	node    *Node
	current atomic.Pointer[localUpstream]
	mu      sync.Mutex // orders changes
}

// available returns the upstream if it takes calls, or a reason why there is none.
func (l *local) available(now time.Time) (*localUpstream, string) {
	u := l.current.Load()
	switch {
	case u == nil:
		return nil, "no heartbeat yet"
	case u.leaving():
		return nil, "upstream is leaving"
	case u.crashed:
		return nil, "upstream does not accept connections"
	case now.Sub(u.received) > missedHeartbeats*l.node.settings().HeartbeatEvery:
		return nil, "heartbeats are missing"
	}
	return u, ""
}

// busy tells whether the upstream runs calls.
func (l *local) busy() bool {
	u := l.current.Load()
	return u != nil && !u.gate.Idle()
}

// Heartbeat implements HeartbeatHandler.
func (n *Node) Heartbeat(beat Heartbeat) error {
	changed, err := n.local.heartbeat(beat, time.Now())
	if err != nil {
		return err
	}
	if changed {
		n.log.event("upstream").Str("instance", beat.Instance).Int64("born", beat.Born).Int64("sequence", beat.Sequence).
			Bool("draining", beat.Draining).Int("slots", beat.Slots).Str("outcome", "accepted").Msg("upstream changed")
		n.registry.publish()
	}
	return nil
}

// RejectedHeartbeat implements HeartbeatHandler.
func (n *Node) RejectedHeartbeat(instance string, reason error) {
	n.log.event("heartbeat_rejected").Str("instance", instance).Str("reason", reason.Error()).Msg("heartbeat rejected")
}

// Departed implements HeartbeatHandler.
func (n *Node) Departed(instance string, born int64) {
	if n.local.depart(instance, born) {
		n.log.event("upstream").Str("instance", instance).Int64("born", born).Str("outcome", "departed").Msg("upstream leaves")
		n.registry.publish()
	}
}

// heartbeat takes in a heartbeat and tells whether others must hear of the change.
func (l *local) heartbeat(beat Heartbeat, now time.Time) (changed bool, err error) {
	settings := l.node.settings()
	if beat.Address != settings.UpstreamAddress {
		return false, fmt.Errorf("%w: address %s, expected %s", errOtherUpstream, beat.Address, settings.UpstreamAddress)
	}
	if beat.Slots < 1 {
		return false, fmt.Errorf("%w: slots must be at least 1", errOtherUpstream)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.current.Load()
	if err := checkOrder(old, &beat); err != nil {
		return false, err
	}
	next := &localUpstream{Heartbeat: beat, received: now}
	same := old != nil && old.Instance == beat.Instance && old.Born == beat.Born && old.Service == beat.Service
	if same {
		// A drain is not taken back by a heartbeat that says less.
		next.departed = old.departed
		next.Draining = beat.Draining || old.Draining
		next.gate, next.tracker = old.gate, old.tracker
		next.gate.SetSlots(beat.Slots)
	} else {
		next.gate = newGate(beat.Slots)
		next.tracker = quarantine.NewTracker(l.node.quarantine)
	}
	next.gate.SetDraining(next.leaving())
	l.current.Store(next)
	changed = !same || old.leaving() != next.leaving() || old.Slots != next.Slots || old.crashed
	return changed, nil
}

// checkOrder refuses heartbeats that were sent before one that is already known.
func checkOrder(old *localUpstream, beat *Heartbeat) error {
	switch {
	case old == nil:
		return nil
	case old.Born != 0 && beat.Born != 0 && beat.Born < old.Born:
		return errOldHeartbeat
	case old.Instance == beat.Instance && old.Born == beat.Born && beat.Sequence < old.Sequence:
		return errOldHeartbeat
	}
	return nil
}

// depart marks the upstream as leaving for good.
func (l *local) depart(instance string, born int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.current.Load()
	if old == nil || old.Instance != instance || old.departed || (born != 0 && old.Born != 0 && born != old.Born) {
		return false
	}
	next := *old
	next.departed = true
	next.gate.SetDraining(true)
	l.current.Store(&next)
	return true
}

// lost marks the upstream as crashed until its next heartbeat.
func (l *local) lost(u *localUpstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current.Load()
	if current == nil || current.gate != u.gate || current.crashed {
		return false
	}
	next := *current
	next.crashed = true
	l.current.Store(&next)
	return true
}

func newGate(slots int) *admission.Gate {
	cfg := admission.DefaultConfig(slots)
	cfg.Target = [...]time.Duration{criticalQueueDelay, normalQueueDelay, sheddableQueueDelay}
	queue, err := admission.NewQueue(cfg, admission.NewFixedLimiter(slots))
	if err != nil {
		panic(err) // slots were checked with the heartbeat, the rest is constant
	}
	return admission.NewGate(queue, admission.GateConfig{Now: time.Now, Random: rand.Float64})
}

// probe asks the health of an upstream that was there before this process, so that it gets calls before
// its next heartbeat. One that leaves answers with a failure.
func (l *local) probe(ctx context.Context) {
	n := l.node
	settings := n.settings()
	document := n.configuration.document()
	service, ok := document.Services[settings.Service]
	if l.current.Load() != nil || !ok || service.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, header, err := n.upstreams.Probe(ctx, settings.UpstreamAddress, service.HealthPath)
	if err != nil || status != http.StatusOK {
		n.log.event("upstream").Int("status", status).AnErr("error", err).Str("outcome", "unhealthy").Msg("upstream probed")
		return
	}
	instance := n.headers.ReadAnswer(header).Instance
	if instance == "" {
		n.log.event("upstream").Str("outcome", "unnamed").Msg("upstream probed")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.Load() != nil {
		return
	}
	l.current.Store(&localUpstream{
		Heartbeat: Heartbeat{Instance: instance, Service: settings.Service, Address: settings.UpstreamAddress, Slots: probedSlots},
		received:  time.Now(),
		gate:      newGate(probedSlots),
		tracker:   quarantine.NewTracker(n.quarantine),
	})
	n.log.event("upstream").Str("instance", instance).Str("outcome", "healthy").Msg("upstream probed")
	n.registry.publish()
}

// probedSlots is the concurrency assumed until the first heartbeat, which comes within seconds.
const probedSlots = 16

// sweepQueue keeps the queue free of overdue calls until ctx ends.
func (l *local) sweepQueue(ctx context.Context) {
	for ctx.Err() == nil {
		if u := l.current.Load(); u != nil && !u.gate.Idle() {
			u.gate.Sweep()
		}
		clock.Sleep(ctx, sweepEvery)
	}
}
