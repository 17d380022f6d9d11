package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/freeport"
	"github.com/cowslipglade/cowslipglade/internal/signals/signalstest"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cowslipd": main})
}

// await FILE TEXT waits until a file contains a text.
func await(ts *testscript.TestScript, _ bool, args []string) {
	var content []byte
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		content, _ = os.ReadFile(ts.MkAbs(args[0]))
		if strings.Contains(string(content), args[1]) {
			return
		}
	}
	ts.Fatalf("%s does not contain %q:\n%s", args[0], args[1], content)
}

// expand FILE replaces environment variables in a file.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(os.Expand(ts.ReadFile(args[0]), ts.Getenv)), 0o600))
}

// Guards the behavior that operators' scripts rely on: exit codes, errors that name the field and the rule, no
// secrets in the output, reloading of secrets while the node runs, and a clean stop.
func TestProcess(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("GORACE", "atexit_sleep_ms=0") // by default, each command of a race build exits one second late
			for _, name := range []string{"CALLER", "LOCAL", "PEER"} {
				free, err := freeport.Address()
				if err != nil {
					return err
				}
				env.Setenv(name, free)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"await": await, "expand": expand},
	})
}

const settingsFile = `
name = "vm-1"
failure_domain = "fd-1"
failure_domains = ["fd-1"]
region = "test"
caller_address = "%s"
local_address = "%s"
peer_address = "%s"
platform_endpoints = ["http://127.0.0.1:1"]
secrets = ["a-secret-of-the-test"]
operator_token = "a-token-of-the-operators"
shutdown_timeout_ms = %d
`

// Guards against losing a SIGTERM that arrives while a reload is in progress.
func TestStopDuringReload(t *testing.T) {
	const shutdownTimeout = 10 * time.Second
	var addresses [3]any
	for i := range addresses {
		free, err := freeport.Address()
		must.NoError(t, err)
		addresses[i] = free
	}
	path := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(settingsFile, append(addresses[:], shutdownTimeout.Milliseconds())...)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	cmd := exec.Command("cowslipd", "--config", path)
	signalstest.StopDuringReload(t, cmd, path, addresses[0].(string), shutdownTimeout, true)
}
