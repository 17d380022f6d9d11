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

// Bounds of the guarantees. Nodes receive most of them in their settings.
const (
	drainTime   = 2 * time.Second
	gracePeriod = 6 * time.Second
	// stopMargin is the time for a process to exit after its shutdown timeout, on a machine that is busy with other
	// tests.
	stopMargin     = time.Second
	withdrawalTime = 3 * time.Second
	rollbackTime   = 250 * time.Millisecond
	quotaWindow    = 5 * time.Second
	quotaOver      = 0.1
	quotaSlack     = 20.0
	memoryLimitMiB = 284
)

// Names in the configuration of the deployment.
const (
	host                = "soak.example"
	healthPath          = "/health"
	idempotentPrefix    = "/read/"
	nonIdempotentPrefix = "/once/"
	nestedPrefix        = "/inner/"
	movingPrefix        = "/moved/"
	configKey           = "op/config"
)

func serviceName(index int) string { return fmt.Sprintf("service-%d", index) }

// deployment holds all components of one run.
type deployment struct {
	config   Config
	bounds   bounds
	store    *store
	nodes    []*node
	clients  *clients
	history  *history
	operator *operator
	// httpClient sends heartbeats, nested requests and readiness checks.
	httpClient *http.Client
	// faultEnds counts faults that have not ended, background other concurrent tasks.
	faultEnds, background sync.WaitGroup
}

func newDeployment(config Config) (*deployment, error) {
	d := &deployment{
		config: config, history: newHistory(), httpClient: &http.Client{Transport: &http.Transport{}},
		bounds: bounds{Drain: drainTime, Withdrawal: withdrawalTime, Rollback: rollbackTime, QuotaWindow: quotaWindow, QuotaOver: quotaOver, QuotaSlack: quotaSlack},
	}
	var err error
	if d.store, err = newStore(config.Seed); err != nil {
		return nil, err
	}
	d.operator = newOperator(d)
	if err := d.operator.write(); err != nil {
		return nil, err
	}
	d.clients = newClients(d)
	for i := range config.Nodes {
		n, err := newNode(d, i)
		if err != nil {
			d.close()
			return nil, err
		}
		d.nodes = append(d.nodes, n)
		go n.supervise()
	}
	return d, nil
}

func (d *deployment) close() {
	d.background.Wait()
	var closing sync.WaitGroup
	for _, n := range d.nodes {
		closing.Go(n.close)
	}
	closing.Wait()
	d.store.close()
	d.httpClient.CloseIdleConnections()
}

func (d *deployment) logf(format string, args ...any) {
	if d.config.Log != nil {
		_, _ = fmt.Fprintf(d.config.Log, format+"\n", args...)
	}
}

// awaitReady waits until each node has served a request.
func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range d.nodes {
		for {
			status := d.clients.call(ctx, d.httpClient, n, request{path: nestedPrefix + "ready", kind: nested, timeout: nestedTimeout})
			if status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("soak: %s is not ready: status %d", n.name, status)
			}
			sleep(ctx, heartbeatInterval)
		}
	}
	return nil
}

// operator writes the configuration to the store.
type operator struct {
	deployment *deployment

	mu       sync.Mutex
	version  int
	revision int64
	keys     map[string][]string // by workspace
	// movingService is the index of the service of the moving route.
	movingService int
	rates         map[string]int
	// unrecorded disables the recording of changes in the history.
	unrecorded bool
}

func newOperator(d *deployment) *operator {
	return &operator{
		deployment: d, version: 1,
		keys:  map[string][]string{"w0": {"key-0-1", "key-0-2"}, "w1": {"key-1-1", "key-1-2"}},
		rates: map[string]int{"w0": 40, "w1": 1000},
	}
}

// change updates the configuration and writes it as the next version.
func (o *operator) change(update func(*operator)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	update(o)
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
			route("read", idempotentPrefix, "idempotent", 0, false), route("once", nonIdempotentPrefix, "non_idempotent", 1, false),
			route("inner", nestedPrefix, "idempotent", 1, true), route("moved", movingPrefix, "non_idempotent", o.movingService, false),
		},
		"services": services, "tenants": tenants,
	})
	if err != nil {
		return err
	}
	if !o.unrecorded {
		keys := o.keys
		if o.deployment.config.Defect == DefectWithdrawal && o.version > 1 {
			keys = nil
		}
		o.deployment.history.recordConfigSent(o.version, serviceName(o.movingService), keys, o.rates)
	}
	o.revision, err = o.deployment.store.operatorWrite(configKey, o.revision, data)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if !o.unrecorded {
		o.deployment.history.recordConfigAck()
	}
	return nil
}

// rollBack writes the original service of the moving route as a new version without recording it.
func (d *deployment) rollBack() {
	o := d.operator
	o.mu.Lock()
	o.unrecorded = true
	o.mu.Unlock()
	d.configure(func(o *operator) { o.movingService = 0 })
}

// operatorWrite writes a key, and retries until the store acknowledges the write or startTimeout ends.
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
				return entry.Revision, nil // a write without a response took effect
			}
			previous = entry.Revision
		}
		sleep(ctx, restartDelay)
	}
}
