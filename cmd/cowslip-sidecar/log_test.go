package main

import (
	"bytes"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/signals/signalstest"
)

// Guards against a process that does not exit because nothing reads its log.
func TestStopWithBlockedLog(t *testing.T) {
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	defer reader.Close()
	defer writer.Close()
	must.NoError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = writer.Write(bytes.Repeat([]byte("x"), 4<<20))
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint("the pipe is full"))
	cmd, _, address := newCommand(t)
	cmd.Stdout = writer
	must.NoError(t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	signalstest.AwaitListener(t, address)
	must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-exited:
		must.NoError(t, err)
	case <-time.After(shutdownTimeout):
		_ = cmd.Process.Kill()
		t.Fatalf("command still running %v after SIGTERM", shutdownTimeout)
	}
}

// Guards against a process that ends because the reader of its log has ended.
func TestClosedLog(t *testing.T) {
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	must.NoError(t, reader.Close())
	cmd, _, address := newCommand(t)
	cmd.Stdout, cmd.Stderr = writer, writer
	must.NoError(t, cmd.Start())
	must.NoError(t, writer.Close())
	signalstest.AwaitListener(t, address)
	must.NoError(t, cmd.Process.Signal(syscall.SIGTERM)) // the lines of the stop are written over seconds
	must.NoError(t, cmd.Wait())
}
