package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/freeport"
)

// restartDelay is between the end of a process and the start of the next.
const restartDelay = 200 * time.Millisecond

// node is a cowslip-sidecar with the proxies in front of it and between it and the store.
type node struct {
	world    *world
	name     string
	domain   string
	upstream *upstream

	requestAddress, peerAddress, controlAddress, heartbeatAddress, readyAddress string

	peers, control, store *proxy

	mu      sync.Mutex
	process *os.Process
	// incarnation counts processes; stopped means that this one was told to stop.
	incarnation int
	stopped     bool
	closed      bool
	exited      chan struct{} // closed when no process is left after close
}

// settingsTemplate is the settings file of the platform.
var settingsTemplate = template.Must(template.New("settings").Parse(`[self]
nodeName = "{{.Name}}"
ip = "{{.IP}}"
zone = "{{.Domain}}"
region = "r"
appAddr = "{{.Upstream}}"
service = "{{.Service}}"
[self.limits]
memoryMb = {{.MemoryMb}}
maxFds = 4100
[network]
internalPorts = [{{.ControlPort}}, {{.ControlPort}}]
[network.listenAddrs]
inbound = "{{.Peer}}"
outbound = "{{.Request}}"
ready = "{{.Ready}}"
control = "{{.Heartbeat}}"
[platform]
heartbeatS = {{.HeartbeatS}}
[platform.platform]
address = "{{.Store}}"
writesPerS = 400
readsPerS = 2000
ttlMinS = 1
[terms]
[terms.bounds]
drainS = {{.DrainS}}
graceS = {{.GraceS}}
configApplyS = 2
strictRevoke = true
revokeS = {{.RevokeS}}
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 47
quotaWindowS = {{.QuotaWindowS}}
quotaOver = {{.QuotaOver}}
quotaSlack = {{.QuotaSlack}}
`))

func newNode(w *world, index int) (*node, error) {
	n := &node{
		world: w, name: fmt.Sprintf("n%d", index), domain: fmt.Sprintf("d%d", index%w.config.Domains), exited: make(chan struct{}),
	}
	upstreamAddress := ""
	for _, address := range []*string{&n.requestAddress, &n.peerAddress, &n.controlAddress, &n.heartbeatAddress, &n.readyAddress, &upstreamAddress} {
		free, err := freeport.Address()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	for _, p := range []struct {
		proxy  **proxy
		target string
	}{{&n.peers, n.peerAddress}, {&n.control, n.controlAddress}, {&n.store, w.store.listener.Addr().String()}} {
		opened, err := newProxy(p.target)
		if err != nil {
			return nil, err
		}
		*p.proxy = opened
	}
	n.upstream = &upstream{world: w, node: n, service: serviceName(index % serviceCount), address: upstreamAddress}
	if err := n.upstream.start(); err != nil {
		return nil, err
	}
	return n, n.writeSettings()
}

func (n *node) settingsPath() string { return filepath.Join(n.world.config.Dir, n.name+".toml") }

func (n *node) writeSettings() error {
	ip, port, err := net.SplitHostPort(n.controlAddress)
	if err != nil {
		return err
	}
	var text strings.Builder
	err = settingsTemplate.Execute(&text, map[string]any{
		"Name": n.name, "IP": ip, "ControlPort": port, "Domain": n.domain, "Upstream": n.upstream.address, "Service": n.upstream.service,
		"Peer": n.peerAddress, "Request": n.requestAddress, "Ready": n.readyAddress, "Heartbeat": n.heartbeatAddress,
		"Store": n.store.address(), "HeartbeatS": heartbeatEvery.Seconds(), "DrainS": drainTime.Seconds(), "GraceS": graceTime.Seconds(),
		"RevokeS": withdrawalTime.Seconds(), "QuotaWindowS": quotaWindow.Seconds(), "QuotaOver": quotaOver, "QuotaSlack": quotaSlack,
		"MemoryMb": memoryMiB,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath(), []byte(text.String()), 0o600)
}

// supervise runs one process after the other until close.
func (n *node) supervise() {
	defer close(n.exited)
	for {
		cmd, err := n.startProcess()
		if err != nil {
			n.world.logf("%s: %v", n.name, err)
			return
		}
		if cmd == nil {
			return
		}
		ended := make(chan struct{})
		go n.watchMemory(cmd.Process.Pid, ended)
		err = cmd.Wait()
		close(ended)
		n.world.ledger.gone(n.name)
		n.mu.Lock()
		stopped := n.stopped
		n.mu.Unlock()
		// A stop that could not finish all requests in time ends with an error, as clients may go on coming.
		if err != nil && cmd.ProcessState.ExitCode() > 0 && !stopped {
			n.world.ledger.exited(n.name, cmd.ProcessState.ExitCode())
		}
		time.Sleep(restartDelay)
	}
}

// startProcess returns nil after close.
func (n *node) startProcess() (*exec.Cmd, error) {
	log, err := os.OpenFile(n.world.config.logPath(n.name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child has its own copy
	cmd := exec.Command(n.world.config.Binary, "--settings", n.settingsPath(),
		"--advertise-peers", n.peers.address(), "--advertise-control", n.control.address())
	cmd.Stdout, cmd.Stderr = log, log
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, nil
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n.process = cmd.Process
	n.incarnation++
	n.stopped = false
	n.world.ledger.started(n.name)
	return cmd, nil
}

// signal reaches the process that runs now, if any.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = n.stopped || s == syscall.SIGTERM
	n.world.ledger.signaled(n.name, s)
	if s == syscall.SIGTERM && n.world.config.Sabotage == SabotageStop {
		s = syscall.SIGKILL
	}
	if n.process != nil {
		_ = n.process.Signal(s) // it may have ended
	}
}

// started returns the number of processes so far.
func (n *node) started() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

func (n *node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.signal(syscall.SIGKILL) // ends a paused process too
	<-n.exited
	n.upstream.crash()
	for _, p := range []*proxy{n.peers, n.control, n.store} {
		p.close()
	}
}
