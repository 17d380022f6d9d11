// Package signalstest tests the signal handling of commands.
package signalstest

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// startTimeout is well above the time that a command needs to listen or to start a reload.
	startTimeout = 20 * time.Second
	// deliveryTime is well above the time that the kernel needs to deliver a signal.
	deliveryTime = 100 * time.Millisecond
	pollInterval = 5 * time.Millisecond
)

// StopDuringReload starts a command that reads the settings file and listens on address. It blocks the command
// in a reload while another reload is pending, sends SIGTERM twice, and fails the test unless the command then
// exits with code 0 within the timeout. The reload ends after the signals if finish is set, and never otherwise.
func StopDuringReload(t *testing.T, cmd *exec.Cmd, settings, address string, timeout time.Duration, finish bool) {
	t.Helper()
	must.NoError(t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	AwaitListener(t, address)

	// Replace the settings file by a FIFO, so that a reload blocks until it is written to.
	text, err := os.ReadFile(settings)
	must.NoError(t, err)
	fifo := filepath.Join(t.TempDir(), "fifo")
	must.NoError(t, syscall.Mkfifo(fifo, 0o600))
	must.NoError(t, os.Rename(fifo, settings))
	must.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	writer := awaitReader(t, settings)
	defer writer.Close()
	must.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(deliveryTime)
	must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(deliveryTime)
	if err := cmd.Process.Signal(syscall.SIGTERM); !errors.Is(err, os.ErrProcessDone) { // a stop waits for no reload
		must.NoError(t, err)
	}
	time.Sleep(deliveryTime)
	if finish {
		if _, err = writer.Write(text); !errors.Is(err, syscall.EPIPE) {
			must.NoError(t, err)
		}
		must.NoError(t, writer.Close())
	}
	time.Sleep(deliveryTime)
	_ = cmd.Process.Signal(syscall.SIGTERM) // during the shutdown or after it
	select {
	case err := <-exited:
		must.NoError(t, err)
	case <-time.After(timeout):
		t.Fatalf("command still running %v after SIGTERM", timeout)
	}
}

// AwaitListener waits until a command listens on address.
func AwaitListener(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		connection, err := net.Dial("tcp", address)
		if err == nil {
			must.NoError(t, connection.Close())
			return
		}
	}
	t.Fatalf("nothing listens on %s", address)
}

// awaitReader waits until a FIFO has a reader and opens it for writing.
func awaitReader(t *testing.T, fifo string) *os.File {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		writer, err := os.OpenFile(fifo, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return writer
		}
	}
	t.Fatalf("nothing has opened %s for reading", fifo)
	return nil
}
