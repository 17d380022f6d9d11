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

// checkModified records the modification time and size of the file and reports whether they have changed.
func (w *settingsWatcher) checkModified() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		w.log.Warn().Err(err).Msg("cannot stat settings file")
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := !info.ModTime().Equal(w.modified) || info.Size() != w.size
	w.modified, w.size = info.ModTime(), info.Size()
	return changed
}

// run polls for changes until ctx ends.
func (w *settingsWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if w.checkModified() {
				w.reload()
			}
		}
	}
}

// reload applies the settings file. It keeps the old settings if the new ones are invalid.
func (w *settingsWatcher) reload() {
	settings, err := platform.LoadSettings(w.path)
	if err != nil {
		w.log.Error().Err(err).Msg("settings not reloaded")
		return
	}
	w.node.Reload(settings)
}
