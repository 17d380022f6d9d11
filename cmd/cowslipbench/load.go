package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"github.com/cowslipglade/cowslipglade/internal/bench"
)

type loadCommand struct {
	Plan       string  `long:"plan" required:"true" description:"TOML file with targets, workspaces, routes and phases"`
	Seed       uint64  `long:"seed" description:"replaces the seed of the plan"`
	RateFactor float64 `long:"rate-factor" default:"1" description:"multiplies the rate of every phase"`
	Windows    bool    `long:"windows" description:"print the time series too"`
}

// Execute runs the plan and prints the result.
func (c *loadCommand) Execute([]string) error {
	plan, err := bench.ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		plan.Seed = c.Seed
	}
	for i := range plan.Phases {
		plan.Phases[i].Rate *= c.RateFactor
	}
	generator, err := bench.NewLoadGenerator(plan)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	result := generator.Run(ctx)
	if !c.Windows {
		result.Windows = nil
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}
