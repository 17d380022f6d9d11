package platform

import (
	"encoding/json"
	"net/http"
)

// watch streams events until the client disconnects, mode Down is set or the revision is compacted.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	err := s.decode(r, &request)
	if !s.admit(w, r, false) {
		return
	}
	if err == nil && request.Create == nil {
		err = invalid("create_request is missing")
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	s.count(func(c *Calls) { c.Watches++; c.WaitingWatches++; c.Reads-- })
	defer s.count(func(c *Calls) { c.WaitingWatches-- })
	w.Header().Set("Content-Type", "application/json")
	stream := json.NewEncoder(w)
	send := func(response watchResponse) bool {
		if stream.Encode(streamResponse[watchResponse]{Result: response}) != nil {
			return false
		}
		return http.NewResponseController(w).Flush() == nil
	}
	start, end := string(request.Create.Key), string(request.Create.RangeEnd)
	s.mutex.Lock()
	next := request.Create.StartRevision
	if next <= 0 {
		next = s.store.revision + 1
	}
	created := watchResponse{Header: s.header(), Created: true}
	s.mutex.Unlock()
	if !send(created) {
		return
	}
	for {
		response, changed := s.nextEvents(&next, start, end)
		if len(response.Events) > 0 || response.Canceled {
			if !send(response) || response.Canceled {
				return
			}
			continue
		}
		fault, faultChanged := s.currentFault()
		if fault.Mode == Down {
			abort()
		}
		select {
		case <-changed:
		case <-faultChanged:
		case <-r.Context().Done():
			return
		}
	}
}

// nextEvents returns the events from revision *next on, advances *next past them, and returns a channel
// that is closed at the next change.
func (s *Server) nextEvents(next *int64, start, end string) (watchResponse, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := watchResponse{Header: s.header()}
	if *next <= s.store.compacted {
		response.Canceled = true
		response.CompactRevision = s.store.compacted + 1
		return response, s.store.changed
	}
	for _, e := range s.store.eventsFrom(*next, start, end) {
		out := watchEvent{KV: keyValue{Key: []byte(e.key), Value: e.value, ModRevision: e.revision}}
		if e.deleted {
			out.Type = "DELETE"
		}
		response.Events = append(response.Events, out)
	}
	*next = max(*next, s.store.revision+1)
	return response, s.store.changed
}
