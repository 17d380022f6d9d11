package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/member"
	"github.com/cowslipglade/cowslipglade/peer"
	membershipv1 "github.com/cowslipglade/cowslipglade/rpc/membership/v1"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
	"github.com/cowslipglade/cowslipglade/upstream"
)

const (
	tickInterval = 100 * time.Millisecond
	// joinInterval is how often a node without peers contacts its seeds. With peers it does so every
	// rejoinInterval, so that fleets that started separately find each other.
	joinInterval   = time.Second
	rejoinInterval = 30 * time.Second
	maxPacketBytes = 64 << 10
)

// membership runs the membership state machine over UDP and twirp.
type membership struct {
	node   *Node
	client *http.Client
	conn   *net.UDPConn
	view   *view

	mu       sync.Mutex // guards machine and election
	machine  *member.Machine
	election *member.Election
	// watcherAddresses are additional seeds, read from the platform.
	watcherAddresses []string
}

func newMembership(n *Node) *membership {
	s := n.settings
	cfg := member.DefaultConfig()
	cfg.Name, cfg.FailureDomain, cfg.Region = s.Name, s.FailureDomain, s.Region
	cfg.PeerAddress, cfg.Incarnation = s.Advertised(), n.incarnation
	machine, err := member.New(cfg, n.random)
	if err != nil {
		panic(err) // the settings were validated
	}
	m := &membership{
		node:     n,
		client:   peer.NewControlClient(s.PeerIP(), n.keyring),
		machine:  machine,
		election: member.NewElection(s.FailureDomain, []byte(s.Advertised()), n.random),
	}
	m.view = newView(n, m)
	return m
}

func (m *membership) mount(mux *http.ServeMux) {
	handler := membershipv1.NewMembershipServer(m)
	mux.Handle(handler.PathPrefix(), peer.RequireSignature(m.node.keyring, handler))
}

// listen opens the UDP socket on the peer address.
func (m *membership) listen() error {
	address, err := netip.ParseAddrPort(m.node.settings.PeerAddress)
	if err != nil {
		return err
	}
	m.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	return err
}

// run ticks the machine until ctx ends.
func (m *membership) run(ctx context.Context) {
	m.node.tasks.Go(func() { m.receive() })
	defer m.conn.Close()
	m.join(ctx)
	nextJoin := m.node.leaseNow().Add(joinInterval)
	for ctx.Err() == nil {
		now := m.node.leaseNow()
		m.update(ctx, func(machine *member.Machine) member.Output {
			machine.SetPiggyback(m.node.configuration.piggyback(m.node.now()))
			return machine.Tick(now)
		})
		m.elect(ctx)
		m.view.publish()
		if now.After(nextJoin) {
			m.join(ctx)
			nextJoin = now.Add(m.nextJoinWait())
		}
		clock.Sleep(ctx, tickInterval)
	}
}

func (m *membership) nextJoinWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.machine.Targets(1)) == 0 {
		return joinInterval
	}
	return rejoinInterval
}

// join requests the member lists of the seeds.
func (m *membership) join(ctx context.Context) {
	addresses := append([]string{}, m.node.settings.Seeds...)
	m.mu.Lock()
	addresses = append(addresses, m.watcherAddresses...)
	m.mu.Unlock()
	m.update(ctx, func(machine *member.Machine) member.Output { return machine.Join(m.node.leaseNow(), addresses) })
}

// update passes an input to the machine and executes its output.
func (m *membership) update(ctx context.Context, input func(*member.Machine) member.Output) {
	m.mu.Lock()
	output := input(m.machine)
	m.mu.Unlock()
	m.execute(ctx, output)
}

func (m *membership) execute(ctx context.Context, output member.Output) {
	for i := range output.Events {
		m.handleEvent(ctx, &output.Events[i])
	}
	for _, send := range output.Sends {
		m.send(send)
	}
	for _, sync := range output.Syncs {
		m.node.tasks.Go(func() { m.sync(ctx, sync) })
	}
}

func (m *membership) handleEvent(ctx context.Context, event *member.Event) {
	switch event.Kind {
	case member.Changed:
		m.view.markDirty()
	case member.PiggybackReceived:
		m.node.configuration.handlePiggyback(ctx, event.Member, event.Piggyback)
	case member.WithdrawalsReceived:
		m.node.withdrawals.merge(ctx, event.Withdrawn)
	case member.UpstreamLost:
		m.view.markDirty()
		m.node.log.Warn().Str("service", event.Service).Msg("upstream missed its announcements")
	case member.Paused:
		m.mu.Lock()
		m.election.Drop()
		m.mu.Unlock()
		m.node.log.Warn().Dur("gap_ms", event.Gap).Msg("process was paused; leases dropped")
	case member.Reincarnated:
		m.node.reincarnate(event.Incarnation)
	}
}

var packetSignatureLabel = []byte("membership-packet")

// send signs and sends one packet. It ignores errors, because the machine tolerates packet loss.
func (m *membership) send(send member.Send) {
	data, err := proto.Marshal(send.Packet)
	if err != nil {
		m.node.log.Error().Err(err).Msg("membership packet not encoded")
		return
	}
	to, err := netip.ParseAddrPort(send.To)
	if err != nil {
		return
	}
	frame := append([]byte(m.node.keyring.Sign(packetSignatureLabel, data)), data...)
	m.node.metrics.membershipBytesSent.Add(int64(len(frame)))
	_, _ = m.conn.WriteToUDPAddrPort(frame, to)
}

// receive handles packets until the socket closes.
func (m *membership) receive() {
	buffer := make([]byte, maxPacketBytes)
	for {
		count, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		packet, err := decodePacket(m.node.keyring, buffer[:count])
		if err != nil {
			m.node.metrics.rejectedPackets.Add(1)
			continue
		}
		m.update(m.node.background, func(machine *member.Machine) member.Output {
			return machine.HandleMessage(m.node.leaseNow(), from.String(), packet)
		})
	}
}

func (m *membership) sync(ctx context.Context, sync member.Sync) {
	client := membershipv1.NewMembershipProtobufClient("http://"+sync.To, m.client)
	response, err := client.Sync(ctx, sync.Request)
	if err != nil {
		m.node.log.Debug().Err(err).Str("peer", sync.To).Msg("member list not synchronized")
		return
	}
	m.update(ctx, func(machine *member.Machine) member.Output {
		return machine.HandleSyncResponse(m.node.leaseNow(), sync.To, response)
	})
}

// Sync implements membershipv1.Membership.
func (m *membership) Sync(_ context.Context, req *membershipv1.SyncRequest) (*membershipv1.SyncResponse, error) {
	var response *membershipv1.SyncResponse
	m.update(m.node.background, func(machine *member.Machine) (output member.Output) {
		response, output = machine.HandleSyncRequest(m.node.leaseNow(), req)
		return output
	})
	return response, nil
}

// ExchangeWithdrawals implements membershipv1.Membership.
func (m *membership) ExchangeWithdrawals(_ context.Context, req *membershipv1.ExchangeWithdrawalsRequest) (*membershipv1.ExchangeWithdrawalsResponse, error) {
	return m.node.withdrawals.exchange(m.node.background, req), nil
}

// announce tells other nodes about the upstream on this VM.
func (m *membership) announce(a *upstream.Announcement, draining bool) {
	now := m.node.leaseNow()
	m.update(m.node.background, func(machine *member.Machine) member.Output {
		return machine.Announce(now, &membershipv1.Upstream{
			Service: a.Service, Slots: int32(a.Slots), Connections: int32(a.Connections), WarmUpMs: a.WarmUpMS, Draining: draining,
		})
	})
	m.view.markDirty()
	m.view.publish()
}

// withdrawUpstream tells other nodes that the upstream is unavailable.
func (m *membership) withdrawUpstream(service string) {
	m.update(m.node.background, func(machine *member.Machine) member.Output {
		return machine.Withdraw(m.node.leaseNow(), service)
	})
	m.view.markDirty()
	m.view.publish()
}

func (m *membership) setDraining(draining bool) {
	m.update(m.node.background, func(machine *member.Machine) member.Output {
		return machine.SetDraining(m.node.leaseNow(), draining)
	})
	m.view.markDirty()
	m.view.publish()
}

func (m *membership) setShards(shards []*membershipv1.ShardTerm) {
	m.update(m.node.background, func(machine *member.Machine) member.Output {
		return machine.SetShards(m.node.leaseNow(), shards)
	})
	m.view.markDirty()
	m.view.publish()
}

// leave tells other nodes that this node stops.
func (m *membership) leave(ctx context.Context) {
	m.update(ctx, func(machine *member.Machine) member.Output { return machine.Leave(m.node.leaseNow()) })
}

// pushWithdrawals immediately sends key hashes to random members.
func (m *membership) pushWithdrawals(ctx context.Context, hashes [][]byte) {
	m.update(ctx, func(machine *member.Machine) member.Output {
		return machine.PushWithdrawals(m.node.leaseNow(), hashes)
	})
}

// randomMembers returns up to count available members.
func (m *membership) randomMembers(count int) []candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []candidate
	for _, target := range m.machine.Targets(count) {
		list = append(list, candidateOf(target))
	}
	return list
}

// find returns the member with the given name and incarnation.
func (m *membership) find(name string, incarnation uint64) (candidate, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := m.machine.Member(name)
	if found == nil || found.GetIncarnation() != incarnation {
		return candidate{}, false
	}
	return candidateOf(found), true
}

// holdsShard reports whether a member that may be alive owns the shard: this incarnation wrote the record, or
// its member record lists the shard.
func (m *membership) holdsShard(shard string, record shardRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner := m.machine.Self()
	if record.Node != owner.GetName() {
		owner = m.machine.Member(record.Node)
	}
	if owner == nil || !available(owner) {
		return false
	}
	if owner.GetIncarnation() == record.Incarnation {
		return true
	}
	return slices.ContainsFunc(owner.GetShards(), func(s *membershipv1.ShardTerm) bool {
		return shard == fmt.Sprintf("%s/%d", owner.GetFailureDomain(), s.GetNumber())
	})
}

// domainRank returns this node's rank among the available members of its failure domain, and their count.
func (m *membership) domainRank() (rank, members int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	members = 1
	for _, other := range m.machine.Members() {
		if available(other) && other.GetFailureDomain() == m.node.settings.FailureDomain {
			members++
		}
	}
	return m.machine.Rank(), members
}

// successor returns another available member of the failure domain.
func (m *membership) successor() (candidate, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.machine.Members() {
		if available(other) && other.GetFailureDomain() == m.node.settings.FailureDomain {
			return candidateOf(other), true
		}
	}
	return candidate{}, false
}

func (m *membership) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.machine.Members()) + 1
}

const stateDraining = "STATE_DRAINING"

func (m *membership) status() []*operatorv1.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*operatorv1.Member
	for _, record := range append([]*member.Member{m.machine.Self()}, m.machine.Members()...) {
		state := record.GetState().String()
		if record.GetState() == membershipv1.State_STATE_ALIVE && record.GetDraining() {
			state = stateDraining
		}
		status := &operatorv1.Member{
			Name:          record.GetName(),
			FailureDomain: record.GetFailureDomain(),
			PeerAddress:   record.GetPeerAddress(),
			State:         state,
			Incarnation:   record.GetIncarnation(),
		}
		for _, u := range record.GetUpstreams() {
			status.Services = append(status.Services, u.GetService())
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b *operatorv1.Member) int {
		return cmp.Or(cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return list
}
