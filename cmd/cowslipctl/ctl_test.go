package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/cowslipglade/cowslipglade/internal/freeport"
	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/node"
	"github.com/cowslipglade/cowslipglade/upstream"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cowslipctl": main})
}

const testToken = "a-token-of-the-operators"

// newNode returns a node on loopback addresses that uses the store.
func newNode(store kvstore.Store) (*node.Node, *settings.Node, error) {
	s := settings.DefaultNode()
	s.Name, s.FailureDomain, s.FailureDomains, s.Region = "vm-1", "fd-1", []string{"fd-1", "fd-2"}, "test"
	for _, address := range []*string{&s.CallerAddress, &s.LocalAddress, &s.PeerAddress} {
		free, err := freeport.Address()
		if err != nil {
			return nil, nil, err
		}
		*address = free
	}
	s.PlatformEndpoints = []string{"http://127.0.0.1:1"}
	s.Secrets = []string{"a-secret-of-the-test"}
	s.OperatorToken = testToken
	return node.New(&s, store, zerolog.Nop(), uint64(time.Now().UnixNano())), &s, s.Check()
}

func setup(env *testscript.Env) error {
	store := kvstore.NewMemory(time.Now)
	n, s, err := newNode(store)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	env.Defer(func() { _ = n.Stop(context.Background()) })
	n.Announce(&upstream.Announcement{Service: "stock", Address: s.CallerAddress, Slots: 7, Connections: 9})
	env.Values["store"] = store
	env.Setenv("COWSLIP_NODE", s.PeerAddress)
	env.Setenv("COWSLIP_TOKEN", testToken)
	env.Setenv("COWSLIP_ACTOR", "tester")
	env.Setenv("GORACE", "atexit_sleep_ms=0") // by default, each command of a race build exits one second late
	return nil
}

// exits CODE COMMAND ARGUMENT... runs a command and checks its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	if code := exitStatus(ts.Exec(args[1], args[2:]...)); strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, expected %s", code, args[0])
	}
}

// exitStatus returns the exit code of a command from its error.
func exitStatus(err error) int {
	code := 0
	if err != nil {
		code = -1
		_, _ = fmt.Sscanf(err.Error(), "exit status %d", &code)
	}
	return code
}

// platformState implements "platform up|down|lose COUNT". It sets the state of the platform.
func platformState(ts *testscript.TestScript, _ bool, args []string) {
	store := ts.Value("store").(*kvstore.Memory)
	if args[0] == "lose" {
		count, err := strconv.Atoi(args[1])
		ts.Check(err)
		store.LoseResponses(count)
		return
	}
	store.SetDown(args[0] == "down")
}

// owner SHARD NODE writes the owner key of a quota shard as a crashed node leaves it behind.
func owner(ts *testscript.TestScript, _ bool, args []string) {
	record := fmt.Sprintf(`{"node":%q,"incarnation":1,"address":"127.0.0.1:1"}`, args[1])
	_, err := ts.Value("store").(*kvstore.Memory).CompareAndSwap(context.Background(), "quota/owner/"+args[0], 0, []byte(record), kvstore.NoLease)
	ts.Check(err)
}

// eventually PATTERN COMMAND ARGUMENT... repeats a command until it prints the pattern.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile(args[0])
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		_ = ts.Exec(args[1], args[2:]...)
		if want.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("not printed: %s", want)
}

var conflictText = regexp.MustCompile(`change is based on revision (\d+), object is at revision (\d+)`)

// race COMMAND ARGUMENT... runs a command twice concurrently. One run must succeed; the other must report a
// conflict that names both revisions.
func race(ts *testscript.TestScript, _ bool, args []string) {
	var commands [2]*exec.Cmd
	var output [2]bytes.Buffer
	for i := range commands {
		commands[i] = exec.Command(args[0], args[1:]...)
		commands[i].Stderr = &output[i]
		commands[i].Env = os.Environ()
		for _, name := range []string{"COWSLIP_NODE", "COWSLIP_TOKEN"} {
			commands[i].Env = append(commands[i].Env, name+"="+ts.Getenv(name))
		}
		ts.Check(commands[i].Start())
	}
	var codes []int
	for i := range commands {
		codes = append(codes, exitStatus(commands[i].Wait()))
	}
	text := output[0].String() + output[1].String()
	revisions := conflictText.FindStringSubmatch(text)
	slices.Sort(codes)
	if !slices.Equal(codes, []int{exitOK, exitConflict}) || revisions == nil || revisions[1] == revisions[2] {
		ts.Fatalf("exit codes %v: %s", codes, text)
	}
}

// Guards the output and exit code of every command, also when another operator's change comes first, a response
// is lost, or the platform or the node does not respond.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits, "platform": platformState, "owner": owner, "eventually": eventually, "race": race,
		},
	})
}
