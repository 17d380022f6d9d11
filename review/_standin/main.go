// Command review-standin runs the scripted cases of the review. It starts cowslip-sidecar processes with the
// command of the deploy file on loopback addresses, together with stand-ins for the store, the backends, the
// clients and the network, and checks one rule.
//
// Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds the run of a case. Cases that run longer could not run.
const maxDuration = 110 * time.Second

// errCase means that a case could not run as described.
var errCase = errors.New("case could not run")

// cases holds the scripted cases. trouble is false if the disruption is left out. They return the number of
// violations of the rule.
var cases = map[string]func(f *fleet, trouble bool) (violations int, err error){
	"revoke": runRevoke,
	"quota":  runQuota,
	"early":  runEarly,
	"stops":  runStops,
	"drain":  runDrain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER, in the root of the repository")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.printf("could not start: %v", err)
		return exitFailed
	}
	defer f.close()
	watchdog := time.AfterFunc(maxDuration, func() {
		rec.printf("the case took longer than %v", maxDuration)
		f.close()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	violations, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		rec.printf("result: could not run: %v", err)
		return exitFailed
	case violations > 0:
		rec.printf("result: the rule was broken %d times (disruption: %v)", violations, trouble)
		return exitBroken
	}
	rec.printf("result: the rule held (disruption: %v)", trouble)
	return exitHeld
}
