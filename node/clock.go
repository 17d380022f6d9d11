package node

import (
	"time"

	"github.com/cowslipglade/cowslipglade/internal/clock"
)

// now is the clock of requests and logs. Its monotonic reading stops while the VM is suspended.
func (n *Node) now() time.Time { return time.Now() }

// leaseNow is the clock of leases, grants and membership. It advances while the VM is suspended, so that
// a resumed node finds its leases and grants expired. Only differences of its readings are meaningful.
func (n *Node) leaseNow() time.Time { return clock.Boot() }
