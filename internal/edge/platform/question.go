package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// -----------------------------------------------------------------------------
// Questions.

// question is one question to the platform.
type question struct {
	action  message.Action
	name    string
	ask     uint64
	timeout time.Duration
	expires time.Time
	// timer answers the question when its time ends in the queue.
	timer *time.Timer
}

// newQuestion makes a question of an action; false where the action is none.
func newQuestion(action message.Action) (*question, bool) {
	switch a := action.(type) {
	case message.ReadRow:
		return &question{action: a, name: "read-row", ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.ScanRows:
		return &question{action: a, name: "scan-rows", ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.WriteRows:
		return &question{action: a, name: "write-rows", ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.ReadObject:
		return &question{action: a, name: "read-object", ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.WriteObject:
		return &question{action: a, name: "write-object", ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.ListInstances:
		return &question{action: a, name: "list-instances", ask: a.CorrelationID, timeout: a.Timeout}, true
	default:
		return nil, false
	}
}

// put asks the port and returns the answer with the error behind it.
func (q *question) put(ctx context.Context, port Service) (message.Event, error) {
	switch a := q.action.(type) {
	case message.ReadRow:
		row, err := port.ReadRow(ctx, a.Table, a.Key)
		if err != nil {
			return q.failed(err), err
		}
		return message.RowsRead{CorrelationID: a.CorrelationID, Rows: []message.Row{row}}, nil
	case message.ScanRows:
		rows, err := port.ScanRows(ctx, a.Table, a.Prefix)
		return message.RowsRead{CorrelationID: a.CorrelationID, Rows: rows, Err: outcomeOf(err)}, err
	case message.WriteRows:
		rows, err := port.WriteRows(ctx, a.Rows)
		return message.RowsWritten{CorrelationID: a.CorrelationID, Rows: rows, Err: outcomeOf(err)}, err
	case message.ReadObject:
		body, err := port.ReadObject(ctx, a.Name)
		return message.ObjectRead{CorrelationID: a.CorrelationID, Name: a.Name, Body: body, Err: outcomeOf(err)}, err
	case message.WriteObject:
		err := port.WriteObject(ctx, a.Name, a.Body)
		return message.ObjectWritten{CorrelationID: a.CorrelationID, Name: a.Name, Err: outcomeOf(err)}, err
	default:
		instances, err := port.ListInstances(ctx)
		return message.InstancesListed{CorrelationID: q.ask, Instances: instances, Err: outcomeOf(err)}, err
	}
}

// failed is the answer to a question that failed with err.
func (q *question) failed(err error) message.Event {
	outcome := outcomeOf(err)
	switch a := q.action.(type) {
	case message.ReadRow, message.ScanRows:
		return message.RowsRead{CorrelationID: q.ask, Err: outcome}
	case message.WriteRows:
		return message.RowsWritten{CorrelationID: q.ask, Err: outcome}
	case message.ReadObject:
		return message.ObjectRead{CorrelationID: q.ask, Name: a.Name, Err: outcome}
	case message.WriteObject:
		return message.ObjectWritten{CorrelationID: q.ask, Name: a.Name, Err: outcome}
	default:
		return message.InstancesListed{CorrelationID: q.ask, Err: outcome}
	}
}

func outcomeOf(err error) message.PlatformErr {
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
