package slopes

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/member"
	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
)

const (
	// packetOverheadBytes is the size of the IP and UDP headers and the signature of a packet.
	packetOverheadBytes = 28 + 40
	// callOverheadBytes is the size of the headers and signature of an HTTP call.
	callOverheadBytes = 600
	tickInterval      = 100 * time.Millisecond
	// memberChangeInterval corresponds to 461 member changes a day: 21 failures and 440 restarts or
	// replacements.
	memberChangeInterval = 24 * time.Hour / 461
	idleSeconds          = 600
	churnChanges         = 10
)

var epoch = time.Unix(1e9, 0)

func nodeName(i int) string { return fmt.Sprintf("node-%04d", i) }

func memberRecord(i int, incarnation uint64) *membershipv1.Member {
	return &membershipv1.Member{
		Name: nodeName(i), FailureDomain: fmt.Sprint("zone-", i%4), Region: fmt.Sprint("region-", i%2),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7000", i%4, i/250, i%250), Incarnation: incarnation, Version: 1,
		State:     membershipv1.State_STATE_ALIVE,
		Upstreams: []*membershipv1.Upstream{{Service: fmt.Sprint("service-", i%300), Slots: 150, Connections: 1000}},
	}
}

func incarnationOf(i int) uint64 { return uint64(epoch.UnixNano()) + uint64(i) }

func newMachine(i int) (*member.Machine, error) {
	own := memberRecord(i, incarnationOf(i))
	config := member.DefaultConfig()
	config.Name, config.FailureDomain, config.Region = own.Name, own.FailureDomain, own.Region
	config.PeerAddress, config.Incarnation = own.PeerAddress, own.Incarnation
	return member.New(config, rand.New(rand.NewPCG(1, uint64(i))))
}

// harness runs one machine with simulated peers, which respond to each of its probes. Once a second, one of
// the peers in turn probes the machine.
type harness struct {
	machine     *member.Machine
	now         time.Time
	peers       int
	sentBytes   int
	sentPackets int
}

func newHarness(n int) (*harness, error) {
	m, err := newMachine(n)
	if err != nil {
		return nil, err
	}
	h := &harness{machine: m, now: epoch, peers: n}
	response := &membershipv1.SyncResponse{}
	for i := range n {
		response.Members = append(response.Members, memberRecord(i, incarnationOf(i)))
	}
	m.HandleSyncResponse(h.now, "seed:1", response)
	m.SetPiggyback(&member.Piggyback{ConfigRevision: 123_456, ConfigAgeMs: 1500, WithdrawalDigest: 1, QuarantineDigest: 1})
	return h, nil
}

func (h *harness) handleOutput(out member.Output) {
	for _, s := range out.Sends {
		h.sentBytes += proto.Size(s.Packet) + packetOverheadBytes
		h.sentPackets++
		if s.Packet.GetKind() == membershipv1.Kind_KIND_PROBE {
			to := h.machine.Member(s.Packet.GetTarget())
			h.handleOutput(h.machine.HandleMessage(h.now, s.To, &member.Packet{
				Kind: membershipv1.Kind_KIND_ACK, Sender: to.GetName(), SenderIncarnation: to.GetIncarnation(),
				Sequence: s.Packet.GetSequence(), Target: to.GetName(),
			}))
		}
	}
	for _, s := range out.Syncs {
		h.sentBytes += proto.Size(s.Request) + callOverheadBytes
		h.handleOutput(h.machine.HandleSyncResponse(h.now, s.To, &membershipv1.SyncResponse{Equal: true}))
	}
}

// runSeconds runs count simulated seconds.
func (h *harness) runSeconds(count int) {
	for s := range count {
		h.handleOutput(h.machine.Announce(h.now, &membershipv1.Upstream{Service: "service-1", Slots: 150, Connections: 1000}))
		h.probeFrom(s%h.peers, nil)
		for range 10 {
			h.now = h.now.Add(tickInterval)
			h.handleOutput(h.machine.Tick(h.now))
		}
	}
}

func (h *harness) probeFrom(from int, updates []*membershipv1.Member) {
	sender := h.machine.Member(nodeName(from))
	h.handleOutput(h.machine.HandleMessage(h.now, sender.GetPeerAddress(), &member.Packet{
		Kind: membershipv1.Kind_KIND_PROBE, Sender: sender.GetName(), SenderIncarnation: sender.GetIncarnation(),
		Target: nodeName(h.peers), Updates: updates,
	}))
}

// spreadInitialRecords runs for the time in which the machine repeats its initial records to its peers.
func (h *harness) spreadInitialRecords() { h.runSeconds(h.peers) }

func measureMembership(r *recorder) error {
	for _, n := range []int{500, 1000, 2000, 4900} {
		if err := measureMembershipSize(r, n); err != nil {
			return err
		}
	}
	for _, n := range []int{50, 100, 200, 400} {
		if err := measureHealing(r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureMembershipSize(r *recorder, n int) error {
	size, x := fmt.Sprint(n, " members"), float64(n)
	before := heapBytes()
	h, err := newHarness(n)
	if err != nil {
		return err
	}
	h.spreadInitialRecords()
	r.add("heap", "bytes", size, x, heapBytes()-before)

	h.sentBytes = 0
	cpu := cpuTime(func() { h.runSeconds(idleSeconds) })
	r.add("idle processor time", "ns/s", size, x, float64(cpu)/idleSeconds)
	r.add("idle bytes sent", "bytes/s", size, x, float64(h.sentBytes)/idleSeconds)

	h.sentBytes = 0
	seconds := int(memberChangeInterval / time.Second)
	cpu = cpuTime(func() {
		for i := range churnChanges {
			h.probeFrom(n-1, []*membershipv1.Member{memberRecord(i, incarnationOf(i)+uint64(time.Hour))})
			h.runSeconds(seconds)
		}
	})
	r.add("processor time under churn", "ns/s", size, x, float64(cpu)/float64(churnChanges*seconds))
	r.add("bytes sent under churn", "bytes/s", size, x, float64(h.sentBytes)/float64(churnChanges*seconds))
	for _, seeds := range []int{1, watcherSeeds} {
		if err := measureJoin(r, h, seeds, size, x); err != nil {
			return err
		}
	}
	return nil
}

// watcherSeeds is the number of watcher slots in 4 failure domains, whose holders a starting node uses as
// seeds.
const watcherSeeds = 4 * member.WatcherSlots

// measureJoin measures the member lists that a new node receives if the first responses of all seeds arrive
// before it sends the second requests. This order is the most expensive one.
func measureJoin(r *recorder, h *harness, seeds int, size string, x float64) error {
	m, err := newMachine(h.peers + 1)
	if err != nil {
		return err
	}
	total := 0
	cpu := cpuTime(func() {
		var addresses []string
		for i := range seeds {
			addresses = append(addresses, fmt.Sprintf("seed-%d:1", i))
		}
		syncs := m.Join(h.now, addresses).Syncs
		for len(syncs) > 0 {
			s := syncs[0]
			response, _ := h.machine.HandleSyncRequest(h.now, s.Request)
			total += proto.Size(s.Request) + proto.Size(response) + callOverheadBytes
			syncs = append(syncs[1:], m.HandleSyncResponse(h.now, s.To, response).Syncs...)
		}
	})
	label := fmt.Sprintf("join with %d seeds: ", seeds)
	r.add(label+"members known", "members", size, x, float64(len(m.Members())))
	r.add(label+"bytes of all calls", "bytes", size, x, float64(total))
	r.add(label+"processor time of both sides", "ns", size, x, float64(cpu))
	runtime.KeepAlive(h)
	return nil
}

// cluster runs n machines that exchange messages, which arrive after messageDelay.
type cluster struct {
	machines    []*member.Machine
	index       map[string]int
	now         time.Time
	inbox       []func()
	partitioned bool
	bytes       int
}

func (c *cluster) connected(a, b int) bool { return !c.partitioned || a%2 == b%2 }

func (c *cluster) handleOutput(from int, out member.Output) {
	for _, s := range out.Sends {
		size := proto.Size(s.Packet) + packetOverheadBytes
		c.bytes += size
		to, found := c.index[s.To]
		if !found || !c.connected(from, to) {
			continue
		}
		c.bytes += size
		packet := proto.Clone(s.Packet).(*member.Packet)
		c.inbox = append(c.inbox, func() {
			c.handleOutput(to, c.machines[to].HandleMessage(c.now, memberRecord(from, 0).GetPeerAddress(), packet))
		})
	}
	for _, s := range out.Syncs {
		to, found := c.index[s.To]
		if found && c.connected(from, to) {
			c.inbox = append(c.inbox, func() { c.sync(from, to, s) })
		}
	}
}

func (c *cluster) sync(from, to int, s member.Sync) {
	response, out := c.machines[to].HandleSyncRequest(c.now, proto.Clone(s.Request).(*membershipv1.SyncRequest))
	c.handleOutput(to, out)
	c.bytes += 2 * (proto.Size(s.Request) + proto.Size(response) + callOverheadBytes)
	c.handleOutput(from, c.machines[from].HandleSyncResponse(c.now, s.To, proto.Clone(response).(*membershipv1.SyncResponse)))
}

// messageDelay is shorter than a tick, so that responses to probes arrive before the probe timeout.
const messageDelay = 5 * time.Millisecond

func (c *cluster) run(seconds int) {
	for range seconds * 10 {
		for i, m := range c.machines {
			c.handleOutput(i, m.Tick(c.now))
		}
		for elapsed := time.Duration(0); elapsed < tickInterval; elapsed += messageDelay {
			c.now = c.now.Add(messageDelay)
			inbox := c.inbox
			c.inbox = nil
			for _, deliver := range inbox {
				deliver()
			}
		}
	}
}

// countAlive returns the sum over all machines of the members that they consider alive.
func (c *cluster) countAlive() int {
	total := 0
	for _, m := range c.machines {
		for _, r := range m.Members() {
			if r.GetState() == membershipv1.State_STATE_ALIVE {
				total++
			}
		}
	}
	return total
}

// partitionSeconds represents a network partition of an hour in less run time. Well before it heals,
// each side considers all members of the other dead, and dead members are kept for 24 h, so the lists to
// merge are the same as after an hour.
const partitionSeconds = 90

func measureHealing(r *recorder, n int) error {
	c := &cluster{index: map[string]int{}, now: epoch}
	for i := range n {
		m, err := newMachine(i)
		if err != nil {
			return err
		}
		c.machines = append(c.machines, m)
		c.index[memberRecord(i, 0).GetPeerAddress()] = i
	}
	for i, m := range c.machines {
		c.handleOutput(i, m.Join(c.now, []string{memberRecord(0, 0).GetPeerAddress()}))
	}
	c.run(60)
	c.partitioned = true
	c.run(partitionSeconds)
	c.partitioned = false
	c.bytes = 0
	size, x := fmt.Sprint(n, " members"), float64(n)
	r.add("members held alive before healing", "members per node", size, x, float64(c.countAlive())/float64(n))
	seconds := 0
	cpu := cpuTime(func() {
		for c.countAlive() < n*(n-1) && seconds < 180 {
			c.run(5)
			seconds += 5
		}
	})
	r.add("members held alive after healing", "members per node", size, x, float64(c.countAlive())/float64(n))
	r.add("healing time, simulated", "s", size, x, float64(seconds))
	r.add("healing bytes sent and received per node", "bytes", size, x, float64(c.bytes)/float64(n))
	r.add("healing processor time per node", "ns", size, x, float64(cpu)/float64(n))
	return nil
}
