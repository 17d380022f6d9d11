// Package member implements the membership state machine and failure detector of a node.
//
// It follows SWIM (Das, Gupta, Motivala, 2002). In each interval, a node probes one random member, first
// directly and then through others. A member that does not acknowledge becomes a suspect, is notified, and
// is declared dead if it does not refute in time. Updates are piggybacked on probes and acknowledgements,
// least sent first, each a number of times proportional to the logarithm of the member count. The package
// extends SWIM in three ways:
//
//   - Lists are synced by digest with a random member and a random dead one, so that the sides of a network
//     partition find each other again.
//   - A claim that a live member is dead is verified by a probe or starts as a suspicion, so that a node
//     that was partitioned cannot make others remove the rest.
//   - A process that was paused discards its probes and restarts its suspicions before it acts on them.
//
// A Machine owns no socket, goroutine, clock or random source: inputs carry the time, outputs say what to
// send. Equal seeds and inputs give equal outputs.
package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

// Packet is a message of a Machine. Its content must not be modified.
type Packet = membershipv1.Packet

// Piggyback is the part of every packet in which a node describes itself.
type Piggyback = membershipv1.Piggyback

// Send is a packet to send over UDP.
type Send struct {
	// To is a peer address.
	To     string
	Packet *Packet
}

// Sync is a Sync call to make; its response goes to HandleSyncResponse.
type Sync struct {
	To      string
	Request *membershipv1.SyncRequest
}

// Output is the result of an input. The caller must handle Events before it sends.
type Output struct {
	Sends  []Send
	Syncs  []Sync
	Events []Event
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// Changed means that Member is new or has changed.
	Changed EventKind = iota
	// Paused means that this process did not run for Gap: drop leases and grants before acting.
	Paused
	// UpstreamLost means that the upstream of Service at this node missed its announcements.
	UpstreamLost
	// PiggybackReceived means that Member sent Piggyback.
	PiggybackReceived
	// WithdrawalsReceived means that Withdrawn arrived: merge it and push what is new.
	WithdrawalsReceived
	// Reincarnated means that another process of this name had a higher incarnation, as when its clock ran
	// ahead, and that this node changed to Incarnation.
	Reincarnated
)

// Event reports a change to the node.
type Event struct {
	Kind        EventKind
	Member      *Member
	Gap         time.Duration
	Service     string
	Piggyback   *Piggyback
	Withdrawn   [][]byte
	Incarnation uint64
}

// maxWithdrawnPerPacket is the maximum number of key hashes in a packet. Further ones are exchanged by a
// call when the digests differ.
const maxWithdrawnPerPacket = 16

// pushFanout is the number of random members that get updates at once. Updates that a node makes itself are
// rare, so the packets are negligible in the traffic budget.
const pushFanout = 4

// maxVerificationsPerRound bounds the probes that verify claims from syncs in each probe interval.
const maxVerificationsPerRound = 4

// Machine is the membership state of one node. It is not safe for concurrent use.
type Machine struct {
	config    Config
	random    *rand.Rand
	self      *record
	table     table
	piggyback *Piggyback
	queue     []*update
	probes    map[uint64]*probe
	// probeOrder holds the sequence numbers of probes, oldest first.
	probeOrder    []uint64
	sequence      uint64
	verifications []verification
	lastAnnounced map[string]time.Time

	started   bool
	lastInput time.Time
	nextProbe time.Time
	nextSync  time.Time
	// syncBackoff doubles from minSyncBackoff to the sync interval.
	syncBackoff time.Duration
	// lastContact is the time of the last packet or sync; lastUnknownSync limits syncs with unknown senders.
	lastContact     time.Time
	lastUnknownSync time.Time
	out             Output
}

// update is a queued update of a member.
type update struct {
	record *record
	sent   int
}

// probe is an unacknowledged probe.
type probe struct {
	target       *record
	incarnation  uint64
	indirectAt   time.Time
	deadline     time.Time
	indirectSent bool
	// requester and requestSequence are set when another node asked for the probe.
	requester       string
	requestSequence uint64
}

// verification is a claim from a sync to verify by a probe.
type verification struct {
	name  string
	claim *Member
}

// New returns a Machine that knows no other members. Errors wrap ErrConfig.
func New(config Config, random *rand.Rand) (*Machine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	self := &record{Member: &Member{
		Name:          config.Name,
		FailureDomain: config.FailureDomain,
		Region:        config.Region,
		PeerAddress:   config.PeerAddress,
		Incarnation:   config.Incarnation,
		Version:       1,
		State:         membershipv1.State_STATE_ALIVE,
	}}
	return &Machine{
		config:        config,
		random:        random,
		self:          self,
		table:         table{byName: map[string]*record{}},
		piggyback:     &Piggyback{},
		probes:        map[uint64]*probe{},
		lastAnnounced: map[string]time.Time{},
	}, nil
}

// Self returns this node's record.
func (m *Machine) Self() *Member { return m.self.Member }

// Members returns the records of all other members, dead ones included, in no particular order.
func (m *Machine) Members() []*Member {
	members := make([]*Member, 0, len(m.table.byName))
	for _, list := range [][]*record{m.table.live, m.table.departed} {
		for _, r := range list {
			members = append(members, r.Member)
		}
	}
	return members
}

// Member returns the record of another member, nil if it is unknown.
func (m *Machine) Member(name string) *Member {
	if r := m.table.byName[name]; r != nil {
		return r.Member
	}
	return nil
}

// Targets returns up to count random alive members, for messages of the node.
func (m *Machine) Targets(count int) []*Member {
	var targets []*Member
	for _, r := range sample(m.random, m.table.live, count, isAlive) {
		targets = append(targets, r.Member)
	}
	return targets
}

// SetPiggyback sets the Piggyback of all packets from now on.
func (m *Machine) SetPiggyback(p *Piggyback) { m.piggyback = p }

// Join starts a sync with each address. It must be repeated while Members is empty.
func (m *Machine) Join(now time.Time, addresses []string) Output {
	m.beginInput(now)
	for _, address := range addresses {
		if address != m.config.PeerAddress {
			m.startSync(address)
		}
	}
	return m.endInput()
}

// Tick handles what is due. It must be called every 100 ms.
func (m *Machine) Tick(now time.Time) Output {
	m.beginInput(now)
	m.expireAnnouncements(now)
	m.tickProbes(now)
	m.expireSuspects(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = m.nextProbe.Add(m.config.ProbeInterval)
		m.startProbeRound(now)
	}
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(m.syncBackoff)
		m.syncBackoff = min(2*m.syncBackoff, m.config.SyncInterval)
		m.syncRandom()
		m.removeExpired(now)
	}
	return m.endInput()
}

// Announce handles an announcement of an upstream on this VM.
func (m *Machine) Announce(now time.Time, upstream *membershipv1.Upstream) Output {
	m.beginInput(now)
	m.lastAnnounced[upstream.Service] = now
	i := slices.IndexFunc(m.self.Upstreams, func(u *membershipv1.Upstream) bool { return u.Service == upstream.Service })
	if i >= 0 && proto.Equal(m.self.Upstreams[i], upstream) {
		return m.endInput()
	}
	m.changeSelf(now, func(self *Member) {
		if i >= 0 {
			self.Upstreams[i] = upstream
		} else if len(self.Upstreams) < maxUpstreams {
			self.Upstreams = append(self.Upstreams, upstream)
		}
	})
	return m.endInput()
}

// Withdraw removes the upstream of the service at once, for a planned stop.
func (m *Machine) Withdraw(now time.Time, service string) Output {
	m.beginInput(now)
	m.withdraw(now, service)
	return m.endInput()
}

// SetDraining publishes whether this node is draining.
func (m *Machine) SetDraining(now time.Time, draining bool) Output {
	m.beginInput(now)
	if m.self.Draining != draining {
		m.changeSelf(now, func(self *Member) { self.Draining = draining })
	}
	return m.endInput()
}

// SetShards publishes the quota shards that this node owns. The slice must not be modified afterwards.
func (m *Machine) SetShards(now time.Time, shards []*membershipv1.ShardTerm) Output {
	m.beginInput(now)
	m.changeSelf(now, func(self *Member) { self.Shards = shards })
	return m.endInput()
}

// Leave publishes that this node stops. Continue to call Tick and HandleMessage for a second, so that the
// update spreads.
func (m *Machine) Leave(now time.Time) Output {
	m.beginInput(now)
	m.changeSelf(now, func(self *Member) { self.State = membershipv1.State_STATE_LEFT })
	return m.endInput()
}

// PushWithdrawals sends key hashes to random members at once. A node pushes each hash once, when it first
// receives it; digests in packets find the members that were missed.
func (m *Machine) PushWithdrawals(now time.Time, hashes [][]byte) Output {
	m.beginInput(now)
	for batch := range slices.Chunk(hashes, maxWithdrawnPerPacket) {
		for _, target := range sample(m.random, m.table.live, pushFanout, nil) {
			m.send(now, target, &Packet{Kind: membershipv1.Kind_KIND_PUSH, Withdrawn: batch})
		}
	}
	return m.endInput()
}

// beginInput starts an input. After a gap in the inputs, this process may have been declared dead, and its
// suspicions rest on acknowledgements that it could not receive: it refutes and restarts the suspicions.
func (m *Machine) beginInput(now time.Time) {
	m.out = Output{}
	if !m.started {
		m.started = true
		m.lastInput, m.lastContact = now, now
		m.nextProbe = now.Add(m.jitter(m.config.ProbeInterval))
		m.resetSyncBackoff(now)
		return
	}
	gap := now.Sub(m.lastInput)
	m.lastInput = now
	if gap < m.config.PauseLimit {
		return
	}
	m.out.Events = append(m.out.Events, Event{Kind: Paused, Gap: gap})
	clear(m.probes)
	m.probeOrder = nil
	m.verifications = nil
	m.nextProbe, m.lastContact = now, now
	for _, r := range m.table.live {
		r.restartState(now)
	}
	// The local upstream was paused too, so missing announcements say nothing about it.
	for service := range m.lastAnnounced {
		m.lastAnnounced[service] = now
	}
	m.changeSelf(now, func(*Member) {})
	m.resetSyncBackoff(now)
}

func (m *Machine) endInput() Output {
	out := m.out
	m.out = Output{}
	return out
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

// minSyncBackoff is the time between syncs after a start, a pause or a network partition, when many lists
// differ and piggybacked updates alone would take minutes.
const minSyncBackoff = time.Second

// resetSyncBackoff schedules the next sync at a random time within minSyncBackoff.
func (m *Machine) resetSyncBackoff(now time.Time) {
	m.syncBackoff = minSyncBackoff
	m.nextSync = now.Add(m.jitter(minSyncBackoff))
}

// changeSelf creates a new version of this node's record and pushes it.
func (m *Machine) changeSelf(now time.Time, change func(*Member)) {
	next := proto.CloneOf(m.self.Member)
	next.Version++
	change(next)
	m.self.Member = next
	m.enqueue(m.self)
	m.push(now)
}

// push sends updates to random members at once.
func (m *Machine) push(now time.Time) {
	for _, target := range sample(m.random, m.table.live, pushFanout, nil) {
		m.send(now, target, &Packet{Kind: membershipv1.Kind_KIND_PUSH})
	}
}

func (m *Machine) withdraw(now time.Time, service string) {
	delete(m.lastAnnounced, service)
	named := func(u *membershipv1.Upstream) bool { return u.Service == service }
	if slices.ContainsFunc(m.self.Upstreams, named) {
		m.changeSelf(now, func(self *Member) { self.Upstreams = slices.DeleteFunc(self.Upstreams, named) })
	}
}

func (m *Machine) expireAnnouncements(now time.Time) {
	for _, upstream := range m.self.Upstreams {
		if now.Sub(m.lastAnnounced[upstream.Service]) > m.config.AnnounceTimeout {
			m.out.Events = append(m.out.Events, Event{Kind: UpstreamLost, Service: upstream.Service})
			m.withdraw(now, upstream.Service)
		}
	}
}

// enqueue starts or restarts the piggybacking of a record.
func (m *Machine) enqueue(r *record) {
	if r.queued != nil {
		r.queued.sent = 0
		return
	}
	r.queued = &update{record: r}
	m.queue = append(m.queue, r.queued)
}

func (m *Machine) retransmitLimit() int {
	n := float64(len(m.table.live) + 2)
	return m.config.RetransmitFactor * int(math.Ceil(math.Log(n)))
}

// send fills the packet with the sender, the piggyback and as many updates as fit, least sent first. A
// packet to a suspect or dead member carries that claim, so that the member can refute it.
func (m *Machine) send(now time.Time, to *record, packet *Packet) {
	packet.Sender = m.self.Name
	packet.SenderIncarnation = m.self.Incarnation
	packet.Piggyback = m.piggyback
	if to.State != membershipv1.State_STATE_ALIVE {
		packet.Updates = append(packet.Updates, wireRecord(to, now, true))
	}
	room := m.config.PacketBytes - proto.Size(packet)
	slices.SortStableFunc(m.queue, func(a, b *update) int { return a.sent - b.sent })
	limit := m.retransmitLimit()
	exhausted := false
	for _, u := range m.queue {
		record := wireRecord(u.record, now, true)
		size := proto.Size(record) + recordOverhead
		if size > room {
			break
		}
		room -= size
		packet.Updates = append(packet.Updates, record)
		u.sent++
		exhausted = exhausted || u.sent >= limit
	}
	if exhausted {
		m.queue = slices.DeleteFunc(m.queue, func(u *update) bool { return u.dequeue(u.sent >= limit) })
	}
	m.out.Sends = append(m.out.Sends, Send{To: to.PeerAddress, Packet: packet})
}

// recordOverhead is the size of the field tag and length of a record in a packet.
const recordOverhead = 3

func (u *update) dequeue(done bool) bool {
	if done {
		u.record.queued = nil
	}
	return done
}

func isAlive(r *record) bool { return r.State == membershipv1.State_STATE_ALIVE }
