package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Config holds the documented limits of the emulated service.
type Config struct {
	// WritesPerSecond limits transactions and lease calls. Calls beyond it get status 429.
	WritesPerSecond float64
	// ReadsPerSecond limits range calls and new watches. Calls beyond it get status 429.
	ReadsPerSecond float64
	MaxValueBytes  int
	// Seed seeds the choice of the responses that are lost.
	Seed uint64
	// Now is the clock of leases and rate limits; nil means time.Now.
	Now func() time.Time
}

// DefaultConfig returns the limits of the operators' platform: several hundred writes and about 2,000
// reads a second, and values of 1 MB.
func DefaultConfig() Config {
	return Config{WritesPerSecond: 400, ReadsPerSecond: 2000, MaxValueBytes: 1 << 20}
}

// Calls counts the calls that reached the server, including those refused by a rate limit.
type Calls struct {
	Reads           int64 `json:"reads"`
	Writes          int64 `json:"writes"`
	Watches         int64 `json:"watches"`
	WaitingWatches  int64 `json:"waiting_watches"`
	RefusedReads    int64 `json:"refused_reads"`
	RefusedWrites   int64 `json:"refused_writes"`
	CallsWhileDown  int64 `json:"calls_while_down"`
	LostResponses   int64 `json:"lost_answers"`
	RequestBytes    int64 `json:"request_bytes"`
	LeasesHeld      int   `json:"leases_held"`
	KeysHeld        int   `json:"keys_held"`
	CurrentRevision int64 `json:"current_revision"`
}

// Server emulates the key-value service. Its handlers are safe for concurrent use.
type Server struct {
	config Config

	mutex        sync.Mutex
	store        *store
	fault        Fault
	faultChanged chan struct{}
	calls        Calls
	reads        bucket
	writes       bucket
	random       *rand.Rand
}

// NewServer returns a server without keys and leases.
func NewServer(config Config) *Server {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Server{
		config:       config,
		store:        newStore(),
		fault:        Fault{Mode: Normal},
		faultChanged: make(chan struct{}),
		reads:        bucket{rate: config.ReadsPerSecond, level: config.ReadsPerSecond},
		writes:       bucket{rate: config.WritesPerSecond, level: config.WritesPerSecond},
		random:       rand.New(rand.NewPCG(config.Seed, 0)),
	}
}

// expiryInterval is the resolution of lease expiry, well below the shortest lease of one second.
const expiryInterval = 50 * time.Millisecond

// Run expires leases until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Expire()
		}
	}
}

// Expire revokes the expired leases and deletes their keys.
func (s *Server) Expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.store.expire(s.config.Now())
}

// Calls returns the counts so far.
func (s *Server) Calls() Calls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := s.calls
	calls.LeasesHeld = len(s.store.leases)
	calls.KeysHeld = len(s.store.records)
	calls.CurrentRevision = s.store.revision
	return calls
}

// Handler returns the handler of the gateway API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", unary(s, false, s.rangeKeys))
	mux.HandleFunc("POST /v3/kv/txn", unary(s, true, s.transact))
	mux.HandleFunc("POST /v3/lease/grant", unary(s, true, s.grantLease))
	mux.HandleFunc("POST /v3/lease/keepalive", unary(s, true, s.keepLeaseAlive))
	mux.HandleFunc("POST /v3/lease/revoke", unary(s, true, s.revokeLease))
	mux.HandleFunc("POST /v3/watch", s.watch)
	return mux
}

// gRPC status codes in error responses.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// refusal is an error response.
type refusal struct {
	status, code int
	message      string
}

func (r *refusal) Error() string { return r.message }

func invalid(format string, args ...any) error {
	return &refusal{http.StatusBadRequest, codeInvalidArgument, fmt.Sprintf(format, args...)}
}

func leaseNotFound() error {
	return &refusal{http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found"}
}

func writeRefusal(w http.ResponseWriter, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		r = &refusal{http.StatusInternalServerError, 13, err.Error()}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: r.message, Code: r.code, Message: r.message})
}

// abort closes the connection without a response.
func abort() {
	panic(http.ErrAbortHandler)
}

// admit applies the current fault and the rate limits. It returns false if it has refused the call.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, write bool) bool {
	fault, _ := s.currentFault()
	if fault.Mode == Down {
		s.count(func(c *Calls) { c.CallsWhileDown++ })
		abort()
	}
	if !delayCall(r, fault) {
		abort()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit, counted, refused := &s.reads, &s.calls.Reads, &s.calls.RefusedReads
	if write {
		limit, counted, refused = &s.writes, &s.calls.Writes, &s.calls.RefusedWrites
	}
	*counted++
	s.calls.RequestBytes += max(r.ContentLength, 0)
	if limit.take(s.config.Now()) {
		return true
	}
	*refused++
	writeRefusal(w, &refusal{http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests"})
	return false
}

func (s *Server) count(update func(*Calls)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update(&s.calls)
}

// decode reads a request, whose size limit allows for the base64 form of the largest value.
func (s *Server) decode(r *http.Request, request any) error {
	body := io.LimitReader(r.Body, int64(s.config.MaxValueBytes)*2)
	// net/http detects a closed connection only after the body has been read to its end.
	defer func() { _, _ = io.Copy(io.Discard, body) }()
	if err := json.NewDecoder(body).Decode(request); err != nil {
		return invalid("request is not valid or too large: %v", err)
	}
	return nil
}

// unary returns the handler of a call with one request and one response; action runs with the mutex held.
func unary[Request, Response any](s *Server, write bool, action func(*Request) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		// The body is read before the fault is applied, so that the client sees an aborted connection as
		// a lost call and not as a failed upload.
		err := s.decode(r, &request)
		if !s.admit(w, r, write) {
			return
		}
		var response Response
		if err == nil {
			s.mutex.Lock()
			s.store.expire(s.config.Now())
			response, err = action(&request)
			s.mutex.Unlock()
		}
		if write && s.losesResponse() {
			s.count(func(c *Calls) { c.LostResponses++ })
			abort()
		}
		if err != nil {
			writeRefusal(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}
}

func (s *Server) header() header {
	return header{ClusterID: "1", Revision: s.store.revision}
}

func (s *Server) rangeKeys(request *rangeRequest) (rangeResponse, error) {
	keys := s.store.keysInRange(string(request.Key), string(request.RangeEnd))
	response := rangeResponse{Header: s.header(), Count: int64(len(keys))}
	if request.Limit > 0 && int64(len(keys)) > request.Limit {
		keys = keys[:request.Limit]
		response.More = true
	}
	for _, key := range keys {
		r := s.store.records[key]
		response.Kvs = append(response.Kvs, keyValue{Key: []byte(key), Value: r.value, ModRevision: r.modRevision, Lease: r.lease})
	}
	return response, nil
}

func (s *Server) transact(request *txnRequest) (txnResponse, error) {
	succeeded := true
	for _, c := range request.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return txnResponse{}, invalid("unsupported compare %s %s", c.Target, c.Result)
		}
		if s.store.records[string(c.Key)].modRevision != c.ModRevision {
			succeeded = false
		}
	}
	operations := request.Success
	if !succeeded {
		operations = request.Failure
	}
	if err := s.checkOperations(operations); err != nil {
		return txnResponse{}, err
	}
	s.apply(operations)
	return txnResponse{Header: s.header(), Succeeded: succeeded}, nil
}

func (s *Server) checkOperations(operations []operation) error {
	for _, op := range operations {
		if op.Put == nil && op.Delete == nil {
			return invalid("unsupported operation")
		}
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > s.config.MaxValueBytes {
			return invalid("etcdserver: request is too large")
		}
		if op.Put.Lease != 0 && s.store.leases[op.Put.Lease] == nil {
			return leaseNotFound()
		}
	}
	return nil
}

// apply applies all operations of a transaction at one revision.
func (s *Server) apply(operations []operation) {
	if len(operations) > 0 {
		s.store.revision++
	}
	for _, op := range operations {
		if op.Put != nil {
			s.store.put(string(op.Put.Key), op.Put.Value, op.Put.Lease)
		}
		if op.Delete != nil {
			s.store.remove(string(op.Delete.Key))
		}
	}
}

func (s *Server) grantLease(request *leaseGrantRequest) (leaseResponse, error) {
	if request.TTL <= 0 {
		return leaseResponse{}, invalid("etcdserver: too small lease TTL")
	}
	id := s.store.grant(time.Duration(request.TTL)*time.Second, s.config.Now())
	return leaseResponse{Header: s.header(), ID: id, TTL: request.TTL}, nil
}

func (s *Server) keepLeaseAlive(request *leaseRequest) (streamResponse[leaseResponse], error) {
	ttl := s.store.keepAlive(request.ID, s.config.Now())
	response := leaseResponse{Header: s.header(), ID: request.ID, TTL: int64(ttl / time.Second)}
	return streamResponse[leaseResponse]{Result: response}, nil
}

func (s *Server) revokeLease(request *leaseRequest) (leaseResponse, error) {
	if !s.store.revoke(request.ID) {
		return leaseResponse{}, leaseNotFound()
	}
	return leaseResponse{Header: s.header()}, nil
}

// bucket is a token bucket with a capacity of one second's worth of tokens.
type bucket struct {
	rate  float64
	level float64
	last  time.Time
}

func (b *bucket) take(now time.Time) bool {
	if !b.last.IsZero() {
		b.level = min(b.rate, b.level+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
