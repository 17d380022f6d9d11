// Command cowslip-sidecar runs the node beside an upstream on the users' platform.
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
	// gcPercent keeps the heap below twice the live data. The CPU cost is small because the heap is small.
	gcPercent = 60
	// memoryLimitFraction is the fraction of the VM's limit at which the garbage collector works harder;
	// stacks and the C library need the rest.
	memoryLimitFraction = 0.7
	// settingsPollInterval is the time between two checks for changed settings, which may change without a
	// signal.
	settingsPollInterval = 2 * time.Second
)

type options struct {
	Settings string `long:"settings" description:"settings file; default is the platform's"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	// The platform's settings do not include the options below.
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
	level, _ := zerolog.ParseLevel(opts.LogLevel) // cannot fail: the parser accepts valid levels only
	writer := sidecar.NewLogWriter(os.Stdout, func(lines int) { fmt.Fprintf(os.Stderr, "%d log lines dropped\n", lines) })
	defer writer.Close()
	log := zerolog.New(writer).Level(level).With().Timestamp().Str("node", settings.Node).Logger()
	if err := serve(path, settings, log); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitFailed
	}
	return exitOK
}

// serve runs the node until SIGTERM or SIGINT. SIGHUP reloads the settings.
func serve(path string, settings *sidecar.Settings, log zerolog.Logger) error {
	received := signals.Notify()
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
	var n *sidecar.Node
	store := platform.NewStore(settings.StoreAddress, func(kind string, status int, elapsed time.Duration, err error) {
		n.RecordStoreCall(kind, status, elapsed, err)
	})
	n = sidecar.New(settings, sidecar.Dependencies{
		Store:            store,
		Configuration:    platform.Configuration{Store: store},
		Headers:          platform.Headers{},
		MountHeartbeats:  func(e *echo.Echo, h sidecar.HeartbeatHandler) { platform.MountHeartbeats(e, h) },
		MountReady:       platform.MountReady,
		EvacuationPrefix: platform.EvacuationPrefix,
	}, log, uint64(time.Now().UnixNano()))
	if err := n.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := settingsWatcher{path: path, node: n, log: log}
	watcher.checkModified()
	go watcher.run(ctx)
	received.WaitForStop(watcher.reload)
	return n.Stop()
}
