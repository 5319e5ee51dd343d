package database

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// statement is one SQL statement of the small set that the stand-in knows. The
// table of forms in parse_form.go makes each from its text.
type statement interface{ isStatement() }

// operand is a literal, or the number of a parameter, from 1.
type operand struct {
	literal   string
	parameter int
}

// -----------------------------------------------------------------------------
// Data: these hold a slot while they run.

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
// Transactions and sessions.

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
// Control.

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

// isControl reports whether a statement belongs on a control connection.
func isControl(st statement) bool {
	switch st.(type) {
	case callStatus, callWait, callFence, callPromote, callFollow, callSettle:
		return true
	}
	return false
}

// work is what a connection's SET group_work expects.
type work struct {
	term model.Term
	key  string
}

// columnsOf returns the columns of a statement's rows, none where it has no
// rows.
func columnsOf(st statement) []column {
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

// duration returns how long a statement takes that takes the usual time
// otherwise.
func (d *Database) duration(st statement, args arguments) (time.Duration, error) {
	switch st := st.(type) {
	case selectWork:
		text, err := args.text(st.duration)
		if err != nil {
			return 0, err
		}
		taken, err := time.ParseDuration(text)
		if err != nil {
			return 0, failure(stateInvalidParameter, "%q is no duration", text)
		}
		return d.faults.stretch(taken), nil
	case selectOne, sendNotice, copyStatement:
		return 0, nil
	}
	return d.faults.stretch(d.options.StatementTime), nil
}
