package sidecar_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a withdrawn key that is accepted by a node started beside a restored store that still holds it.
func TestRestoredStoreWithdrawnKey(t *testing.T) {
	for _, rate := range []int{1000, 0} {
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			f := startFleet(t, 2, sameHandler(respond))
			f.configure(2, `"key-1"`, rate)
			backup := f.store.Backup()
			f.configure(3, `"key-2"`, rate)
			f.eventually(func() error {
				for _, n := range f.nodes {
					if r := f.send(n, http.MethodGet, "/read/1", "withdrawn", "key-1", time.Second); r.status != http.StatusUnauthorized {
						return fmt.Errorf("status %d", r.status)
					}
				}
				return nil
			})
			f.store.Restore(backup)
			n := f.startNode(2, respond)
			for begin := time.Now(); time.Since(begin) < 2*time.Second; {
				r := f.send(n, http.MethodGet, "/read/1", "withdrawn", "key-1", time.Second)
				must.NotEq(t, http.StatusOK, r.status, must.Sprint(time.Since(begin)))
			}
		})
	}
}
