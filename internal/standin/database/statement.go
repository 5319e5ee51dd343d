package database

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// statement is one supported SQL statement. The table statementPatterns in
// parse_pattern.go defines the syntax of each.
type statement interface{ isStatement() }

// operand is a literal, or the number of a parameter, counted from 1.
type operand struct {
	literal   string
	parameter int
}

// -----------------------------------------------------------------------------
// Data statements. Each holds a slot while it runs.

type (
	selectValue   struct{ key operand }
	selectAll     struct{}
	insertValue   struct{ key, value operand }
	updateValue   struct{ value, key operand }
	deleteValue   struct{ key operand }
	insertLedger  struct{ entry operand }
	selectLedger  struct{}
	countLedger   struct{ entry operand }
	selectOne     struct{}
	selectWork    struct{ duration operand }
	selectRows    struct{ count operand }
	sendNotice    struct{ text operand }
	copyStatement struct{}
)

func (selectValue) isStatement()   {}
func (selectAll) isStatement()     {}
func (insertValue) isStatement()   {}
func (updateValue) isStatement()   {}
func (deleteValue) isStatement()   {}
func (insertLedger) isStatement()  {}
func (selectLedger) isStatement()  {}
func (countLedger) isStatement()   {}
func (selectOne) isStatement()     {}
func (selectWork) isStatement()    {}
func (selectRows) isStatement()    {}
func (sendNotice) isStatement()    {}
func (copyStatement) isStatement() {}

// -----------------------------------------------------------------------------
// Transaction and session statements.

type (
	beginTransaction    struct{ readOnly bool }
	commitTransaction   struct{}
	rollbackTransaction struct{}
	setSetting          struct {
		name  string
		value operand
	}
	showSetting  struct{ name string }
	resetSetting struct{ name string }
	discardAll   struct{}
	deallocate   struct{ name string }
)

func (beginTransaction) isStatement()    {}
func (commitTransaction) isStatement()   {}
func (rollbackTransaction) isStatement() {}
func (setSetting) isStatement()          {}
func (showSetting) isStatement()         {}
func (resetSetting) isStatement()        {}
func (discardAll) isStatement()          {}
func (deallocate) isStatement()          {}

// -----------------------------------------------------------------------------
// Control statements.

type (
	callStatus  struct{}
	callWait    struct{ position, timeout operand }
	callFence   struct{ term, nonce operand }
	callPromote struct{ term, nonce operand }
	callFollow  struct{ term, database, address operand }
	callSettle  struct{ term, key operand }
)

func (callStatus) isStatement()  {}
func (callWait) isStatement()    {}
func (callFence) isStatement()   {}
func (callPromote) isStatement() {}
func (callFollow) isStatement()  {}
func (callSettle) isStatement()  {}

// isControl reports whether a statement is a control statement, which runs on a
// control connection only.
func isControl(st statement) bool {
	switch st.(type) {
	case callStatus, callWait, callFence, callPromote, callFollow, callSettle:
		return true
	}
	return false
}

// workExpectation is the value of the setting group_work: the term that the
// session expects, and the idempotency key of its transaction.
type workExpectation struct {
	term model.Term
	key  string
}

// statementColumns returns the columns of a statement's result, or nil if it
// returns no rows.
func statementColumns(st statement) []column {
	switch st := st.(type) {
	case selectValue:
		return []column{{"value", oidText}}
	case selectAll:
		return []column{{"key", oidText}, {"value", oidText}}
	case selectLedger:
		return []column{{"entry", oidText}}
	case countLedger:
		return []column{{"count", oidInt8}}
	case selectOne:
		return []column{{"?column?", oidInt8}}
	case selectWork:
		return []column{{"work", oidText}}
	case selectRows:
		return []column{{"rows", oidText}}
	case showSetting:
		return []column{{st.name, oidText}}
	case callSettle:
		return []column{{"committed", oidText}, {"position", oidText}}
	}
	if isControl(st) {
		return statusColumns
	}
	return nil
}

// isWrite reports whether a statement changes the content.
func isWrite(st statement) bool {
	switch st.(type) {
	case insertValue, updateValue, deleteValue, insertLedger:
		return true
	}
	return false
}

// statementDuration returns how long a statement takes under the faults in
// force: the requested time for SELECT work(...), no time for SELECT 1, NOTICE
// and COPY, and StatementTime for any other.
func (d *Database) statementDuration(st statement, args arguments) (time.Duration, error) {
	switch st := st.(type) {
	case selectWork:
		text, err := args.text(st.duration)
		if err != nil {
			return 0, err
		}
		requested, err := time.ParseDuration(text)
		if err != nil {
			return 0, newSQLError(stateInvalidParameter, "%q is no duration", text)
		}
		return d.faults.scaleDuration(requested), nil
	case selectOne, sendNotice, copyStatement:
		return 0, nil
	}
	return d.faults.scaleDuration(d.options.StatementTime), nil
}
