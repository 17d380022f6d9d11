package kvstore

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against panics and unmapped errors on responses of a broken or hostile gateway, and against a
// watch whose revision goes backwards.
func FuzzGatewayDecoder(f *testing.F) {
	f.Add([]byte(`{"result":{"created":true}}{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"7"}}]}}`))
	f.Add([]byte(`{"result":{"canceled":true,"compact_revision":"9"}}`))
	f.Add([]byte(`{"error":{"code":11,"message":"compacted"}}`))
	f.Add([]byte(`{"header":{"revision":3},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"2"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		const limit, after = 1 << 16, 5
		result, err := readWatch(bytes.NewReader(text), limit, func() {})
		next := int64(after)
		if err == nil {
			_, next, err = result.changes(after)
		}
		must.GreaterEq(t, after, next)
		known := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrCompacted) || errors.Is(err, ErrLeaseExpired)
		must.True(t, err == nil || known)
		for _, into := range []any{&rangeResponse{}, &txnResponse{}, &keepAliveResponse{}, &leaseResponse{}} {
			_ = decodeBounded(bytes.NewReader(text), into, limit)
		}
	})
}

// Guards against a burst of more than one second's worth of calls.
func TestCallLimiter(t *testing.T) {
	limiter := newCallLimiter(10)
	now := time.Unix(100, 0)
	for range 10 {
		must.LessEq(t, 0, limiter.reserve(now))
	}
	must.Eq(t, 100*time.Millisecond, limiter.reserve(now))
	must.Eq(t, 200*time.Millisecond, limiter.reserve(now))
	must.LessEq(t, 0, limiter.reserve(now.Add(time.Second)))
}

// Guards against range ends that omit keys of the prefix or include others.
func TestPrefixEnd(t *testing.T) {
	for prefix, end := range map[string]string{"a/": "a0", "a\xff": "b", "\xff\xff": "\x00", "": "\x00"} {
		must.Eq(t, end, string(prefixEnd(prefix)))
	}
}
