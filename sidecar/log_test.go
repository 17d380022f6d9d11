package sidecar

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// Guards against log lines of successful requests displacing the others. The first line after a gap states
// how many lines were suppressed.
func TestLogLeavesRoomForFailures(t *testing.T) {
	var out strings.Builder
	log := newEventLog(zerolog.New(&out))
	const offered = 1000
	for range offered {
		log.event("request_refused").Send()
		log.event(eventAnswered).Send()
	}
	answered := strings.Count(out.String(), eventAnswered)
	refused := strings.Count(out.String(), "request_refused")
	must.Between(t, burstSeconds*answeredPerSecond, answered, burstSeconds*answeredPerSecond+1)
	must.Between(t, burstSeconds*linesPerSecond, refused, burstSeconds*linesPerSecond+1)

	suppressed, ok := log.allow(eventAnswered, time.Now().Add(time.Second))
	must.True(t, ok)
	must.Between(t, offered-answered-1, suppressed, offered-answered)
}
