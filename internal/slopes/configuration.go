package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/config"
	"github.com/cowslipglade/cowslipglade/kvstore"
	"github.com/cowslipglade/cowslipglade/member"
	configurationv1 "github.com/cowslipglade/cowslipglade/rpc/configuration/v1"
)

const (
	changesPerDay = 19_000
	secondsPerDay = 24 * 60 * 60
)

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func newChange(id string) config.Change {
	return config.Change{ID: id, Actor: "operator@example", UnixMS: epoch.UnixMilli()}
}

func workspaceChange(i int, base int64, rate float64) config.Change {
	c := newChange(fmt.Sprintf("workspace-%d-%d", i, base))
	c.Kind, c.BaseRevision = config.PutWorkspace, base
	c.Workspace = &config.Workspace{Name: workspaceName(i), Rate: rate, Burst: 2000, Weight: 1}
	return c
}

func keyChange(i, workspaces int) config.Change {
	c := newChange(fmt.Sprint("key-", i))
	c.Kind = config.PutKey
	c.Key = &config.Key{ID: fmt.Sprintf("key-%05d", i), Workspace: workspaceName(i % workspaces), SHA256: hashOf(c.ID)}
	return c
}

func routeChange(i int) config.Change {
	c := newChange(fmt.Sprint("route-", i))
	c.Kind = config.PutRoute
	c.Route = &config.Route{
		Name: fmt.Sprintf("route-%04d", i), PathPrefix: fmt.Sprintf("/service-%d/route-%d", i%300, i),
		Methods: []string{"GET", "POST"}, Service: fmt.Sprint("service-", i%300), Timeout: time.Second, Idempotent: true,
	}
	return c
}

func newDocument(workspaces, keys, routes int) (*config.Document, error) {
	var changes []config.Change
	for i := range workspaces {
		changes = append(changes, workspaceChange(i, 0, 10))
	}
	for i := range keys {
		changes = append(changes, keyChange(i, workspaces))
	}
	for i := range routes {
		changes = append(changes, routeChange(i))
	}
	d := config.NewDocument()
	var err error
	for _, c := range changes {
		if d, err = d.Apply(c, d.Revision+1); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func measureConfiguration(r *recorder) error {
	for _, c := range []struct{ workspaces, keys, routes int }{{100, 500, 100}, {500, 2500, 500}, {1000, 5000, 1000}} {
		if err := measureDocument(r, c.workspaces, c.keys, c.routes); err != nil {
			return err
		}
	}
	if err := measurePush(r); err != nil {
		return err
	}
	if err := measurePlatformCalls(r); err != nil {
		return err
	}
	measureElection(r)
	return nil
}

func measureDocument(r *recorder, workspaces, keys, routes int) error {
	size := fmt.Sprintf("%d workspaces, %d keys, %d routes", workspaces, keys, routes)
	x := float64(workspaces + keys + routes)
	before := heapBytes()
	d, err := newDocument(workspaces, keys, routes)
	if err != nil {
		return err
	}
	r.add("heap of the document", "bytes", size, x, heapBytes()-before)
	snapshot, err := d.EncodeSnapshot()
	if err != nil {
		return err
	}
	r.add("snapshot", "bytes", size, x, float64(len(snapshot)))
	const applyCount = 200
	current := d
	ns := cpuPerOperation(applyCount, func(i int) {
		if err != nil {
			return
		}
		c := workspaceChange(i%workspaces, current.Workspaces[workspaceName(i%workspaces)].Revision, float64(i+1))
		current, err = current.Apply(c, current.Revision+1)
	})
	r.add("processor time of Apply", "ns", size, x, ns)
	ns = cpuPerOperation(5, func(int) {
		if err == nil {
			_, err = config.DecodeSnapshot(snapshot)
		}
	})
	r.add("processor time to decode a snapshot", "ns", size, x, ns)
	runtime.KeepAlive(d)
	return err
}

// measurePush measures the size of one pushed change and calculates the push traffic of a node per second.
// Each node that receives a new revision sends it to PushFanout others, so on average each node sends and
// receives PushFanout pushes per change.
func measurePush(r *recorder) error {
	data, err := config.CommittedChange{Revision: 123456, Change: workspaceChange(7, 4711, 12.5)}.Encode()
	if err != nil {
		return err
	}
	push := proto.Size(&configurationv1.PushRequest{Changes: [][]byte{data}, ConfirmedAgeMs: 1500})
	r.add("protobuf of one push", "bytes", "one workspace", 0, float64(push))
	perSecond := 2 * config.PushFanout * float64(changesPerDay) / secondsPerDay
	r.add("pushes sent and received", "messages/s per node", "19,000 changes a day", 0, perSecond)
	r.add("pushes sent and received, protobuf", "bytes/s per node", "19,000 changes a day", 0, perSecond*float64(push))
	return nil
}

// countingStore counts the reads and writes of a store.
type countingStore struct {
	kvstore.Store
	reads, writes int
}

func (s *countingStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	s.reads++
	return s.Store.Get(ctx, key)
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]kvstore.Entry, int64, error) {
	s.reads++
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key string, previous int64, value []byte, lease kvstore.LeaseID) (int64, error) {
	s.writes++
	return s.Store.CompareAndSwap(ctx, key, previous, value, lease)
}

func (s *countingStore) CompareAndDelete(ctx context.Context, key string, previous int64) error {
	s.writes++
	return s.Store.CompareAndDelete(ctx, key, previous)
}

// measurePlatformCalls counts the platform calls of a commit, of a watcher for a committed change, of a
// snapshot and of a node start.
func measurePlatformCalls(r *recorder) error {
	const commits = 200
	ctx := context.Background()
	store := &countingStore{Store: kvstore.NewMemory(func() time.Time { return epoch })}
	writer, reader := config.Writer{Store: store}, config.Reader{Store: store}
	document, watcherDocument := config.NewDocument(), config.NewDocument()
	var err error
	var commitReads, commitWrites, watcherReads int
	for i := range commits {
		store.reads, store.writes = 0, 0
		if document, _, err = writer.Commit(ctx, document, workspaceChange(i, 0, 10)); err != nil {
			return err
		}
		commitReads, commitWrites = commitReads+store.reads, commitWrites+store.writes
		store.reads = 0
		if watcherDocument, _, err = reader.Advance(ctx, watcherDocument); err != nil {
			return err
		}
		watcherReads += store.reads
	}
	r.add("platform reads of a commit", "reads", "", 0, float64(commitReads)/commits)
	r.add("platform writes of a commit", "writes", "", 0, float64(commitWrites)/commits)
	r.add("platform reads of one watcher for a change", "reads", "", 0, float64(watcherReads)/commits)
	store.reads, store.writes = 0, 0
	if _, err = writer.Compact(ctx, document); err != nil {
		return err
	}
	r.add("platform calls of a snapshot", "calls", "", 0, float64(store.reads+store.writes))
	store.reads = 0
	if _, err = reader.Load(ctx); err != nil {
		return err
	}
	r.add("platform reads of a start", "reads", "", 0, float64(store.reads))
	return nil
}

// measureElection counts the platform calls with which a watcher keeps its slot.
func measureElection(r *recorder) {
	const seconds = 600
	election := member.NewElection("zone-0", []byte("10.0.0.1:7000"), rand.New(rand.NewPCG(1, 1)))
	calls := 0
	for now := epoch; now.Before(epoch.Add(seconds * time.Second)); now = now.Add(tickInterval) {
		if next := election.Next(now, 0); next.Kind != member.NoCall {
			calls++
			election.Result(now, kvstore.LeaseID(1), nil, nil)
		}
	}
	r.add("platform calls of one watcher for its slot", "calls/s", "", 0, float64(calls)/seconds)
}
