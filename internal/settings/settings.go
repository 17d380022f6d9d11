// Package settings loads and validates the settings file of a node.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const (
	minSecretLength    = 16 // bytes; a shorter secret can be brute-forced offline from a single signature
	maxBodyBytes       = 1 << 30
	maxShutdownTimeout = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Policy selects the load-balancing, queueing, retry and rate-limiting behavior of a node.
type Policy string

const (
	// PolicyCurrent is the production behavior.
	PolicyCurrent Policy = "current"
	// PolicyPrevious is the production behavior without its most recent change, for comparisons.
	PolicyPrevious Policy = "previous"
	// PolicyNone is the baseline for measurements: round robin, three attempts per hop, FIFO queues, no limits.
	PolicyNone Policy = "none"
)

// Node is the content of a cowslipd settings file.
type Node struct {
	// Name identifies the node. A replacement on another VM may reuse it with a new incarnation.
	Name          string `toml:"name"`
	FailureDomain string `toml:"failure_domain"`
	Region        string `toml:"region"`
	// FailureDomains lists all failure domains of the fleet. The list must be the same on every node, because
	// the quota of each workspace is divided among them.
	FailureDomains []string `toml:"failure_domains"`
	// CallerAddress is the IP:port that serves HTTP requests of callers.
	CallerAddress string `toml:"caller_address"`
	// LocalAddress serves calls from the upstream on this VM. It must be a loopback address.
	LocalAddress string `toml:"local_address"`
	// PeerAddress serves calls from other nodes and operators, over TCP and UDP.
	PeerAddress string `toml:"peer_address"`
	// AdvertiseAddress is the address at which other nodes reach this one. It defaults to PeerAddress.
	AdvertiseAddress string `toml:"advertise_address"`
	// Seeds are peer addresses to contact in addition to those registered on the platform.
	Seeds []string `toml:"seeds"`
	// PlatformEndpoints are base URLs of the platform, tried in order.
	PlatformEndpoints []string `toml:"platform_endpoints"`
	// Secrets authenticate nodes to each other. The first one signs, and all of them verify.
	Secrets []string `toml:"secrets"`
	// OperatorToken authenticates operators' calls.
	OperatorToken string `toml:"operator_token"`
	LogLevel      string `toml:"log_level"`
	Policy        Policy `toml:"policy"`
	// MaxBodyBytes limits the size of request bodies. Larger ones are refused.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// ShutdownTimeoutMS is how long a planned stop waits for running requests, in milliseconds.
	ShutdownTimeoutMS int64 `toml:"shutdown_timeout_ms"`
}

// DefaultNode returns the default settings. Fields that are missing from the file keep these values.
func DefaultNode() Node {
	return Node{
		LogLevel:          "info",
		Policy:            PolicyCurrent,
		MaxBodyBytes:      32 << 20,
		ShutdownTimeoutMS: 60_000,
	}
}

// ShutdownTimeout returns ShutdownTimeoutMS as a duration.
func (n *Node) ShutdownTimeout() time.Duration {
	return time.Duration(n.ShutdownTimeoutMS) * time.Millisecond
}

// Advertised returns the address at which other nodes reach this one.
func (n *Node) Advertised() string {
	if n.AdvertiseAddress != "" {
		return n.AdvertiseAddress
	}
	return n.PeerAddress
}

// PeerIP returns the IP address of PeerAddress. It is the source address of connections to peers and to the
// platform, so that firewall rules between hosts can refer to it.
func (n *Node) PeerIP() netip.Addr {
	address, _ := netip.ParseAddrPort(n.PeerAddress) // validated by Check
	return address.Addr()
}

// FieldError reports a field whose value violates a rule.
type FieldError struct {
	Field string
	Value any
	Rule  string
}

// Error includes Value, which must therefore not contain a secret.
func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s = %v: %s", e.Field, e.Value, e.Rule)
}

// LoadNode reads and validates a settings file. Unknown fields are errors, because a misspelled field would
// silently keep its default value.
func LoadNode(path string) (*Node, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer file.Close()
	node := DefaultNode()
	decoder := toml.NewDecoder(file).DisallowUnknownFields()
	if err := decoder.Decode(&node); err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, withDetails(err))
	}
	if err := node.Check(); err != nil {
		return nil, err
	}
	return &node, nil
}

// withDetails adds the position and the field names, which Error of the TOML library's errors omits.
func withDetails(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("unknown field:\n%s", strict.String())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return fmt.Errorf("malformed:\n%s", decode.String())
	}
	return err
}

// Check validates the settings and returns all violations as one joined error.
func (n *Node) Check() error {
	var errs []error
	fail := func(field string, value any, rule string) {
		errs = append(errs, &FieldError{Field: field, Value: value, Rule: rule})
	}
	for _, f := range []struct{ field, value string }{
		{"name", n.Name}, {"failure_domain", n.FailureDomain}, {"region", n.Region},
	} {
		if !namePattern.MatchString(f.value) {
			fail(f.field, f.value, "must match "+namePattern.String())
		}
	}
	for _, f := range []struct{ field, value string }{
		{"caller_address", n.CallerAddress}, {"local_address", n.LocalAddress}, {"peer_address", n.PeerAddress},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			fail(f.field, f.value, "must be IP:port")
		}
	}
	if n.AdvertiseAddress != "" {
		if _, err := netip.ParseAddrPort(n.AdvertiseAddress); err != nil {
			fail("advertise_address", n.AdvertiseAddress, "must be IP:port")
		}
	}
	if local, err := netip.ParseAddrPort(n.LocalAddress); err == nil && !local.Addr().IsLoopback() {
		fail("local_address", n.LocalAddress, "must be a loopback address")
	}
	for _, seed := range n.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			fail("seeds", seed, "must be IP:port")
		}
	}
	if len(n.PlatformEndpoints) == 0 {
		fail("platform_endpoints", "[]", "must name at least one URL")
	}
	for _, endpoint := range n.PlatformEndpoints {
		u, err := url.Parse(endpoint)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			fail("platform_endpoints", endpoint, "must be a URL such as http://10.0.0.1:2379")
		}
	}
	n.checkFailureDomains(fail)
	n.checkSecrets(fail)
	n.checkLimits(fail)
	return errors.Join(errs...)
}

func (n *Node) checkFailureDomains(fail func(string, any, string)) {
	if !slices.Contains(n.FailureDomains, n.FailureDomain) {
		fail("failure_domains", n.FailureDomains, "must contain failure_domain")
	}
	seen := map[string]bool{}
	for _, domain := range n.FailureDomains {
		if !namePattern.MatchString(domain) || seen[domain] {
			fail("failure_domains", domain, "must be given once and match "+namePattern.String())
		}
		seen[domain] = true
	}
}

func (n *Node) checkSecrets(fail func(string, any, string)) {
	if len(n.Secrets) == 0 {
		fail("secrets", "[]", "must hold at least one secret")
	}
	rule := fmt.Sprintf("must be at least %d bytes long", minSecretLength)
	for i, secret := range n.Secrets {
		if len(secret) < minSecretLength {
			fail(fmt.Sprintf("secrets[%d]", i), "(hidden)", rule)
		}
	}
	if len(n.OperatorToken) < minSecretLength {
		fail("operator_token", "(hidden)", rule)
	}
}

func (n *Node) checkLimits(fail func(string, any, string)) {
	switch n.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		fail("log_level", n.LogLevel, "must be debug, info, warn or error")
	}
	if n.Policy != PolicyCurrent && n.Policy != PolicyPrevious && n.Policy != PolicyNone {
		fail("policy", n.Policy, "must be current, previous or none")
	}
	if n.MaxBodyBytes < 1 || n.MaxBodyBytes > maxBodyBytes {
		fail("max_body_bytes", n.MaxBodyBytes, fmt.Sprintf("must be from 1 to %d", maxBodyBytes))
	}
	if n.ShutdownTimeoutMS < 0 || n.ShutdownTimeout() > maxShutdownTimeout {
		fail("shutdown_timeout_ms", n.ShutdownTimeoutMS, fmt.Sprintf("must be from 0 to %d", maxShutdownTimeout.Milliseconds()))
	}
}
