package admission

import (
	"fmt"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// Order selects which queued item of a workspace and class runs next.
type Order uint8

// Queue orders.
const (
	// FIFO runs the oldest item first.
	FIFO Order = iota
	// AdaptiveLIFO runs the oldest item first, or the newest while the workspace has a standing queue of
	// the class.
	AdaptiveLIFO
	// EDF runs the item with the earliest deadline first.
	EDF
)

// String returns the name of the order.
func (o Order) String() string {
	switch o {
	case FIFO:
		return "fifo"
	case AdaptiveLIFO:
		return "lifo"
	default:
		return "edf"
	}
}

// Config configures a Queue. NewQueue copies it.
type Config struct {
	// Slots is the concurrency that the upstream announced, in calls.
	Slots int
	// QueueFactor bounds the queue to this multiple of Slots, or to MinQueue items if that is more. An
	// item costs about 250 bytes plus the stack of its waiting goroutine.
	QueueFactor int
	// MinQueue is the smallest queue bound, in items.
	MinQueue int
	// Order selects the next item within a workspace and class.
	Order Order
	// ShareFirst ranks the share of a workspace above the class, except for Critical. A workspace above
	// its share then loses normal work while others keep sheddable work. If false, the class ranks first,
	// and one workspace with much normal work starves the sheddable work of all others.
	ShareFirst bool
	// Target is the allowed queue delay of a class while it has a standing queue. A longer target
	// absorbs more arrival jitter, but adds as much latency under sustained overload.
	Target [call.ImportanceCount]time.Duration
	// TargetWork, if positive, replaces Target for all classes by this multiple of the mean service time: a standing
	// queue that is longer delays its callers by more than their work takes, and serves none of them sooner. The
	// order of the queue, not a longer target, then favors the important classes.
	TargetWork float64
	// Interval is how long a workspace must continuously have queued items of a class for them to count
	// as a standing queue.
	Interval time.Duration
	// SweepInterval is the minimum time between two scans of the queue for overdue items. A scan costs a
	// few ns per queued item.
	SweepInterval time.Duration
	// RetryAfterMin is the smallest retry delay suggested to a refused caller.
	RetryAfterMin time.Duration
	// RetryAfterSpread is the longest window over which retries are spread. Refused callers keep
	// retrying for this long after an overload ends and keep the upstream saturated until then.
	RetryAfterSpread time.Duration
	// Level controls the ranks that are served.
	Level LevelConfig
	// Pace, if not nil, limits the starts of calls beside the slots.
	Pace Pace
}

// DefaultConfig returns the configuration for an upstream with the given slots. See
// docs/decisions/admission.md for the measurements behind it.
func DefaultConfig(slots int) Config {
	return Config{
		Slots:       slots,
		QueueFactor: 4,
		MinQueue:    64,
		Order:       AdaptiveLIFO,
		ShareFirst:  true,
		Target: [call.ImportanceCount]time.Duration{
			call.Critical:  500 * time.Millisecond, // shed last: waiting is better than a refusal
			call.Normal:    50 * time.Millisecond,
			call.Sheddable: 20 * time.Millisecond,
		},
		Interval:         100 * time.Millisecond,
		SweepInterval:    5 * time.Millisecond,
		RetryAfterMin:    250 * time.Millisecond,
		RetryAfterSpread: time.Second,
	}
}

// Check returns an error that names the first invalid field, or nil.
func (c Config) Check() error {
	switch {
	case c.Slots < 1:
		return fmt.Errorf("admission: Slots is %d, must be at least 1", c.Slots)
	case c.QueueFactor < 0:
		return fmt.Errorf("admission: QueueFactor is %d, must not be negative", c.QueueFactor)
	case c.MinQueue < 0:
		return fmt.Errorf("admission: MinQueue is %d, must not be negative", c.MinQueue)
	case c.Order > EDF:
		return fmt.Errorf("admission: Order is %d, must be at most %d", c.Order, EDF)
	case c.TargetWork < 0:
		return fmt.Errorf("admission: TargetWork is %v, must not be negative", c.TargetWork)
	case c.Level.TargetStarts < 0:
		return fmt.Errorf("admission: Level.TargetStarts is %d, must not be negative", c.Level.TargetStarts)
	case c.Interval <= 0:
		return fmt.Errorf("admission: Interval is %v, must be positive", c.Interval)
	case c.SweepInterval < 0:
		return fmt.Errorf("admission: SweepInterval is %v, must not be negative", c.SweepInterval)
	case c.RetryAfterMin < 0:
		return fmt.Errorf("admission: RetryAfterMin is %v, must not be negative", c.RetryAfterMin)
	case c.Level.Window < 0:
		return fmt.Errorf("admission: Level.Window is %v, must not be negative", c.Level.Window)
	case c.RetryAfterSpread < 0:
		return fmt.Errorf("admission: RetryAfterSpread is %v, must not be negative", c.RetryAfterSpread)
	}
	for class, target := range c.Target {
		if target <= 0 {
			return fmt.Errorf("admission: Target[%v] is %v, must be positive", call.Importance(class), target)
		}
	}
	return nil
}

// queueBound returns the maximum number of queued items.
func (c Config) queueBound() int {
	return max(c.Slots*c.QueueFactor, c.MinQueue)
}
