package lineage

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

func TestParent(t *testing.T) {
	var tracker Tracker
	a := Run{Route: "a", Importance: call.Sheddable, ShedOrder: 7}
	b := Run{Route: "b", Importance: call.Critical}
	endA := tracker.Start("r1", a)
	tracker.Start("r2.c", b)
	for id, want := range map[string]*Run{
		"r1.x": &a, "r1.x.y": &a, "r2.c.d": &b,
		"r1": nil, "r2.c": nil, "r2.e": nil, "r1x.y": nil, "": nil, ".": nil, "r1x": nil,
	} {
		run, ok := tracker.Parent(id)
		must.Eq(t, want != nil, ok, must.Sprint(id))
		if want != nil {
			must.Eq(t, *want, run, must.Sprint(id))
		}
	}
	tracker.Answered("r1.x")
	run, _ := tracker.Parent("r1.y")
	must.Eq(t, 1, run.Answered)
	must.False(t, run.Repeated)
	endAgain := tracker.Start("r1", Run{Route: "a", Repeated: true})
	run, _ = tracker.Parent("r1.y")
	must.True(t, run.Repeated, must.Sprint("calls of two runs can't be told apart"))
	endA()
	_, ok := tracker.Parent("r1.x")
	must.True(t, ok, must.Sprint("another attempt still runs"))
	endAgain()
	_, ok = tracker.Parent("r1.x")
	must.False(t, ok)
}
