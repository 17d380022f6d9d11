package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Announcement is the message that the upstream sends its node each second.
type Announcement struct {
	Service        string `json:"service"`
	Address        string `json:"address"`
	Slots          int    `json:"slots"`
	Connections    int    `json:"connections"`
	WarmUpMS       int64  `json:"warm_up_ms"`
	Draining       bool   `json:"draining"`
	ConfigRevision int64  `json:"config_revision"`
}

const (
	announcePath     = "/cowslip/announce"
	announceInterval = time.Second
)

// announceLoop sends an announcement each second, and immediately when the drain starts, until ctx ends.
func (s *Server) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	drain := s.drainRequested
	for {
		// Errors are ignored: the next announcement replaces a failed one, and the node may not have started yet.
		_ = s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-drain:
			drain = nil
		case <-ticker.C:
		}
	}
}

// announce sends one announcement and stores the configuration revision of the response.
func (s *Server) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	body, err := json.Marshal(Announcement{
		Service:        s.settings.Service,
		Address:        s.settings.Address,
		Slots:          s.settings.Slots,
		Connections:    s.settings.Connections,
		WarmUpMS:       s.settings.WarmUpMS,
		Draining:       s.draining.Load(),
		ConfigRevision: s.configRevision.Load(),
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.LocalAddress+announcePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("announce: %s", response.Status)
	}
	var reply struct {
		ConfigRevision int64 `json:"config_revision"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return err
	}
	s.configRevision.Store(max(s.configRevision.Load(), reply.ConfigRevision))
	s.records.update(func(c *Counts) {
		c.Announcements++
		c.ConfigRevision = s.configRevision.Load()
	})
	return nil
}
