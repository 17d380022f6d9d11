package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a false violation when a request that a process sent according to version 1 runs after version 3
// has been sent, and the process then uses version 2. Guards against an undetected return to a version older than
// one that the process must have used.
func TestCheckRollback(t *testing.T) {
	type use struct {
		service   string
		sent, ran time.Duration
	}
	for name, test := range map[string]struct {
		uses     []use
		violated bool
	}{
		"slow request of an old version": {uses: []use{{"a", 900 * time.Millisecond, 2100 * time.Millisecond}, {"b", 2500 * time.Millisecond, 2500 * time.Millisecond}}},
		"slow request, sent before the new version was used": {uses: []use{
			{"b", time.Second, time.Second}, {"a", 900 * time.Millisecond, 2100 * time.Millisecond}, {"b", 2500 * time.Millisecond, 2500 * time.Millisecond},
		}},
		"each in turn": {uses: []use{{"a", 0, 0}, {"b", time.Second, time.Second}, {"a", 2 * time.Second, 2 * time.Second}}},
		"back to an older version": {violated: true, uses: []use{
			{"a", 0, 0}, {"b", time.Second, time.Second}, {"a", 2 * time.Second, 2 * time.Second}, {"b", 3 * time.Second, 3 * time.Second},
		}},
		"before the version is sent": {violated: true, uses: []use{{"b", time.Second, time.Second}, {"a", 1500 * time.Millisecond, 1500 * time.Millisecond}}},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			h := newHistory()
			for version, service := range []string{"a", "b", "a"} {
				h.configs = append(h.configs, configuration{version: version + 1, movingService: service, sentAt: start.Add(time.Duration(version) * time.Second)})
			}
			for i, u := range test.uses {
				id := string(rune('1' + i))
				h.requests[id] = &request{ID: id, node: &node{name: "n"}, incarnation: 1, movingRoute: true, sentAt: start.Add(u.sent)}
				h.runs[id] = []*run{{ID: id, service: u.service, at: start.Add(u.ran)}}
			}
			h.checkRollback(bounds{Rollback: rollbackTime})
			must.Eq(t, test.violated, len(h.violations) > 0, must.Sprint(h.violations))
		})
	}
}
