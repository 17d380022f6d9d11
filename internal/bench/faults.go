package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

// faultStep is the start or the end of a fault.
type faultStep struct {
	start time.Duration
	run   func(context.Context) error
}

// runFaults injects and undoes the faults of a scenario at their times relative to begin, and returns the
// errors of all steps. Steps at different times run in order.
func (r *RunningDeployment) runFaults(ctx context.Context, faults []Fault, begin time.Time) error {
	var errs []error
	for _, s := range r.steps(faults) {
		if !sleepUntil(ctx, begin.Add(s.start)) {
			break
		}
		errs = append(errs, s.run(ctx))
	}
	return errors.Join(errs...)
}

// steps returns the starts and ends of the faults in time order.
func (r *RunningDeployment) steps(faults []Fault) []faultStep {
	var steps []faultStep
	add := func(startS float64, fault Fault, undo bool) {
		s := faultStep{start: time.Duration(startS * float64(time.Second))}
		s.run = func(ctx context.Context) error { return r.apply(ctx, fault, undo) }
		i := len(steps)
		for i > 0 && steps[i-1].start > s.start {
			i--
		}
		steps = append(steps[:i], append([]faultStep{s}, steps[i:]...)...)
	}
	for _, f := range faults {
		add(f.StartS, f, false)
		add(f.StartS+f.DurationS, f, true)
	}
	return steps
}

// apply starts or undoes a fault on all selected VMs.
func (r *RunningDeployment) apply(ctx context.Context, fault Fault, undo bool) error {
	if fault.Action == PlatformDown {
		mode := "down"
		if undo {
			mode = "normal"
		}
		return adminPost(ctx, r.platformAdminAddress(), "/admin/fault", map[string]any{"mode": mode})
	}
	var errs []error
	for _, vm := range r.SelectVMs(fault.service(r.Deployment), fault.Domain) {
		errs = append(errs, r.applyToVM(ctx, vm, fault, undo))
	}
	return errors.Join(errs...)
}

func (r *RunningDeployment) applyToVM(ctx context.Context, vm *VM, fault Fault, undo bool) error {
	switch fault.Action {
	case SlowService:
		factor := fault.Factor
		if undo {
			factor = 1
		}
		return adminPost(ctx, vm.address(portUpstreamAdmin), "/admin/behavior", map[string]any{"slow_factor": factor})
	case StopVM:
		if undo {
			return r.StartVM(vm)
		}
		r.KillVM(vm)
		return nil
	case FreezeVM:
		signal := syscall.SIGSTOP
		if undo {
			signal = syscall.SIGCONT
		}
		return vm.signal(signal)
	case CrashUpstream:
		if undo {
			return r.startUpstream(vm)
		}
		vm.Upstream.Kill()
		return nil
	}
	return fmt.Errorf("bench: unknown fault action %q", fault.Action)
}

func (v *VM) signal(signal syscall.Signal) error {
	var errs []error
	for _, p := range []*Process{v.Node, v.Upstream} {
		if p != nil {
			errs = append(errs, p.Signal(signal))
		}
	}
	return errors.Join(errs...)
}

// adminPost sends a JSON body to an admin endpoint.
func adminPost(ctx context.Context, address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return adminRequest(ctx, http.MethodPost, address, path, bytes.NewReader(text), io.Discard)
}
