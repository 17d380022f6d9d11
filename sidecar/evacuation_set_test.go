package sidecar

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/kvstore"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

// Guards against an older set that replaces a newer one, against sets of other writers that violate a rule, and against
// knowledge that seems fresh because of a message without a date.
func TestEvacuationFromPeers(t *testing.T) {
	n := testNode("a", 1)
	n.settings().EvacuateTime, n.dependencies.EvacuationPrefix = 5*time.Second, "p/"
	e := n.evacuation
	must.False(t, e.known())
	must.NotNil(t, e.refuseLocal())
	receive := func(generation uint64, revision int64, preparedAt time.Time, domains ...string) {
		e.receive(&gossipv1.Evacuation{Generation: generation, Revision: revision, AgeUs: 1e6, FailureDomains: domains}, preparedAt, "b")
	}
	receive(1, 10, time.Time{}, "z", "d")
	_, dated := e.age()
	must.False(t, dated)
	must.True(t, e.includes("z"))
	must.NotNil(t, e.refuseLocal())
	receive(1, 9, clock.Boot())
	must.True(t, e.includesSelf())
	receive(1, 11, clock.Boot(), "z")
	age, dated := e.age()
	must.True(t, dated)
	must.GreaterEq(t, time.Second, age)
	must.Nil(t, e.refuseLocal())
	receive(2, 3, clock.Boot()) // a restored store
	must.False(t, e.includes("z"))
	receive(1, 12, clock.Boot(), "z")
	must.False(t, e.includes("z"))
	for _, odd := range []*gossipv1.Evacuation{
		{Generation: 3, Revision: -1, FailureDomains: []string{"d"}},
		{Generation: 3, Revision: math.MaxInt64, FailureDomains: []string{"d"}},
		{Generation: 3, Revision: 1, FailureDomains: []string{"d", ""}},
		{Generation: 3, Revision: 1, FailureDomains: slices.Repeat([]string{"d"}, maxEvacuated+1)},
	} {
		e.receive(odd, clock.Boot(), "b")
		must.False(t, e.includesSelf())
	}
}

// Guards against additions and removals that a watch reports and the set misses, and against keys that name no domain.
func TestEvacuationChanges(t *testing.T) {
	set := newEvacuatedSet(nil, []kvstore.Entry{{Key: "p/b"}, {Key: "p/a"}, {Key: "p/"}, {Key: "q/c"}}, "p/", 1)
	next := newEvacuatedSet(set.domains, []kvstore.Entry{{Key: "p/a", Deleted: true}, {Key: "p/c"}, {Key: "p/c"}}, "p/", 2)
	must.Eq(t, [][]string{{"a", "b"}, {"b", "c"}}, [][]string{set.domains, next.domains})
}
