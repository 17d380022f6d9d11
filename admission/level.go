package admission

import (
	"time"

	"github.com/cowslipglade/cowslipglade/call"
)

// LevelConfig configures the control of the ranks that an upstream serves.
//
// It answers a lasting overload of an upstream whose calls belong to larger requests. Refusing calls at random
// then fails nearly every request that needs several of them, after most of its work. The control refuses by rank
// instead. All calls of a request share its rank, so a request is served as a whole or not at all, and the
// nodes where requests enter can apply the same limit before any work is done.
type LevelConfig struct {
	// Window is the shortest time over which queueing is measured; 0 disables the control.
	Window time.Duration
	// TargetStarts is the mean queue delay above which ranks are shed, in expected starts: the calls that are ahead in
	// the queue. It must be well below the delay at which the queue itself refuses calls of any rank.
	TargetStarts int
	// Floor is the least rank from which calls are shed.
	Floor call.Rank
}

// DefaultLevelConfig returns the configuration used by cowslip-sidecar.
func DefaultLevelConfig() LevelConfig {
	return LevelConfig{
		Window:       100 * time.Millisecond, // several hundred calls at a busy upstream
		TargetStarts: 12,                     // random arrivals alone queue fewer calls while slots suffice
		Floor:        call.RanksPerClass / 4, // an overloaded upstream still serves a part of the critical calls
	}
}

const (
	// maxLevelWindow bounds the window at upstreams that start few calls.
	maxLevelWindow = time.Second
	// levelBuckets divide the ranks in the histogram of offered calls.
	levelBuckets     = 144
	levelBucketRanks = call.RankLimit / levelBuckets
	// rankMemory is how long after the last call with a rank the rise of the limit still counts that rank.
	rankMemory = 30 * time.Second
	// After an overloaded window, as many calls are kept as were started, less levelDrain to drain the queue, but
	// at least minLevelKeep of those offered.
	levelDrain, minLevelKeep = 0.05, 0.85
	// levelRise is the number of ranks added per Window without overload. A request that is admitted now makes
	// its calls over some hundred milliseconds, so a faster rise would overshoot. While less than levelFreeLoad of
	// the slots are in use, the rise doubles every levelDoubling windows, up to maxLevelDoublings times. Ranks that
	// no call has are skipped.
	levelRise         = 4.0
	levelFreeLoad     = 0.85
	levelDoubling     = 4
	maxLevelDoublings = 4
)

// level is the state of the control. Calls of rank shedFrom and above are refused.
type level struct {
	cfg      LevelConfig
	shedFrom call.Rank

	// Counts since windowStart.
	windowStart time.Time
	offered     [levelBuckets]int // calls that were not shed, by rank
	started     int
	// left counts the calls of each class that were started or removed from the queue, waited is the sum of their
	// queue delays.
	left   [call.ImportanceCount]int
	waited [call.ImportanceCount]time.Duration

	// load integrates the calls in flight, in call seconds up to loadAt.
	load   float64
	loadAt time.Time
	// lastCall is when a call of each bucket of ranks last arrived, shed or not.
	lastCall [levelBuckets]time.Time

	// freeWindows counts the last windows without overload in which slots were free.
	freeWindows int
}

func newLevel(cfg LevelConfig) level { return level{cfg: cfg, shedFrom: call.RankLimit} }

// sheds reports whether a call that arrives now is shed.
func (l *level) sheds(now time.Time, item *Item) bool {
	if l.cfg.Window <= 0 {
		return false
	}
	l.lastCall[item.levelBucket()] = now
	return item.rank().Advanced(item.Inner) >= l.shedFrom
}

// offer counts a call that is not shed.
func (l *level) offer(item *Item) { l.offered[item.levelBucket()]++ }

func (i *Item) levelBucket() call.Rank { return min(i.rank(), call.RankLimit-1) / levelBucketRanks }

func (l *level) start(class call.Importance, waited time.Duration) {
	l.started++
	l.leave(class, waited)
}

// integrate adds the calls that were in flight since the last change of their number.
func (l *level) integrate(now time.Time, inFlight int) {
	if elapsed := now.Sub(l.loadAt); elapsed > 0 {
		l.load += float64(inFlight) * elapsed.Seconds()
		l.loadAt = now
	}
}

func (l *level) leave(class call.Importance, waited time.Duration) {
	l.left[class]++
	l.waited[class] += waited
}

// delay returns the mean queue delay of the class that waits longest, or that of the oldest queued call if none has
// left the queue. Important calls start first, so a mean over all classes would hide a queue of the others.
func (l *level) delay(oldest time.Duration) time.Duration {
	longest, left := time.Duration(0), 0
	for class, count := range l.left {
		left += count
		if count >= minLevelSample {
			longest = max(longest, l.waited[class]/time.Duration(count))
		}
	}
	if left == 0 {
		return oldest
	}
	return longest
}

// minLevelSample is the number of calls of a class from which their mean delay counts.
const minLevelSample = 3

// due reports whether the window has ended. startInterval is the expected time between two starts.
func (l *level) due(now time.Time, startInterval time.Duration) bool {
	window := max(l.cfg.Window, min(2*time.Duration(l.cfg.TargetStarts)*startInterval, maxLevelWindow))
	return l.cfg.Window > 0 && now.Sub(l.windowStart) >= window
}

// adjust ends a window. oldest is the delay of the oldest queued call.
func (l *level) adjust(now time.Time, startInterval, oldest time.Duration, inFlight, slots int) {
	l.integrate(now, inFlight)
	elapsed := now.Sub(l.windowStart)
	free := 0
	if startInterval > 0 && l.delay(oldest) > time.Duration(l.cfg.TargetStarts)*startInterval {
		l.cut()
	} else if l.shedFrom < call.RankLimit {
		used := min(1, l.load/(elapsed.Seconds()*float64(max(1, slots))))
		rise := levelRise
		if used < levelFreeLoad {
			rise *= float64(int(1) << min(l.freeWindows/levelDoubling, maxLevelDoublings))
			free = l.freeWindows + 1
		}
		windows := min(float64(elapsed)/float64(l.cfg.Window), float64(call.RankLimit))
		l.rise(now, call.Rank(rise*windows))
	}
	*l = level{cfg: l.cfg, shedFrom: l.shedFrom, windowStart: now, loadAt: now, lastCall: l.lastCall, freeWindows: free}
}

// rise raises the limit by a number of ranks that calls have.
func (l *level) rise(now time.Time, ranks call.Rank) {
	for l.shedFrom < call.RankLimit {
		bucket := l.shedFrom / levelBucketRanks
		end := (bucket + 1) * levelBucketRanks
		if now.Sub(l.lastCall[bucket]) <= rankMemory {
			step := min(ranks, end-l.shedFrom)
			l.shedFrom += step
			ranks -= step
			if ranks == 0 {
				return
			}
			continue
		}
		l.shedFrom = end
	}
}

// cut lowers shedFrom so that about as many of the calls offered in this window would have been admitted as
// could be started.
func (l *level) cut() {
	total := 0
	for _, count := range l.offered {
		total += count
	}
	if total == 0 {
		return
	}
	keep := float64(l.started)/float64(total) - levelDrain
	if keep >= 1 {
		return // the queue is draining
	}
	next := min(l.rankBelow(max(keep, minLevelKeep)*float64(total)), l.shedFrom)
	l.shedFrom = max(l.cfg.Floor, next)
}

// rankBelow returns the rank below which count of the offered calls lie.
func (l *level) rankBelow(count float64) call.Rank {
	for i, n := range l.offered {
		if count <= float64(n) {
			return call.Rank((float64(i) + count/float64(max(1, n))) * float64(levelBucketRanks))
		}
		count -= float64(n)
	}
	return call.RankLimit
}
