package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
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

// queryAllStatus queries the status of databases at the same time and returns the
// responses of those that answered.
func (f *Fleet) queryAllStatus(ctx context.Context, databases []placement.Database) []databaseStatus {
	answers := make(chan databaseStatus, len(databases))
	for _, d := range databases {
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
	for range databases {
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

// promotableSince returns the databases of a group that another instance may have promoted
// after a moment at which this instance knew the newest list: those in it, and those
// that were dropped since. One that has registered later is not among them (see
// isNewcomer).
func (f *Fleet) promotableSince(group model.GroupID, moment time.Time) []placement.Database {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	synchronous, now := d.configuration.Groups[group].SynchronousReplication, clock.Now()
	var databases []placement.Database
	for _, e := range d.entries {
		isRetiredByAll := e.retired && now.Sub(e.leavingSince) > f.options.DrainTimeout+directorySkew
		if e.Group == group && (synchronous || !isRetiredByAll) {
			databases = append(databases, e.Database)
		}
	}
	for id, e := range d.dropped {
		if _, found := d.entries[id]; !found && e.Group == group && e.at.After(moment.Add(-directorySkew)) {
			databases = append(databases, e.Database)
		}
	}
	return databases
}

// isNewcomer reports whether a database has registered so recently that an instance which
// is cut off from the store may survey the others without knowing it.
func (f *Fleet) isNewcomer(id model.DatabaseID) bool {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	e, found := d.entries[id]
	return found && !e.knownSince.IsZero() && clock.Since(e.knownSince) <= maxSurveyViewAge
}

// without returns the databases except one.
func without(databases []placement.Database, excluded model.DatabaseID) []placement.Database {
	return slices.DeleteFunc(databases, func(d placement.Database) bool { return d.ID == excluded })
}

// outcome returns the text of an error for a log field, or "ok" for nil.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
