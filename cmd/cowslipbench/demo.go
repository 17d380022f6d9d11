package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/bench"
)

type demoCommand struct {
	Network  int    `long:"network" default:"78" description:"second byte of the loopback addresses"`
	Cowslipd string `long:"cowslipd" description:"path of cowslipd; default is beside cowslipbench"`
}

// demoSlotFactor reduces the upstream slots to a fifth, so that the demo runs on a laptop.
const demoSlotFactor = 0.2

var errInterrupted = errors.New("interrupted; all processes have been stopped")

// Execute starts the mirrorline deployment, runs the demo on it and stops all processes.
func (c *demoCommand) Execute([]string) error {
	deployment := deploymentFlags{
		Deployment: "mirrorline", Policy: "current", Seed: 1, SlotFactor: demoSlotFactor, TimeFactor: 1,
		Network: c.Network, Cowslipd: c.Cowslipd,
	}
	options, cleanup, err := deployment.options()
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer cancel()
	err = runDemo(ctx, deployment.deployment(), options)
	if err != nil && ctx.Err() != nil {
		return errInterrupted // the error only describes the canceled operation
	}
	return err
}

func runDemo(ctx context.Context, deployment bench.Deployment, options bench.LaunchOptions) error {
	begin := time.Now()
	running, err := bench.Launch(ctx, deployment, options)
	if err != nil {
		return err
	}
	defer running.Stop()
	fmt.Printf("started a platform stand-in, %d nodes and %d upstreams in %d failure domains in %.1f s\n",
		len(running.VMs), len(running.VMs), len(running.Deployment.Domains), time.Since(begin).Seconds())
	if err := bench.Demo(ctx, running, os.Stdout); err != nil {
		return err
	}
	running.Stop()
	fmt.Printf("\nstopped all processes; the demo took %.1f s\n", time.Since(begin).Seconds())
	return nil
}
