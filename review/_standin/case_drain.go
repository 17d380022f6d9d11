package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// runDrain kills the node of one machine. Soon after it is back, its backend leaves, which the node acknowledges. A
// heartbeat that the backend sent before arrives after that.
func runDrain(f *fleet, trouble bool) (int, error) {
	const (
		sendInterval = 75 * time.Millisecond // all machines together send 107 a second, as on the site
		timeout      = 5 * time.Second
		// leaveDelay is from the kill, so that the node is back and the next heartbeat is not due yet.
		leaveDelay = time.Second
		// heartbeatDelay is the time for which the heartbeat is on its way.
		heartbeatDelay = 2500 * time.Millisecond
		// serveTime is how long the backend serves after the acknowledgement.
		serveTime = drainTime + 3*time.Second
		afterExit = time.Second
	)
	m := f.byName("sidecar-qc-est-b-2")
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, other := range f.machines {
		other.clients.run(ctx, sendInterval, http.MethodPost, "/deposit/", remainingKey, timeout)
	}
	time.Sleep(time.Second)

	late := m.backend.stopHeartbeats()
	f.rec.printf("%s sends a heartbeat, which is held up", m.backend.instance)
	time.AfterFunc(heartbeatDelay, func() {
		err := m.backend.send(late)
		f.rec.printf("the late heartbeat of %s has arrived: %v", m.backend.instance, errorOr(err, "acknowledged"))
	})
	if trouble {
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(leaveDelay)
	if err := m.backend.leave(); err != nil {
		return 0, err
	}
	acknowledged := time.Now()
	f.rec.printf("the node of %s acknowledged that %s leaves", m.name, m.backend.instance)
	time.Sleep(serveTime)
	f.rec.printf("%s ends", m.backend.instance)
	m.backend.exit()
	time.Sleep(afterExit)
	cancel()

	bound := acknowledged.Add(drainTime)
	if inTouch := m.inTouchSince(); inTouch.After(bound) {
		bound = inTouch // before, the machine is not in touch
	}
	answers := map[string]sent{}
	for _, other := range f.machines {
		for _, s := range other.clients.all() {
			answers[s.id] = s
			f.rec.printf("request %s to %s sent at %.3f s, status %d after %v", s.id, other.name, f.rec.seconds(s.at), s.status, s.after.Round(time.Millisecond))
		}
	}
	violations, lost := 0, 0
	for _, e := range m.backend.ran() {
		f.rec.printf("%s began to run %s at %.3f s, finished: %v", e.instance, e.id, f.rec.seconds(e.at), e.finished)
		if !e.at.After(bound) || !answers[e.id].at.After(bound) {
			continue
		}
		violations++
		f.rec.printf("  BROKEN: %.3f s after the acknowledgement", e.at.Sub(acknowledged).Seconds())
		if answers[e.id].status != http.StatusOK {
			lost++
			f.rec.printf("  LOST WORK: it was answered %d, and may not be sent again", answers[e.id].status)
		}
	}
	f.rec.printf("%d requests reached the backend too late; %d of them were cut off when it ended", violations, lost)
	return violations, nil
}

func errorOr(err error, text string) string {
	if err != nil {
		return err.Error()
	}
	return text
}
