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

// restartDelay is the time between the exit of a process and the start of the next.
const restartDelay = 200 * time.Millisecond

// node runs cowslip-sidecar, with proxies for the connections from its peers and to the store.
type node struct {
	deployment *deployment
	name       string
	domain     string
	upstream   *upstream

	requestAddress, peerAddress, controlAddress, heartbeatAddress, readyAddress string

	peers, control, store *proxy

	mu      sync.Mutex
	process *os.Process
	// incarnation counts the processes. sigtermSent is set once the current one has been sent SIGTERM.
	incarnation int
	sigtermSent bool
	closed      bool
	// startAt is when the next process may start. gone means that none starts any more.
	startAt time.Time
	gone    bool
	exited  chan struct{} // closed when the last process has exited after close
}

// settingsTemplate is the settings file in the format of the platform.
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

func newNode(d *deployment, index int) (*node, error) {
	n := &node{
		deployment: d, name: fmt.Sprintf("n%d", index), domain: fmt.Sprintf("d%d", index%d.config.Domains), exited: make(chan struct{}),
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
	}{{&n.peers, n.peerAddress}, {&n.control, n.controlAddress}, {&n.store, d.store.listener.Addr().String()}} {
		opened, err := newProxy(p.target)
		if err != nil {
			return nil, err
		}
		*p.proxy = opened
	}
	n.upstream = &upstream{deployment: d, node: n, service: serviceName(index % serviceCount), address: upstreamAddress}
	if err := n.upstream.start(); err != nil {
		return nil, err
	}
	return n, n.writeSettings()
}

func (n *node) settingsPath() string { return filepath.Join(n.deployment.config.Dir, n.name+".toml") }

func (n *node) writeSettings() error {
	ip, port, err := net.SplitHostPort(n.controlAddress)
	if err != nil {
		return err
	}
	var text strings.Builder
	err = settingsTemplate.Execute(&text, map[string]any{
		"Name": n.name, "IP": ip, "ControlPort": port, "Domain": n.domain, "Upstream": n.upstream.address, "Service": n.upstream.service,
		"Peer": n.peerAddress, "Request": n.requestAddress, "Ready": n.readyAddress, "Heartbeat": n.heartbeatAddress,
		"Store": n.store.address(), "HeartbeatS": heartbeatInterval.Seconds(), "DrainS": drainTime.Seconds(), "GraceS": gracePeriod.Seconds(),
		"RevokeS": withdrawalTime.Seconds(), "QuotaWindowS": quotaWindow.Seconds(), "QuotaOver": quotaOver, "QuotaSlack": quotaSlack,
		"MemoryMb": memoryLimitMiB,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath(), []byte(text.String()), 0o600)
}

// supervise starts a process and restarts it whenever it exits, until close.
func (n *node) supervise() {
	defer close(n.exited)
	for n.awaitPower() {
		cmd, err := n.startProcess()
		if err != nil {
			n.deployment.logf("failed to start %s: %v", n.name, err)
			return
		}
		if cmd == nil {
			return
		}
		ended := make(chan struct{})
		go n.watchMemory(cmd.Process.Pid, ended)
		err = cmd.Wait()
		close(ended)
		n.deployment.history.recordExit(n.name)
		n.mu.Lock()
		sigtermSent := n.sigtermSent
		n.mu.Unlock()
		// A shutdown exits with an error if requests remain at its timeout, as clients may keep sending them.
		if err != nil && cmd.ProcessState.ExitCode() > 0 && !sigtermSent {
			n.deployment.history.recordCrash(n.name, cmd.ProcessState.ExitCode())
		}
		time.Sleep(restartDelay)
	}
}

// startProcess starts a process. It returns nil after close.
func (n *node) startProcess() (*exec.Cmd, error) {
	log, err := os.OpenFile(n.deployment.config.logPath(n.name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command(n.deployment.config.Binary, "--settings", n.settingsPath(),
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
	n.sigtermSent = false
	n.deployment.history.recordStart(n.name)
	return cmd, nil
}

// signal records a signal and sends it to the current process, if any.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sigtermSent = n.sigtermSent || s == syscall.SIGTERM
	n.deployment.history.recordSignal(n.name, s)
	if s == syscall.SIGTERM && n.deployment.config.Defect == DefectStop {
		s = syscall.SIGKILL
	}
	if n.process != nil {
		_ = n.process.Signal(s) // the process may have exited
	}
}

// processCount returns the number of processes started so far.
func (n *node) processCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

func (n *node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.signal(syscall.SIGKILL) // also ends a paused process
	<-n.exited
	n.upstream.crash()
	for _, p := range []*proxy{n.peers, n.control, n.store} {
		p.close()
	}
}
