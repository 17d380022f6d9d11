package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func inspected(findings []Finding) []string {
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = fmt.Sprintf("%s: %s %s: %s", f.Kind, f.Object, f.Field, f.Text)
	}
	return lines
}

func soundDocument() *Document {
	d := NewDocument()
	d.Revision = 7
	d.Routes["stock"] = Route{Name: "stock", Host: "h", PathPrefix: "/stock/", Service: "shelf", Timeout: 2 * time.Second, TargetLatency: time.Second}
	d.Services = map[string]Service{"shelf": {HealthPath: "/health"}}
	d.Workspaces["w"] = Workspace{Name: "w", Rate: 10, Burst: 20}
	d.Keys["hash"] = Key{ID: "id", Workspace: "w", SHA256: "hash"}
	return d
}

// Guards against findings that make operators ignore the check.
func TestInspectSoundDocument(t *testing.T) {
	must.SliceEmpty(t, Inspect(soundDocument(), nil))
	next := soundDocument()
	next.Revision++
	must.SliceEmpty(t, Inspect(next, soundDocument()))
}

// Guards against putting a document into force that refuses or misroutes requests.
func TestInspectFindings(t *testing.T) {
	d := soundDocument()
	d.Routes["late"] = Route{Name: "late", Host: "H", PathPrefix: "/late", Service: "gone", Timeout: time.Second, TargetLatency: 2 * time.Second}
	d.Routes["twin"] = Route{Name: "twin", Host: "H", PathPrefix: "/stock/", Split: []SplitPart{{"shelf", 0}, {"shelf", -1}}}
	d.Services["spare"] = Service{MaxConnections: -1}
	d.Workspaces["empty"] = Workspace{Name: "empty", Rate: 0.01, Burst: 100}
	d.Workspaces["none"] = Workspace{Name: "none", Rate: 5}
	d.Keys["other"] = Key{ID: "other", Workspace: "unknown"}
	must.Eq(t, []string{
		`error: key other workspace: unknown is not one of the workspaces`,
		`error: route late prefix: /late must begin and end with a slash`,
		`error: route late service: gone is not one of the services`,
		`error: route twin split: -1 must not be negative or infinite`,
		`error: route twin split: 0 must have a sum of weights above 0`,
		`error: service spare connections: -1 must not be negative`,
		`conflict: route late target latency: 2s is above the timeout 1s`,
		`conflict: workspace empty rate: 0.01/s takes 10000 s to refill the burst of 100`,
		`conflict: workspace none burst: 0 admits no request although the rate is 5/s`,
		`unreachable: route twin prefix: /stock/ on host "H" is already matched by route stock, whose name comes first`,
		`unreachable: route twin split: the part of service shelf has weight 0`,
		`unreachable: service spare : no route leads to it`,
		`unreachable: workspace empty : it has no key`,
		`unreachable: workspace none : it has no key`,
	}, inspected(Inspect(d, nil)))
}

// Guards against a change that operators did not intend, and against one that can't come into force.
func TestInspectChanges(t *testing.T) {
	next := soundDocument()
	route := next.Routes["stock"]
	route.Timeout = time.Second
	next.Routes["stock"] = route
	next.Workspaces["w"] = Workspace{Name: "w", Rate: 10, Burst: 30}
	delete(next.Keys, "hash")
	next.Keys["new"] = Key{ID: "new", Workspace: "w", SHA256: "new"}
	must.Eq(t, []string{
		`error: document revision: 7 must be above 7, which is in force`,
		`change: key id : removed`,
		`change: key new : added`,
		`change: route stock Timeout: 2s becomes 1s`,
		`change: workspace w Burst: 20 becomes 30`,
	}, inspected(Inspect(next, soundDocument())))
}
