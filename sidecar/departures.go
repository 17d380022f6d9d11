package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// maxDepartures bounds the departures that are remembered. A VM has one upstream at a time, and late messages of an
// upstream end within seconds.
const maxDepartures = 16

// departureLifetime is how long a departure is kept outside the process that acknowledged it. A departed upstream serves
// on for seconds, and its messages may be late by seconds.
const departureLifetime = 5 * time.Minute

// departuresPrefix is the store prefix of the departures that nodes have acknowledged, one entry per node. They outlive
// the node's own entry, which ends when the node stops.
const departuresPrefix = "cowslipglade/departures/"

// errDepartures means that an entry does not hold departures.
var errDepartures = errors.New("sidecar: invalid departures")

// departure is the permanent departure of an upstream, acknowledged to it.
type departure struct {
	instance string
	// startTimeMS is when the upstream started, in Unix milliseconds, or 0 if unknown.
	startTimeMS int64
}

// storedDeparture is a departure as nodes write it to the store.
type storedDeparture struct {
	Instance    string `json:"instance"`
	StartTimeMS int64  `json:"start_time_ms,omitempty"`
}

// encode returns the departures as an entry of the store.
func (d departures) encode() ([]byte, error) {
	entries := make([]storedDeparture, 0, len(d))
	for _, known := range d {
		entries = append(entries, storedDeparture{known.instance, known.startTimeMS})
	}
	return json.Marshal(entries)
}

// decodeDepartures decodes and checks an entry of the store, which another writer may have created.
func decodeDepartures(data []byte) (departures, error) {
	var entries []storedDeparture
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, fmt.Errorf("%w: %w", errDepartures, err)
	}
	if len(entries) > maxDepartures {
		return nil, fmt.Errorf("%w: %d of them, at most %d", errDepartures, len(entries), maxDepartures)
	}
	decoded := make(departures, 0, len(entries))
	for _, e := range entries {
		if !validInstance(e.Instance) || !validStartTime(e.StartTimeMS) {
			return nil, fmt.Errorf("%w: instance %q, start %d", errDepartures, abbreviate(e.Instance), e.StartTimeMS)
		}
		decoded = append(decoded, departure{e.Instance, e.StartTimeMS})
	}
	return decoded, nil
}

// departures remembers the departures on this VM, so that no message that an upstream sent before it departed undoes
// that: heartbeats may arrive late, also at a process that started after they were sent.
type departures []departure

// covers reports whether the upstream has departed. One that started again under its ID has not.
func (d departures) covers(instance string, startTimeMS int64) bool {
	for _, known := range d {
		if known.instance == instance && startTimeMS <= known.startTimeMS {
			return true
		}
	}
	return false
}

func (d *departures) add(next departure) {
	if d.covers(next.instance, next.startTimeMS) {
		return
	}
	if len(*d) == maxDepartures {
		*d = (*d)[1:]
	}
	*d = append(*d, next)
}
