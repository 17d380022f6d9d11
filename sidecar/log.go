package sidecar

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logBufferLines is the number of lines buffered for a slow log reader; further lines are dropped.
	logBufferLines = 1024
	// logCloseTimeout bounds the time for writing the buffered lines. It is part of maxExitMargin.
	logCloseTimeout = 50 * time.Millisecond
	// linesPerSecond bounds the lines of one kind. Writing a line costs a few microseconds of CPU time.
	linesPerSecond = 20
	// answeredPerSecond bounds the lines of successful requests, which would otherwise displace the others
	// where operators retain a fixed log size.
	answeredPerSecond = 4
	// burstSeconds is the burst of a kind, in seconds of its rate.
	burstSeconds = 3
)

// NewLogWriter returns a writer that never blocks. It drops lines that do not fit into its buffer and passes
// their number to dropped. Close waits only briefly for the buffered lines.
func NewLogWriter(w io.Writer, dropped func(int)) io.WriteCloser {
	return logWriter{diode.NewWriter(w, logBufferLines, 0, dropped)}
}

type logWriter struct{ diode.Writer }

// errLogBlocked means that buffered lines were not written because nothing reads the log.
var errLogBlocked = errors.New("sidecar: log is not read")

// Close writes the buffered lines.
func (w logWriter) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- w.Writer.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(logCloseTimeout):
		return errLogBlocked
	}
}

// eventLog writes log lines for events, rate limited by kind. It is safe for concurrent use.
type eventLog struct {
	log zerolog.Logger

	mu    sync.Mutex
	kinds map[string]*lineBudget
}

// eventAnswered is the kind of log line for successful requests.
const eventAnswered = "request_answered"

// lineRate returns the maximum lines per second of a kind.
func lineRate(kind string) float64 {
	if kind == eventAnswered {
		return answeredPerSecond
	}
	return linesPerSecond
}

type lineBudget struct {
	tokens     float64
	at         time.Time
	suppressed int
}

func newEventLog(log zerolog.Logger) *eventLog {
	return &eventLog{log: log, kinds: map[string]*lineBudget{}}
}

// event returns a log event of a kind. If the kind is over its rate limit, it returns nil, which discards
// all fields; the next line of the kind states how many were suppressed.
func (l *eventLog) event(kind string) *zerolog.Event {
	suppressed, ok := l.allow(kind, time.Now())
	if !ok {
		return nil
	}
	e := l.log.Info().Str("event", kind)
	if suppressed > 0 {
		e.Int("suppressed", suppressed)
	}
	return e
}

func (l *eventLog) allow(kind string, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, rate := l.kinds[kind], lineRate(kind)
	if b == nil {
		b = &lineBudget{tokens: burstSeconds * rate, at: now}
		l.kinds[kind] = b
	}
	b.tokens = min(burstSeconds*rate, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed = b.suppressed
	b.suppressed = 0
	return suppressed, true
}
