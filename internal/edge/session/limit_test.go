package session

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/quota"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// countingLimiter admits a number of operations.
type countingLimiter struct{ left int }

func (l *countingLimiter) AdmitOperation(context.Context, model.TenantID) (quota.Refusal, bool) {
	l.left--
	return quota.Refusal{RetryAfter: time.Second, Reason: "no keeper has a token"}, l.left >= 0
}

// An operation above the limit is refused with a time to return, which differs between
// callers. Callers without a tenant have no limit.
func TestRefusalAboveTheLimit(t *testing.T) {
	s := &session{server: NewServer(Options{
		Limiter: &countingLimiter{left: 1}, Log: eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond),
	})}
	request := func(tenant model.TenantID) *statement.FailureError {
		return s.refuseAboveLimit(&pendingRequest{tenant: tenant, route: route.Route{}})
	}
	for range 3 {
		if failure := request(""); failure != nil {
			t.Errorf("refused without a tenant: %v", failure)
		}
	}
	if failure := request("club"); failure != nil {
		t.Errorf("refused within the limit: %v", failure)
	}
	texts := map[string]bool{}
	for range 20 {
		failure := request("club")
		if failure == nil {
			t.Fatal("admitted above the limit")
		}
		if diff := cmp.Diff(statement.CodeBusy, failure.Code); diff != "" {
			t.Error(diff)
		}
		if !strings.HasPrefix(failure.Message, "the tenant's limit is reached; retry after ") {
			t.Error(failure.Message)
		}
		texts[failure.Message] = true
	}
	if len(texts) < 2 {
		t.Error("all callers are told to return at the same time")
	}
}
