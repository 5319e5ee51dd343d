package caller

import (
	"crypto/subtle"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// cancel tells the core that the request which runs for a session is withdrawn.
// The core decides: a request that waits is refused, one that runs is
// interrupted at its database.
func (e *Server) cancel(process uint32, secret []byte) {
	s := e.findSession(process)
	if s == nil || subtle.ConstantTimeCompare(s.secret, secret) != 1 {
		return
	}
	id := model.RequestID(s.current.Load())
	if id == 0 {
		return
	}
	cancelRequests.Add(1)
	e.note(event.CancelAsked, "session", s.id, "request", id)
	e.sink.Post(message.RequestCanceled{Request: id})
}

// findSession looks up a session by the number given to its caller, which is
// the lower half of its own.
func (e *Server) findSession(process uint32) *session {
	e.mu.RLock()
	defer e.mu.RUnlock()
	high := e.lastSession.Load() &^ (1<<32 - 1)
	s := e.sessions[model.SessionID(high|uint64(process))]
	if s == nil && high > 0 {
		s = e.sessions[model.SessionID((high-1<<32)|uint64(process))]
	}
	return s
}
