package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/cowslipglade/cowslipglade/internal/bench"
)

// deploymentFlags select the deployment to launch.
type deploymentFlags struct {
	Deployment string  `long:"deployment" default:"mirrorline" choice:"mirrorline" choice:"collectif"`
	Policy     string  `long:"policy" default:"current" choice:"current" choice:"previous" choice:"none"`
	Seed       uint64  `long:"seed" default:"1"`
	SlotFactor float64 `long:"slot-factor" default:"0.2" description:"multiplies slots and connections of each upstream"`
	TimeFactor float64 `long:"time-factor" default:"4" description:"multiplies service times"`
	Network    int     `long:"network" default:"77" description:"second byte of the loopback addresses"`
	Cowslipd   string  `long:"cowslipd" description:"path of cowslipd; default is beside cowslipbench"`
	Direct     bool    `long:"direct" description:"run upstreams only, without nodes"`
	Dir        string  `long:"dir" description:"directory for settings, logs and records; default is a temporary one"`
}

// options returns the launch options and a function that removes the temporary directory, if any.
func (f *deploymentFlags) options() (bench.LaunchOptions, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return bench.LaunchOptions{}, nil, err
	}
	options := bench.LaunchOptions{
		Cowslipbench: self,
		Cowslipd:     f.Cowslipd,
		Dir:          f.Dir,
		Network:      f.Network,
		Policy:       f.Policy,
		QuotaFactor:  bench.DefaultQuotaFactor,
		Seed:         f.Seed,
	}
	if options.Cowslipd == "" {
		options.Cowslipd = filepath.Join(filepath.Dir(self), "cowslipd")
	}
	if f.Direct {
		options.Cowslipd = ""
	}
	if f.Dir != "" {
		return options, func() {}, os.MkdirAll(f.Dir, 0o700)
	}
	options.Dir, err = os.MkdirTemp("", "cowslipbench-")
	return options, func() { _ = os.RemoveAll(options.Dir) }, err
}

func (f *deploymentFlags) deployment() bench.Deployment {
	return bench.Deployments()[f.Deployment].Scaled(bench.Scale{Slots: f.SlotFactor, Time: f.TimeFactor})
}

type deployCommand struct {
	deploymentFlags
}

// Execute starts the deployment, prints its targets and keys, and stops it when interrupted.
func (c *deployCommand) Execute([]string) error {
	options, cleanup, err := c.options()
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	running, err := bench.Launch(ctx, c.deployment(), options)
	if err != nil {
		return err
	}
	defer running.Stop()
	capacity, busiest, err := running.Deployment.Capacity()
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "capacity %.0f requests/s, limited by %s; stop with an interrupt\n", capacity, busiest)
	err = json.NewEncoder(os.Stdout).Encode(map[string]any{"targets": running.Targets(), "keys": running.Keys, "dir": options.Dir})
	<-ctx.Done()
	return err
}
