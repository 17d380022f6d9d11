package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/settings"
)

// Limits of what another writer may have put into a registration or a heartbeat.
const (
	// maxSlots is far above the concurrency of any upstream.
	maxSlots = 1 << 20
	// maxWarmUp is far above the warm-up of any upstream. Longer ones overflow.
	maxWarmUp = time.Hour
	// maxOrdinal bounds incarnations and sequence numbers, so that there is always a higher one. As an
	// incarnation it is in the year 2116.
	maxOrdinal = 1 << 62
	// maxNameBytes is the size limit of a store key.
	maxNameBytes = 200
	// maxReportedBytes bounds the part of a rejected value that an error states.
	maxReportedBytes = 64
)

// ErrRegistration means that a registration is malformed or violates a rule, and names no node to use.
var ErrRegistration = errors.New("sidecar: invalid registration")

// decodeRegistration decodes and checks a registration of the node with the given name.
func decodeRegistration(data []byte, node string) (Registration, error) {
	var r Registration
	if err := json.Unmarshal(data, &r); err != nil {
		return Registration{}, fmt.Errorf("%w: %w", ErrRegistration, err)
	}
	if err := r.check(node); err != nil {
		return Registration{}, fmt.Errorf("%w: %w", ErrRegistration, err)
	}
	return r, nil
}

// check returns a *settings.FieldError for the first rule that the registration of a node violates.
func (r *Registration) check(node string) error {
	validAddress := func(address string) bool {
		parsed, err := netip.ParseAddrPort(address)
		return err == nil && parsed.Port() != 0
	}
	validName := func(name string) bool { return name != "" && len(name) <= maxNameBytes }
	const nameRule, addressRule, ordinalRule = "must have 1 to 200 bytes", "must be IP:port", "must be from 1 to 2^62"
	minSlots := 0
	if r.Serving {
		minSlots = 1
	}
	return firstViolation([]fieldRule{
		{validName(r.Node), "node", r.Node, nameRule},
		{r.Node == node, "node", r.Node, "must be the name in the key or of the sender"},
		{r.Incarnation >= 1 && r.Incarnation <= maxOrdinal, "incarnation", r.Incarnation, ordinalRule},
		{r.Sequence >= 1 && r.Sequence <= maxOrdinal, "sequence", r.Sequence, ordinalRule},
		{validName(r.FailureDomain), "failure_domain", r.FailureDomain, nameRule},
		{validName(r.Service), "service", r.Service, nameRule},
		{validAddress(r.PeerAddress), "peer_address", r.PeerAddress, addressRule},
		{validAddress(r.ControlAddress), "control_address", r.ControlAddress, addressRule},
		{r.Slots >= minSlots && r.Slots <= maxSlots, "slots", r.Slots, fmt.Sprintf("must be from %d to %d", minSlots, maxSlots)},
		{validStartTime(r.StartTimeMS), "start_time_ms", r.StartTimeMS, "must be a Unix time in milliseconds"},
		{r.WarmUpMS >= 0 && r.WarmUpMS <= maxWarmUp.Milliseconds(), "warm_up_ms", r.WarmUpMS, fmt.Sprintf("must be from 0 to %d", maxWarmUp.Milliseconds())},
	})
}

// fieldRule is a rule for a field and whether its value satisfies it.
type fieldRule struct {
	satisfied bool
	field     string
	value     any
	rule      string
}

// firstViolation returns a *settings.FieldError for the first rule that is not satisfied.
func firstViolation(rules []fieldRule) error {
	for _, r := range rules {
		if !r.satisfied {
			return &settings.FieldError{Field: r.field, Value: abbreviate(r.value), Rule: r.rule}
		}
	}
	return nil
}

func abbreviate(value any) any {
	if s, ok := value.(string); ok && len(s) > maxReportedBytes {
		return s[:maxReportedBytes] + "..."
	}
	return value
}

// rejectRegistration logs an event for a registration that is not used, and counts it. source is its key, or the
// node that sent it.
func (r *registry) rejectRegistration(event, source string, err error) {
	rule := "malformed"
	if field := (*settings.FieldError)(nil); errors.As(err, &field) {
		rule = field.Field
	}
	r.node.metrics.registrationsRejected.Add(rule, 1)
	r.node.log.event(event).Str("from", source).Str("rule", rule).Str("reason", err.Error()).Msg("invalid registration ignored")
}

var errRegistryKey = fmt.Errorf("%w: key names no node", ErrRegistration)

// nodeOfKey returns the node that an entry of the registry belongs to, and false if the key names none.
func nodeOfKey(key string) (string, bool) {
	name, ok := strings.CutPrefix(key, registryPrefix)
	return name, ok && name != ""
}
