package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

// A sync takes up to three calls. The first sends a digest of the list; if it differs, the response holds
// the digests of 256 buckets. The second sends short records of the members in differing buckets and
// receives newer ones. The third sends the full records that the other node wants. Equal lists take one
// call of about 120 bytes without its HTTP headers.

// syncRandom syncs with a random alive member and a random dead one: the sides of a network partition have
// declared each other dead.
func (m *Machine) syncRandom() {
	for _, r := range sample(m.random, m.table.live, 1, isAlive) {
		m.startSync(r.PeerAddress)
	}
	dead := func(r *record) bool { return r.State == membershipv1.State_STATE_DEAD }
	for _, r := range sample(m.random, m.table.departed, 1, dead) {
		m.startSync(r.PeerAddress)
	}
}

// syncUnknown gets the record of a sender that is unknown or has a new incarnation.
func (m *Machine) syncUnknown(now time.Time, from string) {
	if now.Sub(m.lastUnknownSync) < m.config.ProbeInterval {
		return
	}
	m.lastUnknownSync = now
	m.startSync(from)
}

func (m *Machine) startSync(address string) {
	m.out.Syncs = append(m.out.Syncs, Sync{To: address, Request: m.syncRequest()})
}

func (m *Machine) syncRequest() *membershipv1.SyncRequest {
	return &membershipv1.SyncRequest{Self: m.self.Member, Digest: m.digest()}
}

// bucketDigests returns the digests of the buckets of all members and this node.
func (m *Machine) bucketDigests() [bucketCount]uint64 {
	digests := m.table.buckets
	bucket, digest := digestOf(m.self.Member)
	digests[bucket] ^= digest
	return digests
}

func (m *Machine) digest() uint64 {
	digests := m.bucketDigests()
	h := xxhash.New()
	var word [8]byte
	for _, digest := range digests {
		for i := range word {
			word[i] = byte(digest >> (8 * i))
		}
		_, _ = h.Write(word[:])
	}
	return h.Sum64()
}

// HandleSyncRequest handles a Sync call of another node.
func (m *Machine) HandleSyncRequest(now time.Time, request *membershipv1.SyncRequest) (*membershipv1.SyncResponse, Output) {
	m.beginInput(now)
	m.endIsolation(now)
	if valid(request.Self) && request.Self.Name != m.self.Name {
		m.merge(now, request.Self) // no other node may have this update
	}
	response := &membershipv1.SyncResponse{Self: m.self.Member}
	switch {
	case len(request.Buckets) > 0:
		m.compareBuckets(now, request, response)
	case len(request.Members) > 0:
		m.mergeAll(now, request.Members)
	case request.Digest == m.digest():
		response.Equal = true
	default:
		digests := m.bucketDigests()
		response.BucketDigests = digests[:]
	}
	return response, m.endInput()
}

// compareBuckets responds with the records in the buckets that the requester lacks or has in an older
// version, and with the names of those that it has in a newer one.
func (m *Machine) compareBuckets(now time.Time, request *membershipv1.SyncRequest, response *membershipv1.SyncResponse) {
	remoteRecords := make(map[string]*Member, len(request.Members))
	for _, u := range request.Members {
		if valid(u) {
			remoteRecords[u.Name] = u
		}
	}
	for _, local := range m.inBuckets(request.Buckets) {
		remote := remoteRecords[local.Name]
		switch {
		case remote == nil || newer(local.Member, remote) && !sameVersion(local.Member, remote):
			response.Members = append(response.Members, wireRecord(local, now, false))
		case newer(local.Member, remote):
			response.Members = append(response.Members, shortRecord(local.Member))
		}
	}
	for _, u := range request.Members {
		if !valid(u) {
			continue
		}
		local := m.Member(u.Name)
		switch {
		case u.Name == m.self.Name, local != nil && sameVersion(u, local):
			m.mergeSync(now, u)
		case local == nil || newer(u, local):
			response.Wanted = append(response.Wanted, u.Name)
		}
	}
}

func (m *Machine) mergeAll(now time.Time, members []*Member) {
	for _, u := range members {
		m.mergeSync(now, u)
	}
}

// syncRetransmits is the number of packets that carry an update from a sync. Most members already have it;
// full retransmission kept 400 new nodes busy for 4 minutes.
const syncRetransmits = 2

// limitRetransmits limits a newly queued update to syncRetransmits packets.
func (m *Machine) limitRetransmits(name string) {
	r := m.table.byName[name]
	if r != nil && r.queued != nil && r.queued.sent == 0 {
		r.queued.sent = max(0, m.retransmitLimit()-syncRetransmits)
	}
}

// HandleSyncResponse handles the response to a Sync call, which may lead to another call.
func (m *Machine) HandleSyncResponse(now time.Time, to string, response *membershipv1.SyncResponse) Output {
	m.beginInput(now)
	m.endIsolation(now)
	m.mergeSync(now, response.Self)
	m.mergeAll(now, response.Members)
	if len(response.Wanted) > 0 {
		request := &membershipv1.SyncRequest{Self: m.self.Member, Members: m.fullRecords(now, response.Wanted)}
		m.out.Syncs = append(m.out.Syncs, Sync{To: to, Request: request})
	}
	if len(response.BucketDigests) != bucketCount {
		return m.endInput()
	}
	local := m.bucketDigests()
	var differing []uint32
	for i, digest := range response.BucketDigests {
		if digest != local[i] {
			differing = append(differing, uint32(i))
		}
	}
	if len(differing) > 0 {
		request := &membershipv1.SyncRequest{Self: m.self.Member, Buckets: differing}
		for _, r := range m.inBuckets(differing) {
			request.Members = append(request.Members, shortRecord(r.Member))
		}
		m.out.Syncs = append(m.out.Syncs, Sync{To: to, Request: request})
	}
	return m.endInput()
}

func (m *Machine) fullRecords(now time.Time, names []string) []*Member {
	var members []*Member
	for _, name := range names {
		if r := m.table.byName[name]; r != nil && len(members) < maxMembers {
			members = append(members, wireRecord(r, now, false))
		}
	}
	return members
}

// inBuckets returns the records in the buckets, including that of this node.
func (m *Machine) inBuckets(buckets []uint32) []*record {
	var wanted [bucketCount]bool
	for _, b := range buckets {
		if b < bucketCount {
			wanted[b] = true
		}
	}
	var members []*record
	if bucket, _ := digestOf(m.self.Member); wanted[bucket] {
		members = append(members, m.self)
	}
	for _, list := range [][]*record{m.table.live, m.table.departed} {
		for _, r := range list {
			if wanted[r.bucket] {
				members = append(members, r)
			}
		}
	}
	return members
}

// mergeSync merges a record from a sync. After a network partition, each side considers the other dead; if such
// claims were applied, both sides would lose each other again, and their own members too. A claim against a
// member that is alive here is therefore verified by a probe that carries the claim.
func (m *Machine) mergeSync(now time.Time, u *Member) {
	if !valid(u) {
		return
	}
	r := m.table.byName[u.Name]
	claimsFailure := u.State == membershipv1.State_STATE_SUSPECT || u.State == membershipv1.State_STATE_DEAD
	if r == nil || !isAlive(r) || !claimsFailure || !newer(u, r.Member) {
		m.merge(now, u)
		m.limitRetransmits(u.Name)
		return
	}
	if len(m.verifications) < maxMembers {
		m.verifications = append(m.verifications, verification{name: u.Name, claim: shortRecord(u)})
	}
}
