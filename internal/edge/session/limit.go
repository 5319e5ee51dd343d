package session

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// refuseAboveLimit counts an operation, which is a statement outside transactions or a
// BEGIN, and returns the failure if it is above the limit of its tenant. Statements
// inside transactions and further attempts are not counted again.
func (s *session) refuseAboveLimit(req *pendingRequest) *statement.FailureError {
	if req.tenant == "" || s.server.options.Limiter == nil {
		return nil
	}
	refusal, isAdmitted := s.server.options.Limiter.AdmitOperation(s.server.requestCtx, req.tenant)
	if isAdmitted {
		return nil
	}
	s.server.logEvent(event.LimitRefused,
		event.F("request", req.ID), event.F("tenant", req.tenant), event.F("limit", refusal.Limit.Rate),
		event.F("burst", refusal.Limit.Burst), event.F("keepers", refusal.Keepers),
		event.F("age", refusal.GrantAge.String()), event.F("why", refusal.Reason))
	return &statement.FailureError{
		Code:    statement.CodeBusy,
		Message: "the tenant's limit is reached; retry after " + retryAfter(refusal.RetryAfter).String(),
	}
}
