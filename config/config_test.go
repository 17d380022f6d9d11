package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

var ctx = context.Background()

func hashOf(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func workspace(id, name string, base int64) Change {
	return Change{ID: id, Actor: "op", BaseRevision: base, Kind: PutWorkspace, Workspace: &Workspace{Name: name, Rate: 10, Burst: 5}}
}

func key(id, workspace string) Change {
	return Change{ID: "put-" + id, Actor: "op", Kind: PutKey, Key: &Key{ID: id, Workspace: workspace, SHA256: hashOf(id)}}
}

func route(id, name, prefix string) Change {
	return Change{ID: id, Actor: "op", Kind: PutRoute, Route: &Route{Name: name, PathPrefix: prefix, Service: "s", Timeout: time.Second}}
}

func withdraw(id string) Change {
	return Change{ID: "withdraw-" + id, Actor: "op", Kind: WithdrawKey, Object: hashOf(id)}
}

// Guards against changes by concurrent operators that violate the rules between objects.
func TestApplyRules(t *testing.T) {
	d := NewDocument()
	deleted := func(kind Kind, object string, base int64) Change {
		return Change{ID: "delete", Actor: "op", Kind: kind, Object: object, BaseRevision: base}
	}
	reused := key("k1", "a")
	reused.ID, reused.BaseRevision = "again", 4
	for i, step := range []struct {
		change Change
		want   string
	}{
		{workspace("1", "a", 0), ""},
		{workspace("1", "b", 0), `change "1" is already committed at revision 1`},
		{workspace("2", "a", 0), "conflict on workspace/a: change is based on revision 0, object is at revision 1"},
		{key("k1", "b"), `key.workspace "b" must name a workspace that exists`},
		{key("k1", "a"), ""},
		{deleted(DeleteWorkspace, "a", 1), `object "a" must have no key in use, but has "k1"`},
		{withdraw("never-put"), ""},
		{key("never-put", "a"), "conflict on key/"},
		{withdraw("k1"), ""},
		{reused, "must not be that of a withdrawn key"},
		{route("r", "r", "/x"), ""},
		{deleted(DeleteRoute, "r", 4), "conflict on route/r"},
		{deleted(DeleteRoute, "r", 5), ""},
		{deleted(DeleteRoute, "r", 0), "already committed"},
		{Change{ID: "rules", Actor: "op", Kind: PutRules, Rules: &Rules{QuarantineCrashes: 2, MaxConfigAge: time.Minute}}, ""},
	} {
		next, err := d.Apply(step.change, d.Revision+1)
		if step.want != "" {
			must.ErrorContains(t, err, step.want, must.Sprintf("step %d", i))
			continue
		}
		must.NoError(t, err, must.Sprintf("step %d", i))
		d = next
	}
	must.Eq(t, 1, d.Workspaces["a"].Weight)
	must.True(t, d.Keys[hashOf("k1")].Withdrawn)
	_, err := d.Apply(workspace("9", "z", 0), d.Revision+2)
	must.ErrorIs(t, err, ErrGap)
}

// Guards against fields that are not validated, and errors that do not name the field, value and rule.
func TestValidate(t *testing.T) {
	for want, mutate := range map[string]func(*Change){
		`id "" must be`:                        func(c *Change) { c.ID = "" },
		`actor "a b" must be`:                  func(c *Change) { c.Actor = "a b" },
		`unix_ms "-1" must not`:                func(c *Change) { c.UnixMS = -1 },
		`base_revision "-1" must not`:          func(c *Change) { c.BaseRevision = -1 },
		`kind "x" must not come with route`:    func(c *Change) { c.Kind = "x" },
		`kind "x" must be one of`:              func(c *Change) { c.Kind, c.Route = "x", nil },
		`rules "" must be set`:                 func(c *Change) { c.Kind, c.Route = PutRules, nil },
		`route.name "A" must be`:               func(c *Change) { c.Route.Name = "A" },
		`route.path_prefix "x" must start`:     func(c *Change) { c.Route.PathPrefix = "x" },
		`route.path_prefix "/a?b" must`:        func(c *Change) { c.Route.PathPrefix = "/a?b" },
		`route.path_prefix "/cowslip/x" must`:  func(c *Change) { c.Route.PathPrefix = "/cowslip/x" },
		`route.service "" must be`:             func(c *Change) { c.Route.Service = "" },
		`route.importance "9" must be`:         func(c *Change) { c.Route.Importance = call.Importance(9) },
		`route.timeout "0s" must be`:           func(c *Change) { c.Route.Timeout = 0 },
		`route.methods "get" must be`:          func(c *Change) { c.Route.Methods = []string{"get"} },
		`workspace.rate "-1" must be`:          func(c *Change) { *c = workspace("1", "a", 0); c.Workspace.Rate = -1 },
		`workspace.burst "-1" must be`:         func(c *Change) { *c = workspace("1", "a", 0); c.Workspace.Burst = -1 },
		`workspace.weight "-1" must be`:        func(c *Change) { *c = workspace("1", "a", 0); c.Workspace.Weight = -1 },
		`key.sha256 "x" must be`:               func(c *Change) { *c = key("k", "a"); c.Key.SHA256 = "x" },
		`key.withdrawn "true" must be`:         func(c *Change) { *c = key("k", "a"); c.Key.Withdrawn = true },
		`key.id "" must be`:                    func(c *Change) { *c = key("k", "a"); c.Key.ID = "" },
		`object "x" must be 64`:                func(c *Change) { *c = withdraw("k"); c.Object = "x" },
		`rules.retry_ratio "2" must be`:        func(c *Change) { c.Kind, c.Route, c.Rules = PutRules, nil, &Rules{RetryRatio: 2} },
		`rules.retry_limit "-1" must be`:       func(c *Change) { c.Kind, c.Route, c.Rules = PutRules, nil, &Rules{RetryLimit: -1} },
		`rules.quarantine_crashes "0" must be`: func(c *Change) { c.Kind, c.Route, c.Rules = PutRules, nil, &Rules{} },
		`rules.max_config_age "1s" must be 0 (w`: func(c *Change) {
			c.Kind, c.Route, c.Rules = PutRules, nil, &Rules{QuarantineCrashes: 1, MaxConfigAge: 1e9}
		},
	} {
		c := route("1", "r", "/x")
		must.NoError(t, c.Validate())
		mutate(&c)
		must.ErrorContains(t, c.Validate(), "config: "+want)
	}
}

// fullDocument returns a document with the maximum number of objects and change ids, and with long names.
func fullDocument() *Document {
	d := NewDocument()
	longName := func(i int, n int) string { return (hashOf(fmt.Sprint(i)) + hashOf(fmt.Sprint("x", i)))[:n] }
	for i := range MaxWorkspaces {
		d.Workspaces[longName(i, 63)] = Workspace{Name: longName(i, 63), Rate: 1e9 / 7, Burst: 1e9, Weight: 1. / 3, Revision: 1e9}
		r := route("1", longName(i, 63), "/"+longName(i, 100)).Route
		r.Methods = []string{"GET", "POST", "PUT", "DELETE"}
		d.Routes[r.Name] = *r
	}
	for i := range MaxKeys {
		d.Keys[longName(i, 64)] = Key{ID: longName(-i, 36), Workspace: longName(i%MaxWorkspaces, 63), SHA256: longName(i, 64), Revision: 1e9}
	}
	for i := range MaxRecent {
		d.Recent = append(d.Recent, RecentChange{ID: longName(i, 36), Revision: int64(i)})
	}
	return d
}

// Guards against a document whose snapshot is too large for the platform, and against limits that reject a
// key withdrawal.
func TestLimits(t *testing.T) {
	d := fullDocument()
	data, err := d.EncodeSnapshot()
	must.NoError(t, err)
	t.Logf("full document: %d bytes as snapshot", len(data))
	decoded, err := DecodeSnapshot(data)
	must.NoError(t, err)
	must.True(t, reflect.DeepEqual(d, decoded))
	for name := range d.Workspaces {
		_, err := d.Apply(key("new", name), 1)
		must.ErrorContains(t, err, "must not exceed 5000 keys")
		next, err := d.Apply(withdraw("gone"), 1)
		must.NoError(t, err)
		next, err = next.Apply(key("new", name), 2)
		must.NoError(t, err)
		must.Eq(t, MaxRecent, len(next.Recent))
		break
	}
}

// Guards against a log that grows without bound, a writer that recreates a deleted revision, and a load
// that reads the entire log.
func TestCompactAndRetention(t *testing.T) {
	store := kvstore.NewMemory(time.Now)
	w := Writer{store}
	d, old := NewDocument(), NewDocument()
	for i := range 250 {
		next, _, err := w.Commit(ctx, d, workspace(fmt.Sprint("c", i), "a", d.Workspaces["a"].Revision))
		must.NoError(t, err)
		d = next
		if i == 98 {
			old = d
		}
		wrote, err := w.Compact(ctx, d)
		must.NoError(t, err)
		must.Eq(t, d.Revision%blockSize == 0, wrote)
	}
	must.Eq(t, 250+250, store.Calls()["Get"], must.Sprint("one head check per commit, one per compaction"))
	must.Eq(t, 250+2, store.Calls()["CompareAndSwap"])
	loaded, err := Reader{store}.Load(ctx)
	must.NoError(t, err)
	must.True(t, reflect.DeepEqual(loaded, d))
	must.Eq(t, 1+1, store.Calls()["List"])

	must.NoError(t, w.deleteBlock(ctx, 0))
	for i, stale := range []*Document{NewDocument(), old} {
		advanced, _, err := Reader{store}.Advance(ctx, stale)
		must.NoError(t, err)
		must.Eq(t, int64(250+i), advanced.Revision)
		_, revision, err := w.Commit(ctx, stale, workspace(fmt.Sprint("late", i), fmt.Sprint("b", i), 0))
		must.NoError(t, err)
		must.Eq(t, int64(251+i), revision)
	}
}

// Guards against a commit that reports a definite outcome when the outcome is unknown.
func TestCommitOutages(t *testing.T) {
	store := kvstore.NewMemory(time.Now)
	w := Writer{store}
	store.SetDown(true)
	_, _, err := w.Commit(ctx, NewDocument(), workspace("1", "a", 0))
	must.ErrorIs(t, err, ErrUnavailable)
	store.SetDown(false)
	store.LoseRequests(100)
	_, _, err = w.Commit(ctx, NewDocument(), workspace("1", "a", 0))
	must.ErrorIs(t, err, ErrUnknownOutcome)
	store.LoseRequests(0)
	store.LoseResponses(1)
	d, revision, err := w.Commit(ctx, NewDocument(), workspace("1", "a", 0))
	must.NoError(t, err)
	must.Eq(t, 1, revision)
	_, revision, err = w.Commit(ctx, d, workspace("1", "a", 0))
	must.NoError(t, err)
	must.Eq(t, 1, revision)
	ahead, err := w.CommitChanges(ctx, NewDocument(), workspace("3", "b", 0))
	must.NoError(t, err)
	must.Nil(t, ahead.Changes, must.Sprint("a document at revision 0 is loaded"))
	_, _, err = w.Commit(ctx, ahead.Document, workspace("4", "c", 0))
	must.NoError(t, err)
	r := NewReplica(8)
	must.True(t, r.InstallDocument(d))
	result, err := w.CommitChanges(ctx, d, workspace("5", "d", 0))
	must.NoError(t, err)
	applied, err := r.ApplyChanges(result.Changes)
	must.NoError(t, err)
	must.Eq(t, 3, applied)
	must.Eq(t, result.Document.Revision, r.Revision())
	_, _, err = w.Commit(ctx, NewDocument(), workspace("2", "a", 0))
	var conflict *ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, ConflictError{Object: "workspace/a", Base: 0, Current: 1}, *conflict)
}

// Guards against two writers that both succeed from the same base revision, and against a change that is
// committed twice because responses or requests are lost or several nodes resend it.
func TestWritersRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := kvstore.NewMemory(time.Now)
		store.LoseResponses(rapid.IntRange(0, 4).Draw(t, "lost answers"))
		store.LoseRequests(rapid.IntRange(0, 2).Draw(t, "lost requests"))
		store.DeferWrites(rapid.IntRange(0, 3).Draw(t, "late writes"))
		writers := rapid.IntRange(2, 6).Draw(t, "writers")
		repeats := rapid.IntRange(1, 3).Draw(t, "repeats")
		results := make([][]int64, writers)
		var group sync.WaitGroup
		for i := range writers {
			results[i] = make([]int64, repeats)
			for j := range repeats {
				group.Go(func() {
					_, revision, err := Writer{store}.Commit(ctx, NewDocument(), workspace(fmt.Sprint("w", i), "a", 0))
					var conflict *ConflictError
					if err != nil && !errors.As(err, &conflict) {
						t.Errorf("writer %d: %v", i, err)
					}
					results[i][j] = revision
				})
			}
		}
		group.Wait()
		changes, err := Reader{store}.List(ctx, 1)
		must.NoError(t, err)
		must.Len(t, 1, changes)
		for i := range writers {
			for _, revision := range results[i] {
				winner := changes[0].ID == fmt.Sprint("w", i)
				must.Eq(t, winner, revision == 1)
			}
		}
	})
}

// Guards against a replica whose revision decreases, that diverges, or that stays behind when changes and
// snapshots are lost, duplicated or reordered.
func TestReplicaConverges(t *testing.T) {
	final := NewDocument()
	var log []CommittedChange
	documents := []*Document{final}
	for i := range 40 {
		c := workspace(fmt.Sprint("c", i), fmt.Sprint("w", i%5), final.Workspaces[fmt.Sprint("w", i%5)].Revision)
		next, err := final.Apply(c, final.Revision+1)
		must.NoError(t, err)
		final = next
		log = append(log, CommittedChange{Revision: next.Revision, Change: c})
		documents = append(documents, next)
	}
	rapid.Check(t, func(t *rapid.T) {
		source, r := NewReplica(10), NewReplica(10)
		_, err := source.ApplyChanges(log)
		must.NoError(t, err)
		r.RaiseMinRevision(20)
		for range rapid.IntRange(0, 60).Draw(t, "offers") {
			before := r.Revision()
			i := rapid.IntRange(0, len(log)-1).Draw(t, "from")
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				data, err := documents[i].EncodeSnapshot()
				must.NoError(t, err)
				_, err = r.InstallSnapshot(data)
				must.NoError(t, err)
			} else {
				_, err := r.ApplyChanges(log[i : i+rapid.IntRange(0, len(log)-i).Draw(t, "count")])
				must.NoError(t, err)
			}
			must.GreaterEq(t, before, r.Revision())
			must.Eq(t, r.Revision() >= 20, r.Ready() == nil)
			must.True(t, reflect.DeepEqual(documents[r.Revision()], r.Document()))
		}
		r.ObserveRevision(final.Revision)
		after, behind := r.Gap()
		must.Eq(t, r.Revision() < final.Revision, behind)
		changes, ok := source.ChangesSince(after)
		if !ok {
			r.InstallDocument(source.Document())
		} else {
			_, err = r.ApplyEncodedChanges(changes)
			must.NoError(t, err)
		}
		must.True(t, reflect.DeepEqual(final, r.Document()))
	})
}

// Guards against a confirmation of a revision not yet reached, or an older confirmation, that makes the
// configuration look more recent than it is.
func TestConfirmedAge(t *testing.T) {
	now := time.Unix(1e6, 0)
	r := NewReplica(1)
	r.Confirm(now, 1, 0)
	must.Eq(t, neverConfirmedAge, r.ConfirmedAge(now))
	r.Confirm(now, 0, 3*time.Second)
	r.Confirm(now, 0, 9*time.Second)
	r.Confirm(now, 0, neverConfirmedAge)
	must.Eq(t, 4*time.Second, r.ConfirmedAge(now.Add(time.Second)))
}

func FuzzDecodeCommitted(f *testing.F) {
	for _, c := range []Change{workspace("1", "a", 0), key("k", "a"), route("r", "r", "/x"), withdraw("k")} {
		data, err := CommittedChange{Revision: 1, Change: c}.Encode()
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommittedChange(data)
		if err != nil {
			return
		}
		encoded, err := c.Encode()
		if err != nil {
			return
		}
		again, err := DecodeCommittedChange(encoded)
		must.NoError(t, err)
		must.True(t, reflect.DeepEqual(c.ObjectName(), again.ObjectName()))
		_, _ = NewDocument().Apply(c.Change, 1)
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	data, err := NewDocument().EncodeSnapshot()
	must.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeSnapshot(data)
		if err == nil {
			_, _ = d.Apply(workspace("1", "a", 0), d.Revision+1)
			d.MatchRoute("GET", "/")
		}
	})
}
