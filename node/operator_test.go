package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/operator"
)

// The documented replacement of the shared secret must fail no request, and afterwards a node that has only the
// old secret must be refused.
func TestSecretReplacement(t *testing.T) {
	f := newFleet(t, 3)
	f.upstream(2, "stock", func(http.ResponseWriter, *http.Request) {})
	var stop atomic.Bool
	var traffic sync.WaitGroup
	for entry := range 2 {
		traffic.Go(func() {
			for !stop.Load() {
				status, body, err := f.do(entry, http.MethodGet, "/stock/a", keyed(), nil)
				if err != nil || status != 200 {
					t.Errorf("entry %d: %d %s %v", entry, status, body, err)
				}
			}
		})
	}
	before, after := "a-secret-of-the-test", "another-secret-of-the-test"
	for _, secrets := range [][]string{{before, after}, {after, before}, {after}} {
		for _, n := range f.nodes {
			n.ReplaceSecrets(secrets)
			time.Sleep(100 * time.Millisecond)
		}
	}
	stop.Store(true)
	traffic.Wait()
	for _, n := range f.nodes {
		must.Eq(t, 0, n.metrics.rejectedPackets.Load())
	}
	f.nodes[0].ReplaceSecrets([]string{before})
	status, _, err := f.do(0, http.MethodGet, "/stock/a", keyed(), nil)
	must.NoError(t, err)
	must.NotEq(t, 200, status)
}

// After the shards of a crashed node are released, another node of its domain must acquire them at a higher
// term. The shards of a live node must not be released.
func TestShardRelease(t *testing.T) {
	f := newFleet(t, 4) // nodes 0 and 3 share a failure domain
	owners := func(name string) []string {
		entries, _, err := f.store.List(t.Context(), shardOwnerPrefix)
		must.NoError(t, err)
		var shards []string
		for _, entry := range entries {
			var record shardRecord
			must.NoError(t, json.Unmarshal(entry.Value, &record))
			if record.Node == name {
				shards = append(shards, entry.Key[len(shardOwnerPrefix):])
			}
		}
		return shards
	}
	// A crashed node leaves its owner key behind. The next owner raises the term of the shard.
	key := shardOwnerPrefix + "fd-0/0"
	entry, err := f.store.Get(t.Context(), key)
	must.NoError(t, err)
	holder := slices.IndexFunc(f.nodes, func(n *Node) bool { return slices.Contains(owners(n.settings.Name), "fd-0/0") })
	_, err = f.nodes[1].ReleaseShards(t.Context(), f.nodes[holder].settings.Name, "test")
	must.ErrorIs(t, err, operator.ErrNodeAlive)
	f.nodes[holder].quota.shards.drop(0)
	record, err := json.Marshal(shardRecord{Node: "node-9", Incarnation: 1, Address: "127.0.0.1:1"})
	must.NoError(t, err)
	_, err = f.store.CompareAndSwap(t.Context(), key, entry.Revision, record, kvstore.NoLease)
	must.NoError(t, err)
	f.store.SetDown(true)
	_, err = f.nodes[1].ReleaseShards(t.Context(), "node-9", "test")
	must.Error(t, err)
	must.False(t, errors.Is(err, operator.ErrNodeAlive))
	f.store.SetDown(false)
	must.Eq(t, []string{"fd-0/0"}, owners("node-9"))
	released, err := f.nodes[1].ReleaseShards(t.Context(), "node-9", "test")
	must.NoError(t, err)
	must.Eq(t, []string{"fd-0/0"}, released)
	f.eventually("shard taken", func() bool {
		return slices.Contains(append(owners("node-0"), owners("node-3")...), "fd-0/0")
	})
	f.eventually("term raised", func() bool {
		term, err := f.store.Get(t.Context(), shardTermPrefix+"fd-0/0")
		return err == nil && fmt.Sprint(string(term.Value)) == "2"
	})
}

// Guards against shards of a crashed node that cannot be released because another owner key is malformed.
func TestShardReleaseBesideOddEntry(t *testing.T) {
	f := newFleet(t, 1)
	record, err := json.Marshal(shardRecord{Node: "node-9", Incarnation: 1, Address: "127.0.0.1:1"})
	must.NoError(t, err)
	for shard, value := range map[string][]byte{
		"fd-x/0": []byte("{"), "fd-x/1": []byte(`{"node":"node-9","incarnation":1e99}`), "fd-x/2": record,
		"fd-x/3": bytes.Repeat([]byte("["), 1<<20),
	} {
		_, err = f.store.CompareAndSwap(t.Context(), shardOwnerPrefix+shard, 0, value, kvstore.NoLease)
		must.NoError(t, err)
	}
	released, err := f.nodes[0].ReleaseShards(t.Context(), "node-9", "test")
	must.NoError(t, err)
	must.Eq(t, []string{"fd-x/2"}, released)
	_, err = f.store.Get(t.Context(), shardOwnerPrefix+"fd-x/0")
	must.NoError(t, err, must.Sprint("an entry that names no owner stays"))
}
