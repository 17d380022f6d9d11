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

// stopped is closed when WaitForStop has returned.
func stopped(s *Signals, reload func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.WaitForStop(reload)
	}()
	return done
}

func await(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(timeout):
		t.Fatalf("not reached: %s", what)
	}
}

// A stop that came while a reload ran and another waited used to be dropped.
func TestStopDuringReload(t *testing.T) {
	s := Notify()
	begun, release := make(chan struct{}), make(chan struct{})
	reloads := 0
	done := stopped(s, func() {
		reloads++
		close(begun)
		<-release
	})
	send(t, syscall.SIGHUP)
	await(t, "reload", begun)
	send(t, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM)
	for len(s.stop) == 0 || len(s.reload) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	await(t, "stop", done)
	must.Eq(t, 1, reloads)
	send(t, syscall.SIGTERM, syscall.SIGINT) // would kill the process
}

// A stop that comes while the daemon starts, after a reload, must be found when it waits.
func TestStopBeforeWait(t *testing.T) {
	s := Notify()
	send(t, syscall.SIGHUP, syscall.SIGINT)
	for len(s.stop) == 0 || len(s.reload) == 0 {
		time.Sleep(time.Millisecond)
	}
	await(t, "stop", stopped(s, func() { t.Error("reloaded instead of stopped") }))
}

// Reloads that come during a reload must make one more, so that the last settings are read.
func TestReloadsCoalesce(t *testing.T) {
	s := Notify()
	begun, release := make(chan struct{}, 10), make(chan struct{})
	done := stopped(s, func() {
		begun <- struct{}{}
		<-release
	})
	send(t, syscall.SIGHUP)
	<-begun
	send(t, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP)
	for len(s.reload) == 0 {
		time.Sleep(time.Millisecond)
	}
	release <- struct{}{}
	<-begun
	must.Eq(t, 0, len(begun))
	close(release)
	send(t, syscall.SIGTERM)
	await(t, "stop", done)
}
