package httpserver

import (
	"net/http"
	"os"
	"time"

	"github.com/cowslipglade/cowslipglade/intake"
	"github.com/cowslipglade/cowslipglade/internal/pipeline"
)

// A ledger that takes a connection for unused can be overtaken by its client: a request may have arrived, or may just have
// been read. Only the goroutine that reads the connection can tell, so it is the one that ends it.

// disconnect ends the connection of a client that the ledger has removed. If something was read or written since, it keeps the
// connection until the request is answered. No read in progress is closed under its reader.
func (c *guardedConn) disconnect(reason intake.Reason) {
	ledger := c.guard.config.Ledger
	c.mu.Lock()
	turn := ledger.Turn(c.client)
	unresponsive := turn == intake.Closing || turn == intake.Receiving
	switch {
	case ledger.Overtaken(c.client) || !unresponsive && !c.reading:
		c.keep()
	case unresponsive:
		c.mu.Unlock()
		c.closeNow(reason)
		return
	default:
		c.ending = reason
		_ = c.Conn.SetReadDeadline(longAgo) // fails only if the connection is closed
	}
	c.mu.Unlock()
}

// closeNow closes the connection of a client. The server sees errors and ends its requests.
func (c *guardedConn) closeNow(reason intake.Reason) {
	c.noteCause(CloseCause(reason))
	c.guard.closed(c.RemoteAddr(), reason, c.guard.config.Ledger.Turn(c.client))
	_ = c.Conn.Close() // may be closed already
}

// endAfterResponses makes the response to the last request that was read the last of the connection.
func (c *guardedConn) endAfterResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// awaitEarlierResponses returns the error of a read after one that found no room, once it does not cost the requests before:
// net/http cancels the running request when a read fails. A request whose body found no room sees the error at once, and
// its handler answers.
func (c *guardedConn) awaitEarlierResponses() error {
	for {
		c.mu.Lock()
		waiting, deadline, closed := len(c.requests), c.readDeadline, c.cause != ""
		incomplete := waiting == 1 && !c.requests[0].complete
		c.mu.Unlock()
		switch {
		case closed || incomplete:
			return c.failed
		case waiting == 0:
			c.closeNow(intake.NoRoom)
			return c.failed
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(roomPollInterval)
	}
}

// readArrived looks once more for bytes if disconnect has interrupted the read that returned err.
func (c *guardedConn) readArrived(p []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending == "" || !os.IsTimeout(err) || !hasUnread(c.Conn) {
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	return c.Conn.Read(p)
}

// endRead ends a read and returns why it ends the connection; empty if it does not. arrived means that it has read something.
func (c *guardedConn) endRead(arrived bool) intake.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.ending != "" && arrived {
		c.overtaken, c.ending = c.ending, ""
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed
		c.keep()
	}
	return c.ending
}

// endOvertaken ends the connection after a read that has overtaken disconnect, if it has read only a further part of a header.
func (c *guardedConn) endOvertaken() bool {
	reason := c.overtaken
	c.overtaken = ""
	if reason == "" || c.failed != nil || c.between || c.firstRequest() != nil || !c.framer.InHeader() {
		return false
	}
	c.failed = os.ErrDeadlineExceeded
	c.closeNow(reason)
	return true
}

// keep takes the removal of the client from the ledger back. The caller holds the lock.
func (c *guardedConn) keep() {
	if c.cause == "" { // otherwise the connection is closed or about to be
		c.closing = true
		c.guard.config.Ledger.Keep(c.client)
	}
}

// announceClose tells the client if the response to the first request is the last of the connection.
func (c *guardedConn) announceClose(header http.Header, r *http.Request) {
	c.mu.Lock()
	last := c.closing && len(c.requests) <= 1
	c.mu.Unlock()
	if last && pipeline.Last(r) {
		header.Set("Connection", "close")
	}
}
