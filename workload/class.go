// Package workload estimates how much work calls cost, how fast upstreams do it, and how much of it an upstream
// still has to do.
//
// Work is measured in seconds on an upstream of average speed. A Model keeps, for each Class of calls, the usual work and
// the Shape of its distribution, both learned from durations that are divided by the speed of the upstream, so that
// a call of one class on one upstream tells something about all classes there and all upstreams of the class. A
// Meter belongs to one upstream. It follows the calls that wait and run there, and tells the work left and the pace:
// the present speed as a fraction of the usual one. The pace falls when calls run for longer than expected, before
// any of them has ended.
//
// Nothing here has a clock, goroutine or socket. The load is one Model per service and one Meter per upstream: per call one
// or two updates, and per report one pass over the running calls, at most every paceInterval. A Model holds at most
// maxClasses classes of about 5 KB.
package workload

import "math/bits"

// Class is what can be seen of a call before it runs. The zero values of all fields but Route stand for any.
type Class struct {
	Route  string
	Method string
	// Caller is the service from which the request entered.
	Caller string
	// Size is the class of the body size, see SizeClass.
	Size uint8
}

// route returns the class of all calls of the route.
func (c Class) route() Class { return Class{Route: c.Route} }

// Body size classes are factors of 16 apart.
const (
	sizeClassBits = 4
	maxSizeClass  = 8
)

// SizeClass returns the class of a body size in bytes: 0 when it is empty or unknown, otherwise from 1 upwards.
func SizeClass(size int64) uint8 {
	if size <= 0 {
		return 0
	}
	return uint8(min(maxSizeClass, 1+bits.Len64(uint64(size))/sizeClassBits))
}
