package database

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// transaction holds the changes of a session since its BEGIN, or, in an
// implicit transaction, since its first statement.
type transaction struct {
	explicit     bool
	readOnly     bool
	failed       bool
	precondition precondition
	changes      []change
}

// isFailed reports whether a statement of the transaction has failed, so that
// it can only be ended.
func (t *transaction) isFailed() bool { return t != nil && t.failed }

// status returns the protocol's code for the transaction status.
func (t *transaction) status() byte {
	switch {
	case t == nil || !t.explicit:
		return 'I'
	case t.failed:
		return 'E'
	}
	return 'T'
}

// afterError returns what the transaction becomes after an error: an explicit
// one becomes a failed one, and an implicit one ends.
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
// Begin and commit.

// beginImplicit starts an implicit transaction, unless one is open. Starting
// one fails if the database is not in the term that the session expects.
func (s *session) beginImplicit() error {
	if s.tx != nil {
		s.tx.precondition.expectedWork = s.expectedWork
		return nil
	}
	pre, err := s.database.node.begin(s.expectedWork)
	if err != nil {
		return err
	}
	s.tx = &transaction{precondition: pre}
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

// commit executes COMMIT.
func (s *session) commit(ctx context.Context) (result, error) {
	tx := s.tx
	s.tx = nil
	if tx.isFailed() {
		return result{tag: "ROLLBACK"}, nil
	}
	if tx == nil {
		return result{tag: "COMMIT"}, nil
	}
	tx.precondition.expectedWork = s.expectedWork
	if len(tx.changes) == 0 {
		_, err := s.database.node.withContent(tx.precondition, false, func(*content) error { return nil })
		return result{tag: "COMMIT"}, err
	}
	if err := s.simulateCommit(ctx); err != nil {
		return result{}, err
	}
	defer s.database.slots.release()
	position, err := s.database.node.commit(tx.precondition, tx.changes)
	return result{tag: "COMMIT", committed: position}, err
}

// simulateCommit acquires a slot and waits for the time that a commit takes.
// The caller must release the slot, unless an error is returned.
func (s *session) simulateCommit(ctx context.Context) error {
	d := s.database
	if err := d.slots.acquire(ctx); err != nil {
		return err
	}
	if !task.Sleep(ctx, d.faults.scaleDuration(d.options.StatementTime)) || !d.faults.awaitThaw(ctx.Done()) {
		d.slots.release()
		return context.Cause(ctx)
	}
	return nil
}

// commitImplicit commits the implicit transaction if there is one and its last
// statement has run. It returns the position of the commit, or zero if nothing
// was committed.
func (s *session) commitImplicit(isLast bool) (model.Position, error) {
	if !isLast || s.tx == nil || s.tx.explicit {
		return model.Position{}, nil
	}
	tx := s.tx
	s.tx = nil
	if len(tx.changes) == 0 {
		return model.Position{}, nil
	}
	return s.database.node.commit(tx.precondition, tx.changes)
}
