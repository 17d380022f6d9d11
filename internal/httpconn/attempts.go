package httpconn

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxAttempts bounds the attempts that a connection remembers, at 32 bytes each.
const maxAttempts = 32

// attempt is a request whose response on a connection lets it be sent again.
type attempt struct {
	requestHash uint64
	// until is when the request is no longer sent.
	until time.Time
}

// attempts are those that a connection has carried. Two requests with the same hash cost a connection, not more.
type attempts []attempt

func (a attempts) contains(requestID string, now time.Time) bool {
	if len(a) == 0 {
		return false
	}
	hash := xxhash.Sum64String(requestID)
	return slices.ContainsFunc(a, func(known attempt) bool { return known.requestHash == hash && now.Before(known.until) })
}

// add reports whether the attempt can be remembered.
func (a *attempts) add(requestID string, until, now time.Time) bool {
	*a = slices.DeleteFunc(*a, func(known attempt) bool { return !now.Before(known.until) })
	if len(*a) >= maxAttempts {
		return false
	}
	*a = append(*a, attempt{xxhash.Sum64String(requestID), until})
	return true
}

// Remember keeps the connection from later attempts of a request, which may be sent until a given time. A connection that
// would have to remember too many requests is closed when it is released.
func (c *Conn) Remember(requestID string, until time.Time) {
	if !c.attempts.add(requestID, until, time.Now()) {
		c.forgetful = true
	}
}
