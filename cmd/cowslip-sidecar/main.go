// Command cowslip-sidecar is the node beside an upstream on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/cowslipglade/cowslipglade/internal/signals"
	"github.com/cowslipglade/cowslipglade/platform"
	"github.com/cowslipglade/cowslipglade/sidecar"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

const (
	// gcPercent keeps the heap within twice of what is in use at a small one's cost of processor time.
	gcPercent = 60
	// memoryShare of the VM's limit is when the collector works harder; stacks and the C library need the rest.
	memoryShare = 0.7
	// settingsEvery is the time between two looks for changed settings, which come without a signal as well.
	settingsEvery = 2 * time.Second
)

type options struct {
	Settings string `long:"settings" description:"settings file; default is the platform's"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	// The platform's settings do not know these.
	AdvertisePeers   string `long:"advertise-peers" value-name:"IP:PORT" description:"address that other nodes use in place of the one that takes forwarded calls"`
	AdvertiseControl string `long:"advertise-control" value-name:"IP:PORT" description:"address that other nodes use in place of the one that takes control messages"`
	LogLevel         string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines"`
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
	path := opts.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadUsage
	}
	settings.AdvertisedPeerAddress, settings.AdvertisedControlAddress = opts.AdvertisePeers, opts.AdvertiseControl
	if err := settings.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadUsage
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	level, _ := zerolog.ParseLevel(opts.LogLevel) // one of the choices
	writer := sidecar.NewLogWriter(os.Stdout, func(lines int) { fmt.Fprintf(os.Stderr, "%d log lines dropped\n", lines) })
	defer writer.Close()
	log := zerolog.New(writer).Level(level).With().Timestamp().Str("node", settings.Node).Logger()
	if err := serve(path, settings, log); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitFailed
	}
	return exitOK
}

// serve runs the node until SIGTERM or SIGINT. SIGHUP rereads the settings.
func serve(path string, settings *sidecar.Settings, log zerolog.Logger) error {
	received := signals.Notify()
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	var n *sidecar.Node
	store := platform.NewStore(settings.StoreAddress, func(kind string, status int, took time.Duration, err error) {
		n.StoreCall(kind, status, took, err)
	})
	n = sidecar.New(settings, sidecar.Ports{
		Store:           store,
		Configuration:   platform.Configuration{Store: store},
		Headers:         platform.Headers{},
		MountHeartbeats: func(e *echo.Echo, h sidecar.HeartbeatHandler) { platform.MountHeartbeats(e, h) },
		MountReady:      platform.MountReady,
	}, log, uint64(time.Now().UnixNano()))
	if err := n.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := settingsWatcher{path: path, node: n, log: log}
	watcher.remember()
	go watcher.run(ctx)
	received.WaitForStop(watcher.reload)
	return n.Stop()
}
