package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cowslipglade/cowslipglade/internal/bench"
)

type measureCommand struct {
	deploymentFlags
	Scenario string `long:"scenario" default:"overload" description:"overload, surge, slow-deep-service, greedy-workspace, retry-storm, cold-start, cut or latency"`
	Verbose  bool   `long:"verbose" description:"print the result of the load too"`
}

// Execute runs the scenario and prints its metrics as one JSON line.
func (c *measureCommand) Execute([]string) error {
	scenario, ok := bench.Scenarios()[c.Scenario]
	if !ok {
		return fmt.Errorf("scenario %q is unknown", c.Scenario)
	}
	options, cleanup, err := c.options()
	if err != nil {
		return err
	}
	defer cleanup()
	if options.Cowslipd == "" {
		return fmt.Errorf("scenario %q needs nodes and cannot be combined with --direct", c.Scenario)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	metrics, result, err := bench.Measure(ctx, c.deployment(), scenario, options)
	if err != nil {
		return err
	}
	if c.Verbose {
		if err := json.NewEncoder(os.Stderr).Encode(result); err != nil {
			return err
		}
	}
	return json.NewEncoder(os.Stdout).Encode(metrics)
}
