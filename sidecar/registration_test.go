package sidecar

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
	gossipv1 "github.com/cowslipglade/cowslipglade/rpc/gossip/v1"
)

func testNode(name string, incarnation uint64) *Node {
	settings := DefaultSettings()
	settings.Node, settings.FailureDomain, settings.Service = name, "d", "s"
	settings.PeerAddress, settings.ControlAddress = "127.0.0.1:1", "127.0.0.1:2"
	return New(settings, Dependencies{Store: kvstore.NewMemory(nil), Configuration: noConfiguration{}}, zerolog.Nop(), incarnation)
}

// registrationWith returns the encoded registration of the node "b" with fields replaced, or left out if nil.
func registrationWith(fields map[string]any) []byte {
	reg := map[string]any{
		"node": "b", "incarnation": 7, "sequence": 1, "failure_domain": "d", "peer_address": "127.0.0.1:3",
		"control_address": "127.0.0.1:4", "service": "s", "instance": "i", "slots": 8, "serving": true,
	}
	maps.Copy(reg, fields)
	maps.DeleteFunc(reg, func(_ string, value any) bool { return value == nil })
	data, err := json.Marshal(reg)
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against using an odd entry of another writer, and against losing the sound one that it overwrote.
func TestOddRegistration(t *testing.T) {
	deep := func(depth int) json.RawMessage {
		return json.RawMessage(strings.Repeat("[", depth) + strings.Repeat("]", depth))
	}
	number := func(text string) json.RawMessage { return json.RawMessage(text) }
	tests := map[string][]byte{
		"empty":      nil,
		"no JSON":    []byte("\xff\xfe{"),
		"array":      []byte("[]"),
		"null":       []byte("null"),
		"too deep":   []byte(`{"node":"b","x":` + string(deep(1<<20)) + `}`),
		"too deep 2": []byte(strings.Repeat(`{"node":`, 1<<18)),
	}
	for name, fields := range map[string]map[string]any{
		"other node":            {"node": "c"},
		"node missing":          {"node": nil},
		"incarnation missing":   {"incarnation": nil},
		"incarnation negative":  {"incarnation": -1},
		"incarnation forged":    {"incarnation": uint64(math.MaxUint64)},
		"incarnation too large": {"incarnation": number("99999999999999999999")},
		"sequence forged":       {"sequence": math.MaxInt64},
		"sequence negative":     {"sequence": -1},
		"sequence float":        {"sequence": number("1e3")},
		"domain missing":        {"failure_domain": nil},
		"service missing":       {"service": nil},
		"peer missing":          {"peer_address": nil},
		"peer port too large":   {"peer_address": "127.0.0.1:65536"},
		"peer port huge":        {"peer_address": "127.0.0.1:99999999999999999999"},
		"peer port negative":    {"peer_address": "127.0.0.1:-1"},
		"peer port zero":        {"peer_address": "127.0.0.1:0"},
		"peer host name":        {"peer_address": "peer.example:80"},
		"peer with path":        {"peer_address": "127.0.0.1:80/x?y"},
		"peer of other type":    {"peer_address": []int{127, 0, 0, 1}},
		"control missing":       {"control_address": nil},
		"control port":          {"control_address": "127.0.0.1:70000"},
		"control user":          {"control_address": "user@127.0.0.1:80"},
		"slots negative":        {"slots": -1},
		"slots missing":         {"slots": nil},
		"slots gigantic":        {"slots": math.MaxInt64},
		"slots 31 bits":         {"slots": 1 << 31},
		"slots too large":       {"slots": number("1" + strings.Repeat("0", 400))},
		"warm-up overflows":     {"warm_up_ms": math.MaxInt64},
		"warm-up negative":      {"warm_up_ms": -1},
		"serving of text":       {"serving": "yes"},
		"deep field":            {"instance": deep(9000)},
	} {
		tests[name] = registrationWith(fields)
	}
	for name, odd := range tests {
		t.Run(name, func(t *testing.T) {
			n := testNode("a", 1)
			key := registryPrefix + "b"
			start := time.Now()
			n.registry.applyEntry(kvstore.Entry{Key: key, Value: odd})
			must.SliceEmpty(t, n.registry.others(), must.Sprint("newcomer"))
			n.registry.applyEntry(kvstore.Entry{Key: key, Value: registrationWith(nil)})
			sound := n.registry.others()
			must.Len(t, 1, sound)
			n.registry.applyEntry(kvstore.Entry{Key: key, Value: odd})
			must.Eq(t, sound, n.registry.others())
			if len(odd) > 0 {
				_, err := n.gossip.Exchange(t.Context(), &gossipv1.State{Node: "b", Registration: odd})
				must.NoError(t, err)
				must.Eq(t, sound, n.registry.others())
			}
			must.Less(t, time.Second, time.Since(start))
			must.True(t, n.registry.members["b"].listed)
			must.StrContains(t, n.metrics.vars.String(), `"registrations_rejected_total": {"`)
			// A later registration of the node itself is used.
			n.registry.applyEntry(kvstore.Entry{Key: key, Value: registrationWith(map[string]any{"sequence": 2, "slots": 9})})
			must.Eq(t, 9, n.registry.others()[0].Slots)
		})
	}
}

// The error for a rejected registration names the field, its value and the violated rule.
func TestRegistrationErrors(t *testing.T) {
	for _, test := range []struct {
		field string
		value any
		want  string
	}{
		{"peer_address", "127.0.0.1:65536", "peer_address = 127.0.0.1:65536: must be IP:port"},
		{"slots", -1, "slots = -1: must be from 1 to 1048576"},
		{"node", "c", "node = c: must be the name in the key"},
		{"failure_domain", "", "failure_domain = : must have 1 to 200 bytes"},
		{"service", strings.Repeat("x", 1<<20), "service = " + strings.Repeat("x", 64) + "...: must have 1 to 200 bytes"},
	} {
		_, err := decodeRegistration(registrationWith(map[string]any{test.field: test.value}), "b")
		must.ErrorIs(t, err, ErrRegistration)
		must.ErrorContains(t, err, test.want)
	}
}

// Guards against the end of the process on an entry whose key is not below the prefix of the nodes.
func TestOddRegistryKey(t *testing.T) {
	n := testNode("a", 1)
	for _, key := range []string{"", "x", registryPrefix[:len(registryPrefix)-1], registryPrefix, registryPrefix + "b/c", registryPrefix + "\xff"} {
		n.store = oddKeys{key: key}
		_, err := n.registry.list(t.Context())
		must.NoError(t, err)
		_, err = n.registry.watch(t.Context(), 1)
		must.NoError(t, err)
		must.SliceEmpty(t, n.registry.others())
	}
}

// oddKeys is a store whose only entry, and whose only deletion, has an odd key.
type oddKeys struct {
	kvstore.Restorable
	key string
}

func (s oddKeys) List(context.Context, string) ([]kvstore.Entry, int64, error) {
	return []kvstore.Entry{{Key: s.key, Value: registrationWith(nil)}}, 1, nil
}

func (s oddKeys) Watch(context.Context, string, int64) ([]kvstore.Entry, int64, error) {
	return []kvstore.Entry{{Key: s.key, Value: registrationWith(nil)}, {Key: s.key, Deleted: true}}, 2, nil
}

func FuzzDecodeRegistration(f *testing.F) {
	f.Add(registrationWith(nil), "b")
	f.Add([]byte(`{"node":"b","slots":-1}`), "b")
	f.Fuzz(func(t *testing.T, data []byte, node string) {
		reg, err := decodeRegistration(data, node)
		if err != nil {
			must.ErrorIs(t, err, ErrRegistration)
			return
		}
		must.Eq(t, node, reg.Node)
		must.NotEq(t, "", reg.Node)
		must.Between(t, 0, reg.Slots, maxSlots)
		must.GreaterEq(t, 0, newCandidate(&reg, time.Time{}).WarmUp)
	})
}
