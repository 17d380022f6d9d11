package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/httpconn"
)

// EtcdConfig holds the settings of an Etcd client.
type EtcdConfig struct {
	// Endpoints are base URLs such as "http://10.0.0.1:2379". The client uses one at a time.
	Endpoints []string
	// LocalAddress is the source address of connections, so that network rules between hosts can match
	// it; the zero value leaves the choice to the system.
	LocalAddress netip.Addr
	// CallTimeout bounds one call to one endpoint, and the setup of a watch; 0 means the default.
	CallTimeout time.Duration
	// CallsPerSecond is the rate limit of this client, with a burst of one second; 0 means no limit.
	// Calls beyond it wait.
	CallsPerSecond float64
	// MaxResponseBytes bounds the size of one response, which must fit the base64 form of a value; 0
	// means the default.
	MaxResponseBytes int64
}

// DefaultEtcdConfig returns a configuration without endpoints.
func DefaultEtcdConfig() EtcdConfig {
	return EtcdConfig{
		CallTimeout:      2 * time.Second,
		MaxResponseBytes: 16 << 20,
	}
}

// Etcd is a Store over the etcd v3 JSON gateway. It is safe for concurrent use.
//
// A failed read is tried once at each endpoint. A write is tried at the next endpoint only if certainly
// no endpoint has received it.
type Etcd struct {
	config    EtcdConfig
	client    *http.Client
	limiter   *callLimiter
	preferred atomic.Uint32
}

var _ Store = (*Etcd)(nil)

// NewEtcd returns a client, which connects on first use. It returns an error if config is invalid.
func NewEtcd(config EtcdConfig) (*Etcd, error) {
	if len(config.Endpoints) == 0 {
		return nil, errors.New("kvstore: no endpoints")
	}
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultEtcdConfig().CallTimeout
	}
	if config.MaxResponseBytes == 0 {
		config.MaxResponseBytes = DefaultEtcdConfig().MaxResponseBytes
	}
	if config.CallTimeout < 0 || config.MaxResponseBytes < 0 || config.CallsPerSecond < 0 {
		return nil, fmt.Errorf("kvstore: call timeout %v, response limit %d and calls per second %v must not be negative",
			config.CallTimeout, config.MaxResponseBytes, config.CallsPerSecond)
	}
	endpoints := make([]string, len(config.Endpoints))
	for i, endpoint := range config.Endpoints {
		if !strings.HasPrefix(endpoint, "http://") && !strings.HasPrefix(endpoint, "https://") {
			return nil, fmt.Errorf("kvstore: endpoint %q is not an http or https URL", endpoint)
		}
		endpoints[i] = strings.TrimRight(endpoint, "/")
	}
	config.Endpoints = endpoints
	dialer := &net.Dialer{Timeout: config.CallTimeout}
	if config.LocalAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(config.LocalAddress, 0))
	}
	transport := httpconn.StrictTransport{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	// Redirects are not followed: the gateway sends none, and following one could repeat a write.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Etcd{
		config:  config,
		client:  &http.Client{Transport: transport, CheckRedirect: noRedirect},
		limiter: newCallLimiter(config.CallsPerSecond),
	}, nil
}

// Close closes idle connections.
func (e *Etcd) Close() {
	e.client.CloseIdleConnections()
}

// Get returns one key, or ErrNotFound.
func (e *Etcd) Get(ctx context.Context, key string) (Entry, error) {
	var response rangeResponse
	if err := e.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &response, read); err != nil {
		return Entry{}, err
	}
	if len(response.Kvs) == 0 {
		return Entry{}, fmt.Errorf("%w: %q", ErrNotFound, key)
	}
	return response.Kvs[0].entry(false), nil
}

// List returns all keys with the prefix in key order, and the store revision at which it read them.
func (e *Etcd) List(ctx context.Context, prefix string) ([]Entry, int64, error) {
	request := rangeRequest{Key: rangeStart(prefix), RangeEnd: prefixEnd(prefix)}
	var response rangeResponse
	if err := e.call(ctx, "/v3/kv/range", request, &response, read); err != nil {
		return nil, 0, err
	}
	if response.More {
		return nil, 0, fmt.Errorf("%w: listing of %q is incomplete", ErrUnavailable, prefix)
	}
	entries := make([]Entry, 0, len(response.Kvs))
	for _, kv := range response.Kvs {
		entries = append(entries, kv.entry(false))
	}
	return entries, int64(response.Header.Revision), nil
}

// CompareAndSwap writes value if the key's revision is still previous; 0 means that the key must not
// exist. It returns ErrConflict, ErrLeaseExpired, ErrUnavailable or ErrUnknownOutcome.
func (e *Etcd) CompareAndSwap(ctx context.Context, key string, previous int64, value []byte, lease LeaseID) (int64, error) {
	put := &putRequest{Key: []byte(key), Value: value, Lease: int64String(lease)}
	return e.compareAndApply(ctx, key, previous, operation{Put: put})
}

// CompareAndDelete deletes the key if its revision is still previous. Its errors are those of
// CompareAndSwap.
func (e *Etcd) CompareAndDelete(ctx context.Context, key string, previous int64) error {
	_, err := e.compareAndApply(ctx, key, previous, operation{Delete: &deleteRequest{Key: []byte(key)}})
	return err
}

func (e *Etcd) compareAndApply(ctx context.Context, key string, previous int64, op operation) (int64, error) {
	request := txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: int64String(previous)}},
		Success: []operation{op},
	}
	var response txnResponse
	if err := e.call(ctx, "/v3/kv/txn", request, &response, write); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, fmt.Errorf("%w: %q is not at revision %d", ErrConflict, key, previous)
	}
	return int64(response.Header.Revision), nil
}

// GrantLease creates a lease; ttl is rounded up to whole seconds. After ErrUnknownOutcome a lease may
// exist whose id is not known; it expires on its own.
func (e *Etcd) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	if seconds <= 0 {
		return NoLease, fmt.Errorf("kvstore: lease TTL %v is not positive", ttl)
	}
	var response leaseResponse
	if err := e.call(ctx, "/v3/lease/grant", leaseGrantRequest{TTL: int64String(seconds)}, &response, write); err != nil {
		return NoLease, err
	}
	switch {
	case response.Error != "":
		return NoLease, fmt.Errorf("%w: grant lease: %s", ErrUnavailable, response.Error)
	case response.ID == 0:
		return NoLease, fmt.Errorf("%w: grant lease: response has no lease id", ErrUnknownOutcome)
	case int64(response.TTL) < seconds:
		// A holder that relies on the requested TTL would act after the lease has expired.
		return NoLease, fmt.Errorf("%w: grant lease: requested %d s, granted %d s", ErrUnavailable, seconds, response.TTL)
	}
	return LeaseID(response.ID), nil
}

// KeepAlive renews a lease for its full TTL, or returns ErrLeaseExpired.
func (e *Etcd) KeepAlive(ctx context.Context, lease LeaseID) error {
	var response keepAliveResponse
	if err := e.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64String(lease)}, &response, write); err != nil {
		return err
	}
	if response.Error != nil {
		return response.Error.toError(ErrUnknownOutcome)
	}
	if response.Result.TTL <= 0 {
		return fmt.Errorf("%w: lease %d", ErrLeaseExpired, lease)
	}
	return nil
}

// RevokeLease ends a lease and deletes the keys attached to it, or returns ErrLeaseExpired.
func (e *Etcd) RevokeLease(ctx context.Context, lease LeaseID) error {
	var response leaseResponse
	return e.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64String(lease)}, &response, write)
}

// callKind distinguishes reads, which have no effect, from writes, whose outcome is unknown if they
// fail after they were sent.
type callKind bool

const (
	read  callKind = false
	write callKind = true
)

func (k callKind) errorAfterSend() error {
	if k == write {
		return ErrUnknownOutcome
	}
	return ErrUnavailable
}

// call posts the request to the endpoints in turn and decodes the response into result.
func (e *Etcd) call(ctx context.Context, path string, request, result any, kind callKind) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: encode request: %w", ErrUnavailable, err)
	}
	first := int(e.preferred.Load())
	for i := range e.config.Endpoints {
		index := (first + i) % len(e.config.Endpoints)
		var final bool
		final, err = e.callEndpoint(ctx, e.config.Endpoints[index]+path, body, result, kind)
		if err == nil || final || ctx.Err() != nil {
			if err == nil && i > 0 {
				e.preferred.Store(uint32(index))
			}
			return err
		}
	}
	return err
}

// callEndpoint makes one attempt. If final is true, no other endpoint may be tried.
func (e *Etcd) callEndpoint(ctx context.Context, url string, body []byte, result any, kind callKind) (final bool, err error) {
	if err := e.limiter.wait(ctx); err != nil {
		return true, fmt.Errorf("%w: wait for the call rate limit: %w", ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, e.config.CallTimeout)
	defer cancel()
	response, sent, err := e.post(ctx, url, body)
	if err != nil {
		if !sent {
			return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return kind == write, fmt.Errorf("%w: %w", kind.errorAfterSend(), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return statusError(response, kind)
	}
	if err := decodeBounded(response.Body, result, e.config.MaxResponseBytes); err != nil {
		return kind == write, fmt.Errorf("%w: %w", kind.errorAfterSend(), err)
	}
	// Only its end shows that a response is complete and its trailers are sound. The connection is reused after it.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes)); err != nil {
		return kind == write, fmt.Errorf("%w: end of response: %w", kind.errorAfterSend(), err)
	}
	return true, nil
}

// post sends one request. If sent is false, certainly no byte of it has left this process.
func (e *Etcd) post(ctx context.Context, url string, body []byte) (response *http.Response, sent bool, err error) {
	// The transport calls the hook on its own goroutine, possibly after Do has returned.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err = e.client.Do(request)
	return response, connected.Load(), err
}

// maxHeaderBytes bounds the header of a response. The net/http default allows 10 MB for each call.
const maxHeaderBytes = 64 << 10

// maxErrorBytes bounds how much of an error response is read.
const maxErrorBytes = 8 << 10

// statusError returns the error for a response with a status other than 200.
func statusError(response *http.Response, kind callKind) (final bool, err error) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var failure gatewayError
	_ = json.Unmarshal(text, &failure)
	if failure.Message == "" {
		failure.Message = strings.TrimSpace(string(text))
	}
	failure.Status = response.StatusCode
	err = failure.toError(kind.errorAfterSend())
	return kind == write || !errors.Is(err, ErrUnavailable) || failure.Status == http.StatusTooManyRequests, err
}

// decodeBounded decodes the first JSON value of r, which must be complete within limit bytes.
func decodeBounded(r io.Reader, into any, limit int64) error {
	bounded := &io.LimitedReader{R: r, N: limit}
	if err := json.NewDecoder(bounded).Decode(into); err != nil {
		if bounded.N <= 0 {
			return fmt.Errorf("response is longer than %d bytes", limit)
		}
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
