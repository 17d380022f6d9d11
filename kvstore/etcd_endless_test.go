package kvstore_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/internal/endlesstest"
	"github.com/cowslipglade/cowslipglade/kvstore"
)

// Guards against buffering up to 10 MB of an endless response header.
func TestEtcdEndlessHeader(t *testing.T) {
	for name, header := range map[string]struct{ first, unit string }{
		"header line":  {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := endlesstest.Start(t, header.first, header.unit)
			store := newClient(t, func(c *kvstore.EtcdConfig) { c.CallTimeout = 2 * time.Second }, "http://"+server.Address)
			_, err := store.Get(t.Context(), "a")
			must.ErrorIs(t, err, kvstore.ErrUnavailable)
			must.Less(t, 1<<20, server.Sent())
		})
	}
}
