package sidecar

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Durations adapt to operator limits that differ from the usual ones.
func TestDurationsFollowLimits(t *testing.T) {
	usual := &Settings{WithdrawalTime: 5 * time.Second, ConfigApplyTime: 2 * time.Second, ShutdownTimeout: 6 * time.Second}
	must.Eq(t, 4500*time.Millisecond, usual.maxKeyConfigurationAge())
	must.Eq(t, time.Second, usual.configurationRefreshAge())
	must.Eq(t, 9*time.Second, usual.leaseTTL())
	must.Eq(t, 2500*time.Millisecond, usual.acceptPeriod())

	short := &Settings{WithdrawalTime: time.Second, ConfigApplyTime: time.Second, ShutdownTimeout: 3 * time.Second}
	must.Eq(t, 750*time.Millisecond, short.maxKeyConfigurationAge())
	must.Eq(t, 375*time.Millisecond, short.configurationRefreshAge())
	must.Eq(t, 1500*time.Millisecond, short.acceptPeriod())

	long := &Settings{WithdrawalTime: 20 * time.Second, ConfigApplyTime: 10 * time.Second, ShutdownTimeout: 30 * time.Second}
	must.Eq(t, time.Second, long.configurationRefreshAge())
	must.Greater(t, long.WithdrawalTime, long.leaseTTL())

	unbound := DefaultSettings()
	must.Eq(t, 0, unbound.maxKeyConfigurationAge())
	must.Positive(t, unbound.configurationRefreshAge())
	must.Positive(t, unbound.HeartbeatInterval)
	must.Positive(t, unbound.acceptPeriod())
}

// The margins at the end of a shutdown take less than the last sixth of a short shutdown timeout.
func TestStopMarginsFollowShutdownTimeout(t *testing.T) {
	for _, timeout := range []time.Duration{600 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		s := Settings{ShutdownTimeout: timeout}
		margin := s.exitMargin() + s.responseMargin() + s.lateAbortDelay()
		must.Positive(t, margin)
		must.Less(t, timeout/6, margin, must.Sprint(timeout))
	}
}
