package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// process is a program started by a script. A nil process counts as not running.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error // valid after done is closed
}

// startProcess starts a program whose output is appended to a log file.
func startProcess(logPath, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", filepath.Base(program), err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal returns os.ErrProcessDone if the process is not running.
func (p *process) signal(signal syscall.Signal) error {
	if !p.running() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(signal)
}

// kill sends SIGKILL, which also ends a process suspended by SIGSTOP, and waits for the process to exit.
func (p *process) kill() {
	if p == nil {
		return
	}
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}
