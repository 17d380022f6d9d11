package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/platform"
)

// errFindings means that a configuration has errors.
var errFindings = errors.New("the configuration has errors")

// configCheck checks a configuration file of the sidecar before it is sent. It calls no node.
type configCheck struct {
	InForce string `long:"in-force" description:"file with the configuration in force, to list what changes"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	next, duplicates, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	var inForce *config.Document
	if c.InForce != "" {
		if inForce, _, err = readConfiguration(c.InForce); err != nil {
			return err
		}
	}
	findings := slices.Concat(duplicates, config.Inspect(next, inForce))
	if err := printFindings(findings); err != nil {
		return err
	}
	for _, f := range findings {
		if f.Kind == config.FindingError {
			return errFindings
		}
	}
	return nil
}

// readConfiguration returns the document in a file and an error finding for each entry that occurs more than once.
func readConfiguration(path string) (*config.Document, []config.Finding, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	document, err := platform.Configuration{}.Decode(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	names, err := platform.Configuration{}.Duplicates(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	var duplicates []config.Finding
	for _, name := range names {
		duplicates = append(duplicates, config.Finding{Kind: config.FindingError, Object: name, Text: "occurs more than once"})
	}
	return document, duplicates, nil
}

func printFindings(findings []config.Finding) error {
	if global.Output == "json" {
		if findings == nil {
			findings = []config.Finding{}
		}
		return json.NewEncoder(stdout).Encode(findings)
	}
	for _, f := range findings {
		object := f.Object
		if f.Field != "" {
			object += ", " + f.Field
		}
		fmt.Fprintf(stdout, "%s: %s: %s\n", f.Kind, object, f.Text)
	}
	return nil
}
