package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// Bounds of the promises, as the nodes are told them.
const (
	drainTime = 2 * time.Second
	graceTime = 6 * time.Second
	// stopMargin is for the end of a process after its shutdown timeout, on a machine that is busy with other tests.
	stopMargin     = time.Second
	withdrawalTime = 3 * time.Second
	rollbackTime   = 250 * time.Millisecond
	quotaWindow    = 5 * time.Second
	quotaOver      = 0.1
	quotaSlack     = 20.0
	memoryMiB      = 284
)

// Paths and names of the deployment.
const (
	host        = "soak.example"
	healthPath  = "/health"
	readPrefix  = "/read/"
	oncePrefix  = "/once/"
	innerPrefix = "/inner/"
	movedPrefix = "/moved/"
	configKey   = "op/config"
)

func serviceName(index int) string { return fmt.Sprintf("service-%d", index) }

// world is the deployment of one run.
type world struct {
	config   Config
	promises promises
	store    *store
	nodes    []*node
	clients  *clients
	ledger   *ledger
	operator *operator
	// direct is the connections of the platform and of the upstreams to their nodes.
	direct *http.Client
	// ends are faults that will end, and tasks changes that go on beside them.
	ends, tasks sync.WaitGroup
}

func newWorld(config Config) (*world, error) {
	w := &world{
		config: config, ledger: newLedger(), direct: &http.Client{Transport: &http.Transport{}},
		promises: promises{Drain: drainTime, Withdrawal: withdrawalTime, Rollback: rollbackTime, QuotaWindow: quotaWindow, QuotaOver: quotaOver, QuotaSlack: quotaSlack},
	}
	var err error
	if w.store, err = newStore(config.Seed); err != nil {
		return nil, err
	}
	w.operator = newOperator(w)
	if err := w.operator.write(); err != nil {
		return nil, err
	}
	w.clients = newClients(w)
	for i := range config.Nodes {
		n, err := newNode(w, i)
		if err != nil {
			w.close()
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		go n.supervise()
	}
	return w, nil
}

func (w *world) close() {
	w.tasks.Wait()
	var closing sync.WaitGroup
	for _, n := range w.nodes {
		closing.Go(n.close)
	}
	closing.Wait()
	w.store.close()
	w.direct.CloseIdleConnections()
}

func (w *world) logf(format string, args ...any) {
	if w.config.Log != nil {
		_, _ = fmt.Fprintf(w.config.Log, format+"\n", args...)
	}
}

// awaitReady returns when all nodes are ready and serve a request.
func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range w.nodes {
		for {
			status := w.clients.call(ctx, w.direct, n, request{path: innerPrefix + "ready", kind: inner, timeout: innerLimit})
			if status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("soak: %s is not ready: status %d", n.name, status)
			}
			sleep(ctx, heartbeatEvery)
		}
	}
	return nil
}

// operator writes the configuration to the store.
type operator struct {
	world *world

	mu       sync.Mutex
	version  int
	revision int64
	keys     map[string][]string // by workspace
	// moved is the service of the route that moves.
	moved int
	rates map[string]int
	// unrecorded changes are kept from the ledger.
	unrecorded bool
}

func newOperator(w *world) *operator {
	return &operator{
		world: w, version: 1,
		keys:  map[string][]string{"w0": {"key-0-1", "key-0-2"}, "w1": {"key-1-1", "key-1-2"}},
		rates: map[string]int{"w0": 40, "w1": 1000},
	}
}

// change alters the configuration and writes it as the next version.
func (o *operator) change(alter func(*operator)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	alter(o)
	o.version++
	return o.write()
}

// write writes the configuration until the store has acknowledged it. The caller holds the lock.
func (o *operator) write() error {
	route := func(name, prefix, kind string, service int, open bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "service": serviceName(service), "timeoutS": 2,
			"targetLatencyS": 1, "priority": 1, "maxAttempts": 2, "authExempt": open,
		}
	}
	services, tenants := []any{}, []any{}
	for i := range serviceCount {
		services = append(services, map[string]any{"name": serviceName(i), "healthPath": healthPath, "maxConnections": 200})
	}
	for name, keys := range o.keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys, "ratePerS": o.rates[name], "burst": o.rates[name]})
	}
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", o.version),
		"routes": []any{
			route("read", readPrefix, "idempotent", 0, false), route("once", oncePrefix, "non_idempotent", 1, false),
			route("inner", innerPrefix, "idempotent", 1, true), route("moved", movedPrefix, "non_idempotent", o.moved, false),
		},
		"services": services, "tenants": tenants,
	})
	if err != nil {
		return err
	}
	if !o.unrecorded {
		keys := o.keys
		if o.world.config.Sabotage == SabotageWithdrawal && o.version > 1 {
			keys = nil
		}
		o.world.ledger.configuring(o.version, serviceName(o.moved), keys, o.rates)
	}
	o.revision, err = o.world.store.operatorWrite(configKey, o.revision, data)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if !o.unrecorded {
		o.world.ledger.configured()
	}
	return nil
}

// rollBack writes the route's old service as a new version, without a record of it.
func (w *world) rollBack() {
	o := w.operator
	o.mu.Lock()
	o.unrecorded = true
	o.mu.Unlock()
	w.configure(func(o *operator) { o.moved = 0 })
}

// operatorWrite writes a key however the store fares.
func (s *store) operatorWrite(key string, previous int64, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		revision, err := s.memory.CompareAndSwap(ctx, key, previous, value, kvstore.NoLease)
		if err == nil || ctx.Err() != nil {
			return revision, err
		}
		if entry, readErr := s.memory.Get(ctx, key); readErr == nil {
			if string(entry.Value) == string(value) {
				return entry.Revision, nil // an unanswered write took effect
			}
			previous = entry.Revision
		}
		sleep(ctx, restartDelay)
	}
}
