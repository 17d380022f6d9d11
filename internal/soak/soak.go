// Package soak runs cowslip-sidecar processes on loopback, injects external faults on a seeded schedule, and
// checks what callers and upstreams observe.
//
// The platform's store, the upstreams, the operator and the clients are simulated in this process. Nodes connect
// to each other and to the store through proxies that delay, reset and block connections, also in one direction.
// Signals stop, pause, kill and restart processes. The store loses responses, applies writes late, is slow or
// unavailable, and expires leases. Faults affect several nodes and overlap.
//
// A seed determines the fault schedule of a run, but not the timing of its processes.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// Binary is the path of cowslip-sidecar.
	Binary string
	// Dir is the directory for settings and logs of the nodes.
	Dir string
	// Nodes is the number of nodes, each with an upstream, in Domains failure domains.
	Nodes, Domains int
	// Length is the time in which faults start. Clients send requests until the last fault has ended.
	Length time.Duration
	// RequestsPerSecond is the total load of all clients.
	RequestsPerSecond float64
	// Defect is a deliberate violation, which tests the checks; empty for none.
	Defect Defect
	// Faultless disables fault injection.
	Faultless bool
	// PowerLoss replaces the fault schedule by a loss of power at all nodes, of which some do not come back.
	PowerLoss bool
	// Log receives a line for each fault, and errors; nil for no log.
	Log io.Writer
}

// DefaultConfig returns the configuration of a run of a few seconds with a small number of nodes.
func DefaultConfig() Config {
	return Config{
		Nodes: 6, Domains: 3, // two upstreams in each failure domain
		Length:            12 * time.Second, // room for about ten faults
		RequestsPerSecond: 120,              // a small fraction of what one processor core sustains
	}
}

const (
	// startTimeout is the time for all nodes to become ready, on a machine that is busy with other tests.
	startTimeout = 60 * time.Second
	// settleTime is the time between the last fault and the stop of the clients, so that running requests end.
	settleTime = 3 * time.Second
	// serviceCount is the number of services, over which the upstreams are distributed.
	serviceCount = 2
)

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Faults is the number of injected faults, Requests the number of finished requests by status. Status 0 means
	// that there was no complete response.
	Faults     int
	Requests   map[int]int
	Violations []Violation
	// Recovery is the time from the start of the last node after a loss of power until requests were served again.
	Recovery time.Duration
}

// Run runs the schedule of one seed. An error means that the run failed, not that a guarantee was violated.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	d, err := newDeployment(config)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	d.clients.start(ctx)
	if config.Defect == DefectWithdrawal || config.Defect == DefectRollback {
		d.configure(func(o *operator) { o.movingService++ })
	}
	if config.Defect == DefectRollback {
		d.background.Go(func() { sleep(ctx, config.Length/2); d.rollBack() })
	}
	if config.Defect == DefectStop {
		d.background.Go(func() { d.stopNodes(ctx) })
	}
	faults, recovery := 0, time.Duration(0)
	switch {
	case config.PowerLoss:
		sleep(ctx, loadTime)
		back, at := d.losePower(ctx, rand.New(rand.NewPCG(config.Seed, powerStream)))
		faults, recovery = 1, d.awaitService(ctx, back, at)
	case config.Faultless:
		sleep(ctx, config.Length)
	default:
		faults = d.injectFaults(ctx)
	}
	sleep(ctx, settleTime)
	for d.history.stopping() && ctx.Err() == nil {
		sleep(ctx, restartDelay)
	}
	d.clients.stop()
	report := &Report{Seed: config.Seed, Faults: faults, Requests: d.history.statusCounts(), Recovery: recovery}
	report.Violations = d.history.check(d.bounds)
	return report, ctx.Err()
}

// Random streams of a seed, so that schedules, load and store are independent of each other.
const (
	faultStream = iota
	loadStream
	storeStream
	stopStream
	endlessStream
	malformedStream
	powerStream
)

func (c *Config) logPath(node string) string { return filepath.Join(c.Dir, node+".log") }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
