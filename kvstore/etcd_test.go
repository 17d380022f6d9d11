package kvstore_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	emulator "github.com/cowslipglade/cowslipglade/internal/emulator/platform"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

type clock struct {
	mutex sync.Mutex
	now   time.Time
}

func (c *clock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(d)
}

type fixture struct {
	server *emulator.Server
	clock  *clock
	url    string
}

func startEmulator(t *testing.T, configure func(*emulator.Config)) fixture {
	t.Helper()
	clk := &clock{now: time.Unix(1000, 0)}
	config := emulator.DefaultConfig()
	config.Now = clk.Now
	if configure != nil {
		configure(&config)
	}
	server := emulator.NewServer(config)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return fixture{server: server, clock: clk, url: listener.URL}
}

func newClient(t *testing.T, configure func(*kvstore.EtcdConfig), endpoints ...string) *kvstore.Etcd {
	t.Helper()
	config := kvstore.DefaultEtcdConfig()
	config.CallTimeout = 20 * time.Second
	config.Endpoints = endpoints
	if configure != nil {
		configure(&config)
	}
	store, err := kvstore.NewEtcd(config)
	must.NoError(t, err)
	t.Cleanup(store.Close)
	return store
}

// refusedURL returns an endpoint that refuses connections.
func refusedURL(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return "http://" + listener.Addr().String()
}

// Guards against a compare-and-swap that overwrites a concurrent change, and against listings that omit
// keys of the prefix or include others.
func TestEtcdCompareAndSwap(t *testing.T) {
	ctx := t.Context()
	store := newClient(t, nil, startEmulator(t, nil).url)
	_, err := store.Get(ctx, "a/1")
	must.ErrorIs(t, err, kvstore.ErrNotFound)
	first, err := store.CompareAndSwap(ctx, "a/1", 0, []byte{0, 255, 'x'}, kvstore.NoLease)
	must.NoError(t, err)
	_, err = store.CompareAndSwap(ctx, "a/1", 0, []byte("late"), kvstore.NoLease)
	must.ErrorIs(t, err, kvstore.ErrConflict)
	second, err := store.CompareAndSwap(ctx, "a/1", first, nil, kvstore.NoLease)
	must.NoError(t, err)
	must.Greater(t, first, second)
	must.ErrorIs(t, store.CompareAndDelete(ctx, "a/1", first), kvstore.ErrConflict)
	for _, key := range []string{"a/2", "a0", "a"} {
		_, err = store.CompareAndSwap(ctx, key, 0, []byte(key), kvstore.NoLease)
		must.NoError(t, err)
	}
	entries, revision, err := store.List(ctx, "a/")
	must.NoError(t, err)
	must.Eq(t, second+3, revision)
	must.Eq(t, []kvstore.Entry{
		{Key: "a/1", Revision: second},
		{Key: "a/2", Value: []byte("a/2"), Revision: second + 1},
	}, entries)
	must.NoError(t, store.CompareAndDelete(ctx, "a/1", second))
	all, _, err := store.List(ctx, "")
	must.NoError(t, err)
	must.Len(t, 3, all)
}

// Guards against a lease that is shorter than requested, and against the use of an expired lease.
func TestEtcdLeaseExpiry(t *testing.T) {
	ctx := t.Context()
	server := startEmulator(t, nil)
	store := newClient(t, nil, server.url)
	lease, err := store.GrantLease(ctx, 1200*time.Millisecond)
	must.NoError(t, err)
	_, err = store.CompareAndSwap(ctx, "k", 0, []byte("v"), lease)
	must.NoError(t, err)
	server.clock.advance(1900 * time.Millisecond)
	must.NoError(t, store.KeepAlive(ctx, lease))
	server.clock.advance(1900 * time.Millisecond)
	_, err = store.Get(ctx, "k")
	must.NoError(t, err)
	server.clock.advance(100 * time.Millisecond)
	_, err = store.Get(ctx, "k")
	must.ErrorIs(t, err, kvstore.ErrNotFound)
	must.ErrorIs(t, store.KeepAlive(ctx, lease), kvstore.ErrLeaseExpired)
	must.ErrorIs(t, store.RevokeLease(ctx, lease), kvstore.ErrLeaseExpired)
	_, err = store.CompareAndSwap(ctx, "k", 0, nil, lease)
	must.ErrorIs(t, err, kvstore.ErrLeaseExpired)
}

// Guards against a revoked lease whose keys remain.
func TestEtcdRevokeDeletesKeys(t *testing.T) {
	ctx := t.Context()
	store := newClient(t, nil, startEmulator(t, nil).url)
	lease, err := store.GrantLease(ctx, time.Hour)
	must.NoError(t, err)
	_, err = store.CompareAndSwap(ctx, "k", 0, nil, lease)
	must.NoError(t, err)
	must.NoError(t, store.RevokeLease(ctx, lease))
	_, err = store.Get(ctx, "k")
	must.ErrorIs(t, err, kvstore.ErrNotFound)
}

// Guards against reporting that a write had no effect although it took effect, and against sending a
// write to another endpoint after a failure.
func TestEtcdFailures(t *testing.T) {
	slow := func(c *kvstore.EtcdConfig) { c.CallTimeout = 500 * time.Millisecond }
	small := func(c *kvstore.EtcdConfig) { c.MaxResponseBytes = 256 }
	oneWrite := func(c *emulator.Config) { c.WritesPerSecond = 1 }
	cases := []struct {
		name        string
		limits      func(*emulator.Config)
		fault       emulator.Fault
		client      func(*kvstore.EtcdConfig)
		read, write error
		effect      bool
	}{
		{name: "normal", effect: true},
		{name: "down", fault: emulator.Fault{Mode: emulator.Down}, read: kvstore.ErrUnavailable, write: kvstore.ErrUnknownOutcome},
		{name: "lost response", fault: emulator.Fault{Mode: emulator.LoseResponses}, write: kvstore.ErrUnknownOutcome, effect: true},
		{name: "slow", fault: emulator.Fault{Mode: emulator.Slow, DelayMS: 3_600_000}, client: slow,
			read: kvstore.ErrUnavailable, write: kvstore.ErrUnknownOutcome},
		{name: "rate limit exceeded", limits: oneWrite, write: kvstore.ErrUnavailable},
		{name: "response too long", client: small, read: kvstore.ErrUnavailable, effect: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx := t.Context()
			server := startEmulator(t, c.limits)
			// Both endpoints are the same server, so that it would count a second attempt.
			store := newClient(t, c.client, server.url, server.url)
			_, err := newClient(t, nil, server.url).CompareAndSwap(ctx, "big", 0, bytes.Repeat([]byte("x"), 512), kvstore.NoLease)
			must.NoError(t, err)
			_, err = store.Get(ctx, "connect")
			must.ErrorIs(t, err, kvstore.ErrNotFound)
			if c.fault.Mode != "" {
				must.NoError(t, server.server.SetFault(c.fault))
			}
			_, err = store.CompareAndSwap(ctx, "k", 0, []byte("v"), kvstore.NoLease)
			must.ErrorIs(t, err, c.write)
			_, err = store.Get(ctx, "big")
			must.ErrorIs(t, err, c.read)
			must.NoError(t, server.server.SetFault(emulator.Fault{Mode: emulator.Normal}))
			_, err = newClient(t, nil, server.url).Get(ctx, "k")
			must.Eq(t, c.effect, err == nil)
			must.LessEq(t, 2, server.server.Calls().Writes)
		})
	}
}

// Guards against a write that skips the remaining endpoints or reports an unknown outcome although
// nothing was sent.
func TestEtcdConnectionRefused(t *testing.T) {
	ctx := t.Context()
	_, err := newClient(t, nil, refusedURL(t)).CompareAndSwap(ctx, "k", 0, nil, kvstore.NoLease)
	must.ErrorIs(t, err, kvstore.ErrUnavailable)
	must.False(t, errors.Is(err, kvstore.ErrUnknownOutcome))
	_, err = newClient(t, nil, refusedURL(t), startEmulator(t, nil).url).CompareAndSwap(ctx, "k", 0, nil, kvstore.NoLease)
	must.NoError(t, err)
}

// Guards against changes that are missed between two calls of Watch, and against a watch that outlives
// its context or does not report an outage.
func TestEtcdWatch(t *testing.T) {
	ctx := t.Context()
	server := startEmulator(t, nil)
	store := newClient(t, nil, server.url)
	_, revision, err := store.List(ctx, "w/")
	must.NoError(t, err)
	written, err := store.CompareAndSwap(ctx, "w/a", 0, []byte("1"), kvstore.NoLease)
	must.NoError(t, err)
	entries, revision, err := store.Watch(ctx, "w/", revision)
	must.NoError(t, err)
	must.Eq(t, []kvstore.Entry{{Key: "w/a", Value: []byte("1"), Revision: written}}, entries)
	_, err = store.CompareAndSwap(ctx, "other", 0, nil, kvstore.NoLease)
	must.NoError(t, err)
	go func() { _ = store.CompareAndDelete(ctx, "w/a", written) }()
	entries, revision, err = store.Watch(ctx, "w/", revision)
	must.NoError(t, err)
	must.Eq(t, []kvstore.Entry{{Key: "w/a", Revision: written + 2, Deleted: true}}, entries)

	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	entries, next, err := store.Watch(short, "w/", revision)
	must.NoError(t, err)
	must.SliceEmpty(t, entries)
	must.Eq(t, revision, next)

	must.NoError(t, server.server.SetFault(emulator.Fault{Mode: emulator.Down}))
	_, _, err = store.Watch(ctx, "w/", revision)
	must.ErrorIs(t, err, kvstore.ErrUnavailable)
}
