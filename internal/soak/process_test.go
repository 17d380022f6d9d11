package soak

import (
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Times are in seconds. The process is sent SIGTERM at 10; the request is sent at 12.5 and ends at 14.
func TestCheckAborted(t *testing.T) {
	at := func(seconds float64) time.Time { return time.UnixMilli(int64(1000 * seconds)) }
	stop := sentSignal{syscall.SIGTERM, at(10)}
	for name, c := range map[string]struct {
		signals  []sentSignal
		exitedAt time.Time
		got      response
		run      run
		aborted  bool
	}{
		"aborted":          {[]sentSignal{stop}, at(15), response{}, run{}, true},
		"still running":    {[]sentSignal{stop}, time.Time{}, response{}, run{}, true},
		"not signaled":     {nil, time.Time{}, response{}, run{}, false},
		"answered":         {[]sentSignal{stop}, at(15), response{status: 200}, run{}, false},
		"client gave up":   {[]sentSignal{stop}, at(15), response{disconnected: true}, run{}, false},
		"killed":           {[]sentSignal{stop, {syscall.SIGKILL, at(12)}}, at(12), response{}, run{}, false},
		"killed later":     {[]sentSignal{stop, {syscall.SIGKILL, at(15)}}, at(15), response{}, run{}, true},
		"paused":           {[]sentSignal{{syscall.SIGSTOP, at(9)}, stop, {syscall.SIGCONT, at(13)}}, at(15), response{}, run{}, false},
		"paused before":    {[]sentSignal{{syscall.SIGSTOP, at(8)}, {syscall.SIGCONT, at(9)}, stop}, at(15), response{}, run{}, true},
		"reloaded":         {[]sentSignal{{syscall.SIGHUP, at(9.9)}, stop}, at(15), response{}, run{}, true},
		"broken stream":    {[]sentSignal{stop}, at(15), response{partial: true}, run{node: "n0"}, false},
		"aborted stream":   {[]sentSignal{stop}, at(15), response{partial: true}, run{node: "n0", complete: true}, true},
		"another's stream": {[]sentSignal{stop}, at(15), response{partial: true}, run{node: "n1", complete: true}, false},
		"later process":    {[]sentSignal{stop}, at(11), response{}, run{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.processes["n0"] = []*process{{signals: c.signals, exitedAt: c.exitedAt}}
			c.got.at = at(14)
			h.checkAborted(&request{ID: "r1", node: &node{name: "n0"}, incarnation: 1, sentAt: at(12.5)}, c.got, []*run{&c.run})
			must.Eq(t, c.aborted, len(h.violations) > 0)
			h.checkAborted(&request{ID: "r2", node: &node{name: "n0"}, incarnation: 1, sentAt: at(12.5)}, c.got, nil)
			must.Eq(t, c.aborted, len(h.violations) > 0, must.Sprint("request that has not run"))
		})
	}
}

func TestCheckStops(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	stop := sentSignal{syscall.SIGTERM, at(10)}
	for name, c := range map[string]struct {
		signals  []sentSignal
		exitedAt time.Time
		late     bool
	}{
		"in time":           {[]sentSignal{stop}, at(17), false},
		"late":              {[]sentSignal{stop}, at(18), true},
		"never":             {[]sentSignal{stop}, time.Time{}, true},
		"after second stop": {[]sentSignal{{syscall.SIGHUP, at(9)}, stop, {syscall.SIGTERM, at(20)}}, at(21), true},
		"killed":            {[]sentSignal{stop, {syscall.SIGKILL, at(12)}}, at(18), false},
		"killed late":       {[]sentSignal{stop, {syscall.SIGKILL, at(18)}}, at(18), true},
		"paused":            {[]sentSignal{stop, {syscall.SIGSTOP, at(12)}, {syscall.SIGCONT, at(15)}}, at(18), false},
		"not signaled":      {[]sentSignal{{syscall.SIGHUP, at(9)}}, time.Time{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.processes["n0"] = []*process{{signals: c.signals, exitedAt: c.exitedAt}}
			h.checkStops(at(30))
			must.Eq(t, c.late, len(h.violations) > 0)
		})
	}
}
