package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/soak"
)

type soakCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    int           `long:"seeds" default:"1" description:"number of seeds, one after the other"`
	Duration time.Duration `long:"for" description:"go on with further seeds for this long"`
	Length   time.Duration `long:"length" default:"12s" description:"time in which faults begin, for each seed"`
	Nodes    int           `long:"nodes" default:"6" description:"number of nodes and upstreams"`
	Rate     float64       `long:"rate" default:"120" description:"requests per second of all clients"`
	Binary   string        `long:"binary" default:"bin/cowslip-sidecar" description:"path of cowslip-sidecar"`
	Dir      string        `long:"dir" default:"results/soak" description:"directory for settings and logs, one for each seed"`
	Power    bool          `long:"power-loss" description:"all nodes lose power and most come back, in place of other faults"`
	Verbose  bool          `long:"verbose" description:"print each fault"`
}

var errViolations = errors.New("guarantees were violated")

// Execute runs the soak test and prints one JSON line for each seed.
func (c *soakCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	end := time.Now().Add(c.Duration)
	violations := 0
	for n := 0; n < c.Seeds || time.Now().Before(end); n++ {
		config := soak.DefaultConfig()
		config.Seed, config.Length, config.Nodes, config.RequestsPerSecond = c.Seed+uint64(n), c.Length, c.Nodes, c.Rate
		config.Binary, config.Dir, config.PowerLoss = c.Binary, filepath.Join(c.Dir, fmt.Sprint(config.Seed)), c.Power
		if c.Verbose {
			config.Log = os.Stderr
		}
		report, err := soak.Run(ctx, config)
		if err != nil {
			return fmt.Errorf("seed %d: %w", config.Seed, err)
		}
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
		violations += len(report.Violations)
	}
	if violations > 0 {
		return fmt.Errorf("%w: %d", errViolations, violations)
	}
	return nil
}
