package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// -----------------------------------------------------------------------------
// Requests.

// platformRequest is a request to the platform.
type platformRequest struct {
	action message.Action
	// name is the name of the request in logs.
	name          string
	correlationID uint64
	timeout       time.Duration
	deadline      time.Time
	// queueTimer fails the request when its timeout ends in the queue.
	queueTimer *time.Timer
}

// newPlatformRequest returns the request for action, or false if action is not one
// of this package.
func newPlatformRequest(action message.Action) (*platformRequest, bool) {
	switch a := action.(type) {
	case message.ReadRow:
		return &platformRequest{action: a, name: "read-row", correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.ScanRows:
		return &platformRequest{action: a, name: "scan-rows", correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.WriteRows:
		return &platformRequest{action: a, name: "write-rows", correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.ReadObject:
		return &platformRequest{action: a, name: "read-object", correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.WriteObject:
		return &platformRequest{action: a, name: "write-object", correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.ListInstances:
		return &platformRequest{action: a, name: "list-instances", correlationID: a.CorrelationID, timeout: a.Timeout}, true
	default:
		return nil, false
	}
}

// execute calls service and returns the answer to the request, with the error if it
// failed.
func (r *platformRequest) execute(ctx context.Context, service Service) (message.Event, error) {
	switch a := r.action.(type) {
	case message.ReadRow:
		row, err := service.ReadRow(ctx, a.Table, a.Key)
		if err != nil {
			return r.failureEvent(err), err
		}
		return message.RowsRead{CorrelationID: a.CorrelationID, Rows: []message.Row{row}}, nil
	case message.ScanRows:
		rows, err := service.ScanRows(ctx, a.Table, a.Prefix)
		return message.RowsRead{CorrelationID: a.CorrelationID, Rows: rows, Result: outcomeOf(err)}, err
	case message.WriteRows:
		rows, err := service.WriteRows(ctx, a.Rows)
		return message.RowsWritten{CorrelationID: a.CorrelationID, Rows: rows, Result: outcomeOf(err)}, err
	case message.ReadObject:
		body, err := service.ReadObject(ctx, a.Name)
		return message.ObjectRead{CorrelationID: a.CorrelationID, Name: a.Name, Body: body, Result: outcomeOf(err)}, err
	case message.WriteObject:
		err := service.WriteObject(ctx, a.Name, a.Body)
		return message.ObjectWritten{CorrelationID: a.CorrelationID, Name: a.Name, Result: outcomeOf(err)}, err
	default:
		instances, err := service.ListInstances(ctx)
		return message.InstancesListed{CorrelationID: r.correlationID, Instances: instances, Result: outcomeOf(err)}, err
	}
}

// failureEvent returns the answer to a request that failed with err.
func (r *platformRequest) failureEvent(err error) message.Event {
	outcome := outcomeOf(err)
	switch a := r.action.(type) {
	case message.ReadRow, message.ScanRows:
		return message.RowsRead{CorrelationID: r.correlationID, Result: outcome}
	case message.WriteRows:
		return message.RowsWritten{CorrelationID: r.correlationID, Result: outcome}
	case message.ReadObject:
		return message.ObjectRead{CorrelationID: r.correlationID, Name: a.Name, Result: outcome}
	case message.WriteObject:
		return message.ObjectWritten{CorrelationID: r.correlationID, Name: a.Name, Result: outcome}
	default:
		return message.InstancesListed{CorrelationID: r.correlationID, Result: outcome}
	}
}

// outcomeOf returns the outcome that err reports, or message.PlatformUnknown for an
// error of another type.
func outcomeOf(err error) message.PlatformResult {
	var outcome *OutcomeError
	switch {
	case err == nil:
		return message.PlatformOK
	case errors.As(err, &outcome):
		return outcome.Outcome
	default:
		return message.PlatformUnknown
	}
}
