package sidecar_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/sidecar"
)

const entryKey = "cowslipglade/nodes/n1"

// displace overwrites the entry of a node as another writer would, or deletes it if value is nil.
func (f *fleet) displace(change func(*sidecar.Registration) []byte) {
	f.t.Helper()
	f.eventually(func() error { // the node may write at the same moment
		entry, err := f.store.Get(f.t.Context(), entryKey)
		if err != nil {
			return err
		}
		var reg sidecar.Registration
		if err := json.Unmarshal(entry.Value, &reg); err != nil {
			return err
		}
		if value := change(&reg); value != nil {
			_, err = f.store.CompareAndSwap(f.t.Context(), entryKey, entry.Revision, value, kvstore.NoLease)
			return err
		}
		return f.store.CompareAndDelete(f.t.Context(), entryKey, entry.Revision)
	})
}

// Guards against a node that newcomers never learn of, because another writer has overwritten or deleted its entry.
func TestRestoresDisplacedEntry(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respond))
	published, err := f.store.Get(t.Context(), entryKey)
	must.NoError(t, err)
	for name, change := range map[string]func(*sidecar.Registration) []byte{
		"overwritten": func(*sidecar.Registration) []byte { return []byte("{") },
		"port": func(r *sidecar.Registration) []byte {
			r.PeerAddress = "127.0.0.1:65536"
			data, err := json.Marshal(r)
			must.NoError(t, err)
			return data
		},
		"deleted": func(*sidecar.Registration) []byte { return nil },
	} {
		f.displace(change)
		f.eventually(func() error {
			entry, err := f.store.Get(t.Context(), entryKey)
			if err == nil && string(entry.Value) != string(published.Value) {
				err = fmt.Errorf("entry is %.100q", entry.Value)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
		must.NoError(t, f.nodes[0].node.Heartbeat(f.nodes[0].beat(2, false)))
		must.Eq(t, http.StatusOK, f.send(f.nodes[0], http.MethodGet, "/read/a", name, "key-1", time.Second).status)
	}
	// The restored entry is attached to the lease again, and the end of the node removes it.
	must.NoError(t, f.nodes[1].node.Stop())
	time.Sleep(100 * time.Millisecond)
	_, err = f.store.Get(t.Context(), entryKey)
	must.ErrorIs(t, err, kvstore.ErrNotFound)
}

// A node does not take its own writes for those of another writer.
func TestDoesNotRestoreSoundEntry(t *testing.T) {
	f := startFleet(t, 2, sameHandler(respond))
	for i := range int64(5) {
		must.NoError(t, f.nodes[1].node.Heartbeat(sidecar.Heartbeat{
			Instance: f.nodes[1].upstream.instance, StartTimeMS: 1000, Sequence: 2 + i, Service: "s", Address: f.nodes[1].upstream.address, Slots: int(9 + i),
		}))
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	must.SliceEmpty(t, f.logs.find(`"event":"registration_displaced"`))
}
