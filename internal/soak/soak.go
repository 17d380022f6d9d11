// Package soak runs real cowslip-sidecar processes on loopback, injects faults from outside of them by a
// seeded schedule, and checks what callers and upstreams see.
//
// The platform's store, the upstreams, the operator and the clients are stand-ins in this process. Nodes
// reach each other and the store through proxies that delay, reset, silence and cut connections, also in one
// direction; processes are stopped, paused, killed and restarted by signals; the store loses answers, runs
// late, is away and lets leases lapse. Faults come in series and overlap.
//
// A run is repeated with its seed. Its schedule is the same each time, the timing of the processes is not.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// Binary is the path of cowslip-sidecar.
	Binary string
	// Dir takes settings and logs of the nodes.
	Dir string
	// Nodes is the number of nodes, each with an upstream, in Domains failure domains.
	Nodes, Domains int
	// Length is how long clients send requests.
	Length time.Duration
	// RequestsPerSecond is the load of all clients.
	RequestsPerSecond float64
	// Sabotage makes one of the stand-ins break a promise, to show that the checks find it; empty for none.
	Sabotage Sabotage
	// Faultless runs inject no faults.
	Faultless bool
	// Log takes a line for each fault; nil for none.
	Log io.Writer
}

// DefaultConfig returns a run of a few seconds on a small fleet.
func DefaultConfig() Config {
	return Config{
		Nodes: 6, Domains: 3, // two upstreams for each failure domain
		Length:            12 * time.Second, // room for about ten faults
		RequestsPerSecond: 120,              // a small part of what one processor core carries
	}
}

const (
	// startTimeout is for the first node to be ready, on a machine that is busy with other tests.
	startTimeout = 60 * time.Second
	// settleTime is left after the last fault before clients stop, so that running requests end.
	settleTime = 3 * time.Second
	// serviceCount is the number of services that the upstreams are divided over.
	serviceCount = 2
)

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Faults is the number of injected faults, Requests that of finished requests by status; 0 is a broken
	// connection.
	Faults   int
	Requests map[int]int
	// Violations are the broken promises.
	Violations []Violation
}

// Run plays one seed. An error means that the run could not be played, not that a promise was broken.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	w, err := newWorld(config)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	w.clients.start(ctx)
	if config.Sabotage == SabotageWithdrawal || config.Sabotage == SabotageRollback {
		w.configure(func(o *operator) { o.moved++ })
	}
	if config.Sabotage == SabotageRollback {
		w.tasks.Go(func() { sleep(ctx, config.Length/2); w.rollBack() })
	}
	if config.Sabotage == SabotageStop {
		w.tasks.Go(func() { w.stopEach(ctx) })
	}
	faults := 0
	if config.Faultless {
		sleep(ctx, config.Length)
	} else {
		faults = w.injectFaults(ctx)
	}
	sleep(ctx, settleTime)
	for w.ledger.stopping() && ctx.Err() == nil {
		sleep(ctx, restartDelay)
	}
	w.clients.stop()
	report := &Report{Seed: config.Seed, Faults: faults, Requests: w.ledger.statuses()}
	report.Violations = w.ledger.check(w.promises)
	return report, ctx.Err()
}

// Streams of the random source, so that schedule and load do not depend on each other.
const (
	faultStream = iota
	loadStream
	storeStream
	stopStream
	endlessStream
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
