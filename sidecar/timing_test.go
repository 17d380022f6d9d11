package sidecar

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Times follow the operators' bounds on deployments with other bounds than the usual ones.
func TestTimesFollowBounds(t *testing.T) {
	usual := &Settings{WithdrawalTime: 5 * time.Second, ConfigApplyTime: 2 * time.Second, ShutdownTimeout: 6 * time.Second}
	must.Eq(t, 4500*time.Millisecond, usual.keyLifetime())
	must.Eq(t, time.Second, usual.configurationAge())
	must.Eq(t, 9*time.Second, usual.leaseTime())
	must.Eq(t, 2500*time.Millisecond, usual.readinessTime())

	short := &Settings{WithdrawalTime: time.Second, ConfigApplyTime: time.Second, ShutdownTimeout: 3 * time.Second}
	must.Eq(t, 750*time.Millisecond, short.keyLifetime())
	must.Eq(t, 375*time.Millisecond, short.configurationAge())
	must.Eq(t, 1500*time.Millisecond, short.readinessTime())

	long := &Settings{WithdrawalTime: 20 * time.Second, ConfigApplyTime: 10 * time.Second, ShutdownTimeout: 30 * time.Second}
	must.Eq(t, time.Second, long.configurationAge())
	must.Greater(t, long.WithdrawalTime, long.leaseTime())

	unbound := DefaultSettings()
	must.Eq(t, 0, unbound.keyLifetime())
	must.Positive(t, unbound.configurationAge())
	must.Positive(t, unbound.HeartbeatEvery)
	must.Positive(t, unbound.readinessTime())
}

// A short shutdown timeout leaves its last sixth for what cannot be finished, and no more.
func TestStopMarginsFollowShutdownTimeout(t *testing.T) {
	for _, timeout := range []time.Duration{600 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		s := Settings{ShutdownTimeout: timeout}
		margin := s.exitMargin() + s.answerMargin()
		must.Positive(t, margin)
		must.Less(t, timeout/6, margin, must.Sprint(timeout))
	}
}
