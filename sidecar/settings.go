package sidecar

import (
	"errors"
	"net/netip"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/settings"
)

// Settings describes the VM of a node and the limits set by its operators.
type Settings struct {
	// Node is the name of the node, unique in the fleet.
	Node          string
	FailureDomain string
	Region        string
	// Regions maps every failure domain to its region.
	Regions map[string]string
	// Service is the service of the upstream on this VM.
	Service string
	// UpstreamAddress is the address at which the upstream on this VM accepts calls.
	UpstreamAddress string
	// RequestAddress accepts requests from clients and from the upstream.
	RequestAddress string
	// PeerAddress accepts calls forwarded by other nodes.
	PeerAddress string
	// ControlAddress accepts control messages from other nodes and serves metrics.
	ControlAddress string
	// AdvertisedPeerAddress and AdvertisedControlAddress, if not empty, are advertised to other nodes
	// instead of the two addresses above, when connections go through an intermediary.
	AdvertisedPeerAddress, AdvertisedControlAddress string
	// HeartbeatAddress accepts the upstream's heartbeats.
	HeartbeatAddress string
	// ReadyAddress serves the readiness check for clients.
	ReadyAddress string
	StoreAddress string
	// StoreReads and StoreWrites are the store calls per second permitted to all nodes together.
	StoreReads, StoreWrites float64
	// LeaseMinimum is the shortest lease that the store grants.
	LeaseMinimum time.Duration
	// HeartbeatInterval is the usual time between two heartbeats of an upstream.
	HeartbeatInterval time.Duration
	// MemoryBytes is the memory limit above which the process is killed.
	MemoryBytes int64
	// LinkBytesPerSecond is the bandwidth of the VM's network link, or 0 if unknown.
	LinkBytesPerSecond float64
	// BalanceByWork means that upstreams are chosen by the work that a call is expected to cost and by the work left at each
	// of them (see package workload).
	BalanceByWork bool
	// Descriptors is the maximum number of open files.
	Descriptors int
	// ShutdownTimeout is the time between SIGTERM and SIGKILL.
	ShutdownTimeout time.Duration
	// DrainTime is how long a draining upstream may still receive calls after its departure was
	// acknowledged.
	DrainTime time.Duration
	// ConfigApplyTime is the time within which a new configuration must be in force.
	ConfigApplyTime time.Duration
	// WithdrawalTime is the time within which all nodes must refuse a withdrawn key, including nodes that
	// cannot learn of the withdrawal; 0 permits such nodes to continue admitting it.
	WithdrawalTime time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the repeated sends of all nodes to one service: in any
	// RetryWindow, RetryRatio per request plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaOver and QuotaSlack are the tolerated excess over a workspace's rate across all nodes in a
	// QuotaWindow: QuotaOver is a fraction of the rate, QuotaSlack a number of requests.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
	// ColdOver and ColdSlack bound the requests that a cold upstream receives in any second: ColdOver times the rate that
	// it sustains, plus ColdSlack requests.
	ColdOver  float64
	ColdSlack float64
	// EvacuateTime is the time within which nothing more is sent to the upstreams of an evacuated failure domain; 0 means
	// that operators evacuate none.
	EvacuateTime time.Duration
}

// Check validates the settings and returns all violations joined into one error.
func (s *Settings) Check() error {
	var errs []error
	fail := func(field string, value any, rule string) {
		errs = append(errs, &settings.FieldError{Field: field, Value: value, Rule: rule})
	}
	for _, f := range []struct{ field, value string }{
		{"node name", s.Node}, {"failure domain", s.FailureDomain}, {"service", s.Service},
	} {
		if f.value == "" {
			fail(f.field, `""`, "must not be empty")
		}
	}
	for _, f := range []struct{ field, value string }{
		{"upstream address", s.UpstreamAddress}, {"request address", s.RequestAddress}, {"peer address", s.PeerAddress},
		{"control address", s.ControlAddress}, {"heartbeat address", s.HeartbeatAddress}, {"ready address", s.ReadyAddress},
		{"store address", s.StoreAddress},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			fail(f.field, f.value, "must be IP:port")
		}
	}
	for _, f := range []struct{ field, value string }{
		{"advertised peer address", s.AdvertisedPeerAddress}, {"advertised control address", s.AdvertisedControlAddress},
	} {
		if _, err := netip.ParseAddrPort(f.value); f.value != "" && err != nil {
			fail(f.field, f.value, "must be IP:port or empty")
		}
	}
	for _, f := range []struct {
		field string
		value time.Duration
	}{
		{"shutdown timeout", s.ShutdownTimeout}, {"retry window", s.RetryWindow}, {"quota window", s.QuotaWindow},
		{"heartbeat interval", s.HeartbeatInterval}, {"configuration time", s.ConfigApplyTime},
	} {
		if f.value <= 0 {
			fail(f.field, f.value, "must be positive")
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"retry ratio", s.RetryRatio}, {"retry slack", s.RetrySlack}, {"quota tolerance", s.QuotaOver},
		{"quota slack", s.QuotaSlack}, {"cold tolerance", s.ColdOver}, {"cold slack", s.ColdSlack},
		{"evacuation time", s.EvacuateTime.Seconds()}, {"withdrawal time", s.WithdrawalTime.Seconds()}, {"drain time", s.DrainTime.Seconds()},
		{"lease minimum", s.LeaseMinimum.Seconds()}, {"memory", float64(s.MemoryBytes)}, {"link bandwidth", s.LinkBytesPerSecond},
	} {
		if !(f.value >= 0) { // not a number fails too
			fail(f.field, f.value, "must not be negative")
		}
	}
	return errors.Join(errs...)
}
