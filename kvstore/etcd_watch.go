package kvstore

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Watch waits for changes of keys with the prefix after the store revision and returns them with the
// revision to continue from. It returns an empty slice when ctx ends; its errors are ErrCompacted and
// ErrUnavailable. Each return ends the watch on the server; continuing takes one call and misses no change.
func (e *Etcd) Watch(ctx context.Context, prefix string, after int64) ([]Entry, int64, error) {
	create := watchCreate{
		Key:           rangeStart(prefix),
		RangeEnd:      prefixEnd(prefix),
		StartRevision: int64String(after + 1),
	}
	body, err := json.Marshal(watchRequest{Create: create})
	if err != nil {
		return nil, after, fmt.Errorf("%w: encode request: %w", ErrUnavailable, err)
	}
	first := int(e.preferred.Load())
	for i := range e.config.Endpoints {
		index := (first + i) % len(e.config.Endpoints)
		var result watchResult
		result, err = e.watchEndpoint(ctx, e.config.Endpoints[index]+"/v3/watch", body)
		if ctx.Err() != nil {
			return nil, after, nil
		}
		if err != nil {
			continue
		}
		if i > 0 {
			e.preferred.Store(uint32(index))
		}
		return result.changes(after)
	}
	return nil, after, err
}

// watchEndpoint returns the first result that has events or ends the watch.
func (e *Etcd) watchEndpoint(ctx context.Context, url string, body []byte) (watchResult, error) {
	if err := e.limiter.wait(ctx); err != nil {
		return watchResult{}, fmt.Errorf("%w: wait for the call rate limit: %w", ErrUnavailable, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	setup := time.AfterFunc(e.config.CallTimeout, cancel)
	defer setup.Stop()
	response, _, err := e.post(ctx, url, body)
	if err != nil {
		return watchResult{}, fmt.Errorf("%w: watch: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, err := statusError(response, read)
		return watchResult{}, err
	}
	return readWatch(response.Body, e.config.MaxResponseBytes, func() { setup.Stop() })
}

// readWatch reads results until one has events or ends the watch. It calls created when the server has
// created the watch.
func readWatch(stream io.Reader, limit int64, created func()) (watchResult, error) {
	bounded := &io.LimitedReader{R: stream, N: limit}
	decoder := json.NewDecoder(bounded)
	for {
		var response watchResponse
		if err := decoder.Decode(&response); err != nil {
			return watchResult{}, fmt.Errorf("%w: read watch: %w", ErrUnavailable, err)
		}
		if response.Error != nil {
			return watchResult{}, response.Error.toError(ErrUnavailable)
		}
		if response.Result.Canceled || len(response.Result.Events) > 0 {
			return response.Result, nil
		}
		if response.Result.Created {
			created()
		}
		// The limit applies to each message: progress messages must not exhaust it during a long watch.
		bounded.N = limit
	}
}

// changes returns the events as entries. The revision to continue from is that of the last event:
// the store revision in the header can be ahead of the events of a watch that is catching up.
func (r watchResult) changes(after int64) ([]Entry, int64, error) {
	if r.CompactRevision > 0 {
		return nil, after, fmt.Errorf("%w: revision %d, oldest is %d", ErrCompacted, after, r.CompactRevision)
	}
	if r.Canceled {
		return nil, after, fmt.Errorf("%w: watch canceled: %.200s", ErrUnavailable, r.CancelReason)
	}
	entries := make([]Entry, 0, len(r.Events))
	next := after
	for _, event := range r.Events {
		entries = append(entries, event.KV.entry(event.Type == "DELETE"))
		next = max(next, int64(event.KV.ModRevision))
	}
	return entries, next, nil
}
