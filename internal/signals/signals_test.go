package signals

import (
	"os"
	"sync/atomic"
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

// Guards against a stop signal that waits for the end of a reload or is dropped while a further reload is pending.
// The pending reload must not start after the stop.
func TestStopDuringReload(t *testing.T) {
	s := Notify()
	started, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var reloads atomic.Int32
	done := startWait(s, func() {
		reloads.Add(1)
		close(started)
		<-release
		close(ended)
	})
	send(t, syscall.SIGHUP)
	await(t, "reload", started)
	send(t, syscall.SIGHUP, syscall.SIGHUP)
	for len(s.reload) == 0 {
		time.Sleep(time.Millisecond)
	}
	send(t, syscall.SIGTERM, syscall.SIGTERM)
	await(t, "stop", done)
	close(release)
	await(t, "end of reload", ended)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 1, reloads.Load())
	send(t, syscall.SIGTERM, syscall.SIGINT) // would kill the process if the default handlers were restored
	time.Sleep(100 * time.Millisecond)
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
