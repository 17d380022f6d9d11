package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

func (h *harness) crash(_ *testscript.TestScript, args arguments) error {
	return h.signalAll(args, syscall.SIGKILL)
}

func (h *harness) freeze(_ *testscript.TestScript, args arguments) error {
	return h.signalAll(args, syscall.SIGSTOP)
}

func (h *harness) thaw(_ *testscript.TestScript, args arguments) error {
	return h.signalAll(args, syscall.SIGCONT)
}

func (h *harness) terminate(_ *testscript.TestScript, args arguments) error {
	return h.signalAll(args, syscall.SIGTERM)
}

func (h *harness) start(_ *testscript.TestScript, args arguments) error {
	vms, err := h.selectVMs(args.operands...)
	if err != nil {
		return err
	}
	for _, v := range vms {
		if err := h.startVM(v, args.stringOption("only", "")); err != nil {
			return err
		}
	}
	return nil
}

// replace kills the node of a VM and starts a new process with the same name and no in-memory state.
func (h *harness) replace(_ *testscript.TestScript, args arguments) error {
	vms, err := h.selectVMs(args.operands...)
	if err != nil {
		return err
	}
	for _, v := range vms {
		v.node.kill()
		if err := h.startVM(v, processNode); err != nil {
			return err
		}
	}
	return nil
}

// addresses returns the IP addresses that an operand of the cut command selects.
func (h *harness) addresses(name string) ([]netip.Addr, error) {
	if name == platformName {
		return []netip.Addr{h.platformIP()}, nil
	}
	vms, err := h.selectVMs(name)
	var ips []netip.Addr
	for _, v := range vms {
		ips = append(ips, v.ip)
	}
	return ips, err
}

func (h *harness) cut(_ *testscript.TestScript, args arguments) error {
	if len(args.operands) < 2 {
		return errors.New("usage: cut A B [hold|packets]")
	}
	from, err := h.addresses(args.operands[0])
	if err != nil {
		return err
	}
	to, err := h.addresses(args.operands[1])
	if err != nil {
		return err
	}
	mode := partitionReset
	if len(args.operands) > 2 {
		mode = partitionMode(args.operands[2])
	}
	if mode != partitionReset && mode != partitionHold && mode != partitionPackets {
		return fmt.Errorf("cut %s: must be hold or packets", mode)
	}
	for _, a := range from {
		for _, b := range to {
			if a != b {
				h.partitions.add(newAddrPair(a, b), mode)
			}
		}
	}
	return nil
}

func (h *harness) heal(*testscript.TestScript, arguments) error {
	h.partitions.heal()
	return nil
}

// setBehavior sets the behavior of the upstreams selected by the first operand.
func (h *harness) setBehavior(args arguments, behavior map[string]any) error {
	vms, err := h.selectVMs(args.operands[0])
	if err != nil {
		return err
	}
	for _, v := range vms {
		if err := h.post("http://"+v.address(portUpstreamAdmin)+"/admin/behavior", behavior); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) slow(_ *testscript.TestScript, args arguments) error {
	text, err := args.operand(1, "factor")
	if err != nil {
		return err
	}
	factor, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return err
	}
	return h.setBehavior(args, map[string]any{"slow_factor": factor})
}

func (h *harness) shed(_ *testscript.TestScript, args arguments) error {
	state, err := args.operand(1, "on or off")
	if err != nil {
		return err
	}
	return h.setBehavior(args, map[string]any{"slow_factor": 1, "shed": state == "on"})
}

func (h *harness) setPlatformFault(_ *testscript.TestScript, args arguments) error {
	mode, err := args.operand(0, "mode")
	if err != nil {
		return err
	}
	fault := map[string]any{}
	switch mode {
	case "down":
		fault["mode"] = "down"
	case "lose-answers":
		fault["mode"] = "lose_answers"
	case "up":
		fault["mode"] = "normal"
	case "slow":
		text, err := args.operand(1, "delay in ms")
		if err != nil {
			return err
		}
		delay, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		fault["mode"], fault["delay_ms"] = "slow", delay
	default:
		return fmt.Errorf("platform %s: must be down, slow, lose-answers or up", mode)
	}
	return h.post(fmt.Sprintf("http://%s:%d/admin/fault", h.platformIP(), portPlatformAdmin), fault)
}

// changeResult is the JSON output of cowslipctl for a configuration change.
type changeResult struct {
	Revision int64  `json:"revision"`
	Key      string `json:"key"`
}

// runCtl runs cowslipctl against a node and returns its output and exit code.
func (h *harness) runCtl(v *vm, args ...string) (stdout, stderr string, code int, err error) {
	all := append([]string{"--node=" + v.address(portPeer), "--token=" + h.token, "--actor=" + actorName, "--output=json"}, args...)
	var out, errs strings.Builder
	cmd := exec.Command(h.binaries.Cowslipctl, all...)
	cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0") // by default, the race detector sleeps 1 s at exit
	cmd.Stdout, cmd.Stderr = &out, &errs
	err = cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = nil
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode(), err
}

// runChange runs a cowslipctl command that must succeed.
func (h *harness) runChange(via string, args ...string) (changeResult, error) {
	v, err := h.findVM(via)
	if err != nil {
		return changeResult{}, err
	}
	stdout, stderr, code, err := h.runCtl(v, args...)
	if err != nil || code != 0 {
		return changeResult{}, fmt.Errorf("cowslipctl %s: exit code %d, %w: %s", args[0], code, err, stderr)
	}
	var result changeResult
	if err := json.Unmarshal([]byte(stdout), &result); err != nil {
		return changeResult{}, fmt.Errorf("cowslipctl %s: %w: %s", args[0], err, stdout)
	}
	h.revision = max(h.revision, result.Revision)
	return result, nil
}

func (h *harness) ctl(ts *testscript.TestScript, args arguments) error {
	v, err := h.findVM(args.stringOption("via", ""))
	if err != nil {
		return err
	}
	expected, err := args.numberOption("exit", 0)
	if err != nil {
		return err
	}
	stdout, stderr, code, err := h.runCtl(v, args.operands...)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(ts.Stdout(), stdout)
	_, _ = fmt.Fprint(ts.Stderr(), stderr)
	if code != int(expected) {
		return fmt.Errorf("exit code is %d, want %v: %s", code, expected, stderr)
	}
	var result changeResult
	if json.Unmarshal([]byte(stdout), &result) == nil {
		h.revision = max(h.revision, result.Revision)
	}
	return nil
}

// createKey creates a key with cowslipctl and stores its secret.
func (h *harness) createKey(_ *testscript.TestScript, args arguments) error {
	if len(args.operands) < 2 {
		return errors.New("usage: key NAME WORKSPACE via=VM")
	}
	name, workspace := args.operands[0], args.operands[1]
	result, err := h.runChange(args.stringOption("via", ""), "key-create", "--id="+name, workspace)
	if err != nil {
		return err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.keys[name] = key{secret: result.Key, workspace: workspace}
	return nil
}

func (h *harness) withdraw(_ *testscript.TestScript, args arguments) error {
	name, err := args.operand(0, "key")
	if err != nil {
		return err
	}
	_, err = h.runChange(args.stringOption("via", ""), "key-withdraw", name)
	return err
}

func (h *harness) drain(_ *testscript.TestScript, args arguments) error {
	name, err := args.operand(0, "VM")
	if err != nil {
		return err
	}
	command := []string{"drain"}
	if len(args.operands) > 1 && args.operands[1] == "undo" {
		command = append(command, "--undo")
	}
	_, err = h.runChange(name, command...)
	return err
}

// race lets two operators change the rate of a workspace with the same base revision. Exactly one must succeed,
// and the other must get a conflict.
func (h *harness) race(_ *testscript.TestScript, args arguments) error {
	const exitConflict = 3
	workspace, err := args.operand(0, "workspace")
	if err != nil {
		return err
	}
	via := args.listOption("via", "")
	if len(via) != 2 {
		return errors.New("race needs via=VM,VM")
	}
	configuration, err := h.operator(h.vms[0]).GetConfiguration(context.Background(), &operatorv1.GetConfigurationRequest{})
	if err != nil {
		return err
	}
	base := int64(0)
	for _, object := range configuration.GetWorkspaces() {
		if object.GetName() == workspace {
			base = object.GetRevision()
		}
	}
	codes, outputs := make([]int, 2), make([]string, 2)
	rates := []float64{float64(1000 + time.Now().UnixNano()%1000), 3000}
	var operators sync.WaitGroup
	for i := range via {
		v, err := h.findVM(via[i])
		if err != nil {
			return err
		}
		operators.Go(func() {
			var stderr string
			outputs[i], stderr, codes[i], _ = h.runCtl(v, "workspace-put", fmt.Sprintf("--base=%d", base),
				fmt.Sprintf("--rate=%g", rates[i]), "--burst=1000", workspace)
			outputs[i] += stderr
		})
	}
	operators.Wait()
	winner := 0
	if codes[1] == 0 {
		winner = 1
	}
	if codes[winner] != 0 || codes[1-winner] != exitConflict {
		return fmt.Errorf("exit codes are %v, want one 0 and one %d: %q", codes, exitConflict, outputs)
	}
	var result changeResult
	if err := json.Unmarshal([]byte(outputs[winner]), &result); err != nil {
		return err
	}
	h.revision = max(h.revision, result.Revision)
	h.workspaces[workspace] = quota{rate: rates[winner], burst: 1000}
	return nil
}
