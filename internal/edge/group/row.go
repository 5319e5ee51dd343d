package group

import (
	"strconv"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Result rows.

// row is the row of an answer: text values by column name. The methods that read a
// column return some value also for a missing or invalid column; the first such
// error is kept in err.
type row struct {
	values map[string]string
	err    error
}

func (r *row) text(column string) string {
	value, found := r.values[column]
	if !found {
		r.setError(column)
	}
	return value
}

func (r *row) uint(column string) uint64 {
	value, err := strconv.ParseUint(r.text(column), 10, 64)
	if err != nil {
		r.setError(column)
	}
	return value
}

func (r *row) int(column string) int {
	value, err := strconv.Atoi(r.text(column))
	if err != nil {
		r.setError(column)
	}
	return value
}

func (r *row) bool(column string) bool {
	value := r.text(column)
	if value != "t" && value != "f" {
		r.setError(column)
	}
	return value == "t"
}

func (r *row) position(column string) model.Position {
	value, err := model.ParsePosition(r.text(column))
	if err != nil {
		r.setError(column)
	}
	return value
}

func (r *row) role(column string) model.Role {
	switch r.text(column) {
	case model.RolePrimary.String():
		return model.RolePrimary
	case model.RoleReplica.String():
		return model.RoleReplica
	default:
		r.setError(column)
		return model.RoleReplica
	}
}

// setError records that a column is missing or invalid, unless err is set already.
func (r *row) setError(column string) {
	if r.err == nil {
		r.err = &ColumnError{Column: column, Value: r.values[column]}
	}
}

// status reads a row with a database's status, which answers every control statement
// except group_settle. Its errors are *ColumnError, and *UnexpectedDatabaseError if
// the row is that of another database.
func (r *row) status(database model.DatabaseID) (message.DatabaseStatus, error) {
	answering := model.DatabaseID(r.text("database"))
	status := message.DatabaseStatus{
		Role:       r.role("role"),
		Term:       model.Term(r.uint("term")),
		Nonce:      model.Nonce(r.text("nonce")),
		Received:   r.position("received"),
		Applied:    r.position("applied"),
		Source:     model.DatabaseID(r.text("source")),
		Streaming:  r.bool("streaming"),
		Leaving:    r.bool("leaving"),
		Slots:      r.int("slots"),
		SlotsInUse: r.int("busy"),
	}
	if r.err == nil && answering != database {
		r.err = &UnexpectedDatabaseError{Expected: database, Got: answering}
	}
	return status, r.err
}
