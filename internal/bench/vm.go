package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes on the address of each VM.
const (
	portCaller        = 8080
	portLocal         = 8081
	portUpstream      = 8090
	portUpstreamAdmin = 8091
	portPeer          = 7400
	portPlatform      = 2379
	portPlatformAdmin = 2380
)

// VM runs a node and an upstream on its own IP address.
type VM struct {
	Name    string
	Service string
	Domain  string
	IP      string
	// Node and Upstream are nil until the process is first started. Node is always nil in a direct run.
	Node     *Process
	Upstream *Process

	nodeArgs     []string
	upstreamArgs []string
}

func (v *VM) address(port int) string {
	return fmt.Sprintf("%s:%d", v.IP, port)
}

// Process is a child process of the launcher.
type Process struct {
	cmd      *exec.Cmd
	done     chan struct{}
	err      error
	killOnce sync.Once
}

// startProcess starts a program and appends its output to a log file.
func startProcess(logPath, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("bench: process log: %w", err)
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("bench: start %s: %w", filepath.Base(program), err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process. It does nothing if the process has exited.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.cmd.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// clockTicksPerSecond is the unit of CPU times in /proc, fixed at 100 per second on Linux.
const clockTicksPerSecond = 100

// CPUTime returns the CPU time that the process has used, or 0 if it cannot be read.
func (p *Process) CPUTime() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// Fields are counted after the program name, which may contain spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	ticks := 0
	for _, field := range [][]byte{fields[user], fields[system]} {
		n, err := strconv.Atoi(string(field))
		if err != nil {
			return 0
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits until the process exits and returns its error, or until ctx is done.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill sends SIGKILL, which also ends a stopped process, and waits until the process has exited.
func (p *Process) Kill() {
	p.killOnce.Do(func() { _ = p.Signal(syscall.SIGKILL) })
	<-p.done
}

// adminTimeout is the timeout of requests to admin endpoints.
const adminTimeout = 5 * time.Second

// adminGet decodes the JSON response of an admin endpoint.
func adminGet(ctx context.Context, address, path string, into any) error {
	var text bytes.Buffer
	if err := adminRequest(ctx, http.MethodGet, address, path, nil, &text); err != nil {
		return err
	}
	return json.Unmarshal(text.Bytes(), into)
}

func adminRequest(ctx context.Context, method, address, path string, body io.Reader, to io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return fmt.Errorf("bench: %s %s: %s: %s", method, path, response.Status, text)
	}
	_, err = io.Copy(to, response.Body)
	return err
}
