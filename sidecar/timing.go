package sidecar

import "time"

// Times that hold where the operators set no bound.
const (
	defaultHeartbeatEvery  = 1500 * time.Millisecond // usual interval of upstreams
	defaultShutdownTimeout = 5 * time.Second         // leaves room for requests of some seconds
	defaultConfigApplyTime = 2 * time.Second         // usual time in which a change must be in force
	defaultRetryWindow     = 10 * time.Second        // usual window of the limit for repeated sends
	defaultQuotaWindow     = 5 * time.Second         // usual window of the tolerance of rates
)

const (
	// configurationReads is how often the configuration is read at least within each of the operators' times
	// that depend on its age, so that one lost read does no harm.
	configurationReads = 2
	// withdrawalMarginShare bounds the margin where the time for withdrawn keys is short.
	withdrawalMarginShare = 4
	// leaseAfterWithdrawal is how much longer than the time for withdrawn keys a lease lasts.
	leaseAfterWithdrawal = 4 * time.Second
	// readinessShare is the part of the shutdown timeout that is left for running requests at least.
	readinessShare = 2
	// exitShare and answerShare bound the margins at the end of a short shutdown timeout: together they stay below
	// its last sixth, in which a running request may be cut.
	exitShare   = 12
	answerShare = 48
)

// DefaultSettings returns settings with usual values for the times that operators need not set.
func DefaultSettings() *Settings {
	return &Settings{
		HeartbeatEvery: defaultHeartbeatEvery, ShutdownTimeout: defaultShutdownTimeout, ConfigApplyTime: defaultConfigApplyTime,
		RetryWindow: defaultRetryWindow, QuotaWindow: defaultQuotaWindow,
	}
}

// keyLifetime is the age of the configuration up to which keyed requests are admitted, 0 for any.
func (s *Settings) keyLifetime() time.Duration {
	if s.WithdrawalTime <= 0 {
		return 0
	}
	return s.WithdrawalTime - min(withdrawalMargin, s.WithdrawalTime/withdrawalMarginShare)
}

// configurationAge is the age at which the configuration is read again.
func (s *Settings) configurationAge() time.Duration {
	age := min(configurationEvery, s.ConfigApplyTime/configurationReads)
	if lifetime := s.keyLifetime(); lifetime > 0 {
		age = min(age, lifetime/configurationReads)
	}
	return age
}

// leaseTime is the lease of the own entry.
func (s *Settings) leaseTime() time.Duration {
	return max(leaseTime, s.LeaseMinimum, s.WithdrawalTime+leaseAfterWithdrawal)
}

// readinessTime is how long a stopping node takes new requests.
func (s *Settings) readinessTime() time.Duration {
	return min(readinessTime, s.ShutdownTimeout/readinessShare)
}

// exitMargin is how long before the end of the shutdown timeout connections are closed.
func (s *Settings) exitMargin() time.Duration {
	return min(exitMargin, s.ShutdownTimeout/exitShare)
}

// leaveTimeout bounds the call that removes the own entry; the rest of the margin is for the end of the process.
func (s *Settings) leaveTimeout() time.Duration { return s.exitMargin() / 2 }

// answerMargin is how long before that running requests are ended.
func (s *Settings) answerMargin() time.Duration {
	return min(answerMargin, s.ShutdownTimeout/answerShare)
}
