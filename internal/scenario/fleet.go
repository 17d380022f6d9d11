package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowslipglade/cowslipglade/internal/settings"
	"github.com/cowslipglade/cowslipglade/keys"
	"github.com/cowslipglade/cowslipglade/kvstore"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// Ports on the IP addresses of each VM and of the platform.
const (
	portCaller        = 8080
	portLocal         = 8081
	portUpstream      = 8090
	portUpstreamAdmin = 8091
	portPeer          = 7400
	portRelay         = 7401 // advertised to other nodes
	portPlatform      = 2379
	portPlatformAdmin = 2380
	portPlatformRelay = 2378 // configured in nodes
)

// PolicyVariable is the environment variable that selects the policy of the nodes. "none" shows what the scripts
// detect when the mechanisms under test are disabled.
const PolicyVariable = "SCENARIO_POLICY"

func policy() string {
	if value := os.Getenv(PolicyVariable); value != "" {
		return value
	}
	return string(settings.PolicyCurrent)
}

// readinessWorkspace is a separate workspace, so that readiness checks take no tokens from other workspaces. Its
// runs are excluded from all checks.
const readinessWorkspace = "readiness"

const readinessQuota = 100_000

// platformName is the operand that selects the platform in the cut command.
const platformName = "platform"

const (
	region    = "test-region"
	actorName = "scenario"
)

// vm is an emulated VM, which is a loopback IP address with a node and an upstream.
type vm struct {
	name, service, domain string
	ip                    netip.Addr
	node, upstream        *process
	nodeArgs              []string
	upstreamArgs          []string
}

func (v *vm) address(port uint16) string {
	return netip.AddrPortFrom(v.ip, port).String()
}

// fleetSpec holds the options of the fleet command.
type fleetSpec struct {
	domains      []string
	services     []string
	upstreamArgs []string
	policy       string
	timeoutMS    int64
}

func (h *harness) platformIP() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(h.network), 0, 1})
}

func (h *harness) startFleet(_ *testscript.TestScript, args arguments) error {
	spec, err := h.parseFleetSpec(args)
	if err != nil {
		return err
	}
	h.reservedProcesses = 2*len(spec.domains)*len(spec.services) + 1
	processes.acquire(h.reservedProcesses)
	if err := h.startPlatform(); err != nil {
		return err
	}
	if err := h.createVMs(spec); err != nil {
		return err
	}
	for _, v := range h.vms {
		if err := h.startVM(v, ""); err != nil {
			return err
		}
	}
	return h.configure(spec)
}

func (h *harness) parseFleetSpec(args arguments) (fleetSpec, error) {
	domains, err := args.numberOption("domains", 2)
	if err != nil {
		return fleetSpec{}, err
	}
	rate, err := args.numberOption("rate", 20000)
	if err != nil {
		return fleetSpec{}, err
	}
	burst, err := args.numberOption("burst", 20000)
	if err != nil {
		return fleetSpec{}, err
	}
	timeout, err := time.ParseDuration(args.stringOption("timeout", "10s"))
	if err != nil {
		return fleetSpec{}, err
	}
	spec := fleetSpec{
		services:  args.listOption("services", "desk"),
		policy:    policy(),
		timeoutMS: timeout.Milliseconds(),
		upstreamArgs: []string{
			"--slots=" + args.stringOption("slots", "16"), "--service-median-ms=" + args.stringOption("median", "5"), "--service-sigma=0",
		},
	}
	for d := range int(domains) {
		spec.domains = append(spec.domains, fmt.Sprintf("domain-%d", d+1))
	}
	if calls := args.stringOption("calls", ""); calls != "" {
		for _, c := range strings.Split(calls, ",") {
			spec.upstreamArgs = append(spec.upstreamArgs, "--downstream="+c)
		}
	}
	for _, name := range args.listOption("workspaces", "glass") {
		h.workspaces[name] = quota{rate: rate, burst: int64(burst)}
		h.keys[name] = key{secret: keys.Generate(), workspace: name}
	}
	h.workspaces[readinessWorkspace] = quota{rate: readinessQuota, burst: readinessQuota}
	h.keys[readinessWorkspace] = key{secret: keys.Generate(), workspace: readinessWorkspace}
	h.token = keys.Generate()
	return spec, nil
}

func (h *harness) startPlatform() error {
	ip := h.platformIP()
	target := netip.AddrPortFrom(ip, portPlatform)
	var err error
	h.platform, err = startProcess(filepath.Join(h.dir, "platform.log"), h.binaries.Cowslipbench, "platform",
		"--address="+target.String(), fmt.Sprintf("--admin-address=%s:%d", ip, portPlatformAdmin))
	if err != nil {
		return err
	}
	return h.addRelay(netip.AddrPortFrom(ip, portPlatformRelay), target)
}

func (h *harness) addRelay(address, target netip.AddrPort) error {
	r, err := startRelay(h.partitions, address, target)
	if err == nil {
		h.relays = append(h.relays, r)
	}
	return err
}

// createVMs creates one VM for each service in each domain. The first VM of each domain is a seed.
func (h *harness) createVMs(spec fleetSpec) error {
	var seeds []string
	for d, domain := range spec.domains {
		for s, service := range spec.services {
			v := &vm{
				name: fmt.Sprintf("%s-%d", service, d+1), service: service, domain: domain,
				ip: netip.AddrFrom4([4]byte{127, byte(h.network), byte(d + 1), byte(s + 1)}),
			}
			if s == 0 {
				seeds = append(seeds, v.address(portRelay))
			}
			v.upstreamArgs = append([]string{
				"upstream", "--service=" + service,
				"--address=" + v.address(portUpstream), "--admin-address=" + v.address(portUpstreamAdmin),
				"--local-address=" + v.address(portLocal), "--record-file=" + h.recordFile(v),
			}, spec.upstreamArgs...)
			h.vms = append(h.vms, v)
			if err := h.addRelay(netip.AddrPortFrom(v.ip, portRelay), netip.AddrPortFrom(v.ip, portPeer)); err != nil {
				return err
			}
		}
	}
	secret := keys.Generate()
	for _, v := range h.vms {
		if err := h.writeSettings(v, spec, seeds, secret); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) recordFile(v *vm) string {
	return filepath.Join(h.dir, v.name+".records")
}

func (h *harness) writeSettings(v *vm, spec fleetSpec, seeds []string, secret string) error {
	s := settings.DefaultNode()
	s.Name, s.FailureDomain, s.Region, s.FailureDomains = v.name, v.domain, region, spec.domains
	s.CallerAddress, s.LocalAddress = v.address(portCaller), v.address(portLocal)
	s.PeerAddress, s.AdvertiseAddress, s.Seeds = v.address(portPeer), v.address(portRelay), seeds
	s.PlatformEndpoints = []string{fmt.Sprintf("http://%s:%d", h.platformIP(), portPlatformRelay)}
	s.Secrets, s.OperatorToken = []string{secret}, h.token
	s.Policy = settings.Policy(spec.policy)
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(h.dir, v.name+".toml")
	v.nodeArgs = []string{"--config", path}
	return os.WriteFile(path, text, 0o600)
}

// startVM starts those processes of a VM that are not running. A non-empty only limits it to one of them.
func (h *harness) startVM(v *vm, only string) error {
	var err error
	if only != processUpstream && !v.node.running() {
		v.node, err = startProcess(filepath.Join(h.dir, v.name+".node.log"), h.binaries.Cowslipd, v.nodeArgs...)
	}
	if err == nil && only != processNode && !v.upstream.running() {
		v.upstream, err = startProcess(filepath.Join(h.dir, v.name+".upstream.log"), h.binaries.Cowslipbench, v.upstreamArgs...)
	}
	return err
}

// configure applies workspaces, keys and routes, and waits until every node serves every service.
func (h *harness) configure(spec fleetSpec) error {
	var changes []*operatorv1.ApplyRequest
	for name, q := range h.workspaces {
		workspace := &operatorv1.Workspace{Name: name, Rate: q.rate, Burst: q.burst, Weight: 1}
		stored := &operatorv1.Key{Id: name, Workspace: name, Sha256: keys.Hash(h.keys[name].secret)}
		changes = append(changes,
			&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutWorkspace{PutWorkspace: workspace}},
			&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutKey{PutKey: stored}})
	}
	for _, service := range spec.services {
		for _, route := range routes(service, spec.timeoutMS) {
			changes = append(changes, &operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutRoute{PutRoute: route}})
		}
	}
	for i, change := range changes {
		change.Actor, change.ChangeId = actorName, fmt.Sprintf("fleet-%d", i)
		err := poll(defaultDeadline, func(ctx context.Context) error {
			response, err := h.operator(h.vms[0]).Apply(ctx, change) // a repeated change ID returns the first result
			h.revision = max(h.revision, response.GetRevision())
			return err
		})
		if err != nil {
			return fmt.Errorf("configure: %w", err)
		}
	}
	if spec.policy == string(settings.PolicyCurrent) {
		if err := poll(defaultDeadline, func(ctx context.Context) error { return h.checkShardOwners(ctx, spec) }); err != nil {
			return err
		}
	}
	for _, v := range h.vms {
		if err := poll(defaultDeadline, func(ctx context.Context) error { return h.checkReady(ctx, v, spec) }); err != nil {
			return fmt.Errorf("%s is not ready: %w", v.name, err)
		}
	}
	return nil
}

// checkShardOwners checks that an owner of every quota shard is recorded on the platform.
func (h *harness) checkShardOwners(ctx context.Context, spec fleetSpec) error {
	const shardsPerDomain = 4
	config := kvstore.DefaultEtcdConfig()
	config.Endpoints = []string{fmt.Sprintf("http://%s:%d", h.platformIP(), portPlatform)}
	store, err := kvstore.NewEtcd(config)
	if err != nil {
		return err
	}
	defer store.Close()
	owners, _, err := store.List(ctx, "quota/owner/")
	if err == nil && len(owners) < shardsPerDomain*len(spec.domains) {
		err = fmt.Errorf("only %d quota shards have an owner", len(owners))
	}
	return err
}

// routes returns the routes of a service.
func routes(service string, timeoutMS int64) []*operatorv1.Route {
	const critical, normal, sheddable = operatorv1.Importance_IMPORTANCE_CRITICAL,
		operatorv1.Importance_IMPORTANCE_NORMAL, operatorv1.Importance_IMPORTANCE_SHEDDABLE
	var list []*operatorv1.Route
	for _, r := range []struct {
		name, path, method string
		importance         operatorv1.Importance
		open               bool
	}{
		{"get", "/", http.MethodGet, normal, false},
		{"post", "/", http.MethodPost, normal, false},
		{"critical-get", "/critical/", http.MethodGet, critical, false},
		{"critical-post", "/critical/", http.MethodPost, critical, false},
		{"sheddable-get", "/sheddable/", http.MethodGet, sheddable, false},
		{"open-get", "/open/", http.MethodGet, normal, true},
		{"open-post", "/open/", http.MethodPost, normal, true},
	} {
		list = append(list, &operatorv1.Route{
			Name: service + "-" + r.name, PathPrefix: "/" + service + r.path, Methods: []string{r.method}, Service: service,
			Importance: r.importance, Idempotent: r.method == http.MethodGet, Open: r.open, TimeoutMs: timeoutMS,
		})
	}
	return list
}

// checkReady checks that a node has the latest configuration and all members, and that requests with a key reach
// every service through it.
func (h *harness) checkReady(ctx context.Context, v *vm, spec fleetSpec) error {
	status, err := h.operator(v).GetStatus(ctx, &operatorv1.GetStatusRequest{})
	if err != nil {
		return err
	}
	if got := status.GetConfigRevision(); got < h.revision {
		return fmt.Errorf("configuration is at revision %d of %d", got, h.revision)
	}
	if got := len(status.GetMembers()); got < len(h.vms) {
		return fmt.Errorf("membership has %d of %d members", got, len(h.vms))
	}
	for _, service := range spec.services {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(portCaller)+"/"+service+"/ready", nil)
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+h.keys[readinessWorkspace].secret)
		if err := h.client.expectOK(request); err != nil {
			return fmt.Errorf("%s: %w", service, err)
		}
	}
	return nil
}

type tokenTransport struct {
	token string
	base  http.RoundTripper
}

// RoundTrip adds the operator token to the request.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	authorized := r.Clone(r.Context())
	authorized.Header.Set("Authorization", "Bearer "+t.token)
	return t.base.RoundTrip(authorized)
}

// operator returns a client of a node's operator API that bypasses the relay.
func (h *harness) operator(v *vm) operatorv1.Operator {
	client := &http.Client{Timeout: 10 * time.Second, Transport: tokenTransport{h.token, h.client.http.Transport}}
	return operatorv1.NewOperatorProtobufClient("http://"+v.address(portPeer), client)
}

// poll calls check repeatedly until it succeeds or the deadline has passed.
func poll(deadline time.Duration, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("after %v: %w", deadline, err)
		case <-time.After(pollInterval):
		}
	}
}

// post sends a JSON body to an admin endpoint and retries until it succeeds.
func (h *harness) post(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return poll(defaultDeadline, func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
		if err != nil {
			return err
		}
		return h.client.expectOK(request)
	})
}

// findVM returns the VM with a name.
func (h *harness) findVM(name string) (*vm, error) {
	for _, v := range h.vms {
		if v.name == name {
			return v, nil
		}
	}
	return nil, fmt.Errorf("unknown VM %q", name)
}

// selectVMs returns the VMs selected by names, each of which is a VM, a domain, a service or "all".
func (h *harness) selectVMs(names ...string) ([]*vm, error) {
	var vms []*vm
	for _, name := range names {
		before := len(vms)
		for _, v := range h.vms {
			if name == "all" || name == v.name || name == v.domain || name == v.service {
				vms = append(vms, v)
			}
		}
		if len(vms) == before {
			return nil, fmt.Errorf("%q is not a VM, domain or service", name)
		}
	}
	return vms, nil
}

// Names of the processes of a VM.
const (
	processNode     = "node"
	processUpstream = "upstream"
)

// signalAll sends a signal to the processes of the selected VMs. After SIGKILL it waits for their exit.
func (h *harness) signalAll(args arguments, signal syscall.Signal) error {
	vms, err := h.selectVMs(args.operands...)
	if err != nil {
		return err
	}
	only := args.stringOption("only", "")
	for _, v := range vms {
		for name, p := range map[string]*process{processNode: v.node, processUpstream: v.upstream} {
			if only != "" && only != name {
				continue
			}
			if err := p.signal(signal); err != nil {
				return fmt.Errorf("%s %s: %w", v.name, name, err)
			}
			if signal == syscall.SIGKILL {
				<-p.done
			}
		}
	}
	return nil
}

// expectOK sends a request, reads the entire response and returns an error unless the status is 200.
func (c *caller) expectOK(request *http.Request) error {
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %.300s", response.Status, text)
	}
	return err
}
