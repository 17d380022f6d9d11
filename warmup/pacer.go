// Package warmup paces the requests that one node sends to a cold upstream.
//
// An upstream is slow after each start and may turn slow again at any moment. Well above the rate that it sustains
// meanwhile it crashes and comes back cold, so a fleet that is sent its usual load never comes up. The node beside an
// upstream is the only way to it, so a bound that this node keeps holds over the fleet.
//
// A Pacer does two things. It spaces the starts of calls at the sustained rate, for the queue that holds the rest. And
// it counts what is sent in a sliding window of one second, because a call may start long before it is sent: the node
// may still wait for its body. Both apply only while the upstream is cold; sends are counted at all times, since those
// of the last second count when it turns cold.
//
// The upstream counts arrivals in seconds of its own, and a request may take some time to reach it. So the pace uses
// only a part of the bound: with 13 requests a second and a bound of 27, at most 17 are sent in any second, and the
// others cover requests that are up to three quarters of a second late.
//
// Coldness is assumed where it is not known. A Pacer is told of every sign that the upstream may have started again, and
// treats it as cold until the upstream has said otherwise after that sign. Heartbeats may be late, so one that may be
// older than the sign does not end the assumption.
//
// The load: one lock and a few comparisons for each call; memory for one time per request that may be sent in a second,
// bounded by maxWindow. The package has no clock, socket or goroutine. A Pacer is safe for concurrent use.
package warmup

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the time over which the operators' bound counts requests.
	window = time.Second
	// maxBurst is the number of calls that may start at once after a pause.
	maxBurst = 4
	// burstDivisor is the part of the bound above the rate that is used. The rest covers requests that arrive late.
	burstDivisor = 3
	// maxInterval bounds the time between two starts at rates near 0.
	maxInterval = time.Hour
	// maxWindow bounds the memory for counted requests to 24 KB.
	maxWindow = 1024
)

// Config describes the warm-up of the upstreams of a service.
type Config struct {
	// Rate is the number of requests per second that a cold upstream sustains. 0 means that upstreams need no warm-up.
	Rate float64
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// Over and Slack are the operators' bound on the requests in any second: Rate * Over + Slack.
	Over, Slack float64
	// Silence is the time without a word of the upstream after which it may have started again; 0 means never.
	Silence time.Duration
}

// bound returns the largest number of requests that a cold upstream may receive in a second. It is at least 1.
func (c Config) bound() float64 { return max(1, c.Rate*max(1, c.Over)+c.Slack) }

// burst returns the number of calls that may start at once after a pause.
func (c Config) burst() float64 {
	return max(1, min(maxBurst, math.Floor((c.bound()-c.Rate)/burstDivisor)))
}

// perWindow returns the number of requests that are sent at most in any second.
func (c Config) perWindow() int {
	return int(max(1, min(c.Rate+c.burst(), c.bound(), maxWindow)))
}

// Pacer owns the pace of the upstream beside one node, over all starts of that upstream.
type Pacer struct {
	mu     sync.Mutex
	config Config

	// coldUntil is when the upstream becomes warm by its own word.
	coldUntil time.Time
	// doubted means that the upstream may have started again at doubtedAt and has not said otherwise since.
	doubted   bool
	doubtedAt time.Time
	// heardAt is when the upstream last gave a word.
	heardAt time.Time

	// tokens are the calls that may start now, as of tokensAt.
	tokens   float64
	tokensAt time.Time
	// sent holds the times of the last sends; next is the index of the oldest.
	sent []time.Time
	next int
}

// New returns a Pacer that does not pace. It treats the upstream as cold, and the bound of the last second as used up:
// an earlier process may have sent that much.
func New(now time.Time) *Pacer {
	return &Pacer{doubted: true, doubtedAt: now, heardAt: now, tokensAt: now}
}

// Configure sets the configuration and reports whether it has changed.
func (p *Pacer) Configure(config Config, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if config == p.config {
		return false
	}
	if count := config.perWindow(); config.Rate > 0 && count != len(p.sent) {
		p.resize(count, now)
	}
	p.config = config
	p.tokens, p.tokensAt = min(p.tokens, config.burst()), now
	return true
}

// resize makes room for count sends. Those that were not counted may all have been sent just now.
func (p *Pacer) resize(count int, now time.Time) {
	ordered := append(append([]time.Time{}, p.sent[p.next:]...), p.sent[:p.next]...)
	if len(p.sent) == 0 {
		now = maxTime(p.doubtedAt, now.Add(-window)) // an earlier process has ended before this one started
	}
	for len(ordered) < count {
		ordered = append(ordered, now)
	}
	p.sent, p.next = ordered[len(ordered)-count:], 0
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Doubt records a sign that the upstream may have started again: a connection that was refused, reset or timed out, or
// another start in its heartbeats. It reports whether the upstream was not doubted before.
func (p *Pacer) Doubt(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.doubtedAt) {
		return false
	}
	first := !p.doubted
	p.turnCold(now)
	p.doubted, p.doubtedAt = true, now
	return first
}

// turnCold makes calls start at the pace from now on, if they did not before.
func (p *Pacer) turnCold(now time.Time) {
	if !p.doubted && !now.Before(p.coldUntil) {
		p.tokens, p.tokensAt = 0, now
	}
}

// RecordAnswer records what the upstream has said in its response to a request that was sent at asked: it stays cold for
// left. The response of a process that has ended since is ignored.
func (p *Pacer) RecordAnswer(asked, now time.Time, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
	if asked.Before(p.doubtedAt) {
		return
	}
	if left > 0 {
		p.turnCold(now)
	}
	p.doubted, p.coldUntil = false, now.Add(left)
}

// RecordHeartbeat records what a heartbeat says. started means that it is the first one of another start than before, so
// that it is newer than all signs of that. A heartbeat may be older than what is known, and then does not shorten it.
func (p *Pacer) RecordHeartbeat(now time.Time, left time.Duration, started bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
	until := now.Add(left)
	if left > 0 {
		p.turnCold(now)
	}
	if started || until.After(p.coldUntil) {
		p.coldUntil = until
	}
	// An upstream that has started since would be warm again by now.
	if started || p.doubted && now.Sub(p.doubtedAt) >= p.config.Duration {
		p.doubted = false
	}
}

// RecordAlive records a sign of life that does not tell whether the upstream is cold.
func (p *Pacer) RecordAlive(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
}

// Cold returns how much longer the upstream is treated as cold, as far as is known, or 0 if it is warm.
func (p *Pacer) Cold(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCold(now) {
		return 0
	}
	left := p.coldUntil.Sub(now)
	if p.doubted {
		left = max(left, p.config.Duration)
	}
	return max(left, time.Millisecond)
}

func (p *Pacer) isCold(now time.Time) bool {
	if p.config.Rate <= 0 {
		return false
	}
	if silence := p.config.Silence; !p.doubted && silence > 0 && now.Sub(p.heardAt) > silence {
		p.turnCold(now)
		p.doubted, p.doubtedAt = true, now
	}
	return p.doubted || now.Before(p.coldUntil)
}

// Interval implements admission.Pace: the time between two starts, or 0 if the upstream is warm.
func (p *Pacer) Interval(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCold(now) {
		return 0
	}
	return time.Duration(min(float64(time.Second)/p.config.Rate, float64(maxInterval)))
}

// MayStart implements admission.Pace: whether a call may start now.
func (p *Pacer) MayStart(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCold(now) {
		return true
	}
	p.refill(now)
	return p.tokens >= 1 && p.windowWait(now) == 0
}

// Start implements admission.Pace: a call starts now.
func (p *Pacer) Start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCold(now) {
		p.refill(now)
		p.tokens = max(0, p.tokens-1)
	}
}

func (p *Pacer) refill(now time.Time) {
	if elapsed := now.Sub(p.tokensAt); elapsed > 0 {
		p.tokens = min(p.config.burst(), p.tokens+elapsed.Seconds()*p.config.Rate)
		p.tokensAt = now
	}
}

// windowWait returns the time until the oldest of as many requests as a second may have is a second old.
func (p *Pacer) windowWait(now time.Time) time.Duration {
	if len(p.sent) == 0 {
		return 0
	}
	return max(0, p.sent[p.next].Add(window).Sub(now))
}

// Send counts a request that is sent to the upstream now and returns 0, or returns how long to wait before the next
// attempt to send it. Every request counts, health probes too.
func (p *Pacer) Send(now time.Time) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCold(now) {
		if wait := p.windowWait(now); wait > 0 {
			return wait
		}
	}
	if len(p.sent) > 0 {
		p.sent[p.next] = now
		p.next = (p.next + 1) % len(p.sent)
	}
	return 0
}
