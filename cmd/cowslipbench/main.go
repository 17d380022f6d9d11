// Command cowslipbench measures cowslipglade. It runs emulators of the platform and of upstreams, the
// load generator, and complete deployments on loopback.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type commands struct {
	Platform platformCommand `command:"platform" description:"run the platform stand-in"`
	Upstream upstreamCommand `command:"upstream" description:"run an upstream emulator"`
	Load     loadCommand     `command:"load" description:"run the load generator and print one JSON line"`
	Demo     demoCommand     `command:"demo" description:"run requests against a deployment on loopback and show the answers"`
	Deploy   deployCommand   `command:"deploy" description:"run a deployment on loopback until interrupted"`
	Measure  measureCommand  `command:"measure" description:"run a scenario on a deployment and print one JSON line"`
	Report   reportCommand   `command:"report" description:"write tables and plots of measured runs"`
	Soak     soakCommand     `command:"soak" description:"run nodes under random faults and check what callers and upstreams see"`
	Slopes   slopesCommand   `command:"slopes" description:"measure what control costs a node at several sizes and print JSON lines"`
}

func main() {
	parser := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	if err == nil {
		return
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		fmt.Fprintln(os.Stderr, "cowslipbench:", err)
		os.Exit(exitFailed)
	}
	if usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return
	}
	fmt.Fprintln(os.Stderr, "cowslipbench:", err)
	os.Exit(exitUsage)
}
