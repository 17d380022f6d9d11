package bench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/cowslipglade/cowslipglade/keys"
)

// LaunchOptions configure Launch.
type LaunchOptions struct {
	// Cowslipbench and Cowslipd are the paths of the binaries. If Cowslipd is empty, only upstreams
	// run and the load goes directly to them (a direct run).
	Cowslipbench string
	Cowslipd     string
	// Dir is the directory for settings, logs and run records.
	Dir string
	// Network is the second byte of the addresses 127.N.d.s, so that deployments can run side by side.
	Network int
	Policy  string
	// QuotaFactor is the rate of each workspace as a multiple of its share of capacity.
	QuotaFactor float64
	Seed        uint64
}

// RunningDeployment is a deployment started by Launch. Its methods are not safe for concurrent use.
type RunningDeployment struct {
	Deployment Deployment
	VMs        []*VM
	// Keys maps workspace names to their keys.
	Keys map[string]string

	capacity      float64
	options       LaunchOptions
	operatorToken string
	platform      *Process
	platformIP    string
}

// nodeSettings is the settings file of cowslipd.
type nodeSettings struct {
	Name              string   `toml:"name"`
	FailureDomain     string   `toml:"failure_domain"`
	FailureDomains    []string `toml:"failure_domains"`
	Region            string   `toml:"region"`
	CallerAddress     string   `toml:"caller_address"`
	LocalAddress      string   `toml:"local_address"`
	PeerAddress       string   `toml:"peer_address"`
	Seeds             []string `toml:"seeds"`
	PlatformEndpoints []string `toml:"platform_endpoints"`
	Secrets           []string `toml:"secrets"`
	OperatorToken     string   `toml:"operator_token"`
	LogLevel          string   `toml:"log_level"`
	Policy            string   `toml:"policy"`
}

// Launch starts the processes of a deployment on loopback and returns when all are ready. On error it
// stops every process that it started.
func Launch(ctx context.Context, deployment Deployment, options LaunchOptions) (*RunningDeployment, error) {
	capacity, _, err := deployment.Capacity()
	if err != nil {
		return nil, err
	}
	return launch(ctx, deployment, options, capacity)
}

// launch is Launch with workspace rates that are based on the given capacity.
func launch(ctx context.Context, deployment Deployment, options LaunchOptions, capacity float64) (*RunningDeployment, error) {
	if options.Network < 1 || options.Network > 254 {
		return nil, fmt.Errorf("bench: network %d: must be in 1..254", options.Network)
	}
	// Run records of an earlier run with the same seed would be counted for this one.
	if records, _ := filepath.Glob(filepath.Join(options.Dir, "*.records")); len(records) > 0 {
		return nil, fmt.Errorf("bench: directory %s contains run records of an earlier run", options.Dir)
	}
	r := &RunningDeployment{
		Deployment:    deployment,
		Keys:          map[string]string{},
		capacity:      capacity,
		options:       options,
		operatorToken: keys.Generate(),
		platformIP:    fmt.Sprintf("127.%d.0.1", options.Network),
	}
	for _, w := range deployment.Workspaces {
		r.Keys[w.Name] = keys.Generate()
	}
	err := r.start(ctx)
	if err == nil {
		err = r.waitReady(ctx)
	}
	if err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

func (r *RunningDeployment) direct() bool { return r.options.Cowslipd == "" }

func (r *RunningDeployment) start(ctx context.Context) error {
	r.createVMs()
	if !r.direct() {
		if err := r.startPlatform(); err != nil {
			return err
		}
		if err := r.writeSettings(); err != nil {
			return err
		}
	}
	for _, vm := range r.VMs {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := r.StartVM(vm); err != nil {
			return err
		}
	}
	return nil
}

// createVMs creates one VM for each service in each failure domain, without starting it.
func (r *RunningDeployment) createVMs() {
	for d, domain := range r.Deployment.Domains {
		for s, service := range r.Deployment.Services {
			vm := &VM{
				Name:    fmt.Sprintf("%s-%d", service.Name, d+1),
				Service: service.Name,
				Domain:  domain,
				IP:      fmt.Sprintf("127.%d.%d.%d", r.options.Network, d+1, s+1),
			}
			vm.upstreamArgs = r.upstreamArgs(vm, service, len(r.VMs))
			r.VMs = append(r.VMs, vm)
		}
	}
}

func (r *RunningDeployment) upstreamArgs(vm *VM, service Service, index int) []string {
	args := []string{
		"upstream",
		"--service=" + service.Name,
		"--address=" + vm.address(portUpstream),
		"--admin-address=" + vm.address(portUpstreamAdmin),
		"--slots=" + strconv.Itoa(service.Slots),
		"--connections=" + strconv.Itoa(service.Connections),
		fmt.Sprintf("--service-median-ms=%g", service.MedianMS),
		fmt.Sprintf("--service-sigma=%g", service.Sigma),
		fmt.Sprintf("--connect-ms=%g", r.Deployment.ConnectMS),
		fmt.Sprintf("--probe-ms=%g", r.Deployment.ProbeMS),
		"--record-file=" + r.RecordFile(vm),
		fmt.Sprintf("--seed=%d", r.options.Seed*1000+uint64(index)),
	}
	if r.direct() {
		return args
	}
	args = append(args, "--local-address="+vm.address(portLocal))
	for _, c := range service.Calls {
		args = append(args, "--downstream="+c.Prefix+"="+c.Path)
	}
	return args
}

// RecordFile returns the path to which the upstream of a VM writes its run records.
func (r *RunningDeployment) RecordFile(vm *VM) string {
	return filepath.Join(r.options.Dir, vm.Name+".records")
}

func (r *RunningDeployment) startPlatform() error {
	process, err := startProcess(filepath.Join(r.options.Dir, "platform.log"), r.options.Cowslipbench, "platform",
		fmt.Sprintf("--address=%s:%d", r.platformIP, portPlatform),
		fmt.Sprintf("--admin-address=%s", r.platformAdminAddress()),
		fmt.Sprintf("--seed=%d", r.options.Seed))
	r.platform = process
	return err
}

func (r *RunningDeployment) platformAdminAddress() string {
	return fmt.Sprintf("%s:%d", r.platformIP, portPlatformAdmin)
}

// seedsPerDomain is the number of static seed nodes in each failure domain.
const seedsPerDomain = 1

func (r *RunningDeployment) writeSettings() error {
	var seeds []string
	count := map[string]int{}
	for _, vm := range r.VMs {
		if count[vm.Domain]++; count[vm.Domain] <= seedsPerDomain {
			seeds = append(seeds, vm.address(portPeer))
		}
	}
	secret := keys.Generate()
	for _, vm := range r.VMs {
		text, err := toml.Marshal(nodeSettings{
			Name:              vm.Name,
			FailureDomain:     vm.Domain,
			FailureDomains:    r.Deployment.Domains,
			Region:            r.Deployment.Region,
			CallerAddress:     vm.address(portCaller),
			LocalAddress:      vm.address(portLocal),
			PeerAddress:       vm.address(portPeer),
			Seeds:             seeds,
			PlatformEndpoints: []string{fmt.Sprintf("http://%s:%d", r.platformIP, portPlatform)},
			Secrets:           []string{secret},
			OperatorToken:     r.operatorToken,
			LogLevel:          "warn",
			Policy:            r.options.Policy,
		})
		if err != nil {
			return err
		}
		path := filepath.Join(r.options.Dir, vm.Name+".toml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return fmt.Errorf("bench: settings: %w", err)
		}
		vm.nodeArgs = []string{"--config", path}
	}
	return nil
}

// StartVM starts those processes of a VM that are not running.
func (r *RunningDeployment) StartVM(vm *VM) error {
	if err := r.startNode(vm); err != nil {
		return err
	}
	return r.startUpstream(vm)
}

func (r *RunningDeployment) startNode(vm *VM) error {
	if r.direct() || (vm.Node != nil && !vm.Node.Ended()) {
		return nil
	}
	process, err := startProcess(filepath.Join(r.options.Dir, vm.Name+".node.log"), r.options.Cowslipd, vm.nodeArgs...)
	if err == nil {
		vm.Node = process
	}
	return err
}

// startUpstream starts the upstream unless it is running. After a restart it begins cold, with the warm-up
// time of its service.
func (r *RunningDeployment) startUpstream(vm *VM) error {
	if vm.Upstream != nil && !vm.Upstream.Ended() {
		return nil
	}
	args := vm.upstreamArgs
	if vm.Upstream != nil {
		service, err := r.Deployment.Service(vm.Service)
		if err != nil {
			return err
		}
		args = append(args[:len(args):len(args)], fmt.Sprintf("--warm-up-ms=%d", service.WarmUpMS))
	}
	process, err := startProcess(filepath.Join(r.options.Dir, vm.Name+".upstream.log"), r.options.Cowslipbench, args...)
	if err == nil {
		vm.Upstream = process
	}
	return err
}

// KillVM kills both processes of a VM.
func (r *RunningDeployment) KillVM(vm *VM) {
	for _, p := range []*Process{vm.Node, vm.Upstream} {
		if p != nil {
			p.Kill()
		}
	}
}

// Stop kills every process of the deployment.
func (r *RunningDeployment) Stop() {
	for _, vm := range r.VMs {
		r.KillVM(vm)
	}
	if r.platform != nil {
		r.platform.Kill()
	}
}

// nodeCPUTime returns the total CPU time of all nodes.
func (r *RunningDeployment) nodeCPUTime() time.Duration {
	total := time.Duration(0)
	for _, vm := range r.VMs {
		if vm.Node != nil {
			total += vm.Node.CPUTime()
		}
	}
	return total
}

// SelectVMs returns the VMs of a service in a failure domain. An empty argument matches all.
func (r *RunningDeployment) SelectVMs(service, domain string) []*VM {
	var selected []*VM
	for _, vm := range r.VMs {
		if (service == "" || vm.Service == service) && (domain == "" || vm.Domain == domain) {
			selected = append(selected, vm)
		}
	}
	return selected
}

// Targets returns the base URLs of the entry nodes.
func (r *RunningDeployment) Targets() []string {
	var targets []string
	for _, vm := range r.VMs {
		targets = append(targets, "http://"+vm.address(portCaller))
	}
	return targets
}

// Plan returns the load plan of the deployment. A direct run sends the requests of each route to the
// upstreams of its service.
func (r *RunningDeployment) Plan(seed uint64, phases []Phase) Plan {
	plan := DefaultPlan()
	plan.Seed = seed
	plan.Phases = phases
	if !r.direct() {
		plan.Targets = r.Targets()
	}
	for _, w := range r.Deployment.Workspaces {
		plan.Workspaces = append(plan.Workspaces, WorkspaceLoad{Name: w.Name, Key: r.callerKey(w.Name), Share: w.Share})
	}
	for _, route := range r.Deployment.Routes {
		load := RouteLoad{
			Name:       route.Name,
			Method:     route.Method,
			Path:       route.Prefix + "item",
			Share:      route.Share,
			Importance: route.Importance,
			Idempotent: route.Idempotent,
			BodyBytes:  route.BodyBytes,
		}
		if r.direct() {
			for _, vm := range r.SelectVMs(route.Service, "") {
				load.Targets = append(load.Targets, "http://"+vm.address(portUpstream))
			}
		}
		plan.Routes = append(plan.Routes, load)
	}
	return plan
}

// callerKey returns the key of a workspace, or an empty string in a direct run, because an upstream
// counts the keys that it sees as violations.
func (r *RunningDeployment) callerKey(workspace string) string {
	if r.direct() {
		return ""
	}
	return r.Keys[workspace]
}

// Timeout and interval of poll.
const (
	readyTimeout  = 60 * time.Second
	readyInterval = 100 * time.Millisecond
)

// errProcessEnded makes poll give up, because the process cannot become ready.
var errProcessEnded = errors.New("process has exited")

// poll calls check until it succeeds, fails with errProcessEnded, or readyTimeout expires.
func poll(ctx context.Context, description string, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, errProcessEnded) {
			return fmt.Errorf("bench: %s: %w", description, err)
		}
		if !sleepUntil(ctx, time.Now().Add(readyInterval)) {
			return fmt.Errorf("bench: %s: %w", description, err)
		}
	}
}

// waitReady waits until all upstreams are ready and all nodes have the configuration and route to them.
func (r *RunningDeployment) waitReady(ctx context.Context) error {
	for _, vm := range r.VMs {
		if err := poll(ctx, vm.Name+" is not ready", func(ctx context.Context) error { return r.upstreamReady(ctx, vm) }); err != nil {
			return err
		}
	}
	if r.direct() {
		return nil
	}
	return r.configure(ctx)
}

func (r *RunningDeployment) upstreamReady(ctx context.Context, vm *VM) error {
	for _, p := range []*Process{vm.Node, vm.Upstream} {
		if p != nil && p.Ended() {
			return fmt.Errorf("%w, see %s.*.log in %s", errProcessEnded, vm.Name, r.options.Dir)
		}
	}
	var counts struct {
		Announcements int64 `json:"announcements"`
	}
	if err := adminGet(ctx, vm.address(portUpstreamAdmin), "/admin/counts", &counts); err != nil {
		return err
	}
	if !r.direct() && counts.Announcements == 0 {
		return errors.New("upstream has no accepted announcement")
	}
	return nil
}
