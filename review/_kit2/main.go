// Command review-kit2 runs the scripted cases of the second review: it starts cowslip-sidecar processes with the command of
// the deploy file on loopback addresses, with stand-ins for the platform, backends and clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// world is what a case starts.
type world struct {
	folder   string
	rec      *record
	store    *store
	nodes    []*node
	backends []*backend
	trouble  bool
}

func (w *world) addNode(name, zone, service string) (*node, error) {
	n, err := newNode(w.folder, name, zone, service, w.store)
	if err == nil {
		w.nodes = append(w.nodes, n)
	}
	return n, err
}

func (w *world) addBackend(id string, n *node, slots int) (*backend, error) {
	b, err := startBackend(id, n, slots, w.rec)
	if err == nil {
		w.backends = append(w.backends, b)
	}
	return b, err
}

// stop ends all that the case has started.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, b := range w.backends {
		b.stop()
	}
	if w.store != nil {
		w.store.stop()
	}
}

// cases are registered by the files that hold them.
var cases = map[string]func(*world) (int, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit2 CASE RECORD")
		return cannotRun
	}
	folder, err := os.MkdirTemp("", "review-kit2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	keep := os.Getenv("KEEP_LOGS")
	defer func() {
		if keep == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Println("logs in", folder)
		}
	}()
	w := &world{folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	if w.rec, err = newRecord(filepath.Clean(os.Args[2])); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if w.store, err = startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[os.Args[1]](w)
		done <- result{code, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			w.rec.say("the case could not run: %v", r.err)
			return cannotRun
		}
		return r.code
	case <-stop:
		w.rec.say("the case was stopped")
	case <-time.After(110 * time.Second):
		w.rec.say("the case took too long")
	}
	return cannotRun
}
