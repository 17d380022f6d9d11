package sidecar_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/sidecar"
)

// Guards against data races and panics while settings, configuration and upstreams change under load, and nodes stop.
func TestConcurrentChanges(t *testing.T) {
	f := startFleetWith(t, 3, sameHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		respond(w, r)
	}), func(s *sidecar.Settings) { s.ShutdownTimeout, s.EvacuateTime = time.Second, 2*time.Second })
	var stopped atomic.Bool
	var running sync.WaitGroup
	repeat := func(action func(i int)) {
		running.Go(func() {
			for i := 0; !stopped.Load(); i++ {
				action(i)
			}
		})
	}
	var answered atomic.Int64
	paths := []string{"/open/a", "/open/once/a", "/read/a", "/once/a", "/unknown"}
	for i, n := range f.nodes {
		for worker := range 4 {
			repeat(func(k int) {
				id := fmt.Sprintf("%d-%d-%d", i, worker, k)
				if r := f.send(n, []string{http.MethodGet, http.MethodPost}[k%2], paths[k%len(paths)], id, "key-1", time.Second); r.status == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		repeat(func(k int) {
			next := *n.settings
			next.RetryWindow = time.Duration(1+k%10) * time.Second
			next.WithdrawalTime = time.Duration(1+k%5) * time.Second
			n.node.Reload(&next)
			time.Sleep(10 * time.Millisecond)
		})
		repeat(func(k int) {
			beat := n.beat(int64(k+2), false)
			beat.Slots, beat.WarmUp = 1+k%16, time.Duration(k%3)*10*time.Millisecond
			beat.StartTimeMS += int64(k / 20) // another start now and then
			_ = n.node.Heartbeat(beat)        // refused when the node stops
			time.Sleep(5 * time.Millisecond)
		})
		repeat(func(k int) {
			n.node.Departed(fmt.Sprint("gone-", k), 1000)
			if response, err := http.Get("http://" + n.settings.ControlAddress + "/debug/vars"); err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(20 * time.Millisecond)
		})
	}
	for revision := 2; revision < 12; revision++ {
		f.configure(revision, fmt.Sprintf(`"key-1","key-%d"`, revision), 500+revision)
		if revision%2 == 0 {
			f.put("op/evacuate/d1", "{}")
		} else {
			f.remove("op/evacuate/d1")
		}
		time.Sleep(100 * time.Millisecond)
	}
	var stopping sync.WaitGroup
	for _, n := range f.nodes[1:] {
		stopping.Go(func() { _ = n.node.Stop() }) // may have to abort requests
	}
	stopping.Wait()
	stopped.Store(true)
	running.Wait()
	must.Positive(t, answered.Load())
	must.SliceEmpty(t, f.logs.find(`"event":"panic"`))
	must.SliceEmpty(t, f.logs.find("panic serving"))
}
