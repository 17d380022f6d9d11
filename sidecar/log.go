package sidecar

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logBuffer is the number of lines that wait for a slow reader of the log; more are dropped.
	logBuffer = 1024
	// linesPerSecond bounds the lines of one kind. Writing a line costs some microseconds of processor time.
	linesPerSecond = 20
	// answeredPerSecond bounds the lines of requests that ended well, which would leave little room for the others
	// where operators keep a fixed number of bytes.
	answeredPerSecond = 4
	// burstSeconds of its rate may be written of a kind at once.
	burstSeconds = 3
)

// NewLogWriter returns a writer that never blocks. Lines that do not fit into its buffer are dropped and
// their number is passed to dropped.
func NewLogWriter(w io.Writer, dropped func(int)) io.WriteCloser {
	return diode.NewWriter(w, logBuffer, 0, dropped)
}

// decisionLog writes one line for each decision, bounded by kind. It is safe for concurrent use.
type decisionLog struct {
	log zerolog.Logger

	mu    sync.Mutex
	kinds map[string]*lineBudget
}

// eventAnswered is the kind of line for requests that ended well.
const eventAnswered = "request_answered"

// lineRate returns the lines per second that a kind may have.
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

func newDecisionLog(log zerolog.Logger) *decisionLog {
	return &decisionLog{log: log, kinds: map[string]*lineBudget{}}
}

// event returns an event of a kind, or nil, which discards all fields, when the kind is over its bound.
// The next line of the kind tells how many were left out.
func (d *decisionLog) event(kind string) *zerolog.Event {
	suppressed, ok := d.allow(kind, time.Now())
	if !ok {
		return nil
	}
	e := d.log.Info().Str("event", kind)
	if suppressed > 0 {
		e.Int("suppressed", suppressed)
	}
	return e
}

func (d *decisionLog) allow(kind string, now time.Time) (suppressed int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, rate := d.kinds[kind], lineRate(kind)
	if b == nil {
		b = &lineBudget{tokens: burstSeconds * rate, at: now}
		d.kinds[kind] = b
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
