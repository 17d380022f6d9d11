package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

// Member is a member record. Records that a Machine returns must not be modified.
type Member = membershipv1.Member

const (
	maxNameBytes = 64
	maxUpstreams = 16
	// maxMembers bounds the memory of a node: three times the target size, including dead members.
	maxMembers = 16_384
	// bucketCount is the number of digests in the second step of a sync: 2 KB, and with 4,900 members about
	// 19 records for each bucket that differs.
	bucketCount = 256
)

// record is a member record with its local state.
type record struct {
	*Member
	// stateSince is when the state began: the start of suspicion, or the time of death.
	stateSince time.Time
	// index is the position in the table's list of live or departed members.
	index  int
	bucket int
	digest uint64
	// verified is true if this node has probed the suspect itself.
	verified bool
	// isolatedClaim is true for a claim that this node made while isolated.
	isolatedClaim bool
	// queued is the queued update, nil when it has been sent often enough.
	queued *update
}

func (r *record) live() bool { return live(r.State) }

// restartState restarts the time of the current state, which gives a suspect the full time to refute.
func (r *record) restartState(now time.Time) { r.stateSince, r.verified = now, false }

func live(state membershipv1.State) bool {
	return state == membershipv1.State_STATE_ALIVE || state == membershipv1.State_STATE_SUSPECT
}

// table holds all known members except the node itself, in lists, so that a random choice takes constant time
// and does not depend on map order.
type table struct {
	byName   map[string]*record
	live     []*record // alive and suspect
	departed []*record // dead and left
	buckets  [bucketCount]uint64
	// suspects is the number of suspects in live, so that a tick without any does not scan the list.
	suspects int
}

func (t *table) list(r *record) *[]*record {
	if r.live() {
		return &t.live
	}
	return &t.departed
}

func (t *table) insert(r *record) {
	list := t.list(r)
	r.index = len(*list)
	*list = append(*list, r)
	r.bucket, r.digest = digestOf(r.Member)
	t.buckets[r.bucket] ^= r.digest
	t.byName[r.Name] = r
	if r.State == membershipv1.State_STATE_SUSPECT {
		t.suspects++
	}
}

func (t *table) remove(r *record) {
	list := t.list(r)
	last := (*list)[len(*list)-1]
	(*list)[r.index] = last
	last.index = r.index
	(*list)[len(*list)-1] = nil
	*list = (*list)[:len(*list)-1]
	t.buckets[r.bucket] ^= r.digest
	delete(t.byName, r.Name)
	if r.State == membershipv1.State_STATE_SUSPECT {
		t.suspects--
	}
}

// replace replaces the member of the record.
func (t *table) replace(r *record, m *Member, now time.Time) {
	t.remove(r)
	if r.State != m.State || r.Incarnation != m.Incarnation {
		r.restartState(now)
	}
	r.Member = m
	t.insert(r)
}

// sample returns up to count distinct random records for which keep, if not nil, returns true.
func sample(source *rand.Rand, list []*record, count int, keep func(*record) bool) []*record {
	// Rejected records cost further tries; the limit ends a search in which all are rejected.
	const triesPerChoice = 8
	var chosen []*record
	for range count * triesPerChoice {
		if len(chosen) == count || len(list) == 0 {
			break
		}
		r := list[source.IntN(len(list))]
		if !slices.Contains(chosen, r) && (keep == nil || keep(r)) {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// digestOf covers what nodes must agree on. A suspect counts as alive, because a suspicion ends or becomes a
// new state within seconds.
func digestOf(m *Member) (bucket int, digest uint64) {
	h := xxhash.New()
	_, _ = h.WriteString(m.Name)
	bucket = int(h.Sum64() % bucketCount)
	var tail [17]byte
	for i := range 8 {
		tail[i] = byte(m.Incarnation >> (8 * i))
		tail[8+i] = byte(m.Version >> (8 * i))
	}
	if !live(m.State) {
		tail[16] = 1
	}
	_, _ = h.Write(tail[:])
	return bucket, h.Sum64()
}

// newer reports whether a overrides b by the rules of SWIM: incarnation, then version, then the stronger
// claim.
func newer(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// valid reports whether the record is one that a correct node sends.
func valid(m *Member) bool {
	if m == nil || !validName(m.Name) || m.Incarnation == 0 {
		return false
	}
	if m.State < membershipv1.State_STATE_ALIVE || m.State > membershipv1.State_STATE_LEFT {
		return false
	}
	if len(m.PeerAddress) > maxNameBytes || len(m.FailureDomain) > maxNameBytes || len(m.Region) > maxNameBytes {
		return false
	}
	if len(m.Upstreams) > maxUpstreams || m.GoneMs < 0 {
		return false
	}
	for _, u := range m.Upstreams {
		if u == nil || !validName(u.Service) {
			return false
		}
	}
	return true
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func sameVersion(a, b *Member) bool {
	return a.Incarnation == b.Incarnation && a.Version == b.Version
}

// shortRecord returns the record without the description of the member.
func shortRecord(m *Member) *Member {
	return &Member{Name: m.Name, Incarnation: m.Incarnation, Version: m.Version, State: m.State}
}

// isFull reports whether the record describes the member, not only its state.
func isFull(m *Member) bool { return m.PeerAddress != "" }

// wireRecord returns the record to send. Piggybacked updates are full only for alive members; for others the
// state is enough, because receivers have their description.
func wireRecord(r *record, now time.Time, piggyback bool) *Member {
	if piggyback && r.State != membershipv1.State_STATE_ALIVE {
		return shortRecord(r.Member)
	}
	if r.live() {
		return r.Member
	}
	m := proto.CloneOf(r.Member)
	m.GoneMs = max(0, now.Sub(r.stateSince).Milliseconds())
	return m
}
