package node

import (
	"time"

	"github.com/cowslipglade/cowslipglade/internal/clock"
)

// now is the clock of requests and logs. Its monotonic reading stands still while the VM is suspended.
func (n *Node) now() time.Time { return time.Now() }

// leaseNow is the clock of leases, grants and membership. It goes on while the VM is suspended, so that
// a node that wakes up finds what it held expired. Only differences of its readings have a meaning.
func (n *Node) leaseNow() time.Time { return clock.Boot() }
