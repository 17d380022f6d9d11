package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// await waits until a condition holds. The option deadline=DURATION overrides the generous default.
func (h *harness) await(ts *testscript.TestScript, args arguments) error {
	kind, err := args.operand(0, "condition")
	if err != nil {
		return err
	}
	deadline, err := time.ParseDuration(args.stringOption("deadline", defaultDeadline.String()))
	if err != nil {
		return err
	}
	remaining := arguments{operands: args.operands[1:], options: args.options}
	conditions := map[string]func(context.Context, arguments) error{
		"send": h.sendMatches, "started": h.requestsStarted, "member": h.memberInState, "revision": h.configurationReached,
		"ended": h.processEnded, "ran": h.ranSince, "answered": h.jobMatched,
	}
	condition, ok := conditions[kind]
	if !ok {
		return fmt.Errorf("unknown condition %q", kind)
	}
	start := time.Now()
	err = poll(deadline, func(ctx context.Context) error { return condition(ctx, remaining) })
	ts.Logf("%s held after %.2fs", strings.Join(args.operands, " "), time.Since(start).Seconds())
	return err
}

func (h *harness) sendMatches(_ context.Context, args arguments) error {
	opts, err := h.parseSendOptions(args)
	if err != nil {
		return err
	}
	return h.sendAndCheck(&opts)
}

// requestsStarted checks that a number of caller requests or downstream calls have taken a slot.
func (h *harness) requestsStarted(_ context.Context, args arguments) error {
	if len(args.operands) < 2 {
		return errors.New("usage: await started VM N")
	}
	vms, err := h.selectVMs(args.operands[0])
	if err != nil {
		return err
	}
	required, err := strconv.Atoi(args.operands[1])
	if err != nil {
		return err
	}
	runs := 0
	for _, v := range vms {
		records, err := h.readRecords(v)
		if err != nil {
			return err
		}
		for _, r := range records {
			if r.Started && r.Workspace != readinessWorkspace && strings.HasPrefix(r.Path, args.stringOption("path", "")) {
				runs++
			}
		}
	}
	if runs < required {
		return fmt.Errorf("%d of %d requests have started", runs, required)
	}
	return nil
}

// ranSince checks that a request has started to run at a VM after a mark.
func (h *harness) ranSince(_ context.Context, args arguments) error {
	name, err := args.operand(0, "VM")
	if err != nil {
		return err
	}
	obs, err := h.observe()
	if err != nil {
		return err
	}
	if h.checkNoneSince(obs, arguments{options: map[string]string{"vm": name, "since": args.stringOption("since", "")}}) == nil {
		return fmt.Errorf("no request has started at %s", name)
	}
	return nil
}

// memberInState checks that a node sees another one as alive, suspect, dead or left. "none" means that the other
// node is not in its member list.
func (h *harness) memberInState(ctx context.Context, args arguments) error {
	if len(args.operands) < 3 {
		return errors.New("usage: await member VM OTHER STATE")
	}
	vms, err := h.selectVMs(args.operands[0])
	if err != nil {
		return err
	}
	for _, v := range vms {
		status, err := h.operator(v).GetStatus(ctx, &operatorv1.GetStatusRequest{})
		if err != nil {
			return err
		}
		state := "none"
		for _, m := range status.GetMembers() {
			if m.GetName() == args.operands[1] {
				state = strings.ToLower(strings.TrimPrefix(m.GetState(), "STATE_"))
			}
		}
		if state != args.operands[2] {
			return fmt.Errorf("%s sees %s in state %s", v.name, args.operands[1], state)
		}
	}
	return nil
}

// configurationReached checks that nodes have the latest configuration revision that an operator has received.
func (h *harness) configurationReached(ctx context.Context, args arguments) error {
	vms, err := h.selectVMs(args.operands...)
	if err != nil {
		return err
	}
	for _, v := range vms {
		status, err := h.operator(v).GetStatus(ctx, &operatorv1.GetStatusRequest{})
		if err != nil {
			return err
		}
		if got := status.GetConfigRevision(); got < h.revision {
			return fmt.Errorf("%s is at configuration revision %d of %d", v.name, got, h.revision)
		}
	}
	return nil
}

// processEnded checks that a process has exited, and returns its error if it failed.
func (h *harness) processEnded(_ context.Context, args arguments) error {
	if len(args.operands) < 2 {
		return errors.New("usage: await ended VM node|upstream")
	}
	v, err := h.findVM(args.operands[0])
	if err != nil {
		return err
	}
	p := v.node
	if args.operands[1] == processUpstream {
		p = v.upstream
	}
	if p.running() {
		return errors.New("process is still running")
	}
	return p.err
}

func (h *harness) jobMatched(_ context.Context, args arguments) error {
	if len(args.operands) < 2 {
		return errors.New("usage: await answered JOB N")
	}
	j, err := h.findJob(args)
	if err != nil {
		return err
	}
	required, err := strconv.Atoi(args.operands[1])
	if err != nil {
		return err
	}
	if _, matched, firstMismatch := j.counts(); matched < required {
		return fmt.Errorf("%d of %d responses were as expected; first mismatch: %w", matched, required, firstMismatch)
	}
	return nil
}
