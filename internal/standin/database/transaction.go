package database

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// transaction holds what a session has changed since its BEGIN, or since the
// first statement where there was none.
type transaction struct {
	explicit bool
	readOnly bool
	failed   bool
	guard    guard
	changes  []change
}

// isFailed reports whether only the end of the transaction may follow.
func (t *transaction) isFailed() bool { return t != nil && t.failed }

// status returns the protocol's letter for the state of a transaction.
func (t *transaction) status() byte {
	switch {
	case t == nil || !t.explicit:
		return 'I'
	case t.failed:
		return 'E'
	}
	return 'T'
}

// afterError returns what is left of a transaction after an error.
func (t *transaction) afterError() *transaction {
	if t == nil || !t.explicit {
		return nil
	}
	return &transaction{explicit: true, failed: true}
}

func endsTransaction(st statement) bool {
	switch st.(type) {
	case commitTransaction, rollbackTransaction:
		return true
	}
	return false
}

// -----------------------------------------------------------------------------
// Beginning and ending.

// beginImplicit opens a transaction where there is none, and checks the term
// that the work expects.
func (s *session) beginImplicit() error {
	if s.tx != nil {
		s.tx.guard.work = s.work
		return nil
	}
	g, err := s.database.node.begin(s.work)
	if err != nil {
		return err
	}
	s.tx = &transaction{guard: g}
	return nil
}

func (s *session) begin(st beginTransaction) (result, error) {
	if err := s.beginImplicit(); err != nil {
		return result{}, err
	}
	s.tx.explicit = true
	s.tx.readOnly = st.readOnly
	return result{tag: "BEGIN"}, nil
}

// commit ends a transaction by COMMIT.
func (s *session) commit(ctx context.Context) (result, error) {
	tx := s.tx
	s.tx = nil
	if tx.isFailed() {
		return result{tag: "ROLLBACK"}, nil
	}
	if tx == nil {
		return result{tag: "COMMIT"}, nil
	}
	tx.guard.work = s.work
	if len(tx.changes) == 0 {
		_, err := s.database.node.look(tx.guard, false, func(*content) error { return nil })
		return result{tag: "COMMIT"}, err
	}
	if err := s.occupyCommit(ctx); err != nil {
		return result{}, err
	}
	defer s.database.slots.release()
	position, err := s.database.node.commit(tx.guard, tx.changes)
	return result{tag: "COMMIT", committed: position}, err
}

// occupyCommit takes a slot for as long as a commit takes.
func (s *session) occupyCommit(ctx context.Context) error {
	d := s.database
	if err := d.slots.acquire(ctx); err != nil {
		return err
	}
	if !task.Sleep(ctx, d.faults.stretch(d.options.StatementTime)) || !d.faults.awaitThaw(ctx.Done()) {
		d.slots.release()
		return context.Cause(ctx)
	}
	return nil
}

// commitImplicit ends a transaction that no BEGIN has opened, where the last
// statement of it has run.
func (s *session) commitImplicit(last bool) (model.Position, error) {
	if !last || s.tx == nil || s.tx.explicit {
		return model.Position{}, nil
	}
	tx := s.tx
	s.tx = nil
	if len(tx.changes) == 0 {
		return model.Position{}, nil
	}
	return s.database.node.commit(tx.guard, tx.changes)
}
