// Package signals handles the signals of a daemon: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals holds pending signals. Package os/signal drops a signal when the channel is full, so stop signals
// have their own channel, in which a reload cannot displace them.
type Signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// Notify starts handling the signals. It never restores the default handlers, so that a repeated stop signal
// does not kill the process. SIGPIPE is ignored: Go ends a process with it that writes to standard output or error without a
// reader, and the log is not worth the requests.
func Notify() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// WaitForStop blocks until a stop signal is received or returns at once if one is pending. Until then it calls
// reload on SIGHUP. Any number of SIGHUPs during a reload cause one further reload. A pending stop takes
// precedence over a pending reload and does not wait for a running one, which may end later or never.
func (s *Signals) WaitForStop(reload func()) {
	select {
	case <-s.stop:
		return
	default:
	}
	stopped := make(chan struct{})
	defer close(stopped)
	go s.runReloads(reload, stopped)
	<-s.stop
}

func (s *Signals) runReloads(reload func(), stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		default:
		}
		select {
		case <-stopped:
			return
		case <-s.reload:
			reload()
		}
	}
}
