// Package faultmatrix injects each fault at each step in the lifecycle of a request and of a configuration
// change, and checks the system's invariants.
//
// A cell of the matrix is one fault or a pair of faults, a step and a seed. It simulates four nodes in
// three failure domains, which connect the production decision packages through a deterministic event
// queue with a fake clock. When the workload reaches the step after warm-up, the fault starts at the node
// that reached it. Each invariant is checked while the cell runs or at its end, and the workload must make
// progress again after the fault has ended.
//
// The package does not model performance: delays are small constants with jitter.
package faultmatrix

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Fault is a failure of a node, the network, the platform or messages, or a key withdrawal.
type Fault string

// Faults that cells inject.
const (
	Killed                  Fault = "killed"
	Frozen                  Fault = "frozen"
	PartitionedFromPeers    Fault = "cut-from-peers"
	PartitionedFromPlatform Fault = "cut-from-platform"
	PlatformDown            Fault = "platform-down"
	PlatformSlow            Fault = "platform-slow"
	PlatformResponseLost    Fault = "platform-answer-lost"
	MessageDuplicated       Fault = "message-doubled"
	MessageDelayed          Fault = "message-late"
	MessagesReordered       Fault = "messages-reordered"
	MessageLost             Fault = "message-lost"
	VMReplaced              Fault = "vm-replaced"
	KeyWithdrawn            Fault = "key-withdrawn"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		Killed, Frozen, PartitionedFromPeers, PartitionedFromPlatform, PlatformDown, PlatformSlow, PlatformResponseLost,
		MessageDuplicated, MessageDelayed, MessagesReordered, MessageLost, VMReplaced, KeyWithdrawn,
	}
}

// Step is a point in the lifecycle of a request or of a configuration change.
type Step string

// Steps at which cells inject faults.
const (
	Arrival           Step = "arrival"
	KeyCheck          Step = "key-check"
	Rate              Step = "rate"
	Choice            Step = "choice"
	Queue             Step = "queue"
	Dispatch          Step = "dispatch"
	Run               Step = "run"
	ResponseSent      Step = "answer"
	DedupeRecord      Step = "dedupe-record"
	ConfigWrite       Step = "config-write"
	ConfigPropagation Step = "config-spread"
	ShareGrant        Step = "share-grant"
	HandOver          Step = "hand-over"
	Drain             Step = "drain"
)

// Steps returns all steps.
func Steps() []Step {
	return []Step{
		Arrival, KeyCheck, Rate, Choice, Queue, Dispatch, Run, ResponseSent, DedupeRecord,
		ConfigWrite, ConfigPropagation, ShareGrant, HandOver, Drain,
	}
}

// Cell is one run of the matrix.
type Cell struct {
	// Faults holds one or two faults. The second one hits the next node, which is in another failure domain,
	// at the same time as the first (odd seeds) or secondFaultDelay later (even seeds).
	Faults []Fault
	Step   Step
	Seed   uint64
}

// String returns the subtest name, by which the cell can be run alone. It also seeds the simulation.
func (c Cell) String() string {
	names := make([]string, len(c.Faults))
	for i, fault := range c.Faults {
		names[i] = string(fault)
	}
	return fmt.Sprintf("%s/%s/seed=%d", strings.Join(names, "+"), c.Step, c.Seed)
}

// SingleFaultCells returns every fault at every step with the seeds 1 to seeds.
func SingleFaultCells(seeds uint64) []Cell {
	var sets [][]Fault
	for _, fault := range Faults() {
		sets = append(sets, []Fault{fault})
	}
	return cells(sets, seeds)
}

// FaultPairCells returns every unordered pair of faults, including a fault paired with itself, at every
// step with the seeds 1 to seeds.
func FaultPairCells(seeds uint64) []Cell {
	var sets [][]Fault
	for i, first := range Faults() {
		for _, second := range Faults()[i:] {
			sets = append(sets, []Fault{first, second})
		}
	}
	return cells(sets, seeds)
}

func cells(sets [][]Fault, seeds uint64) []Cell {
	var all []Cell
	for _, faults := range sets {
		for _, step := range Steps() {
			for seed := uint64(1); seed <= seeds; seed++ {
				all = append(all, Cell{Faults: faults, Step: step, Seed: seed})
			}
		}
	}
	return all
}

// Mutations disables mechanisms of the system, to show that the matrix detects their absence.
type Mutations struct {
	// SkipMarkDispatched does not mark the record of a request id as dispatched.
	SkipMarkDispatched bool
	// SkipDuplicateCheck runs calls that the network duplicated.
	SkipDuplicateCheck bool
	// SkipIncarnationCheck lets a node run calls that were addressed to an earlier incarnation.
	SkipIncarnationCheck bool
	// RetryMayHaveRun treats every failure as not run in the retry decision.
	RetryMayHaveRun bool
	// ReportLostAsNotRun reports calls with a lost connection as not run.
	ReportLostAsNotRun bool
	// ReportLastOutcome reports the outcome of the last attempt instead of the worst of all attempts.
	ReportLastOutcome bool
	// StartShardsFull lets a new shard owner start with full token buckets.
	StartShardsFull bool
	// SkipDequeueCheck runs queued work whose key was withdrawn while it waited.
	SkipDequeueCheck bool
	// CheckQueuedOnly skips the withdrawal check for work that gets a slot without queueing.
	CheckQueuedOnly bool
	// UnboundedRetries gives every call a retry token.
	UnboundedRetries bool
	// RefundSpentGrants settles every retry grant as unspent.
	RefundSpentGrants bool
	// RefundDuplicates returns the retry budget with the refusal of a duplicated call.
	RefundDuplicates bool
	// SkipDrain lets a draining upstream admit work.
	SkipDrain bool
	// AcceptLowerRevision lets a replica install any document that a peer sends.
	AcceptLowerRevision bool
	// AcceptUnknownOutcome treats a write with an unknown outcome as accepted.
	AcceptUnknownOutcome bool
	// RebaseOnConflict rebases a change on the newest revision instead of reporting a conflict.
	RebaseOnConflict bool
	// AcceptAnyResponse accepts the next response on a connection regardless of its call id.
	AcceptAnyResponse bool
	// AcceptTruncatedResponse accepts a response whose body is incomplete.
	AcceptTruncatedResponse bool
	// KeepLostQuotaRequests keeps a quota request outstanding after its response is lost.
	KeepLostQuotaRequests bool
	// TrackNonIdempotentOnly detects duplicates of non-idempotent calls only.
	TrackNonIdempotentOnly bool
	// SkipHomeDuplicateCheck lets the home node of a request id handle a duplicated presentation of it.
	SkipHomeDuplicateCheck bool
}

// Violation describes a broken invariant.
type Violation struct {
	At        time.Duration
	Invariant Invariant
	Detail    string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return strconv.FormatFloat(v.At.Seconds(), 'f', 3, 64) + "s " + string(v.Invariant) + ": " + v.Detail
}

// Invariant names a property that holds in every cell.
type Invariant string

// Invariants that each cell checks.
const (
	AtMostOnce        Invariant = "at-most-once"
	NotRunIsAccurate  Invariant = "not-run-is-true"
	RateBound         Invariant = "rate-bound"
	WithdrawnKeyStops Invariant = "withdrawn-stops"
	RetryBound        Invariant = "retry-bound"
	DrainStops        Invariant = "drain-stops"
	ConfigConsistent  Invariant = "config-kept"
	OneWriterWins     Invariant = "one-writer-wins"
	OwnResponse       Invariant = "own-answer"
	Progress          Invariant = "progress"
	StepReached       Invariant = "step-reached"
)

// Result is the outcome of a cell.
type Result struct {
	Cell       Cell
	Violations []Violation
	trace      []traceLine
	// Succeeded counts requests that got a response, Executed those that an upstream ran.
	Succeeded, Executed int
}

// Trace returns the most recent events, oldest first. Runs of the same cell have equal traces.
func (r Result) Trace() []string {
	lines := make([]string, len(r.trace))
	for i, line := range r.trace {
		lines[i] = line.String()
	}
	return lines
}
