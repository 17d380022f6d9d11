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

// Ports on the address of each VM, and of the platform.
const (
	portCaller        = 8080
	portLocal         = 8081
	portUpstream      = 8090
	portUpstreamAdmin = 8091
	portPeer          = 7400
	portRelay         = 7401 // advertised to other nodes
	portPlatform      = 2379
	portPlatformAdmin = 2380
	portPlatformRelay = 2378 // known to nodes
)

// PolicyVariable is the environment variable that runs the scripts with another policy of the nodes.
// "none" shows what the scripts find without the mechanisms.
const PolicyVariable = "SCENARIO_POLICY"

func policy() string {
	if value := os.Getenv(PolicyVariable); value != "" {
		return value
	}
	return string(settings.PolicyCurrent)
}

// readiness is a workspace of its own, so that waiting for the fleet takes no tokens from others. Its runs
// do not count in checks.
const readiness = "readiness"

const readinessQuota = 100_000

// platformName is the name of the platform in cuts.
const platformName = "platform"

const (
	region    = "test-region"
	actorName = "scenario"
)

// vm is one slot with a node and an upstream.
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

// fleetPlan is what the fleet command asks for.
type fleetPlan struct {
	domains      []string
	services     []string
	upstreamArgs []string
	policy       string
	timeoutMS    int64
}

func (w *world) platformIP() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(w.network), 0, 1})
}

func (w *world) startFleet(_ *testscript.TestScript, args arguments) error {
	plan, err := w.planFleet(args)
	if err != nil {
		return err
	}
	w.reserved = 2*len(plan.domains)*len(plan.services) + 1
	processes.take(w.reserved)
	if err := w.startPlatform(); err != nil {
		return err
	}
	if err := w.layOut(plan); err != nil {
		return err
	}
	for _, v := range w.vms {
		if err := w.startVM(v, ""); err != nil {
			return err
		}
	}
	return w.configure(plan)
}

func (w *world) planFleet(args arguments) (fleetPlan, error) {
	domains, err := args.number("domains", 2)
	if err != nil {
		return fleetPlan{}, err
	}
	rate, err := args.number("rate", 20000)
	if err != nil {
		return fleetPlan{}, err
	}
	burst, err := args.number("burst", 20000)
	if err != nil {
		return fleetPlan{}, err
	}
	timeout, err := time.ParseDuration(args.text("timeout", "10s"))
	if err != nil {
		return fleetPlan{}, err
	}
	plan := fleetPlan{
		services:  args.list("services", "desk"),
		policy:    policy(),
		timeoutMS: timeout.Milliseconds(),
		upstreamArgs: []string{
			"--slots=" + args.text("slots", "16"), "--service-median-ms=" + args.text("median", "5"), "--service-sigma=0",
		},
	}
	for d := range int(domains) {
		plan.domains = append(plan.domains, fmt.Sprintf("domain-%d", d+1))
	}
	if calls := args.text("calls", ""); calls != "" {
		for _, c := range strings.Split(calls, ",") {
			plan.upstreamArgs = append(plan.upstreamArgs, "--downstream="+c)
		}
	}
	for _, name := range args.list("workspaces", "glass") {
		w.workspaces[name] = quota{rate: rate, burst: int64(burst)}
		w.keys[name] = key{secret: keys.Generate(), workspace: name}
	}
	w.workspaces[readiness] = quota{rate: readinessQuota, burst: readinessQuota}
	w.keys[readiness] = key{secret: keys.Generate(), workspace: readiness}
	w.token = keys.Generate()
	return plan, nil
}

func (w *world) startPlatform() error {
	ip := w.platformIP()
	gateway := netip.AddrPortFrom(ip, portPlatform)
	var err error
	w.platform, err = startProcess(filepath.Join(w.dir, "platform.log"), w.binaries.Cowslipbench, "platform",
		"--address="+gateway.String(), fmt.Sprintf("--admin-address=%s:%d", ip, portPlatformAdmin))
	if err != nil {
		return err
	}
	return w.addRelay(netip.AddrPortFrom(ip, portPlatformRelay), gateway)
}

func (w *world) addRelay(address, target netip.AddrPort) error {
	r, err := startRelay(w.cuts, address, target)
	if err == nil {
		w.relays = append(w.relays, r)
	}
	return err
}

// layOut makes one VM for each service in each domain. The first VM of each domain is a seed.
func (w *world) layOut(plan fleetPlan) error {
	var seeds []string
	for d, domain := range plan.domains {
		for s, service := range plan.services {
			v := &vm{
				name: fmt.Sprintf("%s-%d", service, d+1), service: service, domain: domain,
				ip: netip.AddrFrom4([4]byte{127, byte(w.network), byte(d + 1), byte(s + 1)}),
			}
			if s == 0 {
				seeds = append(seeds, v.address(portRelay))
			}
			v.upstreamArgs = append([]string{
				"upstream", "--service=" + service,
				"--address=" + v.address(portUpstream), "--admin-address=" + v.address(portUpstreamAdmin),
				"--local-address=" + v.address(portLocal), "--record-file=" + w.recordFile(v),
			}, plan.upstreamArgs...)
			w.vms = append(w.vms, v)
			if err := w.addRelay(netip.AddrPortFrom(v.ip, portRelay), netip.AddrPortFrom(v.ip, portPeer)); err != nil {
				return err
			}
		}
	}
	secret := keys.Generate()
	for _, v := range w.vms {
		if err := w.writeSettings(v, plan, seeds, secret); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) recordFile(v *vm) string {
	return filepath.Join(w.dir, v.name+".records")
}

func (w *world) writeSettings(v *vm, plan fleetPlan, seeds []string, secret string) error {
	s := settings.DefaultNode()
	s.Name, s.FailureDomain, s.Region, s.FailureDomains = v.name, v.domain, region, plan.domains
	s.CallerAddress, s.LocalAddress = v.address(portCaller), v.address(portLocal)
	s.PeerAddress, s.AdvertiseAddress, s.Seeds = v.address(portPeer), v.address(portRelay), seeds
	s.PlatformEndpoints = []string{fmt.Sprintf("http://%s:%d", w.platformIP(), portPlatformRelay)}
	s.Secrets, s.OperatorToken = []string{secret}, w.token
	s.Policy = settings.Policy(plan.policy)
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, v.name+".toml")
	v.nodeArgs = []string{"--config", path}
	return os.WriteFile(path, text, 0o600)
}

// startVM starts the processes that do not run; only limits it to one of them.
func (w *world) startVM(v *vm, only string) error {
	var err error
	if only != onlyUpstream && !v.node.running() {
		v.node, err = startProcess(filepath.Join(w.dir, v.name+".node.log"), w.binaries.Cowslipd, v.nodeArgs...)
	}
	if err == nil && only != onlyNode && !v.upstream.running() {
		v.upstream, err = startProcess(filepath.Join(w.dir, v.name+".upstream.log"), w.binaries.Cowslipbench, v.upstreamArgs...)
	}
	return err
}

// configure writes workspaces, keys and routes, and waits until every node serves every service.
func (w *world) configure(plan fleetPlan) error {
	var changes []*operatorv1.ApplyRequest
	for name, q := range w.workspaces {
		workspace := &operatorv1.Workspace{Name: name, Rate: q.rate, Burst: q.burst, Weight: 1}
		stored := &operatorv1.Key{Id: name, Workspace: name, Sha256: keys.Hash(w.keys[name].secret)}
		changes = append(changes,
			&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutWorkspace{PutWorkspace: workspace}},
			&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutKey{PutKey: stored}})
	}
	for _, service := range plan.services {
		for _, route := range routes(service, plan.timeoutMS) {
			changes = append(changes, &operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutRoute{PutRoute: route}})
		}
	}
	for i, change := range changes {
		change.Actor, change.ChangeId = actorName, fmt.Sprintf("fleet-%d", i)
		err := poll(defaultDeadline, func(ctx context.Context) error {
			answer, err := w.operator(w.vms[0]).Apply(ctx, change) // the same id again returns the first outcome
			w.revision = max(w.revision, answer.GetRevision())
			return err
		})
		if err != nil {
			return fmt.Errorf("configure: %w", err)
		}
	}
	if plan.policy == string(settings.PolicyCurrent) {
		if err := poll(defaultDeadline, func(ctx context.Context) error { return w.shardsOwned(ctx, plan) }); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if err := poll(defaultDeadline, func(ctx context.Context) error { return w.ready(ctx, v, plan) }); err != nil {
			return fmt.Errorf("%s is not ready: %w", v.name, err)
		}
	}
	return nil
}

// shardsOwned checks that every quota shard has an owner, as the owners wrote to the platform.
func (w *world) shardsOwned(ctx context.Context, plan fleetPlan) error {
	const shardsPerDomain = 4
	config := kvstore.DefaultEtcdConfig()
	config.Endpoints = []string{fmt.Sprintf("http://%s:%d", w.platformIP(), portPlatform)}
	store, err := kvstore.NewEtcd(config)
	if err != nil {
		return err
	}
	defer store.Close()
	owners, _, err := store.List(ctx, "quota/owner/")
	if err == nil && len(owners) < shardsPerDomain*len(plan.domains) {
		err = fmt.Errorf("%d quota shards have an owner", len(owners))
	}
	return err
}

// routes are the routes of a service.
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

// ready checks that a node has the configuration and the members, and reaches every service with a key.
func (w *world) ready(ctx context.Context, v *vm, plan fleetPlan) error {
	status, err := w.operator(v).GetStatus(ctx, &operatorv1.GetStatusRequest{})
	if err != nil {
		return err
	}
	if got := status.GetConfigRevision(); got < w.revision {
		return fmt.Errorf("configuration is at revision %d of %d", got, w.revision)
	}
	if got := len(status.GetMembers()); got < len(w.vms) {
		return fmt.Errorf("knows %d of %d members", got, len(w.vms))
	}
	for _, service := range plan.services {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(portCaller)+"/"+service+"/ready", nil)
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+w.keys[readiness].secret)
		if err := w.client.expectOK(request); err != nil {
			return fmt.Errorf("%s: %w", service, err)
		}
	}
	return nil
}

type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip adds the operator token.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	authorized := r.Clone(r.Context())
	authorized.Header.Set("Authorization", "Bearer "+t.token)
	return t.next.RoundTrip(authorized)
}

// operator returns a client for the operators' calls of a node, past its relay.
func (w *world) operator(v *vm) operatorv1.Operator {
	client := &http.Client{Timeout: 10 * time.Second, Transport: tokenTransport{w.token, w.client.http.Transport}}
	return operatorv1.NewOperatorProtobufClient("http://"+v.address(portPeer), client)
}

// poll calls check until it succeeds or the deadline has passed.
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

// post sends a JSON body to an admin endpoint.
func (w *world) post(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return poll(defaultDeadline, func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
		if err != nil {
			return err
		}
		return w.client.expectOK(request)
	})
}

// find returns the VM with a name.
func (w *world) find(name string) (*vm, error) {
	for _, v := range w.vms {
		if v.name == name {
			return v, nil
		}
	}
	return nil, fmt.Errorf("there is no VM %q", name)
}

// selected returns the VMs that a name, a domain, a service or "all" stands for.
func (w *world) selected(names ...string) ([]*vm, error) {
	var list []*vm
	for _, name := range names {
		before := len(list)
		for _, v := range w.vms {
			if name == "all" || name == v.name || name == v.domain || name == v.service {
				list = append(list, v)
			}
		}
		if len(list) == before {
			return nil, fmt.Errorf("%q is no VM, domain or service", name)
		}
	}
	return list, nil
}

// Names of the processes of a VM.
const (
	onlyNode     = "node"
	onlyUpstream = "upstream"
)

// signalAll sends a signal to the processes of the named VMs.
func (w *world) signalAll(args arguments, signal syscall.Signal) error {
	list, err := w.selected(args.names...)
	if err != nil {
		return err
	}
	only := args.text("only", "")
	for _, v := range list {
		for name, p := range map[string]*process{onlyNode: v.node, onlyUpstream: v.upstream} {
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

// expectOK sends a request and reads its answer to the end.
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
