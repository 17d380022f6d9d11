package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Times of the revoke case.
const (
	cutTime      = 5900 * time.Millisecond // zone_cut of the site: up to 6 s
	revokeDelay  = 500 * time.Millisecond  // from the begin of the cut to the change
	settleTime   = 3 * time.Second         // before the cut, all machines are in touch
	afterCut     = 2 * time.Second
	revokeRounds = 5
	// keyInterval is the time between two requests with the key at one machine.
	keyInterval = 25 * time.Millisecond
)

// runRevoke cuts a zone off from the others and from the store. During the cut the operator takes a key away, and
// clients in the zone keep sending it. It does so up to revokeRounds times.
func runRevoke(f *fleet, trouble bool) (int, error) {
	keys := []string{remainingKey}
	for round := range revokeRounds {
		keys = append(keys, fmt.Sprintf("withdrawn-%d", round+1))
	}
	version := 2
	if err := f.store.operatorWrite(configuration(version, keys...)); err != nil {
		return 0, err
	}
	for len(keys) > 1 {
		key := keys[len(keys)-1]
		keys = keys[:len(keys)-1]
		version++
		violations, err := f.revokeDuringCut(key, configuration(version, keys...), trouble)
		if violations > 0 || err != nil {
			return violations, err
		}
	}
	return 0, nil
}

// revokeDuringCut runs one round and returns how many requests with the key ran too late.
func (f *fleet) revokeDuringCut(key string, without any, trouble bool) (int, error) {
	const zone = "qc-est-b"
	time.Sleep(settleTime)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var inZone []*machine
	var names []string
	for _, m := range f.machines {
		if m.zone == zone {
			inZone, names = append(inZone, m), append(names, m.name)
			m.clients.run(ctx, keyInterval, http.MethodGet, "/portfolio/", key, time.Second)
		}
	}
	time.Sleep(time.Second)
	if trouble {
		f.rec.printf("%s is cut off from the other zones and from the store", zone)
		f.network.setCut(true, names...)
	}
	time.Sleep(revokeDelay)
	if err := f.store.operatorWrite(without); err != nil {
		return 0, err
	}
	acknowledged := time.Now()
	f.rec.printf("the store acknowledged a configuration without %s", key)
	time.Sleep(cutTime - revokeDelay)
	if trouble {
		f.rec.printf("end of the cut")
		f.network.setCut(false, names...)
	}
	time.Sleep(afterCut)
	cancel()
	violations := 0
	for _, m := range inZone {
		violations += f.countLateRuns(m.clients.all(), key, acknowledged)
	}
	return violations, nil
}

// countLateRuns counts the requests with the key that were sent later than the bound and have run.
func (f *fleet) countLateRuns(requests []sent, key string, acknowledged time.Time) int {
	ran := map[string]execution{}
	for _, m := range f.machines {
		for _, e := range m.backend.ran() {
			ran[e.id] = e
		}
	}
	late := 0
	for _, s := range requests {
		if s.key != key {
			continue
		}
		e, hasRun := ran[s.id]
		f.rec.printf("request %s with %s sent at %.3f s, status %d after %v, ran: %v", s.id, key, f.rec.seconds(s.at), s.status, s.after.Round(time.Millisecond), hasRun)
		if delay := s.at.Sub(acknowledged); hasRun && delay > revokeTime {
			late++
			f.rec.printf("  BROKEN: sent %.3f s after the acknowledgement and run by %s for %s", delay.Seconds(), e.instance, e.tenant)
		}
	}
	return late
}
