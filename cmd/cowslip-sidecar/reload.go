package main

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cowslipglade/cowslipglade/platform"
	"github.com/cowslipglade/cowslipglade/sidecar"
)

// settingsWatcher reloads the settings file when it changes.
type settingsWatcher struct {
	path string
	node *sidecar.Node
	log  zerolog.Logger

	mu       sync.Mutex
	modified time.Time
	size     int64
}

// remember notes the state of the file and tells whether it has changed.
func (w *settingsWatcher) remember() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		w.log.Warn().Err(err).Msg("settings file not found")
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := !info.ModTime().Equal(w.modified) || info.Size() != w.size
	w.modified, w.size = info.ModTime(), info.Size()
	return changed
}

// run looks for changes until ctx ends.
func (w *settingsWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if w.remember() {
				w.reload()
			}
		}
	}
}

// reload keeps the old settings when the new ones are invalid.
func (w *settingsWatcher) reload() {
	settings, err := platform.LoadSettings(w.path)
	if err != nil {
		w.log.Error().Err(err).Msg("settings not reloaded")
		return
	}
	w.node.Reload(settings)
}
