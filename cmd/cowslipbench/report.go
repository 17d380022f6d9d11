package main

import (
	"os"

	"github.com/cowslipglade/cowslipglade/internal/bench"
)

type reportCommand struct {
	Dir  string `long:"dir" default:"results/report" description:"directory for report.md and the plots"`
	Args struct {
		Runs string `positional-arg-name:"RUNS" description:"file with the JSON lines of measure"`
	} `positional-args:"true" required:"true"`
}

// Execute writes the report of measured runs.
func (c *reportCommand) Execute([]string) error {
	runs, err := os.Open(c.Args.Runs)
	if err != nil {
		return err
	}
	defer runs.Close()
	return bench.Report(runs, c.Dir)
}
