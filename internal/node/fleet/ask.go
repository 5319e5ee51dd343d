package fleet

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// standingOf is what a database has said of itself.
type standingOf struct {
	database placement.Database
	standing statement.ServerStatus
}

// inquireAll asks all databases of a group but one for their standing, and
// returns those that answered.
func (f *Fleet) inquireAll(ctx context.Context, name model.GroupID, but model.DatabaseID) []standingOf {
	databases := f.databasesOf(name)
	answers := make(chan standingOf, len(databases))
	asked := 0
	for _, d := range databases {
		if d.ID == but {
			continue
		}
		asked++
		go func() {
			standing, err := f.ask(ctx, d, statement.QueryStatus{})
			if err != nil {
				answers <- standingOf{}
				return
			}
			answers <- standingOf{database: d, standing: standing}
		}()
	}
	var heard []standingOf
	for range asked {
		if answer := <-answers; answer.database.ID != "" {
			heard = append(heard, answer)
		}
	}
	return heard
}

// ask sends a control statement to a database.
func (f *Fleet) ask(ctx context.Context, d placement.Database, s statement.Statement) (statement.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	conn, err := f.Pool.Get(ctx, d, nil)
	if err != nil {
		f.noteAsked(d, s, statement.ServerStatus{}, err)
		return statement.ServerStatus{}, err
	}
	replies, err := conn.Exchange(inquireTimeout, []statement.Request{{Statement: s}})
	if err != nil {
		conn.Close()
		f.noteAsked(d, s, statement.ServerStatus{}, err)
		return statement.ServerStatus{}, err
	}
	f.Pool.Put(conn)
	if failure := replies[0].Failure; failure != nil {
		f.noteAsked(d, s, statement.ServerStatus{}, failure)
		return statement.ServerStatus{}, failure
	}
	f.noteAsked(d, s, replies[0].ServerStatus, nil)
	return replies[0].ServerStatus, nil
}

func (f *Fleet) noteAsked(d placement.Database, s statement.Statement, standing statement.ServerStatus, err error) {
	f.note(event.DatabaseAsked, event.F("group", d.Group), event.F("database", d.ID),
		event.F("statement", controlName(s)), event.F("role", standing.Role.String()), event.F("term", standing.Term),
		event.F("received", standing.ReceivedPosition.String()), event.F("outcome", outcome(err)))
}

func controlName(s statement.Statement) string {
	if _, is := s.(statement.StepDown); is {
		return "step-down"
	}
	return "inquire"
}

// databasesOf returns a group's databases, as far as they may be used.
func (f *Fleet) databasesOf(name model.GroupID) []placement.Database {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	var databases []placement.Database
	for _, known := range f.directory.entries {
		if known.Group == name && !known.retired {
			databases = append(databases, known.Database)
		}
	}
	return databases
}

// outcome words an error for log lines.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
