package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A response that comes without a request ends the connection and is not the response to the next request.
func TestHealthUnsolicitedResponse(t *testing.T) {
	address, _ := rawUpstream(t, func(_, request int) string {
		return reply(fmt.Sprint("r", request), "") + reply("unsolicited", "")
	})
	d := newDirectClient()
	defer d.Close()
	conn, err := d.OpenHealth(t.Context(), address)
	must.NoError(t, err)
	defer conn.Close()
	_, header, err := conn.Probe(t.Context(), "/health")
	must.NoError(t, err)
	must.Eq(t, "r1", header.Get("Request-Id"))
	select {
	case <-conn.Broken():
	case <-time.After(100 * time.Millisecond):
		t.Error("the connection is kept")
	}
	_, header, err = conn.Probe(t.Context(), "/health")
	must.Error(t, err, must.Sprint("answered with ", header))
}
