package kvstore_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/responsetest"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

// etcdCalls make a call to a gateway that answers with body.
var etcdCalls = map[string]struct {
	body string
	// failed is the error of a call whose response can't be read.
	failed error
	call   func(*testing.T, *kvstore.Etcd) error
}{
	"read": {`{"header":{"revision":"5"},"kvs":[{"key":"YQ==","value":"eA==","mod_revision":"5"}],"count":"1"}`, kvstore.ErrUnavailable,
		func(t *testing.T, e *kvstore.Etcd) error {
			_, err := e.Get(t.Context(), "a")
			return err
		}},
	"write": {`{"header":{"revision":"5"},"succeeded":true}`, kvstore.ErrUnknownOutcome, func(t *testing.T, e *kvstore.Etcd) error {
		_, err := e.CompareAndSwap(t.Context(), "a", 4, []byte("x"), kvstore.NoLease)
		return err
	}},
}

// Guards against believing a malformed response of the store: above all, a write must not count as done or as without
// effect.
func TestEtcdMalformedResponses(t *testing.T) {
	for name, group := range responsetest.Malformed {
		for kind, call := range etcdCalls {
			t.Run(name+"/"+kind, func(t *testing.T) {
				for _, c := range group("Content-Type: application/json\r\n", call.body) {
					t.Run(c.Name, func(t *testing.T) {
						store := newClient(t, nil, "http://"+responsetest.Start(t, c.Raw))
						must.ErrorIs(t, call.call(t, store), call.failed)
					})
				}
			})
		}
	}
}

// Guards against rejecting sound responses together with malformed ones.
func TestEtcdSoundResponses(t *testing.T) {
	for kind, call := range etcdCalls {
		for _, c := range responsetest.Sound("Content-Type: application/json\r\n", call.body) {
			t.Run(kind+"/"+c.Name, func(t *testing.T) {
				store := newClient(t, nil, "http://"+responsetest.Start(t, c.Raw))
				must.NoError(t, call.call(t, store))
			})
		}
	}
}
