package caller

import (
	"crypto/subtle"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// cancelSessionRequest reports to the core that the current request of a
// session was canceled. The core then rejects the request if it is waiting, or
// cancels its statement at the database if it is running.
func (srv *Server) cancelSessionRequest(processID uint32, secret []byte) {
	s := srv.findSession(processID)
	if s == nil || subtle.ConstantTimeCompare(s.cancelSecret, secret) != 1 {
		return
	}
	id := model.RequestID(s.currentRequest.Load())
	if id == 0 {
		return
	}
	cancelRequests.Add(1)
	srv.logEvent(event.CancelAsked, "session", s.id, "request", id)
	srv.sink.Post(message.RequestCanceled{Request: id})
}

// findSession finds a session by the process ID that its caller received, which
// is the lower 32 bits of the session ID.
func (srv *Server) findSession(processID uint32) *session {
	srv.mu.RLock()
	defer srv.mu.RUnlock()
	high := srv.lastSession.Load() &^ (1<<32 - 1)
	s := srv.sessions[model.SessionID(high|uint64(processID))]
	if s == nil && high > 0 {
		s = srv.sessions[model.SessionID((high-1<<32)|uint64(processID))]
	}
	return s
}
