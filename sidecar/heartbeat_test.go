package sidecar

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/config"
)

// Guards against losing the live upstream to one odd heartbeat of another writer.
func TestOddHeartbeat(t *testing.T) {
	for name, change := range map[string]func(*Heartbeat){
		"other service":      func(b *Heartbeat) { b.Service = "nosuch" },
		"no service":         func(b *Heartbeat) { b.Service = "" },
		"sequence forged":    func(b *Heartbeat) { b.Sequence = math.MaxInt64 },
		"sequence negative":  func(b *Heartbeat) { b.Sequence = -1 },
		"born forged":        func(b *Heartbeat) { b.StartTimeMS = math.MaxInt64 },
		"born negative":      func(b *Heartbeat) { b.StartTimeMS = -1 },
		"slots 31 bits":      func(b *Heartbeat) { b.Slots = 1 << 31 },
		"slots gigantic":     func(b *Heartbeat) { b.Slots = math.MaxInt },
		"slots negative":     func(b *Heartbeat) { b.Slots = math.MinInt },
		"warm-up gigantic":   func(b *Heartbeat) { b.WarmUp = math.MaxInt64 },
		"instance long":      func(b *Heartbeat) { b.Instance = strings.Repeat("i", 1<<10) },
		"instance of lines":  func(b *Heartbeat) { b.Instance = "i-2\r\nX: y" },
		"instance not ASCII": func(b *Heartbeat) { b.Instance = "i-\xff" },
		"instance missing":   func(b *Heartbeat) { b.Instance = "" },
		"address":            func(b *Heartbeat) { b.Address = "127.0.0.1:65536" },
	} {
		t.Run(name, func(t *testing.T) {
			n := testNode("a", 1)
			live := Heartbeat{Instance: "i-1", StartTimeMS: 1000, Sequence: 5, Service: "s", Address: n.settings().UpstreamAddress, Slots: 8}
			must.NoError(t, n.Heartbeat(live))
			before := n.registry.registration()
			odd := live
			odd.Sequence++
			change(&odd)
			must.Error(t, n.Heartbeat(odd))
			must.Eq(t, before, n.registry.registration())
			live.Sequence += 2
			must.NoError(t, n.Heartbeat(live))
			u, reason := n.local.available(time.Now())
			must.Eq(t, "", reason)
			must.Eq(t, live, u.Heartbeat)
			must.NoError(t, n.registry.self.check("a"))
		})
	}
}

// A heartbeat may name another service than the settings if the operators' configuration has it.
func TestHeartbeatOfConfiguredService(t *testing.T) {
	n := testNode("a", 1)
	beat := Heartbeat{Instance: "i-1", StartTimeMS: 1000, Sequence: 5, Service: "s2", Address: n.settings().UpstreamAddress, Slots: 8, WarmUp: -time.Second}
	must.Error(t, n.Heartbeat(beat))
	document := config.NewDocument()
	document.Services = map[string]config.Service{"s2": {}}
	n.configuration.current.Store(&activeConfiguration{document: document})
	must.NoError(t, n.Heartbeat(beat))
	must.Eq(t, 0, n.registry.registration().WarmUpMS)
}
