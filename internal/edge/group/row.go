package group

import (
	"strconv"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Rows of answers.

// row is one answered row: text values by column name. The first value that
// can't be read is kept in err.
type row struct {
	values map[string]string
	err    error
}

func (r *row) text(column string) string {
	value, found := r.values[column]
	if !found {
		r.fail(column)
	}
	return value
}

func (r *row) uint(column string) uint64 {
	value, err := strconv.ParseUint(r.text(column), 10, 64)
	if err != nil {
		r.fail(column)
	}
	return value
}

func (r *row) int(column string) int {
	value, err := strconv.Atoi(r.text(column))
	if err != nil {
		r.fail(column)
	}
	return value
}

func (r *row) bool(column string) bool {
	value := r.text(column)
	if value != "t" && value != "f" {
		r.fail(column)
	}
	return value == "t"
}

func (r *row) position(column string) model.Position {
	value, err := model.ParsePosition(r.text(column))
	if err != nil {
		r.fail(column)
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
		r.fail(column)
		return model.RoleReplica
	}
}

func (r *row) fail(column string) {
	if r.err == nil {
		r.err = &ColumnError{Column: column, Value: r.values[column]}
	}
}

// status reads the row that answers every control statement but the settling
// of a key. Its errors are *ColumnError and *UnexpectedDatabaseError.
func (r *row) status(database model.DatabaseID) (message.DatabaseStatus, error) {
	name := model.DatabaseID(r.text("database"))
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
	if r.err == nil && name != database {
		r.err = &UnexpectedDatabaseError{Expected: database, Got: name}
	}
	return status, r.err
}
