package kvstore

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a fake that violates the contract of Store, on which the tests of other packages rely.
func TestMemoryContract(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMemory(func() time.Time { return now })
	ctx := context.Background()

	_, err := m.Get(ctx, "a")
	must.ErrorIs(t, err, ErrNotFound)
	first, err := m.CompareAndSwap(ctx, "a", 0, []byte("1"), NoLease)
	must.NoError(t, err)
	_, err = m.CompareAndSwap(ctx, "a", 0, []byte("2"), NoLease)
	must.ErrorIs(t, err, ErrConflict)

	lease, err := m.GrantLease(ctx, 15*time.Second)
	must.NoError(t, err)
	_, err = m.CompareAndSwap(ctx, "b", 0, []byte("x"), lease)
	must.NoError(t, err)
	events, after, err := m.Watch(ctx, "b", first)
	must.NoError(t, err)
	must.Len(t, 1, events)
	now = now.Add(10 * time.Second)
	must.NoError(t, m.KeepAlive(ctx, lease))
	now = now.Add(15 * time.Second)
	must.ErrorIs(t, m.KeepAlive(ctx, lease), ErrLeaseExpired)
	events, _, err = m.Watch(ctx, "b", after)
	must.NoError(t, err)
	must.True(t, events[0].Deleted)

	m.LoseResponses(1)
	_, err = m.CompareAndSwap(ctx, "c", 0, nil, NoLease)
	must.ErrorIs(t, err, ErrUnknownOutcome)
	_, err = m.Get(ctx, "c")
	must.NoError(t, err)
	m.LoseRequests(1)
	must.ErrorIs(t, m.CompareAndDelete(ctx, "a", first), ErrUnknownOutcome)
	must.NoError(t, m.CompareAndDelete(ctx, "a", first))

	m.DeferWrites(1)
	_, err = m.CompareAndSwap(ctx, "d", 0, nil, NoLease)
	must.ErrorIs(t, err, ErrUnknownOutcome)
	_, err = m.Get(ctx, "d")
	must.ErrorIs(t, err, ErrNotFound)
	_, err = m.CompareAndSwap(ctx, "d", 0, nil, NoLease)
	must.ErrorIs(t, err, ErrConflict)

	m.SetDelay(time.Hour)
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, _, err = m.List(short, "")
	must.ErrorIs(t, err, ErrUnavailable)
	m.SetDelay(0)
	m.SetDown(true)
	_, _, err = m.Watch(ctx, "", 0)
	must.ErrorIs(t, err, ErrUnavailable)
	must.Eq(t, 3, m.Calls()["Watch"])
}

// Guards against watches that miss a change made while they wait, or that outlive their context.
func TestMemoryWatchWaits(t *testing.T) {
	m := NewMemory(time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan int)
	go func() {
		events, after, _ := m.Watch(ctx, "k", 0)
		done <- len(events)
		events, _, _ = m.Watch(ctx, "k", after)
		done <- len(events)
	}()
	_, err := m.CompareAndSwap(ctx, "k", 0, nil, NoLease)
	must.NoError(t, err)
	must.Eq(t, 1, <-done)
	cancel()
	must.Eq(t, 0, <-done)
}

// Guards against a fake whose restore keeps what was written since the backup, or gives out new revisions and leases.
func TestMemoryRestore(t *testing.T) {
	m := NewMemory(time.Now)
	ctx := t.Context()
	kept, err := m.GrantLease(ctx, time.Minute)
	must.NoError(t, err)
	first, err := m.CompareAndSwap(ctx, "a", 0, []byte("1"), kept)
	must.NoError(t, err)
	backup := m.Backup()
	lost, err := m.GrantLease(ctx, time.Minute)
	must.NoError(t, err)
	second, err := m.CompareAndSwap(ctx, "a", first, []byte("2"), lost)
	must.NoError(t, err)
	waiting := make(chan error)
	go func() {
		_, _, err := m.Watch(ctx, "a", second)
		waiting <- err
	}()
	for m.Calls()["Watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	generation := m.Generation()
	m.Restore(backup)
	must.ErrorIs(t, <-waiting, ErrUnavailable)
	must.Eq(t, generation, m.Generation(), must.Sprint("before the first response"))
	must.NoError(t, m.KeepAlive(ctx, kept))
	must.Eq(t, generation+1, m.Generation())
	must.ErrorIs(t, m.KeepAlive(ctx, lost), ErrLeaseExpired)
	entry, err := m.Get(ctx, "a")
	must.NoError(t, err)
	must.Eq(t, Entry{Key: "a", Value: []byte("1"), Revision: first}, entry)
	_, _, err = m.Watch(ctx, "a", second)
	must.ErrorIs(t, err, ErrCompacted)
	reused, err := m.GrantLease(ctx, time.Minute)
	must.NoError(t, err)
	must.Eq(t, lost, reused)
	revision, err := m.CompareAndSwap(ctx, "a", first, []byte("3"), kept)
	must.NoError(t, err)
	must.Eq(t, second, revision)
}
