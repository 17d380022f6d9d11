package node

import (
	"context"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/clock"
)

// expireInterval is far below the lifetimes of the entries, so that their memory is freed soon after they expire.
const expireInterval = time.Minute

// expire frees expired entries of quarantine, throttle and request ids until ctx ends.
func (n *Node) expire(ctx context.Context) {
	for ctx.Err() == nil {
		now := n.now()
		n.quarantine.Expire(now)
		n.throttle.Expire(now)
		n.identity.Load().table.Expire(now)
		clock.Sleep(ctx, expireInterval)
	}
}
