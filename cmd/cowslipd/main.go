// Command cowslipd runs the node of an upstream, on the same VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/internal/signals"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/node"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

type options struct {
	Config   string `long:"config" required:"true" description:"settings file (TOML)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	LogLevel string `long:"log-level" description:"overrides log_level of the settings"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitBadUsage
	}
	s, err := load(&opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadUsage
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	level, _ := zerolog.ParseLevel(s.LogLevel) // validated with the settings
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("node", s.Name).Logger()
	if err := serve(&opts, s, log); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitFailed
	}
	return exitOK
}

func load(opts *options) (*settings.Node, error) {
	s, err := settings.LoadNode(opts.Config)
	if err != nil {
		return nil, err
	}
	if opts.LogLevel != "" {
		s.LogLevel = opts.LogLevel
		return s, s.Check()
	}
	return s, nil
}

// serve runs the node until SIGTERM or SIGINT. SIGHUP reloads the secrets.
func serve(opts *options, s *settings.Node, log zerolog.Logger) error {
	received := signals.Notify()
	etcd := kvstore.DefaultEtcdConfig()
	etcd.Endpoints = s.PlatformEndpoints
	etcd.LocalAddress = s.PeerIP()
	store, err := kvstore.NewEtcd(etcd)
	if err != nil {
		return err
	}
	n := node.New(s, store, log, uint64(time.Now().UnixNano()))
	if err := n.Start(); err != nil {
		return err
	}
	received.WaitForStop(func() {
		reloaded, err := load(opts)
		if err != nil {
			log.Error().Err(err).Msg("settings not reloaded")
			return
		}
		n.ReplaceSecrets(reloaded.Secrets)
		log.Info().Msg("secrets reloaded")
	})
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout())
	defer cancel()
	if err := n.Stop(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
