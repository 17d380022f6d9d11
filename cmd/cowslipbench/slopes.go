package main

import (
	"encoding/json"
	"os"

	"github.com/cowslipglade/cowslipglade/internal/slopes"
)

type slopesCommand struct{}

// Execute prints one JSON line for each measurement and for each fitted slope.
func (*slopesCommand) Execute([]string) error {
	encoder := json.NewEncoder(os.Stdout)
	var failed error
	err := slopes.Run(func(m slopes.Measurement) {
		if err := encoder.Encode(m); err != nil && failed == nil {
			failed = err
		}
	})
	if err != nil {
		return err
	}
	return failed
}
