// Package signals takes the signals of a daemon: SIGTERM and SIGINT stop it, SIGHUP makes it reload.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals holds the signals that have come and were not yet handled. Package os/signal drops what a full
// channel cannot take, so a stop has a channel of its own, where only another stop can be before it.
type Signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// Notify takes the signals from now on until the process ends, so that a repeated stop signal does not kill it.
func Notify() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// WaitForStop returns after the first stop signal, also when it came before the call. Until then it calls reload
// after SIGHUP; those that come during a reload make one further reload, which a stop goes before.
func (s *Signals) WaitForStop(reload func()) {
	for {
		select {
		case <-s.stop:
			return
		default:
		}
		select {
		case <-s.stop:
			return
		case <-s.reload:
			reload()
		}
	}
}
