// Package crowdtest tests what a cowslip-sidecar process holds while many clients misbehave. Its tests start real
// processes on loopback and run one after the other, because each measures the memory and the descriptors of its process.
package crowdtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cowslipglade/cowslipglade/internal/freeport"
	"github.com/cowslipglade/cowslipglade/internal/soak"
)

// Limits of the VM in the settings. An idle process takes about 18 MiB. The rest comes to 75 KiB for each connection of
// a crowd, a little less than with 284 MB and 3,000 connections.
const (
	memoryMb = 48
	maxFds   = 800
	// reservedFds of the descriptors are not for connections.
	reservedFds = 200
)

// Limits for clients in the configuration.
const (
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 2 << 20
)

const settingsFile = `[self]
nodeName = "n1"
ip = "%s"
zone = "d1"
region = "r"
appAddr = "%s"
service = "s"
[self.limits]
memoryMb = %d
maxFds = %d
[network]
internalPorts = [%s, %s]
[network.listenAddrs]
inbound = "%s"
outbound = "%s"
ready = "%s"
control = "%s"
[platform]
heartbeatS = 0.5
[platform.platform]
address = "%s"
writesPerS = 400
readsPerS = 2000
ttlMinS = 1
[terms.bounds]
drainS = 1
graceS = 6
configApplyS = 2
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 47
quotaWindowS = 10
quotaOver = 0.1
quotaSlack = 10
`

const configuration = `{"version":"r1","routes":[
 {"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","timeoutS":10,"targetLatencyS":0.5,"priority":1,"service":"s","maxAttempts":2}],
 "services":[{"name":"s","healthPath":"/health","maxConnections":100}],"tenants":[],
 "limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutS":3,"idleTimeoutS":15}}`

// binary is the path of a freshly built cowslip-sidecar.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cowslip-sidecar")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/cowslip-sidecar").CombinedOutput()
	if err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// node is a process with its store and upstream.
type node struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
	log    *os.File

	request, peer, control, heartbeat, ready string
}

// startNode starts a process and returns once it answers requests.
func startNode(t *testing.T) *node {
	t.Helper()
	n := &node{t: t, exited: make(chan struct{})}
	for _, address := range []*string{&n.request, &n.peer, &n.control, &n.heartbeat, &n.ready} {
		free, err := freeport.Address()
		must.NoError(t, err)
		*address = free
	}
	store, stopStore, err := soak.StartStore(t.Context(), map[string][]byte{
		"op/config": fmt.Appendf(nil, configuration, maxHeaderBytes, maxBodyBytes),
	})
	must.NoError(t, err)
	t.Cleanup(stopStore)
	upstream := startUpstream(t)
	ip, port, err := net.SplitHostPort(n.control)
	must.NoError(t, err)
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.toml")
	must.NoError(t, os.WriteFile(path, fmt.Appendf(nil, settingsFile, ip, upstream, memoryMb, maxFds, port, port,
		n.peer, n.request, n.ready, n.heartbeat, store), 0o600))
	n.log, err = os.Create(filepath.Join(dir, "log"))
	must.NoError(t, err)
	n.cmd = exec.Command(binary, "--settings", path)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	must.NoError(t, n.cmd.Start())
	go func() {
		_ = n.cmd.Wait() // it ends with the signal below or is found to have exited by check
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		<-n.exited
		_ = n.log.Close()
	})
	go n.sendHeartbeats(upstream)
	n.awaitAnswer()
	return n
}

// bigResponseBytes is the size of the response to paths below /read/big. It exceeds what a node buffers.
const bigResponseBytes = 1 << 20

// smallResponseBytes is the size of the other responses.
const smallResponseBytes = 4 << 10

func startUpstream(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance-Id", "i-1")
		w.Header().Set("Response-Signature", "signed")
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		size := smallResponseBytes
		if strings.HasPrefix(r.URL.Path, "/read/big") {
			size = bigResponseBytes
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// sendHeartbeats sends heartbeats of the upstream until the test ends.
func (n *node) sendHeartbeats(upstream string) {
	started := time.Now().UnixMilli()
	for sequence := 1; n.t.Context().Err() == nil; sequence++ {
		data, _ := json.Marshal(map[string]any{
			"address": upstream, "born": started,
			"info":   map[string]any{"service": "s", "version": "v1", "zone": "d1", "slots": 16},
			"status": map[string]any{"state": "ready", "sequence": sequence, "warmupLeftS": 0},
		})
		r, err := http.NewRequestWithContext(n.t.Context(), http.MethodPut, "http://"+n.heartbeat+"/v1/instances/i-1", bytes.NewReader(data))
		if err == nil {
			if response, err := http.DefaultClient.Do(r); err == nil {
				_ = response.Body.Close()
			}
		}
		select {
		case <-n.t.Context().Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// ordinaryRequest sends a request as a client with nothing unusual does, on its own connection.
func (n *node) ordinaryRequest() error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := http.NewRequestWithContext(n.t.Context(), http.MethodPost, "http://"+n.request+"/read/ordinary", strings.NewReader("a body"))
	if err != nil {
		return err
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", "ordinary-1")
	r.Header.Set("Timeout-Ms", "4000")
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || len(body) != smallResponseBytes {
		return fmt.Errorf("status %d, %d bytes", response.StatusCode, len(body))
	}
	return nil
}

func (n *node) awaitAnswer() {
	n.t.Helper()
	must.Wait(n.t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		select {
		case <-n.exited:
			n.t.Fatalf("the process has exited: %v\n%s", n.cmd.ProcessState, n.lastLog())
		default:
		}
		return n.ordinaryRequest()
	}), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond)))
}

func (n *node) lastLog() string {
	data, err := os.ReadFile(n.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4<<10):])
}

// peakMemory returns the peak resident memory of the process in bytes, or 0 if it has exited.
func (n *node) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			must.NoError(n.t, err)
			return kib << 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (n *node) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
