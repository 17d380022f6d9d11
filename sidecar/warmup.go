package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/upstream"
	"github.com/cowslipglade/cowslipglade/warmup"
)

// This file feeds the pacer of the upstream on this VM with what is known of its coldness, and tells other nodes. The
// decisions are in package warmup.

const (
	// warmHealthInterval is the time between two health requests to a warm upstream, which may turn cold at any moment.
	// What it receives meanwhile must fit into its bound.
	warmHealthInterval = 250 * time.Millisecond
	// coldHealthInterval leaves nearly all of the pace of a cold upstream to calls.
	coldHealthInterval = time.Second
	// minHealthInterval is the shortest time between two health requests, whatever signs there are.
	minHealthInterval = 100 * time.Millisecond
	// silentHeartbeats is the number of heartbeat intervals without any word of the upstream after which it may have
	// started again.
	silentHeartbeats = 3
	// coldPublishInterval bounds how often this node tells the others that its upstream has turned cold or warm, since it
	// writes its entry in the store for that.
	coldPublishInterval = time.Second
)

// configurePacer applies the operators' configuration to the pace of the upstream on this VM.
func (s *upstreamState) configurePacer(now time.Time) {
	settings := s.node.settings()
	service := s.service()
	config := warmup.Config{}
	if service.WarmUpRate > 0 {
		config = warmup.Config{
			Rate: service.WarmUpRate, Duration: min(service.WarmUp, maxWarmUp), Over: settings.ColdOver, Slack: settings.ColdSlack,
			Silence: silentHeartbeats * settings.HeartbeatInterval,
		}
	}
	if s.pacer.Configure(config, now) {
		s.wakeHealth()
	}
}

// recordStart applies a heartbeat to the pace. A heartbeat of another start than before is a sign of its own.
func (s *upstreamState) recordStart(old, next *localUpstream, now time.Time) {
	started := old != nil && (old.Instance != next.Instance || old.StartTimeMS != 0 && next.StartTimeMS != old.StartTimeMS)
	if started {
		s.doubt("new_start")
	}
	s.pacer.RecordHeartbeat(now, next.WarmUp, started)
}

// doubt records a sign that the upstream may have started again, and asks the upstream.
func (s *upstreamState) doubt(sign string) {
	s.recordDoubt(sign)
	s.wakeHealth()
}

func (s *upstreamState) recordDoubt(sign string) {
	now := time.Now()
	first := s.pacer.Doubt(now)
	if s.pacer.Cold(now) == 0 {
		return // upstreams of this service need no warm-up
	}
	if first {
		s.node.metrics.coldSigns.Add(sign, 1)
		s.node.log.event("upstream_cold").Str("sign", sign).Msg("upstream may have started again and is treated as cold")
	}
}

func (s *upstreamState) wakeHealth() {
	select {
	case s.healthDue <- struct{}{}:
	default:
	}
}

// awaitSend blocks until a request may be sent to the upstream, and counts it.
func (s *upstreamState) awaitSend(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		wait := s.pacer.Send(time.Now())
		if wait == 0 {
			return nil
		}
		s.node.metrics.paced.Add("send_held", 1)
		clock.Sleep(ctx, wait)
	}
}

// awaitPace delays a call that has a slot until it may be sent. Most calls need not wait: their start was paced. The failure
// domain may have been evacuated since the call came.
func (n *Node) awaitPace(ctx context.Context, deadline time.Time) *call.Refusal {
	paceCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := n.local.awaitSend(paceCtx); err != nil {
		if ctx.Err() != nil {
			return endedRefusal(ctx, "before the pace let the call through")
		}
		return call.NewRefusal(call.CodeOverloaded, call.NotRun, "upstream is cold: %v", err)
	}
	return n.evacuation.refuseLocal()
}

// service returns the operators' configuration of the upstream's service.
func (s *upstreamState) service() config.Service {
	name := s.node.settings().Service
	if u := s.current.Load(); u != nil {
		name = u.Service
	}
	return s.node.configuration.document().Services[name]
}

// watchHealth requests the health path of an upstream that needs a warm-up, until ctx ends. It learns how long the
// upstream stays cold, and at once when its process ends.
func (s *upstreamState) watchHealth(ctx context.Context) {
	var conn *upstream.HealthConn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for ctx.Err() == nil {
		path := s.service().HealthPath
		if s.service().WarmUpRate <= 0 || path == "" || s.node.evacuation.includesSelf() || !s.node.evacuation.known() {
			if conn != nil {
				conn.Close()
				conn = nil
			}
			s.publishCold()
			s.pauseHealth(ctx, time.Now(), coldHealthInterval, nil)
			continue
		}
		requestedAt := time.Now()
		conn = s.requestHealth(ctx, conn, path)
		s.publishCold() // not before: most signs turn out to be none
		interval := warmHealthInterval
		if s.pacer.Cold(time.Now()) > 0 && conn != nil {
			interval = coldHealthInterval
		}
		s.pauseHealth(ctx, requestedAt, interval, conn)
	}
}

// pauseHealth waits until the given time after the last request. After a sign that the upstream may have started again, it
// waits for minHealthInterval only.
func (s *upstreamState) pauseHealth(ctx context.Context, requestedAt time.Time, interval time.Duration, conn *upstream.HealthConn) {
	var broken <-chan struct{}
	if conn != nil {
		broken = conn.Broken()
	}
	timer := time.NewTimer(time.Until(requestedAt.Add(interval)))
	defer timer.Stop()
	select {
	case <-broken:
		s.recordDoubt("health_connection_closed")
	case <-s.healthDue:
	case <-timer.C:
	case <-ctx.Done():
	}
	clock.Sleep(ctx, max(0, time.Until(requestedAt.Add(minHealthInterval))))
}

// requestHealth makes one health request and returns the connection to use for the next one, or nil.
func (s *upstreamState) requestHealth(ctx context.Context, conn *upstream.HealthConn, path string) *upstream.HealthConn {
	n := s.node
	probeCtx, cancel := context.WithTimeout(ctx, healthProbeTimeout)
	defer cancel()
	if conn != nil {
		select {
		case <-conn.Broken():
			conn = nil
		default:
		}
	}
	if conn == nil {
		var err error
		if conn, err = n.upstreams.OpenHealth(probeCtx, n.settings().UpstreamAddress); err != nil {
			s.recordDoubt("not_connected")
			return nil
		}
	}
	// The wait has a time limit of its own: after a restart of this node it lasts a second.
	if s.awaitSend(ctx) != nil {
		return conn
	}
	askCtx, cancelAsk := context.WithTimeout(ctx, healthProbeTimeout)
	defer cancelAsk()
	asked := time.Now()
	n.metrics.paced.Add("health_requests", 1)
	status, header, err := conn.Probe(askCtx, path)
	if err != nil {
		if ctx.Err() == nil {
			s.recordDoubt("health_failed")
		}
		return nil
	}
	s.recordHealth(asked, status, n.headers.ReadResponse(header))
	if conn.CloseAnnounced() {
		conn.Close()
		return nil
	}
	return conn
}

// recordHealth records what a response of the health path says. An upstream that has said once how long it stays cold is
// warm if it says nothing.
func (s *upstreamState) recordHealth(asked time.Time, status int, fields ResponseFields) {
	now := time.Now()
	u := s.current.Load()
	if u == nil && status == http.StatusOK && fields.Instance != "" {
		s.adopt(fields.Instance)
	}
	if u != nil && fields.Instance != "" && fields.Instance != u.Instance {
		s.recordDoubt("other_instance")
		return
	}
	switch {
	case fields.HasWarmUp:
		s.saysWarmUp.Store(true)
		s.pacer.RecordAnswer(asked, now, min(fields.WarmUp, maxWarmUp))
	case status == http.StatusOK && s.saysWarmUp.Load():
		s.pacer.RecordAnswer(asked, now, 0)
	default:
		s.pacer.RecordAlive(now)
	}
}

// publishCold tells the other nodes when the upstream has turned cold or warm.
func (s *upstreamState) publishCold() {
	now := time.Now()
	cold := s.pacer.Cold(now) > 0
	if cold == s.publishedCold || now.Sub(s.publishedColdAt) < coldPublishInterval {
		return
	}
	s.publishedCold, s.publishedColdAt = cold, now
	s.node.log.event("upstream_cold").Bool("cold", cold).Dur("left_ms", s.pacer.Cold(now)).Msg("upstream turned cold or warm")
	s.node.registry.publish()
}
