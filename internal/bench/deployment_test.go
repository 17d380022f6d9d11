package bench

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against deployments whose sizes differ from the design page, and call chains that reach no
// service.
func TestDeployments(t *testing.T) {
	sizes := map[string]struct{ domains, slots, connections, smallest int }{
		"mirrorline": {3, 150, 1000, 45},
		"collectif":  {4, 100, 700, 15},
	}
	for name, d := range Deployments() {
		want := sizes[name]
		must.Len(t, want.domains, d.Domains)
		must.Len(t, 4, d.Services)
		must.Len(t, 8, d.Workspaces)
		for _, s := range d.Services[:3] {
			must.Eq(t, want.slots, s.Slots)
			must.Eq(t, want.connections, s.Connections)
		}
		must.Eq(t, want.smallest, d.Services[3].Slots)
		share := 0.0
		for _, w := range d.Workspaces {
			share += w.Share
		}
		must.InDelta(t, 1, share, 1e-9)
		full, _, err := d.Capacity()
		must.NoError(t, err)
		slower, _, err := d.Scaled(Scale{Slots: 1, Time: 2}).Capacity()
		must.NoError(t, err)
		must.InDelta(t, full/2, slower, 1e-6)
	}
}

// Guards against a capacity that ignores the slot time held during downstream calls, and against cyclic
// call chains that go undetected.
func TestCapacityOfChain(t *testing.T) {
	d := Deployment{
		Domains: []string{"one", "two"},
		Services: []Service{
			{Name: "front", Slots: 10, MedianMS: 10, Calls: []DownstreamCall{{"/front/", "/back/x"}}},
			{Name: "back", Slots: 100, MedianMS: 90},
		},
		Routes: []RouteSpec{{Prefix: "/front/", Service: "front", Share: 1}, {Prefix: "/back/", Service: "back"}},
	}
	capacity, busiest, err := d.Capacity()
	must.NoError(t, err)
	must.Eq(t, "front", busiest)
	must.InDelta(t, 200, capacity, 1e-9) // 20 slots held for 0.1 s each
	d.Services[1].Calls = []DownstreamCall{{"/back/", "/front/x"}}
	_, _, err = d.Capacity()
	must.Error(t, err)
}

// Guards against a launcher that leaks processes, including ones stopped by a signal, or reports
// readiness too early, and against fault actions that have no effect.
func TestLaunchDirect(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cowslipbench")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/cowslipbench").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	deployment := Deployments()["collectif"].Scaled(Scale{Slots: 0.1, Time: 0.1})
	running, err := Launch(t.Context(), deployment, LaunchOptions{Cowslipbench: binary, Dir: t.TempDir(), Network: 201, Seed: 1})
	must.NoError(t, err)
	defer running.Stop()
	plan := running.Plan(1, []Phase{{DurationS: 1, Rate: 100}})
	plan.TimeoutMS = 20_000
	generator, err := NewLoadGenerator(plan)
	must.NoError(t, err)
	result := generator.Run(t.Context())
	must.Eq(t, result.Sent, result.OK)
	must.Positive(t, result.Sent)
	vm := running.SelectVMs("agenda", "domain-1")[0]
	for _, action := range []Action{CrashUpstream, StopVM} {
		fault := Fault{Action: action, Service: deepestService, Domain: "domain-1"}
		must.NoError(t, running.apply(t.Context(), fault, false))
		must.True(t, vm.Upstream.Ended())
		must.NoError(t, running.apply(t.Context(), fault, true))
		must.NoError(t, poll(t.Context(), "restart", func(ctx context.Context) error { return running.upstreamReady(ctx, vm) }))
	}
	must.NoError(t, running.apply(t.Context(), Fault{Action: SlowService, Factor: 2}, false))
	must.NoError(t, running.apply(t.Context(), Fault{Action: FreezeVM, Domain: "domain-2"}, false))
	running.Stop()
	for _, vm := range running.VMs {
		must.True(t, vm.Upstream.Ended())
	}
}
