package fleet

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	core "github.com/eelgrassfold/eelgrassfold/internal/core/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
)

// replicaSource implements replica.Source.
type replicaSource struct{ fleet *Fleet }

// Copies implements replica.Source. A database that is retired, or whose entry has been
// missing for a moment only, is among them.
func (s replicaSource) Copies(group model.GroupID) []core.Copy {
	d := &s.fleet.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	var copies []core.Copy
	for id, e := range d.entries {
		if e.Group == group {
			copies = append(copies, core.Copy{
				ID: id, Incarnation: e.Incarnation, Address: e.Address, Leaving: e.Leaving,
			})
		}
	}
	return copies
}

// ReadCopies implements replica.Source.
func (s replicaSource) ReadCopies(ctx context.Context, group model.GroupID) ([]core.Copy, error) {
	rows, err := s.fleet.readTable(ctx, s.fleet.options.Schema.DatabaseTable())
	if err != nil {
		return nil, err
	}
	s.fleet.applyDatabaseList(rows, true)
	return s.Copies(group), nil
}

// IsRetired implements replica.Source.
func (s replicaSource) IsRetired(id model.DatabaseID) bool {
	d := &s.fleet.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	e, found := d.entries[id]
	return found && e.retired
}

// Query implements replica.Source.
func (s replicaSource) Query(ctx context.Context, group model.GroupID, copies []core.Copy) []core.Answer {
	answers := make(chan core.Answer, len(copies))
	for _, c := range copies {
		go func() {
			status, err := s.fleet.sendControl(ctx, s.fleet.databaseOf(group, c), statement.QueryStatus{})
			if err != nil {
				answers <- core.Answer{}
				return
			}
			answers <- answerOf(c, status)
		}()
	}
	var received []core.Answer
	for range copies {
		if answer := <-answers; answer.ID != "" {
			received = append(received, answer)
		}
	}
	return received
}

// Read implements replica.Source.
func (s replicaSource) Read(ctx context.Context, table string) (store.Rows, error) {
	return s.fleet.readTable(ctx, table)
}

// Write implements replica.Source.
func (s replicaSource) Write(ctx context.Context, tx store.Transaction) (uint64, error) {
	return s.fleet.write(ctx, tx)
}

func answerOf(c core.Copy, status statement.ServerStatus) core.Answer {
	return core.Answer{
		Copy: c, Term: status.Term, Position: status.ReceivedPosition, IsPrimary: status.Role == model.RolePrimary,
	}
}

// databaseOf returns a database as its entry describes it or, without one, as the record
// does.
func (f *Fleet) databaseOf(group model.GroupID, c core.Copy) placement.Database {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, found := d.entries[c.ID]; found && e.Group == group {
		return e.Database
	}
	return placement.Database{
		ID: c.ID, Group: group, Address: c.Address, Incarnation: c.Incarnation, Leaving: c.Leaving, Slots: 1,
		MaxConnections: d.configuration.Groups[group].MaxConnections,
	}
}
