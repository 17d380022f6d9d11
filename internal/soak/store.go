package soak

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// store simulates the platform's store. Its faults are those of kvstore.Memory and lost responses.
type store struct {
	memory   *kvstore.Memory
	server   *http.Server
	listener net.Listener

	mu     sync.Mutex
	random *rand.Rand
	// responseLoss is the fraction of responses that are lost.
	responseLoss float64
}

// item is the wire format of an entry.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore(seed uint64) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{memory: kvstore.NewMemory(time.Now), listener: listener, random: rand.New(rand.NewPCG(seed, storeStream))}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// StartStore starts a simulated store without faults for tests of a single node. It returns the store's address and a
// function that stops it. entries are the initial values by key.
func StartStore(ctx context.Context, entries map[string][]byte) (address string, stop func(), err error) {
	s, err := newStore(0)
	if err != nil {
		return "", nil, err
	}
	for key, value := range entries {
		if _, err := s.memory.CompareAndSwap(ctx, key, 0, value, kvstore.NoLease); err != nil {
			s.close()
			return "", nil, err
		}
	}
	return s.listener.Addr().String(), s.close, nil
}

func (s *store) setResponseLoss(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseLoss = fraction
}

func (s *store) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.responseLoss
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	result, err := s.call(r)
	if s.losesResponse() || errors.Is(err, kvstore.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	switch {
	case err == nil:
		_ = json.NewEncoder(w).Encode(result)
	case errors.Is(err, kvstore.ErrNotFound), errors.Is(err, kvstore.ErrLeaseExpired):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, kvstore.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, kvstore.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *store) call(r *http.Request) (any, error) {
	ctx, query := r.Context(), r.URL.Query()
	name, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	lease, _ := strconv.ParseInt(id, 10, 64) // 0 names no lease
	switch name {
	case "kv-key":
		entry, err := s.memory.Get(ctx, query.Get("key"))
		return itemOf(entry), err
	case "kv-range":
		entries, revision, err := s.memory.List(ctx, query.Get("prefix"))
		return map[string]any{"items": itemsOf(entries), "hasMore": false, "storeRevision": revision}, err
	case "kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
		ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
		defer cancel()
		entries, revision, err := s.memory.Watch(ctx, query.Get("prefix"), after)
		return map[string]any{"events": itemsOf(entries), "storeRevision": revision}, err
	case "kv-txn":
		return s.txn(ctx, r)
	case "kv-lease":
		var request struct {
			TTLS float64 `json:"ttlS"`
		}
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			return nil, err
		}
		granted, err := s.memory.GrantLease(ctx, time.Duration(request.TTLS*float64(time.Second)))
		return map[string]any{"lease": granted, "ttlS": request.TTLS}, err
	case "kv-keep":
		return struct{}{}, s.memory.KeepAlive(ctx, kvstore.LeaseID(lease))
	case "kv-lease-end":
		return struct{}{}, s.memory.RevokeLease(ctx, kvstore.LeaseID(lease))
	}
	return nil, kvstore.ErrNotFound
}

func (s *store) txn(ctx context.Context, r *http.Request) (any, error) {
	var txn struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Puts []struct {
			Value []byte          `json:"value"`
			Lease kvstore.LeaseID `json:"lease"`
		} `json:"puts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.Expect) != 1 || len(txn.Puts) != 1 {
		return nil, errors.Join(kvstore.ErrUnavailable, err)
	}
	revision, err := s.memory.CompareAndSwap(ctx, txn.Expect[0].Key, txn.Expect[0].Rev, txn.Puts[0].Value, txn.Puts[0].Lease)
	return map[string]int64{"rev": revision}, err
}

func itemOf(e kvstore.Entry) item {
	return item{Key: e.Key, Value: e.Value, Rev: e.Revision, Tombstone: e.Deleted}
}

func itemsOf(entries []kvstore.Entry) []item {
	items := make([]item, 0, len(entries))
	for _, e := range entries {
		items = append(items, itemOf(e))
	}
	return items
}
