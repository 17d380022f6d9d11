package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a demo that prints other results than expected, fails without an error, or leaves
// processes or files behind after its end or an interrupt.
func TestDemo(t *testing.T) {
	dir := t.TempDir()
	// Concurrent test runs on one machine must use different addresses.
	network := 100 + os.Getpid()%100 // the scenarios use 210 and above
	output, err := exec.Command("go", "build", "-o", dir, ".", "../cowslipd").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	for _, c := range []struct {
		name      string
		interrupt time.Duration // 0 means never
		missing   bool          // start without cowslipd
		code      int
		expected  string
	}{
		{"whole", 0, false, 0, "runs of this reservation at all upstreams together: 1"},
		{"interrupted", 700 * time.Millisecond, false, 1, "interrupted"},
		{"without cowslipd", 0, true, 1, "no such file"},
	} {
		args := []string{"demo", fmt.Sprint("--network=", network)}
		if c.missing {
			args = append(args, "--cowslipd="+filepath.Join(dir, "missing"))
		}
		temporary := t.TempDir()
		command := exec.Command(filepath.Join(dir, "cowslipbench"), args...)
		command.Env = append(os.Environ(), "TMPDIR="+temporary)
		var text bytes.Buffer
		command.Stdout, command.Stderr = &text, &text
		must.NoError(t, command.Start())
		if c.interrupt > 0 {
			time.Sleep(c.interrupt)
			must.NoError(t, command.Process.Signal(os.Interrupt))
		}
		_ = command.Wait()
		must.Eq(t, c.code, command.ProcessState.ExitCode(), must.Sprint(c.name, text.String()))
		must.StrContains(t, text.String(), c.expected, must.Sprint(c.name))
		remaining, err := os.ReadDir(temporary)
		must.NoError(t, err)
		must.SliceEmpty(t, remaining, must.Sprint(c.name))
		for vm := range 12 {
			for _, port := range []int{7400, 8080, 8081, 8090, 8091} {
				address := fmt.Sprintf("127.%d.%d.%d:%d", network, vm/4+1, vm%4+1, port)
				listener, err := net.Listen("tcp", address)
				must.NoError(t, err, must.Sprint(c.name, ": a process still listens on ", address))
				must.NoError(t, listener.Close())
			}
		}
	}
}
