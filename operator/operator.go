// Package operator serves the operator API of a node over twirp.
//
// It checks the operator token, converts between the schema and the configuration types, and converts
// errors of the Backend into twirp errors. All other decisions are left to the Backend.
package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cowslipglade/cowslipglade/config"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// Metadata keys of conflict errors.
const (
	MetaBaseRevision    = "base_revision"
	MetaCurrentRevision = "current_revision"
)

// Backend implements the operations of the operator API. It must be safe for concurrent use.
type Backend interface {
	// ApplyChange commits a change and returns its revision. Errors are those of package config.
	// Revision 0 means that a key withdrawal is in force but has not yet been written to the platform.
	ApplyChange(ctx context.Context, change config.Change) (int64, error)
	// Document returns the current configuration.
	Document() *config.Document
	// Changes returns up to limit changes committed after the given revision, oldest first.
	Changes(ctx context.Context, after int64, limit int) ([]config.CommittedChange, error)
	// SetDraining starts or stops draining and returns the number of calls in flight.
	SetDraining(draining bool) int
	// Status returns the status of the node and its peers.
	Status() *operatorv1.GetStatusResponse
	// ReleaseShards releases the quota shards of a dead node and returns their names. Errors wrap
	// ErrNodeAlive or are those of package config.
	ReleaseShards(ctx context.Context, node, actor string) ([]string, error)
}

// ErrNodeAlive means that a node may still be active, so other nodes must not take over its shards.
var ErrNodeAlive = errors.New("operator: node is alive")

// maxRequestBytes limits the body of a request; a change has at most 16 KiB.
const maxRequestBytes = 1 << 20

// Mount registers the operator API on mux. Requests must carry token as a bearer token.
func Mount(mux *http.ServeMux, backend Backend, token string) {
	handler := operatorv1.NewOperatorServer(&server{backend: backend})
	mux.Handle(handler.PathPrefix(), requireToken(handler, token))
}

func requireToken(next http.Handler, token string) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("operator token missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next.ServeHTTP(w, r)
	})
}

type server struct {
	backend Backend
}

// Apply implements operatorv1.Operator.
func (s *server) Apply(ctx context.Context, req *operatorv1.ApplyRequest) (*operatorv1.ApplyResponse, error) {
	change, err := changeFromRequest(req, s.backend.Document())
	if err != nil {
		return nil, err
	}
	revision, err := s.backend.ApplyChange(ctx, change)
	if err != nil {
		return nil, twirpError(err)
	}
	return &operatorv1.ApplyResponse{Revision: revision, Pending: revision == 0}, nil
}

// GetConfiguration implements operatorv1.Operator.
func (s *server) GetConfiguration(context.Context, *operatorv1.GetConfigurationRequest) (*operatorv1.GetConfigurationResponse, error) {
	return documentToResponse(s.backend.Document()), nil
}

const (
	defaultChangeLimit = 100
	maxChangeLimit     = 1000
)

// ListChanges implements operatorv1.Operator.
func (s *server) ListChanges(ctx context.Context, req *operatorv1.ListChangesRequest) (*operatorv1.ListChangesResponse, error) {
	limit := int(req.GetLimit())
	if limit == 0 {
		limit = defaultChangeLimit
	}
	if limit < 1 || limit > maxChangeLimit {
		return nil, twirp.InvalidArgumentError("limit", "must be from 1 to "+strconv.Itoa(maxChangeLimit))
	}
	changes, err := s.backend.Changes(ctx, req.GetAfterRevision(), limit)
	if err != nil {
		return nil, twirpError(err)
	}
	response := &operatorv1.ListChangesResponse{}
	for i := range changes {
		response.Changes = append(response.Changes, changeToResponse(&changes[i]))
	}
	return response, nil
}

// Drain implements operatorv1.Operator.
func (s *server) Drain(_ context.Context, req *operatorv1.DrainRequest) (*operatorv1.DrainResponse, error) {
	return &operatorv1.DrainResponse{InFlight: int32(s.backend.SetDraining(req.GetDraining()))}, nil
}

// GetStatus implements operatorv1.Operator.
func (s *server) GetStatus(context.Context, *operatorv1.GetStatusRequest) (*operatorv1.GetStatusResponse, error) {
	return s.backend.Status(), nil
}

// ReleaseShards implements operatorv1.Operator.
func (s *server) ReleaseShards(ctx context.Context, req *operatorv1.ReleaseShardsRequest) (*operatorv1.ReleaseShardsResponse, error) {
	if req.GetNode() == "" {
		return nil, twirp.RequiredArgumentError("node")
	}
	shards, err := s.backend.ReleaseShards(ctx, req.GetNode(), req.GetActor())
	if err != nil {
		return nil, twirpError(err)
	}
	return &operatorv1.ReleaseShardsResponse{Shards: shards}, nil
}

// twirpError converts an error of the Backend.
func twirpError(err error) error {
	var conflict *config.ConflictError
	var invalid *config.InvalidError
	switch {
	case errors.As(err, &conflict):
		return twirp.FailedPrecondition.Error(err.Error()).
			WithMeta(MetaBaseRevision, strconv.FormatInt(conflict.Base, 10)).
			WithMeta(MetaCurrentRevision, strconv.FormatInt(conflict.Current, 10))
	case errors.Is(err, ErrNodeAlive):
		return twirp.FailedPrecondition.Error(err.Error())
	case errors.As(err, &invalid):
		return twirp.InvalidArgument.Error(err.Error())
	case errors.Is(err, config.ErrUnknownOutcome):
		return twirp.DeadlineExceeded.Error(err.Error() + "; send the same change id again")
	case errors.Is(err, config.ErrUnavailable), errors.Is(err, config.ErrContention):
		return twirp.Unavailable.Error(err.Error())
	default:
		return twirp.InternalErrorWith(err)
	}
}

// unixMS returns the timestamp for a new change.
func unixMS() int64 { return time.Now().UnixMilli() }
