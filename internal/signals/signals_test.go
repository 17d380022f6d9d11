package signals

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const timeout = 10 * time.Second

func send(t *testing.T, signals ...syscall.Signal) {
	for _, s := range signals {
		must.NoError(t, syscall.Kill(os.Getpid(), s))
	}
}

// startWait runs WaitForStop in the background and returns a channel that is closed when it returns.
func startWait(s *Signals, reload func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.WaitForStop(reload)
	}()
	return done
}

func await(t *testing.T, event string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(timeout):
		t.Fatalf("timed out waiting for %s", event)
	}
}

// Guards against dropping a stop signal that arrives while one reload is running and another is pending.
func TestStopDuringReload(t *testing.T) {
	s := Notify()
	started, release := make(chan struct{}), make(chan struct{})
	reloads := 0
	done := startWait(s, func() {
		reloads++
		close(started)
		<-release
	})
	send(t, syscall.SIGHUP)
	await(t, "reload", started)
	send(t, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM)
	for len(s.stop) == 0 || len(s.reload) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	await(t, "stop", done)
	must.Eq(t, 1, reloads)
	send(t, syscall.SIGTERM, syscall.SIGINT) // would kill the process if the default handlers were restored
}

// A stop signal that arrives during startup, after a SIGHUP, must take effect once the daemon waits.
func TestStopBeforeWait(t *testing.T) {
	s := Notify()
	send(t, syscall.SIGHUP, syscall.SIGINT)
	for len(s.stop) == 0 || len(s.reload) == 0 {
		time.Sleep(time.Millisecond)
	}
	await(t, "stop", startWait(s, func() { t.Error("reloaded instead of stopping") }))
}

// SIGHUPs during a reload must cause exactly one more reload, so that the latest settings are read.
func TestReloadsCoalesce(t *testing.T) {
	s := Notify()
	started, release := make(chan struct{}, 10), make(chan struct{})
	done := startWait(s, func() {
		started <- struct{}{}
		<-release
	})
	send(t, syscall.SIGHUP)
	<-started
	send(t, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP)
	for len(s.reload) == 0 {
		time.Sleep(time.Millisecond)
	}
	release <- struct{}{}
	<-started
	must.Eq(t, 0, len(started))
	close(release)
	send(t, syscall.SIGTERM)
	await(t, "stop", done)
}
