package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var binaries Binaries

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs once, with the race detector if the tests run with it, and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	args := []string{"build", "-o", dir + "/"}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "-race" && s.Value == "true" {
				args = append(args, "-race")
			}
		}
	}
	// The programs are inputs of the tests. Reading the source directories keeps go test from using cached
	// results after a change to a program that this package does not import.
	_ = filepath.WalkDir("../..", func(path string, entry os.DirEntry, err error) error {
		if entry != nil && entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "bin") {
			return filepath.SkipDir
		}
		return err
	})
	build := exec.Command("go", append(args, "../../cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = Binaries{
		Cowslipd:     filepath.Join(dir, "cowslipd"),
		Cowslipctl:   filepath.Join(dir, "cowslipctl"),
		Cowslipbench: filepath.Join(dir, "cowslipbench"),
	}
	return m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: Setup(binaries), Cmds: Commands(), RequireExplicitExec: true})
}
