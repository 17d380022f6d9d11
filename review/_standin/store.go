package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

const (
	configurationKey = "op/config"
	// storeLatency is the time of an answer of the store in the site file.
	storeLatency = 4 * time.Millisecond
)

// store serves the calls of the platform's store from the project's store in memory.
type store struct {
	memory   *kvstore.Memory
	server   *http.Server
	address  string
	revision int64
	// skipped is the time that leases have skipped, in nanoseconds.
	skipped atomic.Int64
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String()}
	s.memory = kvstore.NewMemory(func() time.Time { return time.Now().Add(time.Duration(s.skipped.Load())) })
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// setDown begins an outage in which all leases run out, or ends it.
func (s *store) setDown(down bool) {
	s.memory.SetDown(down)
	if down {
		s.skipped.Add(int64(time.Hour))
		s.memory.Expire()
	}
}

func (s *store) close() { _ = s.server.Close() }

// operatorWrite writes the configuration. Its return is the acknowledgement.
func (s *store) operatorWrite(document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	s.revision, err = s.memory.CompareAndSwap(context.Background(), configurationKey, s.revision, data, kvstore.NoLease)
	return err
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	result, err := s.call(r)
	w.Header().Set("Content-Type", "application/json")
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

// txn performs a transaction with one condition and one write, which are all that nodes send.
func (s *store) txn(ctx context.Context, r *http.Request) (any, error) {
	var txn struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Puts []struct {
			Key   string          `json:"key"`
			Value []byte          `json:"value"`
			Lease kvstore.LeaseID `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		return nil, err
	}
	if len(txn.Expect) != 1 || len(txn.Puts) != 1 || len(txn.Remove) != 0 || txn.Expect[0].Key != txn.Puts[0].Key {
		return nil, fmt.Errorf("%w: transaction not supported", kvstore.ErrUnavailable)
	}
	revision, err := s.memory.CompareAndSwap(ctx, txn.Expect[0].Key, txn.Expect[0].Rev, txn.Puts[0].Value, txn.Puts[0].Lease)
	return map[string]int64{"rev": revision}, err
}

func itemOf(e kvstore.Entry) storeItem {
	return storeItem{Key: e.Key, Value: e.Value, Rev: e.Revision, Tombstone: e.Deleted}
}

func itemsOf(entries []kvstore.Entry) []storeItem {
	items := make([]storeItem, 0, len(entries))
	for _, e := range entries {
		items = append(items, itemOf(e))
	}
	return items
}
