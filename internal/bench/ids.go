package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Request ids are fetched in batches ahead of use and taken in random order, because all ids of a batch
// have the same home node. Ids older than idLifetime are discarded: nodes accept them for ten minutes,
// and a request may spend some of that waiting and being retried.
const (
	idBatchSize       = 100
	idRefillThreshold = 100
	idPrefetchBatches = 4 // batches fetched per workspace before the load starts
	idLifetime        = 8 * time.Minute
)

// idPool holds unused request ids for each workspace. It is safe for concurrent use.
type idPool struct {
	client     *http.Client
	plan       Plan
	needed     bool
	workspaces []*workspaceIDs
}

type requestID struct {
	id      string
	fetched time.Time
}

type workspaceIDs struct {
	mutex      sync.Mutex
	ids        []requestID
	fetching   bool
	nextTarget atomic.Uint64
}

func newIDPool(client *http.Client, plan Plan) *idPool {
	pool := &idPool{client: client, plan: plan}
	for i := range plan.Workspaces {
		w := &workspaceIDs{}
		w.nextTarget.Store(uint64(i))
		pool.workspaces = append(pool.workspaces, w)
	}
	for _, route := range plan.Routes {
		pool.needed = pool.needed || !route.Idempotent
	}
	pool.needed = pool.needed && len(plan.Targets) > 0
	return pool
}

// prefetch fills the pool before the load starts. It ignores errors; take reports them if ids are missing.
func (p *idPool) prefetch(ctx context.Context) {
	if !p.needed {
		return
	}
	for i := range p.workspaces {
		for range min(idPrefetchBatches, len(p.plan.Targets)) {
			_ = p.fetchBatch(ctx, i)
		}
	}
}

// take returns an unused id, and fetches a batch if the pool has none. If the plan needs no ids or has no
// entry nodes that issue them, the id is empty.
func (p *idPool) take(ctx context.Context, workspace int, draw int) (string, error) {
	if !p.needed {
		return "", nil
	}
	w := p.workspaces[workspace]
	for {
		id, refill := w.take(draw)
		if refill {
			go func() {
				_ = p.fetchBatch(ctx, workspace)
				w.refillDone()
			}()
		}
		if id != "" {
			return id, nil
		}
		if err := p.fetchBatch(ctx, workspace); err != nil {
			return "", err
		}
	}
}

// take returns the id that draw selects, or an empty string if there is none, and reports whether the
// caller must fetch a batch and then call refillDone.
func (w *workspaceIDs) take(draw int) (id string, refill bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.ids) > 0 && id == "" {
		i := draw % len(w.ids)
		if time.Since(w.ids[i].fetched) < idLifetime {
			id = w.ids[i].id
		}
		w.ids[i] = w.ids[len(w.ids)-1]
		w.ids = w.ids[:len(w.ids)-1]
	}
	refill = len(w.ids) < idRefillThreshold && !w.fetching
	w.fetching = w.fetching || refill
	return id, refill
}

func (w *workspaceIDs) refillDone() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fetching = false
}

// fetchBatch adds a batch of ids to the pool. It tries each target at most once.
func (p *idPool) fetchBatch(ctx context.Context, workspace int) error {
	w := p.workspaces[workspace]
	var err error
	for range p.plan.Targets {
		target := p.plan.Targets[w.nextTarget.Add(1)%uint64(len(p.plan.Targets))]
		var ids []string
		if ids, err = p.fetchFrom(ctx, target, p.plan.Workspaces[workspace].Key); err == nil {
			w.put(ids)
			return nil
		}
	}
	return err
}

func (w *workspaceIDs) put(ids []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	for _, id := range ids {
		w.ids = append(w.ids, requestID{id: id, fetched: now})
	}
}

func (p *idPool) fetchFrom(ctx context.Context, target, key string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.plan.TimeoutMS)*time.Millisecond)
	defer cancel()
	url := fmt.Sprintf("%s/cowslip/request-ids?count=%d", target, idBatchSize)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("bench: request ids: %s", response.Status)
	}
	var reply struct {
		RequestIDs []string `json:"request_ids"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return nil, fmt.Errorf("bench: request ids: %w", err)
	}
	if len(reply.RequestIDs) == 0 {
		return nil, errors.New("bench: request ids: response contains no ids")
	}
	return reply.RequestIDs, nil
}
