package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

func newMachine(t must.T, name string) *Machine {
	config := DefaultConfig()
	config.Name, config.PeerAddress, config.Incarnation = name, name+":1", 7
	m, err := New(config, rand.New(rand.NewPCG(1, 1)))
	must.NoError(t, err)
	return m
}

func recordOf(name string, version uint64, state membershipv1.State) *Member {
	return &Member{Name: name, PeerAddress: name + ":1", Incarnation: 7, Version: version, State: state}
}

// Guards against a record that reverts to an older incarnation or version, and against a node that does not
// refute a claim about itself, for reordered and duplicated updates.
func TestUpdatesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := newMachine(t, "self"), time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "packets") {
			u := recordOf(rapid.SampledFrom([]string{"self", "a", "b"}).Draw(t, "name"), rapid.Uint64Range(1, 4).Draw(t, "version"),
				membershipv1.State(rapid.IntRange(1, 4).Draw(t, "state")))
			u.Incarnation = rapid.Uint64Range(6, 8).Draw(t, "incarnation")
			old := m.Member(u.Name)
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "sync") {
				_, _ = m.HandleSyncRequest(now, &membershipv1.SyncRequest{Members: []*Member{u}, Buckets: []uint32{1}})
			} else {
				m.HandleMessage(now, "a:1", &Packet{Sender: "a", SenderIncarnation: 7, Updates: []*Member{u}})
			}
			m.Tick(now)
			if after := m.Member(u.Name); old != nil && after != nil {
				must.True(t, after.Incarnation > old.Incarnation || after.Incarnation == old.Incarnation && after.Version >= old.Version)
			}
			if u.Name == "self" {
				must.Eq(t, membershipv1.State_STATE_ALIVE, m.Self().State)
				must.False(t, newer(u, m.Self()))
			}
			var buckets [bucketCount]uint64
			for _, r := range m.table.byName {
				bucket, digest := digestOf(r.Member)
				buckets[bucket] ^= digest
			}
			must.Eq(t, buckets, m.table.buckets)
		}
	})
}

// Guards against an upstream that stays listed without announcements, a process that acts on suspicions from
// before a pause, and dead members that are kept forever.
func TestTimeouts(t *testing.T) {
	m, now := newMachine(t, "self"), time.Unix(1000, 0)
	kinds := func(out Output) (kinds []EventKind) {
		for _, e := range out.Events {
			kinds = append(kinds, e.Kind)
		}
		return kinds
	}
	m.Announce(now, &membershipv1.Upstream{Service: "s", Slots: 1})
	must.Len(t, 1, m.Self().Upstreams)
	for range 30 {
		now = now.Add(tick)
		must.SliceEmpty(t, kinds(m.Tick(now)))
	}
	now = now.Add(tick)
	must.Eq(t, []EventKind{UpstreamLost}, kinds(m.Tick(now)))
	must.Len(t, 0, m.Self().Upstreams)

	m.HandleMessage(now, "a:1", &Packet{Sender: "a", SenderIncarnation: 7, Updates: []*Member{
		recordOf("a", 1, membershipv1.State_STATE_SUSPECT), recordOf("departed", 1, membershipv1.State_STATE_LEFT)}})
	version := m.Self().Version
	now = now.Add(10 * time.Second)
	out := m.Tick(now)
	must.Eq(t, []EventKind{Paused}, kinds(out))
	must.Eq(t, 10*time.Second, out.Events[0].Gap)
	must.Eq(t, version+1, m.Self().Version)
	must.Eq(t, membershipv1.State_STATE_SUSPECT, m.Member("a").State)

	must.NotNil(t, m.Member("departed"))
	for end := now.Add(25 * time.Hour); now.Before(end); now = now.Add(1900 * time.Millisecond) {
		m.Tick(now)
	}
	must.MapEmpty(t, m.table.byName)
	m.Leave(now)
	must.Eq(t, membershipv1.State_STATE_LEFT, m.Self().State)
	_, err := New(Config{Name: "x"}, nil)
	must.ErrorContains(t, err, `PeerAddress "" must be 1 to 64 bytes`)
}

// Guards against a replacement VM whose clock is behind: records of its predecessor would override its own.
func TestReincarnation(t *testing.T) {
	m, now := newMachine(t, "self"), time.Unix(1000, 0)
	u := recordOf("self", 9, membershipv1.State_STATE_DEAD)
	u.Incarnation = 99
	out := m.HandleMessage(now, "a:1", &Packet{Sender: "a", SenderIncarnation: 7, Updates: []*Member{u}})
	must.Eq(t, Reincarnated, out.Events[0].Kind)
	must.Greater(t, 99, m.Self().Incarnation)
}

func newPair(t *testing.T) *Machine {
	m := newMachine(t, "self")
	m.merge(time.Unix(1000, 0), recordOf("a", 1, membershipv1.State_STATE_ALIVE))
	return m
}

func FuzzHandleMessage(f *testing.F) {
	for kind := range 5 {
		data, err := proto.Marshal(&Packet{Kind: membershipv1.Kind(kind), Sender: "a", SenderIncarnation: 7, Target: "self", Sequence: 1,
			Updates: []*Member{recordOf("b", 2, membershipv1.State_STATE_DEAD)}, Withdrawn: [][]byte{make([]byte, 32)}, Piggyback: &Piggyback{ConfigRevision: 1}})
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, packet := newPair(t), &Packet{}
		if proto.Unmarshal(data, packet) != nil {
			return
		}
		m.HandleMessage(time.Unix(1000, 0), "a:1", packet)
		m.Tick(time.Unix(1001, 0))
		for _, s := range m.Tick(time.Unix(1002, 0)).Sends {
			must.LessEq(t, m.config.PacketBytes, proto.Size(s.Packet))
		}
	})
}

func FuzzHandleSync(f *testing.F) {
	data, err := proto.Marshal(&membershipv1.SyncRequest{Self: recordOf("a", 1, 1), Buckets: []uint32{1, 999}, Members: []*Member{recordOf("b", 1, 3)}})
	must.NoError(f, err)
	f.Add(data)
	data, err = proto.Marshal(&membershipv1.SyncResponse{Self: recordOf("a", 1, 1), BucketDigests: make([]uint64, bucketCount)})
	must.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, now := newPair(t), time.Unix(1000, 0)
		request, response := &membershipv1.SyncRequest{}, &membershipv1.SyncResponse{}
		if proto.Unmarshal(data, request) == nil {
			m.HandleSyncRequest(now, request)
		}
		if proto.Unmarshal(data, response) == nil {
			m.HandleSyncResponse(now, "a:1", response)
		}
		m.Tick(now)
	})
}
