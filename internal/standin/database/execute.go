package database

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// arguments holds the values of a statement's parameters in text form, nil for
// NULL.
type arguments [][]byte

// text returns the value of an operand. A NULL is an error.
func (a arguments) text(o operand) (string, error) {
	if o.parameter == 0 {
		return o.literal, nil
	}
	if o.parameter > len(a) {
		return "", newSQLError(stateProtocol, "there is no parameter $%d", o.parameter)
	}
	if a[o.parameter-1] == nil {
		return "", newSQLError(stateNullValue, "parameter $%d is NULL", o.parameter)
	}
	return string(a[o.parameter-1]), nil
}

// texts returns the values of several operands.
func (a arguments) texts(operands ...operand) ([]string, error) {
	values := make([]string, 0, len(operands))
	for _, o := range operands {
		value, err := a.text(o)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// number returns the value of an operand that must be an integer of at least 0.
func (a arguments) number(o operand) (uint64, error) {
	text, err := a.text(o)
	if err != nil {
		return 0, err
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newSQLError(stateInvalidParameter, "%q is no whole number", text)
	}
	return value, nil
}

// -----------------------------------------------------------------------------
// Execution.

// runStatement runs one statement and sends the position that it read at as the
// parameter group_position. The caller sends the rows and ends the response by
// completeResult.
func (s *session) runStatement(ctx context.Context, st statement, args arguments) (result, error) {
	ctx, end := s.cancellable(ctx)
	defer end()
	res, err := s.dispatch(ctx, st, args)
	if err != nil {
		return result{}, err
	}
	if res.position.IsZero() {
		res.position = s.database.node.appliedPosition()
	}
	s.sendParameterStatus("group_position", res.position.String())
	if res.notice != "" {
		s.backend.Send(&pgproto3.NoticeResponse{Severity: "NOTICE", Code: "00000", Message: res.notice})
	}
	return res, nil
}

// dispatch runs a statement according to its type.
func (s *session) dispatch(ctx context.Context, st statement, args arguments) (result, error) {
	if isControl(st) != s.control {
		return result{}, newSQLError(stateUnsupported, "control statements need a connection of their own")
	}
	if s.control {
		return s.runControl(ctx, st, args)
	}
	if s.tx.isFailed() && !endsTransaction(st) {
		return result{}, newSQLError(stateFailedTransaction, "the transaction has failed; roll it back")
	}
	switch st := st.(type) {
	case setSetting, showSetting, resetSetting, discardAll, deallocate:
		return s.runSetting(st, args)
	case beginTransaction:
		return s.begin(st)
	case commitTransaction:
		return s.commit(ctx)
	case rollbackTransaction:
		s.tx = nil
		return result{tag: "ROLLBACK"}, nil
	}
	return s.runData(ctx, st, args)
}

// runData runs a statement on the content. It holds a slot while it runs.
func (s *session) runData(ctx context.Context, st statement, args arguments) (result, error) {
	if err := s.beginImplicit(); err != nil {
		return result{}, err
	}
	if isWrite(st) && (s.readOnly || s.tx.readOnly) {
		return result{}, newSQLError(stateReadOnly, "cannot write in a read-only transaction")
	}
	if err := s.simulateStatement(ctx, st, args); err != nil {
		return result{}, err
	}
	defer s.database.slots.release()
	var res result
	position, err := s.database.node.withContent(s.tx.precondition, isWrite(st), func(c *content) error {
		var err error
		res, err = s.evaluate(st, args, transactionView{base: c, changes: s.tx.changes})
		return err
	})
	res.position = position
	return res, err
}

// simulateStatement acquires a slot and waits for the time that the statement
// takes. The caller must release the slot, unless an error is returned.
func (s *session) simulateStatement(ctx context.Context, st statement, args arguments) error {
	d := s.database
	duration, err := d.statementDuration(st, args)
	if err != nil {
		return err
	}
	if err := d.slots.acquire(ctx); err != nil {
		return err
	}
	if !task.Sleep(ctx, duration) || !d.faults.awaitThaw(ctx.Done()) {
		d.slots.release()
		return context.Cause(ctx)
	}
	if d.faults.failsNext() {
		d.slots.release()
		return newSQLError(stateIOError, "input or output error")
	}
	return nil
}

// evaluate evaluates a statement on the content that the transaction sees.
// Changes are buffered in the transaction until it commits.
func (s *session) evaluate(st statement, args arguments, visible transactionView) (result, error) {
	switch st := st.(type) {
	case selectValue, selectAll, selectLedger, countLedger:
		return evaluateRead(st, args, visible)
	case insertValue, updateValue, deleteValue, insertLedger:
		return s.evaluateWrite(st, args, visible)
	case selectOne:
		return oneRow(statementColumns(st), int64(1)), nil
	case selectWork:
		duration, err := args.text(st.duration)
		return oneRow(statementColumns(st), duration), err
	case selectRows:
		count, err := args.number(st.count)
		return manyRows(statementColumns(st), int(count), numberedRow), err
	case sendNotice:
		text, err := args.text(st.text)
		return result{tag: "NOTICE", notice: text}, err
	case copyStatement:
		return result{}, newSQLError(stateUnsupported, "COPY is not supported")
	}
	return result{}, newSQLError(stateUnsupported, "%T is not supported", st)
}

// rowPadding makes each row of SELECT rows(N) about 100 bytes long.
var rowPadding = strings.Repeat(".", 90)

func numberedRow(index int) []any { return []any{fmt.Sprintf("%010d%s", index, rowPadding)} }

func evaluateRead(st statement, args arguments, visible transactionView) (result, error) {
	columns := statementColumns(st)
	switch st := st.(type) {
	case selectValue:
		key, err := args.text(st.key)
		if err != nil {
			return result{}, err
		}
		value, found := visible.value(key)
		if !found {
			return manyRows(columns, 0, nil), nil
		}
		return oneRow(columns, value), nil
	case selectAll:
		kv, keys := visible.copyKV()
		return manyRows(columns, len(keys), func(i int) []any { return []any{keys[i], kv[keys[i]]} }), nil
	case selectLedger:
		entries := visible.ledgerEntries()
		return manyRows(columns, len(entries), func(i int) []any { return []any{entries[i]} }), nil
	case countLedger:
		searched, err := args.text(st.entry)
		return oneRow(columns, visible.countEntry(searched)), err
	}
	return result{}, newSQLError(stateUnsupported, "%T is not supported", st)
}

func (s *session) evaluateWrite(st statement, args arguments, visible transactionView) (result, error) {
	var operands []operand
	var tag string
	var ch change
	switch st := st.(type) {
	case insertValue:
		operands, tag, ch.Op = []operand{st.key, st.value}, "INSERT 0 ", opInsert
	case updateValue:
		operands, tag, ch.Op = []operand{st.key, st.value}, "UPDATE ", opPut
	case deleteValue:
		operands, tag, ch.Op = []operand{st.key, {}}, "DELETE ", opDelete
	case insertLedger:
		operands, tag, ch.Op = []operand{{}, st.entry}, "INSERT 0 ", opAppend
	}
	values, err := args.texts(operands...)
	if err != nil {
		return result{}, err
	}
	ch.Key, ch.Value = values[0], values[1]
	_, exists := visible.value(ch.Key)
	switch {
	case ch.Op == opInsert && exists:
		return result{}, newSQLError(stateUniqueViolation, "the key %q exists", ch.Key)
	case (ch.Op == opPut || ch.Op == opDelete) && !exists:
		return result{tag: tag + "0"}, nil
	}
	s.tx.changes = append(s.tx.changes, ch)
	return result{tag: tag + "1"}, nil
}

// -----------------------------------------------------------------------------
// Settings.

func (s *session) runSetting(st statement, args arguments) (result, error) {
	switch st := st.(type) {
	case setSetting:
		value, err := args.text(st.value)
		if err != nil {
			return result{}, err
		}
		return result{tag: "SET"}, s.set(st.name, value)
	case showSetting:
		value, found := s.setting(st.name)
		if !found {
			return result{}, newSQLError(stateUnknownSetting, "there is no setting %q", st.name)
		}
		res := oneRow(statementColumns(st), value)
		res.tag = "SHOW"
		return res, nil
	case resetSetting:
		s.reset(st.name)
		return result{tag: "RESET"}, nil
	case deallocate:
		s.deallocate(st.name)
		return result{tag: "DEALLOCATE"}, nil
	}
	if s.tx != nil {
		return result{}, newSQLError(stateActiveTransaction, "DISCARD ALL cannot run inside a transaction")
	}
	s.resetAll()
	return result{tag: "DISCARD ALL"}, nil
}

func (s *session) set(name, value string) error {
	switch name {
	case "group_work":
		expected, err := parseWorkExpectation(value)
		if err != nil {
			return err
		}
		s.expectedWork = expected
	case "group_read":
		s.readOnly = value == "on"
	}
	s.settings[name] = value
	return nil
}

// parseWorkExpectation parses the value of the setting group_work, of the form
// TERM/KEY.
func parseWorkExpectation(value string) (*workExpectation, error) {
	termText, key, found := strings.Cut(value, "/")
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil || !found {
		return nil, newSQLError(stateInvalidParameter, "%q is not of the form TERM/KEY", value)
	}
	return &workExpectation{term: model.Term(term), key: key}, nil
}

func (s *session) reset(name string) {
	switch name {
	case "all":
		clear(s.settings)
		s.expectedWork, s.readOnly = nil, false
	case "group_work":
		s.expectedWork = nil
	case "group_read":
		s.readOnly = false
	}
	delete(s.settings, name)
}

func (s *session) deallocate(name string) {
	if strings.EqualFold(name, "all") {
		clear(s.prepared)
		return
	}
	delete(s.prepared, name)
}
