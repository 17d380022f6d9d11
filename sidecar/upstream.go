package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/admission"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/quarantine"
	"github.com/cowslipglade/cowslipglade/warmup"
	"github.com/cowslipglade/cowslipglade/workload"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which the upstream
	// is unavailable. Heartbeats may be several seconds late.
	maxMissedHeartbeats = 6
	// healthProbeTimeout bounds the health probe after the node has started.
	healthProbeTimeout = time.Second
	// queueSweepInterval is how often overdue calls are removed from an otherwise idle queue.
	queueSweepInterval = 20 * time.Millisecond
)

// targetWork is the length of a standing queue, in mean service times, above which calls of any rank are refused. Before,
// calls are refused by rank (admission.LevelConfig), and no call waits longer than its caller has patience.
const targetWork = 3

// Heartbeat errors. Their texts are part of the response to the upstream.
var (
	errHeartbeatMismatch = errors.New("sidecar: heartbeat of another upstream")
	errStaleHeartbeat    = errors.New("sidecar: heartbeat of an earlier start")
)

// localUpstream is the upstream on the same VM as described by its heartbeats.
type localUpstream struct {
	Heartbeat
	lastHeartbeat time.Time
	// departed means that the upstream is shutting down permanently.
	departed bool
	// crashed means that the upstream did not accept a connection.
	crashed bool
	gate    *admission.Gate
	tracker *quarantine.Tracker
	// meter follows what waits and runs, for the load reports.
	meter *workload.Meter
}

func (u *localUpstream) leaving() bool { return u.Draining || u.departed }

// upstreamState owns the state of the upstream on the same VM.
type upstreamState struct {
	node    *Node
	current atomic.Pointer[localUpstream]

	// pacer paces what is sent while the upstream is cold.
	pacer *warmup.Pacer
	// healthDue wakes watchHealth.
	healthDue chan struct{}
	// saysWarmUp means that a response of the health path has told how long the upstream stays cold.
	saysWarmUp atomic.Bool
	// publishedCold is what the other nodes were last told at publishedColdAt. Only watchHealth uses them.
	publishedCold   bool
	publishedColdAt time.Time

	mu         sync.Mutex // serializes updates of current
	departures departures
}

func newUpstreamState(n *Node) *upstreamState {
	return &upstreamState{node: n, pacer: warmup.New(time.Now()), healthDue: make(chan struct{}, 1)}
}

// available returns the upstream if it accepts calls, or nil and the reason why not.
func (s *upstreamState) available(now time.Time) (*localUpstream, string) {
	u := s.current.Load()
	switch {
	case u == nil:
		return nil, "no heartbeat yet"
	case u.leaving():
		return nil, "upstream is leaving"
	case u.crashed:
		return nil, "upstream does not accept connections"
	case now.Sub(u.lastHeartbeat) > maxMissedHeartbeats*s.node.settings().HeartbeatInterval:
		return nil, "heartbeats are missing"
	}
	return u, ""
}

// busy reports whether the upstream is running calls.
func (s *upstreamState) busy() bool {
	u := s.current.Load()
	return u != nil && !u.gate.Idle()
}

// Heartbeat implements HeartbeatHandler.
func (n *Node) Heartbeat(beat Heartbeat) error {
	changed, err := n.local.applyHeartbeat(beat, time.Now())
	if err != nil {
		return err
	}
	n.local.configurePacer(time.Now())
	if changed {
		n.log.event("upstream").Str("instance", beat.Instance).Int64("born", beat.StartTimeMS).Int64("sequence", beat.Sequence).
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
func (n *Node) Departed(instance string, startTimeMS int64) {
	if n.local.markDeparted(instance, startTimeMS, time.Now()) {
		n.log.event("upstream").Str("instance", instance).Int64("born", startTimeMS).Str("outcome", "departed").Msg("upstream departed")
		n.registry.publish()
	}
	n.registry.wakePublisher() // also for an upstream that is not known
}

// adoptDeparture applies a departure that an earlier process of this node acknowledged.
func (n *Node) adoptDeparture(d departure, from string) {
	if n.local.recordDeparture(d) {
		n.metrics.departuresAdopted.Add(1)
		n.log.event("upstream").Str("instance", d.instance).Int64("born", d.startTimeMS).Str("from", from).Str("outcome", "departed").
			Msg("departure acknowledged by an earlier process")
		n.registry.publish()
	}
}

// applyHeartbeat applies a heartbeat and reports whether other nodes must be notified of the change.
func (s *upstreamState) applyHeartbeat(beat Heartbeat, now time.Time) (changed bool, err error) {
	settings := s.node.settings()
	if beat.Address != settings.UpstreamAddress {
		return false, fmt.Errorf("%w: address %s, expected %s", errHeartbeatMismatch, beat.Address, settings.UpstreamAddress)
	}
	_, configured := s.node.configuration.document().Services[beat.Service]
	if beat.Service != settings.Service && !configured {
		return false, fmt.Errorf("%w: service %q, expected %s or one of the configuration", errHeartbeatMismatch, abbreviate(beat.Service), settings.Service)
	}
	beat.WarmUp = max(0, beat.WarmUp)
	if err := beat.check(); err != nil {
		return false, fmt.Errorf("%w: %w", errHeartbeatMismatch, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if err := checkHeartbeatOrder(old, &beat); err != nil {
		return false, err
	}
	departed := s.departures.covers(beat.Instance, beat.StartTimeMS)
	if departed && old != nil && old.Instance != beat.Instance {
		return false, errStaleHeartbeat
	}
	next := &localUpstream{Heartbeat: beat, lastHeartbeat: now, departed: departed}
	same := old != nil && old.mayBe(&beat) && (departed || !old.departed)
	if same {
		// A later heartbeat does not undo a drain.
		next.Draining = beat.Draining || old.Draining
		next.gate, next.tracker, next.meter = old.gate, old.tracker, old.meter
		next.gate.SetSlots(beat.Slots)
	} else {
		next.gate = newGate(beat.Slots, s.pacer)
		if old != nil {
			s.refuseHeld(old)
		}
		next.tracker = quarantine.NewTracker(s.node.quarantine)
		next.meter = s.node.newMeter()
	}
	next.gate.SetDraining(next.leaving())
	s.recordStart(old, next, now)
	s.current.Store(next)
	changed = !same || old.leaving() != next.leaving() || old.Slots != next.Slots || old.crashed
	return changed, nil
}

// mayBe reports whether a heartbeat is of this upstream. The start time is unknown if a health probe found it.
func (u *localUpstream) mayBe(beat *Heartbeat) bool {
	return u.Instance == beat.Instance && u.Service == beat.Service && (u.StartTimeMS == beat.StartTimeMS || u.StartTimeMS == 0)
}

// check returns a *settings.FieldError for the first rule that the heartbeat violates.
func (b *Heartbeat) check() error {
	return firstViolation([]fieldRule{
		{validInstance(b.Instance), "id", b.Instance, "must be 1 to 200 visible ASCII characters"},
		{validStartTime(b.StartTimeMS), "born", b.StartTimeMS, "must be a Unix time in milliseconds"},
		{b.Sequence >= 0 && b.Sequence <= maxOrdinal, "sequence", b.Sequence, "must be from 0 to 2^62"},
		{b.Slots >= 1 && b.Slots <= maxSlots, "slots", b.Slots, fmt.Sprintf("must be from 1 to %d", maxSlots)},
		{b.WarmUp <= maxWarmUp, "warm-up", b.WarmUp, fmt.Sprintf("must be at most %v", maxWarmUp)},
	})
}

// validStartTime reports whether a Unix time in milliseconds may be the start of an upstream.
func validStartTime(ms int64) bool { return ms >= 0 && ms <= maxOrdinal/int64(time.Millisecond) }

// validInstance reports whether an instance can be named in a header.
func validInstance(id string) bool {
	return id != "" && len(id) <= maxNameBytes && strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// checkHeartbeatOrder rejects heartbeats that were sent before the last applied one.
func checkHeartbeatOrder(old *localUpstream, beat *Heartbeat) error {
	switch {
	case old == nil:
		return nil
	case old.StartTimeMS != 0 && beat.StartTimeMS != 0 && beat.StartTimeMS < old.StartTimeMS:
		return errStaleHeartbeat
	case old.Instance == beat.Instance && old.StartTimeMS == beat.StartTimeMS && beat.Sequence < old.Sequence:
		return errStaleHeartbeat
	}
	return nil
}

// markDeparted records the permanent departure of an upstream, also of one that is not known yet, and reports whether
// this is a change. Without its start time, all its heartbeats that were sent before now are of the departed one.
func (s *upstreamState) markDeparted(instance string, startTimeMS int64, now time.Time) bool {
	if startTimeMS <= 0 {
		startTimeMS = now.UnixMilli() // the upstream has the clock of this VM
	}
	return s.recordDeparture(departure{instance, startTimeMS})
}

// acknowledged returns the departures, with that of the current upstream if it drains: a drain is not undone either.
func (s *upstreamState) acknowledged() departures {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := slices.Clone(s.departures)
	if u := s.current.Load(); u != nil && u.leaving() {
		known.add(departure{u.Instance, u.StartTimeMS})
	}
	return known
}

func (s *upstreamState) recordDeparture(d departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures.add(d)
	old := s.current.Load()
	if old == nil || old.departed || !s.departures.covers(old.Instance, old.StartTimeMS) {
		return false
	}
	next := *old
	next.departed = true
	if next.StartTimeMS == 0 {
		next.StartTimeMS = d.startTimeMS
	}
	next.gate.SetDraining(true)
	s.current.Store(&next)
	return true
}

// markCrashed marks the upstream as crashed until its next heartbeat and reports whether this is a change.
func (s *upstreamState) markCrashed(u *localUpstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if current == nil || current.gate != u.gate || current.crashed {
		return false
	}
	next := *current
	next.crashed = true
	s.current.Store(&next)
	s.refuseHeld(current)
	return true
}

// refuseHeld refuses the calls that the pace holds in the queue of an upstream that has ended, so that they are sent
// elsewhere. Without a pace they start and fail at once.
func (s *upstreamState) refuseHeld(u *localUpstream) {
	if s.service().WarmUpRate > 0 {
		u.gate.RefuseQueued(admission.Draining)
	}
}

func newGate(slots int, pace admission.Pace) *admission.Gate {
	cfg := admission.DefaultConfig(slots)
	cfg.Pace = pace
	cfg.TargetWork = targetWork
	cfg.RetryAfterMin, cfg.RetryAfterSpread = 0, 0 // the entry node knows the caller's time
	cfg.Level = admission.DefaultLevelConfig()
	queue, err := admission.NewQueue(cfg, admission.NewFixedLimiter(slots))
	if err != nil {
		panic(err) // unreachable: heartbeat slots are validated and the other parameters are constants
	}
	return admission.NewGate(queue, admission.GateConfig{Now: time.Now, Random: rand.Float64})
}

// probe checks the health of an upstream that was running before this process started, so that it receives
// calls before its next heartbeat. A draining upstream fails the probe.
func (s *upstreamState) probe(ctx context.Context) {
	n := s.node
	settings := n.settings()
	document := n.configuration.document()
	service, ok := document.Services[settings.Service]
	if s.current.Load() != nil || !ok || service.HealthPath == "" || service.WarmUpRate > 0 { // see watchHealth
		return
	}
	if n.evacuation.refuseLocal() != nil {
		return // the heartbeats tell soon enough
	}
	ctx, cancel := context.WithTimeout(ctx, healthProbeTimeout)
	defer cancel()
	status, header, err := n.upstreams.Probe(ctx, settings.UpstreamAddress, service.HealthPath)
	if err != nil || status != http.StatusOK {
		n.log.event("upstream").Int("status", status).AnErr("error", err).Str("outcome", "unhealthy").Msg("upstream probed")
		return
	}
	instance := n.headers.ReadResponse(header).Instance
	if instance == "" {
		n.log.event("upstream").Str("outcome", "unnamed").Msg("upstream probed")
		return
	}
	s.adopt(instance)
}

// adopt makes an upstream that a health response has named the upstream of this VM if none is known.
func (s *upstreamState) adopt(instance string) {
	n, settings := s.node, s.node.settings()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Load() != nil || s.departures.covers(instance, 0) {
		return
	}
	s.current.Store(&localUpstream{
		Heartbeat:     Heartbeat{Instance: instance, Service: settings.Service, Address: settings.UpstreamAddress, Slots: assumedSlots},
		lastHeartbeat: time.Now(),
		gate:          newGate(assumedSlots, s.pacer),
		tracker:       quarantine.NewTracker(n.quarantine),
		meter:         n.newMeter(),
	})
	n.log.event("upstream").Str("instance", instance).Str("outcome", "healthy").Msg("upstream probed")
	n.registry.publish()
}

// assumedSlots is the concurrency assumed until the first heartbeat, which arrives within seconds.
const assumedSlots = 16

// sweepQueue removes overdue calls from the queue until ctx ends.
func (s *upstreamState) sweepQueue(ctx context.Context) {
	for ctx.Err() == nil {
		if u := s.current.Load(); u != nil && !u.gate.Idle() {
			u.gate.Sweep()
		}
		clock.Sleep(ctx, queueSweepInterval)
	}
}
