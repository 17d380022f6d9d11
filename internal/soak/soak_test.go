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

// Runs one seed for a short time. No check depends on the speed of the machine.
func TestSoak(t *testing.T) {
	config := testConfig(t, 1)
	config.Length = 6 * time.Second
	report, err := Run(t.Context(), config)
	must.NoError(t, err)
	must.SliceEmpty(t, report.Violations)
	must.Positive(t, report.Faults)
	must.Positive(t, report.Requests[200], must.Sprint(report.Requests))
}

// Guards against real nodes that refuse all requests after a loss of power, because some do not come back (incident
// RECOVER).
func TestFleetServesAfterPowerLoss(t *testing.T) {
	config := testConfig(t, 4) // a failure domain does not come back
	config.Nodes, config.Domains, config.PowerLoss = 9, 3, true
	report, err := Run(t.Context(), config)
	must.NoError(t, err)
	t.Logf("served again after %v: %v", report.Recovery, report.Requests)
	must.SliceEmpty(t, report.Violations)
	must.Positive(t, report.Requests[200])
}

// Runs seeds that have failed before, with the cause.
func TestSoakRegressions(t *testing.T) {
	for seed, cause := range map[uint64]string{
		3048: "a request that a node sent according to an old version ran after a newer version with the same service was sent, which the check took for a use of the newer version",
		1013: "a node that was stopped while clients kept sending requests exited with an error, which the check took for a crash",
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), testConfig(t, seed))
			must.NoError(t, err)
			must.SliceEmpty(t, report.Violations, must.Sprintf("%s: %+v", cause, report.Violations))
		})
	}
}

// Guards against a defect that the checks do not detect, and against a violation without a defect.
func TestSoakDetectsDefects(t *testing.T) {
	for defect, promise := range map[Defect]string{
		DefectRepeat:     "a non-idempotent request runs at most once",
		DefectRefusal:    "a refusal that says not run is true",
		DefectWithdrawal: "a withdrawn key stops working",
		DefectRollback:   "a configuration never reverts",
		DefectTruncate:   "a success is the whole answer to the caller's request",
		DefectStop:       "a planned stop cuts no request",
		"":               "",
	} {
		t.Run(string(defect), func(t *testing.T) {
			t.Parallel()
			config := testConfig(t, 2)
			config.Defect = defect
			config.Nodes, config.Domains, config.Faultless, config.Length = 3, 3, true, 6*time.Second
			report, err := Run(t.Context(), config)
			must.NoError(t, err)
			if defect == "" {
				must.SliceEmpty(t, report.Violations)
				return
			}
			must.SliceContainsFunc(t, report.Violations, promise, func(v Violation, promise string) bool { return v.Promise == promise })
		})
	}
}
