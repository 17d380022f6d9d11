package sidecar

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/kvstore"
)

// Guards against a process that ends when the revision of the first configuration is 0 and the next one comes.
func TestConfigurationAfterRevisionZero(t *testing.T) {
	n := New(testNode("a", 1).settings(), Dependencies{Store: kvstore.NewMemory(nil), Configuration: revisionSource{}}, zerolog.Nop(), 1)
	loaded := func() bool {
		select {
		case <-n.configuration.loaded:
			return true
		default:
			return false
		}
	}
	must.False(t, loaded())
	for _, revision := range []string{"0", "0", "1", "2"} {
		must.NoError(t, n.configuration.update([]byte(revision), time.Now(), "store"))
		must.True(t, loaded())
	}
	must.Eq(t, 2, n.configuration.revision())
}
