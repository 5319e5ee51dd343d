package fleet

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// databaseStatus is a database and the status that it has reported.
type databaseStatus struct {
	database placement.Database
	status   statement.ServerStatus
}

// queryAllStatus queries the status of all databases of a group except
// excluded, at the same time, and returns the responses of those that answered.
func (f *Fleet) queryAllStatus(
	ctx context.Context, group model.GroupID, excluded model.DatabaseID,
) []databaseStatus {
	databases := f.databasesOf(group)
	answers := make(chan databaseStatus, len(databases))
	queried := 0
	for _, d := range databases {
		if d.ID == excluded {
			continue
		}
		queried++
		go func() {
			status, err := f.sendControl(ctx, d, statement.QueryStatus{})
			if err != nil {
				answers <- databaseStatus{}
				return
			}
			answers <- databaseStatus{database: d, status: status}
		}()
	}
	var responses []databaseStatus
	for range queried {
		if answer := <-answers; answer.database.ID != "" {
			responses = append(responses, answer)
		}
	}
	return responses
}

// sendControl sends a control statement to a database and returns the status
// that the database reports.
func (f *Fleet) sendControl(
	ctx context.Context, d placement.Database, s statement.Statement,
) (statement.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	conn, err := f.Pool.Get(ctx, d, "", nil)
	if err != nil {
		f.logControl(d, s, statement.ServerStatus{}, err)
		return statement.ServerStatus{}, err
	}
	reply, err := conn.Run(ctx, controlTimeout, statement.Request{Statement: s})
	if err != nil {
		conn.Close()
		f.logControl(d, s, statement.ServerStatus{}, err)
		return statement.ServerStatus{}, err
	}
	f.Pool.Put(conn)
	if failure := reply.Failure; failure != nil {
		f.logControl(d, s, statement.ServerStatus{}, failure)
		return statement.ServerStatus{}, failure
	}
	f.logControl(d, s, reply.ServerStatus, nil)
	return reply.ServerStatus, nil
}

func (f *Fleet) logControl(
	d placement.Database, s statement.Statement, status statement.ServerStatus, err error,
) {
	f.logEvent(event.DatabaseAsked, event.F("group", d.Group), event.F("database", d.ID),
		event.F("statement", controlStatementName(s)), event.F("role", status.Role.String()),
		event.F("term", status.Term),
		event.F("received", status.ReceivedPosition.String()), event.F("outcome", outcome(err)))
}

func controlStatementName(s statement.Statement) string {
	if _, ok := s.(statement.StepDown); ok {
		return "step-down"
	}
	return "inquire"
}

// databasesOf returns the databases of a group that may still be used.
func (f *Fleet) databasesOf(group model.GroupID) []placement.Database {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	var databases []placement.Database
	for _, e := range f.directory.entries {
		if e.Group == group && !e.retired {
			databases = append(databases, e.Database)
		}
	}
	return databases
}

// outcome returns the text of an error for a log field, or "ok" for nil.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
