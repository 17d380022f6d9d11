package warmup

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const heartbeatInterval = 1500 * time.Millisecond

var testConfig = Config{Rate: 13, Duration: 3 * time.Second, Over: 1.5, Slack: 8, Silence: 3 * heartbeatInterval}

// bench drives a Pacer with more calls than a cold upstream may receive, beside an upstream that crashes and turns cold at
// random.
type bench struct {
	random    *rand.Rand
	now       time.Time
	pacer     *Pacer
	coldUntil time.Time
	downUntil time.Time
	askAt     time.Time
	beatAt    time.Time
	pending   []func(now time.Time) bool // later events, which report whether they are done
	cold      []time.Time                // arrivals at the cold upstream
	started   time.Duration              // time for which the upstream was up and known to be cold
}

// after calls do once d has passed.
func (b *bench) after(d time.Duration, do func(now time.Time)) {
	at := b.now.Add(d)
	b.pending = append(b.pending, func(now time.Time) bool {
		if now.Before(at) {
			return false
		}
		do(now)
		return true
	})
}

// crash ends the process of the upstream. The health connection breaks at once.
func (b *bench) crash() {
	b.downUntil = b.now.Add(time.Duration(b.random.IntN(800)) * time.Millisecond)
	b.coldUntil = b.downUntil.Add(testConfig.Duration)
	b.pacer.Doubt(b.now)
}

// send delivers a call after a delay, such as that of its body.
func (b *bench) send(now time.Time) bool {
	if b.pacer.Send(now) > 0 {
		return false
	}
	b.after(time.Duration(b.random.IntN(100))*time.Millisecond, func(now time.Time) {
		if now.Before(b.downUntil) {
			b.pacer.Doubt(now) // not connected
		} else if now.Before(b.coldUntil) {
			b.cold = append(b.cold, now)
		}
	})
	return true
}

func (b *bench) step() {
	now := b.now
	for range 3 { // a load of up to 300 calls a second
		if b.random.IntN(10) < 1 && b.pacer.MayStart(now) {
			b.pacer.Start(now)
			b.after(time.Duration(b.random.IntN(300))*time.Millisecond, func(time.Time) { b.pending = append(b.pending, b.send) })
		}
	}
	if b.pacer.Cold(now) > 0 && now.Before(b.coldUntil) && !now.Before(b.downUntil) {
		b.started += time.Millisecond
	}
	if !now.Before(b.askAt) && b.pacer.Send(now) == 0 {
		b.askAt = now.Add(250 * time.Millisecond)
		if b.pacer.Cold(now) > 0 {
			b.askAt = now.Add(time.Second)
		}
		if now.Before(b.downUntil) {
			b.pacer.Doubt(now)
		} else {
			if now.Before(b.coldUntil) {
				b.cold = append(b.cold, now)
			}
			left := max(0, b.coldUntil.Sub(now))
			b.after(5*time.Millisecond, func(at time.Time) { b.pacer.RecordAnswer(now, at, left) })
		}
	}
	if !now.Before(b.beatAt) && !now.Before(b.downUntil) {
		b.beatAt = now.Add(heartbeatInterval)
		left := max(0, b.coldUntil.Sub(now))
		b.after(time.Duration(b.random.IntN(4000))*time.Millisecond, func(at time.Time) { b.pacer.RecordHeartbeat(at, left, false) })
	}
	switch b.random.IntN(8000) {
	case 0:
		b.crash()
	case 1: // the process of the node is replaced
		b.pacer = New(now)
		b.pacer.Configure(testConfig, now)
		b.pending = nil
		b.askAt = now
	}
	later := b.pending
	b.pending = nil
	for _, event := range later {
		if !event(now) {
			b.pending = append(b.pending, event)
		}
	}
	b.now = now.Add(time.Millisecond)
}

// Guards against a cold upstream that receives more than its bound in some second, when it and its node restart at random,
// heartbeats are late and calls are sent later than they start; and against a pace far below what it sustains.
func TestColdUpstreamBound(t *testing.T) {
	for seed := range uint64(8) {
		b := &bench{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0)}
		b.pacer = New(b.now)
		b.pacer.Configure(testConfig, b.now)
		b.coldUntil = b.now.Add(testConfig.Duration)
		for range 100_000 {
			b.step()
		}
		first := 0
		for i, at := range b.cold {
			for at.Sub(b.cold[first]) >= time.Second {
				first++
			}
			must.LessEq(t, 27, i-first+1, must.Sprint("seed ", seed, " at ", at.Sub(time.Unix(1000, 0))))
		}
		must.Greater(t, 0.7*testConfig.Rate, float64(len(b.cold))/b.started.Seconds(), must.Sprint("seed ", seed))
	}
}

// Guards against calls that are paced after the upstream has said that it is warm, and in services without a rate.
func TestWarmUpstreamIsNotPaced(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now)
	must.True(t, p.MayStart(now))
	must.Eq(t, 0, p.Send(now))
	must.True(t, p.Configure(testConfig, now))
	must.False(t, p.MayStart(now))
	must.Eq(t, time.Second, p.Send(now))
	p.RecordAnswer(now, now, 2*time.Second)
	must.Eq(t, 2*time.Second, p.Cold(now))
	now = now.Add(2 * time.Second)
	must.Eq(t, 0, p.Cold(now))
	for range 1000 {
		must.True(t, p.MayStart(now))
		must.Eq(t, 0, p.Send(now))
	}
	must.True(t, p.Doubt(now))
	must.Positive(t, p.Send(now))
}

// Guards against a heartbeat of a process that has ended, which says that the upstream is warm, and against a doubt without
// end where only heartbeats tell.
func TestLateHeartbeatDoesNotEndDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now)
	p.Configure(testConfig, now)
	p.RecordHeartbeat(now, 0, true)
	must.Eq(t, 0, p.Cold(now))
	p.Doubt(now)
	p.RecordAnswer(now.Add(-time.Millisecond), now, 0)
	p.RecordHeartbeat(now.Add(2*time.Second), 0, false)
	must.Positive(t, p.Cold(now.Add(2*time.Second)))
	p.RecordHeartbeat(now.Add(3*time.Second), 0, false)
	must.Eq(t, 0, p.Cold(now.Add(3*time.Second)))
	must.Positive(t, p.Cold(now.Add(3*time.Second+testConfig.Silence+1)))
}
