package session

import (
	"expvar"

	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// admissionCounters counts the refusals of unknown keys ("denied") and the sessions that
// were closed because their key was taken away ("revoked").
var admissionCounters = expvar.NewMap("admission")

// notKnownText is the message for a caller that can't be refused for good because the
// configuration may be old.
const notKnownText = "the configuration is not known yet; " + retryAfterText

// admission returns what the configuration in force grants to a request outside a
// transaction. The failure is nil unless the session's key identifies no tenant.
func (ses *session) admission() (route.Admission, *statement.FailureError) {
	admission := ses.server.options.Router.Admit(ses.routeName, ses.key)
	if admission.Refusal != route.RefusalUnknownKey {
		return admission, nil
	}
	return ses.confirmAdmission()
}

// confirmAdmission is like admission for any refusal. It refuses for good only under a
// configuration that is known to be new enough, and otherwise until later.
func (ses *session) confirmAdmission() (route.Admission, *statement.FailureError) {
	s := ses.server
	admission, isCertain := s.options.Router.ConfirmAdmission(s.requestCtx, ses.routeName, ses.key)
	if admission.Refusal == route.RefusalNone {
		return admission, nil
	}
	failure, refused, subject := ses.refusal(admission.Refusal)
	if !isCertain {
		failure = &statement.FailureError{Code: statement.CodeBusy, Message: notKnownText}
	}
	if failure.Code == statement.CodeAccessDenied {
		admissionCounters.Add("denied", 1)
	}
	s.logEvent(refused, event.F(subject, ses.routeName), event.F("why", failure.Message),
		event.F("version", s.options.Router.ConfigurationVersion()))
	return admission, failure
}

// refusal returns the failure that a caller gets for a refusal, the event that reports it,
// and the field of the event that holds the route's name.
func (ses *session) refusal(reason route.Refusal) (failure *statement.FailureError, refused event.Event, subject string) {
	if reason == route.RefusalUnknownKey {
		return &statement.FailureError{Code: statement.CodeAccessDenied, Message: "the key identifies no tenant"}, event.KeyRefused, "route"
	}
	return noRoute(ses.routeName), event.NameRefused, "name"
}

func noRoute(name string) *statement.FailureError {
	return &statement.FailureError{Code: statement.CodeGroupNotFound, Message: "no route has the name " + name}
}

// isRevoked reports whether the configuration in force has no tenant for the session's
// key.
func (ses *session) isRevoked() bool {
	return ses.server.options.Router.Admit(ses.routeName, ses.key).Refusal == route.RefusalUnknownKey
}

// CloseRevokedSessions closes the idle sessions whose key identifies no tenant in the
// configuration in force. The others with such a key close as soon as they are idle; see
// startWaiting.
func (s *Server) CloseRevokedSessions() {
	s.mu.Lock()
	idle, busy := 0, 0
	for ses, current := range s.sessions {
		switch {
		case !ses.isRevoked():
		case current.phase == phaseIdle:
			idle++
			interruptWait(ses, current)
		default:
			busy++
		}
	}
	s.mu.Unlock()
	if idle+busy == 0 {
		return
	}
	admissionCounters.Add("revoked", int64(idle+busy))
	s.logEvent(event.SessionsRevoked, event.F("idle", idle), event.F("busy", busy),
		event.F("version", s.options.Router.ConfigurationVersion()))
}
