package main

import (
	"net/http"
	"syscall"
	"time"
)

// Times of the stops case.
const (
	// stopLead is from the sending of the requests to the first SIGTERM.
	stopLead = 200 * time.Millisecond
	// stopGap is the time between the two SIGTERMs.
	stopGap      = time.Second
	stopTimeout  = 6 * time.Second // deadline_ms of the site's deposits
	stopRequests = 10
)

// runStops stops the two machines of a zone one after the other, while requests that entered at the second run on the
// backend of the first.
func runStops(f *fleet, trouble bool) (int, error) {
	entry, destination := f.byName("sidecar-qc-est-b-1"), f.byName("sidecar-qc-est-b-2")
	time.Sleep(contactTime)
	for range stopRequests {
		entry.clients.running.Go(func() {
			entry.clients.send(http.MethodPost, "/deposit"+longSuffix, remainingKey, stopTimeout)
		})
	}
	time.Sleep(stopLead)
	if trouble {
		destination.signal(syscall.SIGTERM)
	}
	time.Sleep(stopGap)
	stopped := time.Now()
	if trouble {
		entry.signal(syscall.SIGTERM)
	}
	requests := entry.clients.all()
	time.Sleep(stopTimeout) // until both nodes have ended

	ran := map[string]execution{}
	for _, m := range f.machines {
		for _, e := range m.backend.ran() {
			ran[e.id] = e
		}
	}
	// lastSixth is when the entry node's last sixth of graceS begins, in which it may break requests off.
	lastSixth := stopped.Add(graceTime * 5 / 6)
	violations := 0
	for _, s := range requests {
		e, hasRun := ran[s.id]
		answered := s.at.Add(s.after)
		if s.after > time.Second {
			f.rec.printf("request %s to %s sent at %.3f s, status %d at %.3f s; %s began at %.3f s, finished: %v",
				s.id, s.machine, f.rec.seconds(s.at), s.status, f.rec.seconds(answered), e.instance, f.rec.seconds(e.at), e.finished)
		}
		if hasRun && !e.finished && s.status != http.StatusOK && answered.After(stopped) && answered.Before(lastSixth) && s.after < stopTimeout {
			violations++
			f.rec.printf("  BROKEN: broken off %.3f s after the SIGTERM of the entry node, while the backend was at work", answered.Sub(stopped).Seconds())
		}
	}
	return violations, nil
}
