package sidecar

import (
	"fmt"
	"runtime/debug"

	"github.com/cowslipglade/cowslipglade/call"
)

// A panic in code that serves one request ends that request only. net/http does so for handlers, but not for the goroutines
// that a request starts, and it closes the connection. The code that runs under contain releases its mutexes and slots by
// deferred calls, so what others use stays usable. A panic in a task of the node ends the process: without the task the node
// would stay up and, for example, no longer renew its lease.

// contain runs f, which serves one request or one exchange, and reports whether it has panicked.
func (n *Node) contain(part string, f func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			n.metrics.panics.Add(part, 1)
			n.log.event("panic").Str("part", part).Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).
				Msg("code of one request has panicked")
		}
	}()
	f()
	return false
}

// afterPanic is deferred. It calls f if the function has panicked, and lets the panic go on.
func afterPanic(f func()) {
	if cause := recover(); cause != nil {
		f()
		panic(cause)
	}
}

func panicRefusal(outcome call.Outcome) *call.Refusal {
	return call.NewRefusal(call.CodeInternal, outcome, "internal error")
}
