package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// binary is the path of a freshly built cowslip-sidecar.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cowslip-sidecar")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/cowslip-sidecar").CombinedOutput()
	if err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func testConfig(t *testing.T, seed uint64) Config {
	config := DefaultConfig()
	config.Seed, config.Binary, config.Dir = seed, binary, t.TempDir()
	return config
}

// A short run of one seed. Nothing that is checked depends on the machine's speed.
func TestSoak(t *testing.T) {
	config := testConfig(t, 1)
	config.Length = 6 * time.Second
	report, err := Run(t.Context(), config)
	must.NoError(t, err)
	must.SliceEmpty(t, report.Violations)
	must.Positive(t, report.Faults)
	must.Positive(t, report.Requests[200], must.Sprint(report.Requests))
}

// Seeds that have failed, with the cause.
func TestSoakRegressions(t *testing.T) {
	for seed, cause := range map[uint64]string{
		3048: "a request that a node had sent by an old version ran when a newer one with the same service had come, which the check took for a use of that",
		1013: "a node that was told to stop while clients kept coming ended with an error, which the check took for a crash",
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), testConfig(t, seed))
			must.NoError(t, err)
			must.SliceEmpty(t, report.Violations, must.Sprint(cause))
		})
	}
}

// The soak finds each of the promises that a stand-in breaks on purpose, and nothing where none does.
func TestSoakFindsSabotage(t *testing.T) {
	for sabotage, promise := range map[Sabotage]string{
		SabotageRepeat:     "a non-idempotent request runs at most once",
		SabotageRefusal:    "a refusal that says not run is true",
		SabotageWithdrawal: "a withdrawn key stops working",
		SabotageRollback:   "a configuration never reverts",
		SabotageCut:        "a success is the whole answer to the caller's request",
		SabotageStop:       "a planned stop cuts no request",
		"":                 "",
	} {
		t.Run(string(sabotage), func(t *testing.T) {
			t.Parallel()
			config := testConfig(t, 2)
			config.Sabotage = sabotage
			config.Nodes, config.Domains, config.Faultless, config.Length = 3, 3, true, 6*time.Second
			report, err := Run(t.Context(), config)
			must.NoError(t, err)
			if sabotage == "" {
				must.SliceEmpty(t, report.Violations)
				return
			}
			must.SliceContainsFunc(t, report.Violations, promise, func(v Violation, promise string) bool { return v.Promise == promise })
		})
	}
}
