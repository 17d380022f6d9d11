package soak

import (
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Times are in seconds; the process is told to stop at 10.
func TestCheckCut(t *testing.T) {
	at := func(seconds float64) time.Time { return time.UnixMilli(int64(1000 * seconds)) }
	stop := sentSignal{syscall.SIGTERM, at(10)}
	for name, c := range map[string]struct {
		signals []sentSignal
		goneAt  time.Time
		got     reply
		run     run
		cut     bool
	}{
		"cut":              {[]sentSignal{stop}, at(15), reply{}, run{}, true},
		"still running":    {[]sentSignal{stop}, time.Time{}, reply{}, run{}, true},
		"not told to stop": {nil, time.Time{}, reply{}, run{}, false},
		"answered":         {[]sentSignal{stop}, at(15), reply{status: 200}, run{}, false},
		"client left":      {[]sentSignal{stop}, at(15), reply{left: true}, run{}, false},
		"killed":           {[]sentSignal{stop, {syscall.SIGKILL, at(12)}}, at(12), reply{}, run{}, false},
		"killed later":     {[]sentSignal{stop, {syscall.SIGKILL, at(15)}}, at(15), reply{}, run{}, true},
		"paused":           {[]sentSignal{{syscall.SIGSTOP, at(9)}, stop, {syscall.SIGCONT, at(13)}}, at(15), reply{}, run{}, false},
		"paused before":    {[]sentSignal{{syscall.SIGSTOP, at(8)}, {syscall.SIGCONT, at(9)}, stop}, at(15), reply{}, run{}, true},
		"reloaded":         {[]sentSignal{{syscall.SIGHUP, at(9.9)}, stop}, at(15), reply{}, run{}, true},
		"broken stream":    {[]sentSignal{stop}, at(15), reply{begun: true}, run{node: "n0"}, false},
		"cut stream":       {[]sentSignal{stop}, at(15), reply{begun: true}, run{node: "n0", whole: true}, true},
		"another's stream": {[]sentSignal{stop}, at(15), reply{begun: true}, run{node: "n1", whole: true}, false},
		"later process":    {[]sentSignal{stop}, at(11), reply{}, run{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			l.processes["n0"] = []*process{{signals: c.signals, goneAt: c.goneAt}}
			c.got.at = at(14)
			l.checkCut(&request{ID: "r1", node: &node{name: "n0"}, incarnation: 1, sentAt: at(12.5)}, c.got, []*run{&c.run})
			must.Eq(t, c.cut, len(l.found) > 0)
			l.checkCut(&request{ID: "r2", node: &node{name: "n0"}, incarnation: 1, sentAt: at(12.5)}, c.got, nil)
			must.Eq(t, c.cut, len(l.found) > 0, must.Sprint("a request that has not run"))
		})
	}
}

func TestCheckStops(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	stop := sentSignal{syscall.SIGTERM, at(10)}
	for name, c := range map[string]struct {
		signals []sentSignal
		goneAt  time.Time
		late    bool
	}{
		"in time":           {[]sentSignal{stop}, at(17), false},
		"late":              {[]sentSignal{stop}, at(18), true},
		"never":             {[]sentSignal{stop}, time.Time{}, true},
		"at the second one": {[]sentSignal{{syscall.SIGHUP, at(9)}, stop, {syscall.SIGTERM, at(20)}}, at(21), true},
		"killed":            {[]sentSignal{stop, {syscall.SIGKILL, at(12)}}, at(18), false},
		"killed late":       {[]sentSignal{stop, {syscall.SIGKILL, at(18)}}, at(18), true},
		"paused":            {[]sentSignal{stop, {syscall.SIGSTOP, at(12)}, {syscall.SIGCONT, at(15)}}, at(18), false},
		"not told to stop":  {[]sentSignal{{syscall.SIGHUP, at(9)}}, time.Time{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			l.processes["n0"] = []*process{{signals: c.signals, goneAt: c.goneAt}}
			l.checkStops(at(30))
			must.Eq(t, c.late, len(l.found) > 0)
		})
	}
}
