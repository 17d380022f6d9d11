package sidecar

import "time"

// Defaults for durations that operators need not set.
const (
	defaultHeartbeatInterval = 1500 * time.Millisecond // usual interval of upstreams
	defaultShutdownTimeout   = 5 * time.Second         // allows requests of several seconds to finish
	defaultConfigApplyTime   = 2 * time.Second         // usual time within which a change must be in force
	defaultRetryWindow       = 10 * time.Second        // usual window of the limit for repeated sends
	defaultQuotaWindow       = 5 * time.Second         // usual window of the quota tolerance
)

const (
	// readsPerPeriod is the minimum number of configuration reads within each operator limit that depends on
	// its age, so that one lost read does no harm.
	readsPerPeriod = 2
	// withdrawalMarginDivisor bounds the margin to a fraction of a short withdrawal time.
	withdrawalMarginDivisor = 4
	// leaseWithdrawalMargin is how much longer than the withdrawal time a lease lasts.
	leaseWithdrawalMargin = 4 * time.Second
	// acceptPeriodDivisor bounds the accept period to a fraction of the shutdown timeout; the rest is left
	// for running requests.
	acceptPeriodDivisor = 2
	// These divisors bound the margins at the end of a short shutdown timeout. Together the margins stay below its
	// last sixth, in which running requests may be aborted.
	exitMarginDivisor     = 12
	responseMarginDivisor = 48
	lateAbortDelayDivisor = 48
)

// DefaultSettings returns settings with defaults for the durations that operators need not set.
func DefaultSettings() *Settings {
	return &Settings{
		HeartbeatInterval: defaultHeartbeatInterval, ShutdownTimeout: defaultShutdownTimeout, ConfigApplyTime: defaultConfigApplyTime,
		RetryWindow: defaultRetryWindow, QuotaWindow: defaultQuotaWindow,
	}
}

// maxKeyConfigurationAge returns the maximum age of the configuration at which keyed requests are admitted,
// or 0 for no limit.
func (s *Settings) maxKeyConfigurationAge() time.Duration {
	if s.WithdrawalTime <= 0 {
		return 0
	}
	return s.WithdrawalTime - min(maxWithdrawalMargin, s.WithdrawalTime/withdrawalMarginDivisor)
}

// configurationRefreshAge returns the age at which the configuration is read again.
func (s *Settings) configurationRefreshAge() time.Duration {
	age := min(maxConfigurationRefreshAge, s.ConfigApplyTime/readsPerPeriod)
	if maxAge := s.maxKeyConfigurationAge(); maxAge > 0 {
		age = min(age, maxAge/readsPerPeriod)
	}
	return age
}

// leaseTTL returns the lease duration of this node's entry.
func (s *Settings) leaseTTL() time.Duration {
	return max(minLeaseTTL, s.LeaseMinimum, s.WithdrawalTime+leaseWithdrawalMargin)
}

// acceptPeriod returns how long a stopping node keeps accepting all requests.
func (s *Settings) acceptPeriod() time.Duration {
	return min(maxAcceptPeriod, s.ShutdownTimeout/acceptPeriodDivisor)
}

// exitMargin returns how long before the end of the shutdown timeout connections are closed.
func (s *Settings) exitMargin() time.Duration {
	return min(maxExitMargin, s.ShutdownTimeout/exitMarginDivisor)
}

// deregisterTimeout bounds the call that removes this node's entry. The rest of the exit margin is left for
// the exit of the process.
func (s *Settings) deregisterTimeout() time.Duration { return s.exitMargin() / 2 }

// lateAbortDelay returns the time between the abort of running requests and that of late ones.
func (s *Settings) lateAbortDelay() time.Duration {
	return min(maxLateAbortDelay, s.ShutdownTimeout/lateAbortDelayDivisor)
}

// responseMargin returns the time between the last abort of requests and the closing of connections.
func (s *Settings) responseMargin() time.Duration {
	return min(maxResponseMargin, s.ShutdownTimeout/responseMarginDivisor)
}
