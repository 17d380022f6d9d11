package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/cowslipglade/cowslipglade/internal/emulator/platform"
)

type platformCommand struct {
	Address         string  `long:"address" default:"127.0.0.1:2379" description:"ip:port of the gateway"`
	AdminAddress    string  `long:"admin-address" default:"127.0.0.1:2380" description:"ip:port of faults and counts"`
	WritesPerSecond float64 `long:"writes-per-second" default:"400"`
	ReadsPerSecond  float64 `long:"reads-per-second" default:"2000"`
	Seed            uint64  `long:"seed" default:"1"`
}

// Execute serves until interrupted.
func (c *platformCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	config := platform.DefaultConfig()
	config.WritesPerSecond = c.WritesPerSecond
	config.ReadsPerSecond = c.ReadsPerSecond
	config.Seed = c.Seed
	server := platform.NewServer(config)
	go server.Run(ctx)
	gateway := &http.Server{Addr: c.Address, Handler: server.Handler()}
	admin := &http.Server{Addr: c.AdminAddress, Handler: server.Admin()}
	failed := make(chan error, 2)
	go func() { failed <- gateway.ListenAndServe() }()
	go func() { failed <- admin.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return errors.Join(gateway.Close(), admin.Close())
	}
}
