package sidecar_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/ratelimit"
)

// Guards against refusing requests within the rate when all of them suddenly enter at one node: the node
// must borrow the tokens of the others instead of being limited to its own share of the burst.
func TestBurstAtOneNode(t *testing.T) {
	f := startFleet(t, 4, sameHandler(respond))
	const rate = 40
	f.configure(2, `"key-1"`, rate)
	for _, n := range f.nodes {
		f.eventually(func() error {
			if _, vars := f.vars(n); !strings.Contains(vars, `"configuration_revision": 2`) {
				return errors.New("configuration is not in force")
			}
			return nil
		})
	}
	// Wait until every node holds its share. The nodes start one after the other, so the first may hold the
	// entire rate for a while and need no loan.
	for _, n := range f.nodes {
		f.eventually(func() error { return f.holdsShare(n, 0.2, 0.3) })
	}
	for i := range rate {
		got := f.send(f.nodes[0], http.MethodPost, "/once/a", fmt.Sprint("id", i), "key-1", time.Second)
		must.Eq(t, http.StatusOK, got.status, must.Sprintf("request %d: %s", i, got.body))
	}
	_, vars := f.vars(f.nodes[0])
	must.StrContains(t, vars, `"quota_loans_total": {"tokens": `)
}

// holdsShare returns an error unless a node's share of the rate is between two bounds.
func (f *fleet) holdsShare(n *fleetNode, minimum, maximum float64) error {
	var vars struct {
		Shares map[string]ratelimit.ShareStatus `json:"quota_shares"`
	}
	_, text := f.vars(n)
	if err := json.Unmarshal([]byte(text), &vars); err != nil {
		return err
	}
	if share := vars.Shares["w"].Share; share < minimum || share > maximum {
		return fmt.Errorf("%s holds %.3f of the rate", n.settings.Node, share)
	}
	return nil
}
