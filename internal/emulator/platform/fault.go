package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Mode is a failure mode of the entire service.
type Mode string

// Failure modes.
const (
	Normal Mode = "normal"
	// Down closes the connection of every call before the call takes effect.
	Down Mode = "down"
	// Slow delays every call before it takes effect.
	Slow Mode = "slow"
	// LoseResponses closes the connection after a write took effect.
	LoseResponses Mode = "lose_answers"
)

// Fault is an injected failure.
type Fault struct {
	Mode Mode `json:"mode"`
	// DelayMS is the delay of a call in mode Slow.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Fraction is the fraction of writes whose response is lost in mode LoseResponses; 0 means all.
	Fraction float64 `json:"fraction,omitempty"`
}

func (f Fault) check() error {
	switch f.Mode {
	case Normal, Down, Slow, LoseResponses:
	default:
		return fmt.Errorf("mode %q is not one of normal, down, slow, lose_answers", f.Mode)
	}
	if f.DelayMS < 0 || f.Fraction < 0 || f.Fraction > 1 {
		return fmt.Errorf("delay_ms %d must not be negative, fraction %v must be in 0..1", f.DelayMS, f.Fraction)
	}
	return nil
}

// SetFault replaces the current fault. It is safe for concurrent use.
func (s *Server) SetFault(fault Fault) error {
	if err := fault.check(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
	close(s.faultChanged)
	s.faultChanged = make(chan struct{})
	return nil
}

// currentFault returns the current fault and a channel that is closed when it is replaced.
func (s *Server) currentFault() (Fault, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fault, s.faultChanged
}

// losesResponse reports whether the response of a write is to be lost. It draws a random number if the
// fault has a Fraction.
func (s *Server) losesResponse() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.fault.Mode != LoseResponses {
		return false
	}
	return s.fault.Fraction == 0 || s.random.Float64() < s.fault.Fraction
}

// delayCall applies the delay of mode Slow. It returns false if the client disconnects first.
func delayCall(r *http.Request, fault Fault) bool {
	if fault.Mode != Slow {
		return true
	}
	timer := time.NewTimer(time.Duration(fault.DelayMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Admin returns the handler through which tests control the server: POST /admin/fault sets the current
// fault and GET /admin/calls returns the Calls so far.
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		err := json.NewDecoder(r.Body).Decode(&fault)
		if err == nil {
			err = s.SetFault(fault)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Calls())
	})
	return mux
}
