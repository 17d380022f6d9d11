package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cowslipglade/cowslipglade/internal/emulator/upstream"
)

type upstreamCommand struct {
	Service         string   `long:"service" required:"true"`
	Address         string   `long:"address" required:"true" description:"ip:port of the service"`
	AdminAddress    string   `long:"admin-address" required:"true" description:"ip:port of faults, drain and records"`
	LocalAddress    string   `long:"local-address" description:"ip:port of the node's local listener"`
	Slots           int      `long:"slots" default:"16"`
	Connections     int      `long:"connections" default:"256"`
	Queue           int      `long:"queue" default:"1024"`
	ServiceMedianMS float64  `long:"service-median-ms" default:"10"`
	ServiceSigma    float64  `long:"service-sigma" default:"0.3"`
	Speed           float64  `long:"speed" default:"1"`
	WarmUpMS        int64    `long:"warm-up-ms" default:"0"`
	ColdFactor      float64  `long:"cold-factor" default:"5"`
	ConnectMS       float64  `long:"connect-ms" default:"0" description:"cost of a new connection"`
	ProbeMS         float64  `long:"probe-ms" default:"0" description:"cost of a call of the health or load endpoint"`
	AnswerBytes     int      `long:"answer-bytes" default:"0"`
	Downstream      []string `long:"downstream" description:"prefix=path, for example /holdbay/=/shelfwatch/check"`
	RecordFile      string   `long:"record-file"`
	Seed            uint64   `long:"seed" default:"1"`
}

// Execute serves until interrupted, or until a drain completes that SIGTERM or the admin endpoint started.
func (c *upstreamCommand) Execute([]string) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	server, err := upstream.NewServer(settings)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	go func() {
		<-terminate
		server.Drain()
	}()
	err = server.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (c *upstreamCommand) settings() (upstream.Settings, error) {
	settings := upstream.Settings{
		Service:         c.Service,
		Address:         c.Address,
		AdminAddress:    c.AdminAddress,
		LocalAddress:    c.LocalAddress,
		Slots:           c.Slots,
		Connections:     c.Connections,
		Queue:           c.Queue,
		ServiceMedianMS: c.ServiceMedianMS,
		ServiceSigma:    c.ServiceSigma,
		Speed:           c.Speed,
		WarmUpMS:        c.WarmUpMS,
		ColdFactor:      c.ColdFactor,
		ConnectMS:       c.ConnectMS,
		ProbeMS:         c.ProbeMS,
		ResponseBytes:   c.AnswerBytes,
		RecordFile:      c.RecordFile,
		Seed:            c.Seed,
	}
	for _, text := range c.Downstream {
		prefix, path, ok := strings.Cut(text, "=")
		if !ok || !strings.HasPrefix(prefix, "/") || !strings.HasPrefix(path, "/") {
			return upstream.Settings{}, fmt.Errorf("downstream %q: must be /prefix=/path", text)
		}
		settings.Downstream = append(settings.Downstream, upstream.Downstream{Prefix: prefix, Path: path})
	}
	return settings, nil
}
