package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Timing of the drain. The upstream accepts new requests for at least minDrainTime, while the drain is
// propagated, and exits once it has been idle for drainIdleTime.
const (
	minDrainTime      = 3 * time.Second
	drainIdleTime     = time.Second
	drainPollInterval = 50 * time.Millisecond
)

// Drain starts the drain: the upstream announces it, and Run returns once all requests have ended. It is
// safe for concurrent use.
func (s *Server) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		close(s.drainRequested)
	}
}

// Run serves requests until ctx ends or a drain completes.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", s.settings.Address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	adminListener, err := net.Listen("tcp", s.settings.AdminAddress)
	if err != nil {
		_ = listener.Close()
		return fmt.Errorf("admin_address: %w", err)
	}
	limited := &limitedListener{Listener: listener, limit: s.settings.Connections, connectCost: milliseconds(s.settings.ConnectMS)}
	limited.onRefuse = func() {
		s.records.update(func(c *Counts) { c.RefusedConnections++ })
	}
	work := &http.Server{Handler: s.Handler()}
	admin := &http.Server{Handler: s.Admin()}
	defer func() { _ = admin.Close() }()
	failed := make(chan error, 2)
	go func() { failed <- work.Serve(limited) }()
	go func() { failed <- admin.Serve(adminListener) }()
	go s.sampleLoad(ctx)
	if s.settings.LocalAddress != "" {
		go s.announceLoop(ctx)
	}
	drained := make(chan struct{})
	go s.waitDrained(ctx, drained)
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	case <-drained:
		return work.Shutdown(ctx)
	case <-ctx.Done():
		return work.Close()
	}
}

// waitDrained closes drained when a requested drain has completed.
func (s *Server) waitDrained(ctx context.Context, drained chan<- struct{}) {
	select {
	case <-s.drainRequested:
	case <-ctx.Done():
		return
	}
	requested := time.Now()
	idle := requested
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if s.inFlight.Load() > 0 {
				idle = now
			}
			if now.Sub(requested) >= minDrainTime && now.Sub(idle) >= drainIdleTime {
				close(drained)
				return
			}
		}
	}
}

func (s *Server) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.history.add(s.load())
		}
	}
}

// limitedListener immediately closes connections beyond the limit.
type limitedListener struct {
	net.Listener
	limit       int
	connectCost time.Duration
	onRefuse    func()

	mutex sync.Mutex
	open  int
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.add() {
			return &limitedConn{Conn: conn, connectCost: l.connectCost, onClose: l.remove}, nil
		}
		l.onRefuse()
		_ = conn.Close()
	}
}

func (l *limitedListener) add() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *limitedListener) remove() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

type limitedConn struct {
	net.Conn
	connectCost time.Duration
	connectOnce sync.Once
	closeOnce   sync.Once
	onClose     func()
}

// Read delays the first read by the connection cost.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.connectOnce.Do(func() { time.Sleep(c.connectCost) })
	return c.Conn.Read(p)
}

// Close closes the connection and releases its place in the limit.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}
