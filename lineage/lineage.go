// Package lineage finds the running request that made a call.
//
// Upstreams call other services through the node beside them. Such a call has a request ID of its own, which
// extends the ID of the request for which it is made: "a.b" is made for "a". The node knows the requests that run
// on its upstream, so it can tell for which of them a call is made, and rank the call like its request when
// calls must be shed. The match decides only that: a call whose ID extends no running request is served all the same.
//
// The package has no clock. Tracker is safe for concurrent use.
package lineage

import (
	"strings"
	"sync"

	"github.com/cowslipglade/cowslipglade/call"
)

// separator stands between the ID of a request and what a call adds to it.
const separator = '.'

// Run is a request that runs on the upstream.
type Run struct {
	Route      string
	Importance call.Importance
	ShedOrder  uint16
	// Repeated means that the request may have run before.
	Repeated bool
	// Answered is the number of calls of the request that were answered.
	Answered int
}

// Tracker holds the running requests of one upstream. Its zero value is empty.
type Tracker struct {
	mu   sync.Mutex
	runs map[string]*entry
}

// entry counts the attempts of one request that run at the same time.
type entry struct {
	Run
	attempts int
}

// Start adds a running request. The returned function removes it and must be called once.
func (t *Tracker) Start(requestID string, run Run) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = map[string]*entry{}
	}
	e := t.runs[requestID]
	if e == nil {
		e = &entry{Run: run}
		t.runs[requestID] = e
	}
	e.attempts++
	e.Repeated = e.Repeated || run.Repeated
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.attempts--
		if e.attempts == 0 {
			delete(t.runs, requestID)
		}
	}
}

// Parent returns the running request for which a call with the given ID is made, and false if none is known.
func (t *Tracker) Parent(requestID string) (Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.parent(requestID); e != nil {
		return e.Run, true
	}
	return Run{}, false
}

// Answered counts an answered call for the running request that made it, if that is known.
func (t *Tracker) Answered(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.parent(requestID); e != nil {
		e.Answered++
	}
}

func (t *Tracker) parent(requestID string) *entry {
	for end := strings.LastIndexByte(requestID, separator); end > 0; end = strings.LastIndexByte(requestID[:end], separator) {
		if e := t.runs[requestID[:end]]; e != nil {
			return e
		}
	}
	return nil
}
