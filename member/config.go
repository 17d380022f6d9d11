package member

import (
	"errors"
	"fmt"
	"time"
)

// Config holds the settings of a Machine. With the defaults, a node sends about one probe per second and
// acknowledges about one.
type Config struct {
	// Name, FailureDomain, Region and PeerAddress are sent to other nodes.
	Name          string
	FailureDomain string
	Region        string
	PeerAddress   string
	// Incarnation distinguishes this process from earlier ones of the same name: the start time in ns,
	// with random low bits.
	Incarnation uint64

	// ProbeInterval is the time between probes of random members. Halving it doubles the traffic.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct acknowledgement before indirect probes are sent.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe an unresponsive member.
	IndirectProbes int
	// Suspicion is the time in which a suspect can refute before it is declared dead.
	Suspicion time.Duration
	// SyncInterval is the time between syncs of the member list with a random member.
	SyncInterval time.Duration
	// Retention is how long dead members are kept, so that a network partition this long heals by itself.
	Retention time.Duration
	// AnnounceTimeout is the time after its last announcement at which an upstream becomes unavailable:
	// 3 missed announcements, sent every second.
	AnnounceTimeout time.Duration
	// PauseLimit is the gap between inputs at which this process counts as paused. It spans many ticks.
	PauseLimit time.Duration
	// PacketBytes bounds the encoded size of a packet. 1,200 bytes avoid fragmentation on all common
	// paths.
	PacketBytes int
	// RetransmitFactor times the natural logarithm of the member count is the number of packets in which
	// each node forwards an update.
	RetransmitFactor int
}

// DefaultConfig returns the settings of docs/design.md, section 8, without those that identify the node.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		IndirectProbes:   3,
		Suspicion:        3 * time.Second,
		SyncInterval:     30 * time.Second,
		Retention:        24 * time.Hour,
		AnnounceTimeout:  3 * time.Second,
		PauseLimit:       2 * time.Second,
		PacketBytes:      1200,
		RetransmitFactor: 3,
	}
}

// ErrConfig is wrapped by every error of Config.Validate.
var ErrConfig = errors.New("member: invalid config")

const minPacketBytes = 400 // fixed fields, one withdrawal and the largest short record

// Validate returns an error that names the first invalid field, its value and the violated rule.
func (c *Config) Validate() error {
	for _, f := range []struct {
		valid bool
		name  string
		value any
		rule  string
	}{
		{validName(c.Name), "Name", c.Name, "must be 1 to 64 bytes"},
		{validName(c.PeerAddress), "PeerAddress", c.PeerAddress, "must be 1 to 64 bytes"},
		{len(c.FailureDomain) <= maxNameBytes, "FailureDomain", c.FailureDomain, "must be at most 64 bytes"},
		{len(c.Region) <= maxNameBytes, "Region", c.Region, "must be at most 64 bytes"},
		{c.Incarnation > 0, "Incarnation", c.Incarnation, "must not be 0"},
		{c.ProbeTimeout > 0, "ProbeTimeout", c.ProbeTimeout, "must be positive"},
		{c.ProbeInterval > c.ProbeTimeout, "ProbeInterval", c.ProbeInterval, "must be longer than ProbeTimeout"},
		{c.IndirectProbes >= 0, "IndirectProbes", c.IndirectProbes, "must not be negative"},
		{c.Suspicion > 0, "Suspicion", c.Suspicion, "must be positive"},
		{c.SyncInterval > 0, "SyncInterval", c.SyncInterval, "must be positive"},
		{c.Retention > 0, "Retention", c.Retention, "must be positive"},
		{c.AnnounceTimeout > 0, "AnnounceTimeout", c.AnnounceTimeout, "must be positive"},
		{c.PauseLimit > c.ProbeTimeout, "PauseLimit", c.PauseLimit, "must be longer than ProbeTimeout"},
		{c.PacketBytes >= minPacketBytes, "PacketBytes", c.PacketBytes, "must be at least 400"},
		{c.RetransmitFactor > 0, "RetransmitFactor", c.RetransmitFactor, "must be positive"},
	} {
		if !f.valid {
			return fmt.Errorf("%w: %s %q %s", ErrConfig, f.name, fmt.Sprint(f.value), f.rule)
		}
	}
	return nil
}
