package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/freeport"
	"github.com/cowslipglade/cowslipglade/internal/signals/signalstest"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cowslip-sidecar": main})
}

const settingsFile = `[self]
nodeName = "n1"
ip = "%[1]s"
zone = "d1"
region = "r"
appAddr = "%[3]s"
service = "stock"
[self.limits]
memoryMb = 284
maxFds = 4100
[network]
internalPorts = [%[2]s, %[2]s]
[network.listenAddrs]
inbound = "%[4]s"
outbound = "%[5]s"
ready = "%[6]s"
control = "%[7]s"
[platform]
heartbeatS = 0.5
[platform.platform]
address = "%[8]s"
writesPerS = 400
readsPerS = 2000
ttlMinS = 1
[terms.bounds]
drainS = 1
graceS = %[9]g
configApplyS = 2
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 47
quotaWindowS = 10
quotaOver = 0.1
quotaSlack = 10
`

// shutdownTimeout is the timeout of the commands that the tests start.
const shutdownTimeout = 6 * time.Second

// newCommand returns a command with its own settings file, and the file and an address that it listens on.
func newCommand(t *testing.T) (cmd *exec.Cmd, path, address string) {
	t.Helper()
	var addresses [7]string
	for i := range addresses {
		free, err := freeport.Address()
		must.NoError(t, err)
		addresses[i] = free
	}
	ip, port, err := net.SplitHostPort(addresses[0])
	must.NoError(t, err)
	args := []any{ip, port}
	for _, address := range addresses[1:] {
		args = append(args, address)
	}
	path = filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf(settingsFile, append(args, shutdownTimeout.Seconds())...)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	// Race builds otherwise exit one second later.
	cmd = exec.Command("cowslip-sidecar", "--settings", path)
	cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	return cmd, path, addresses[3]
}

// Guards against losing a SIGTERM that arrives while a reload is in progress.
func TestStopDuringReload(t *testing.T) {
	cmd, path, address := newCommand(t)
	signalstest.StopDuringReload(t, cmd, path, address, shutdownTimeout, true)
}

// Guards against a reload that does not end and delays a stop until the process is killed.
func TestStopDuringStuckReload(t *testing.T) {
	cmd, path, address := newCommand(t)
	signalstest.StopDuringReload(t, cmd, path, address, shutdownTimeout, false)
}

// Guards against a log reader that has stalled and keeps a stopped process alive until it is killed.
func TestStopWithStalledLogReader(t *testing.T) {
	cmd, _, address := newCommand(t)
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	defer reader.Close()
	defer writer.Close()
	must.NoError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = writer.Write(make([]byte, 1<<20))
	must.ErrorIs(t, err, os.ErrDeadlineExceeded) // the pipe is full
	cmd.Stdout = writer
	must.NoError(t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	signalstest.AwaitListener(t, address)
	must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-exited:
		must.NoError(t, err)
	case <-time.After(shutdownTimeout):
		t.Fatalf("command still running %v after SIGTERM", shutdownTimeout)
	}
}
