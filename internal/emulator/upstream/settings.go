// Package upstream emulates one upstream of a service: worker slots with a queue, a connection limit,
// random service times, cold start, drain, and failures on request. It announces itself to its node
// and records every request, so that an experiment can check which requests ran, how often and for which
// workspace.
package upstream

import (
	"fmt"
	"net"
	"time"
)

// Downstream is a call that requests make through the local listener of the node.
type Downstream struct {
	// Prefix is the path prefix of the requests that make the call.
	Prefix string `toml:"prefix"`
	// Path is called with GET.
	Path string `toml:"path"`
}

// Settings configure an upstream. The names of durations end with their unit.
type Settings struct {
	Service string `toml:"service"`
	// Address serves requests, as ip:port.
	Address string `toml:"address"`
	// AdminAddress serves the admin endpoints, see Server.Admin.
	AdminAddress string `toml:"admin_address"`
	// LocalAddress is the local listener of the node; empty means no node.
	LocalAddress string `toml:"local_address"`
	// Slots is the number of requests that run concurrently.
	Slots int `toml:"slots"`
	// Connections is the maximum number of open connections; more are closed immediately.
	Connections int `toml:"connections"`
	// Queue is the number of requests that can wait for a slot; more are shed.
	Queue int `toml:"queue"`
	// ServiceMedianMS and ServiceSigma describe the log-normal service time at speed 1.
	ServiceMedianMS float64 `toml:"service_median_ms"`
	ServiceSigma    float64 `toml:"service_sigma"`
	// Speed divides the service time.
	Speed float64 `toml:"speed"`
	// WarmUpMS is the duration of the cold start, in which the service time falls linearly from ColdFactor
	// times the normal one to the normal one.
	WarmUpMS   int64   `toml:"warm_up_ms"`
	ColdFactor float64 `toml:"cold_factor"`
	// ConnectMS is the delay before the first request of a new connection is read.
	ConnectMS float64 `toml:"connect_ms"`
	// ProbeMS is the delay of each call of the health or load endpoint.
	ProbeMS float64 `toml:"probe_ms"`
	// ResponseBytes is the minimum size of a response body.
	ResponseBytes int          `toml:"answer_bytes"`
	Downstream    []Downstream `toml:"downstream"`
	// RecordFile receives each record whenever it changes, so that records survive a crash.
	RecordFile string `toml:"record_file"`
	Seed       uint64 `toml:"seed"`
}

// DefaultSettings returns the settings of a small upstream, without service and addresses.
func DefaultSettings() Settings {
	return Settings{
		Slots:           16,
		Connections:     256,
		Queue:           1024,
		ServiceMedianMS: 10,
		ServiceSigma:    0.3,
		Speed:           1,
		ColdFactor:      5,
	}
}

// Check returns an error that names the first invalid setting, its value and the rule.
func (s Settings) Check() error {
	addresses := []struct{ name, value string }{
		{"address", s.Address}, {"admin_address", s.AdminAddress}, {"local_address", s.LocalAddress},
	}
	for _, a := range addresses {
		if a.value == "" && a.name == "local_address" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("%s %q: must be ip:port: %w", a.name, a.value, err)
		}
	}
	rules := []struct {
		name  string
		value any
		rule  string
		ok    bool
	}{
		{"service", s.Service, "must not be empty", s.Service != ""},
		{"slots", s.Slots, "must be positive", s.Slots > 0},
		{"connections", s.Connections, "must be positive", s.Connections > 0},
		{"queue", s.Queue, "must not be negative", s.Queue >= 0},
		{"service_median_ms", s.ServiceMedianMS, "must not be negative", s.ServiceMedianMS >= 0},
		{"service_sigma", s.ServiceSigma, "must not be negative", s.ServiceSigma >= 0},
		{"speed", s.Speed, "must be positive", s.Speed > 0},
		{"warm_up_ms", s.WarmUpMS, "must not be negative", s.WarmUpMS >= 0},
		{"cold_factor", s.ColdFactor, "must be at least 1", s.ColdFactor >= 1},
		{"connect_ms", s.ConnectMS, "must not be negative", s.ConnectMS >= 0},
		{"probe_ms", s.ProbeMS, "must not be negative", s.ProbeMS >= 0},
		{"answer_bytes", s.ResponseBytes, "must be in 0..67108864", s.ResponseBytes >= 0 && s.ResponseBytes <= maxResponseBytes},
	}
	for _, r := range rules {
		if !r.ok {
			return fmt.Errorf("%s %v: %s", r.name, r.value, r.rule)
		}
	}
	return nil
}

func (s Settings) warmUp() time.Duration {
	return time.Duration(s.WarmUpMS) * time.Millisecond
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
