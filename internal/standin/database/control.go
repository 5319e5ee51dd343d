package database

import (
	"context"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// runControl runs one control statement and returns its result row.
func (s *session) runControl(ctx context.Context, st statement, args arguments) (result, error) {
	if call, ok := st.(callSettle); ok {
		return s.database.settle(call, args)
	}
	if err := s.database.executeControl(ctx, st, args); err != nil {
		return result{}, err
	}
	res := oneRow(statusColumns, statusRow(s.database.State())...)
	res.tag = "CALL"
	return res, nil
}

// executeControl executes a control statement other than group_settle. The
// caller builds the result row.
func (d *Database) executeControl(ctx context.Context, st statement, args arguments) error {
	switch st := st.(type) {
	case callWait:
		return d.waitForPosition(ctx, st, args)
	case callFence:
		term, nonce, err := termAndText(args, st.term, st.nonce)
		if err != nil {
			return err
		}
		return d.node.fence(term, model.Nonce(nonce))
	case callPromote:
		term, nonce, err := termAndText(args, st.term, st.nonce)
		if err != nil {
			return err
		}
		return d.node.promote(term, model.Nonce(nonce))
	case callFollow:
		return d.startFollowing(st, args)
	}
	return nil
}

// termAndText returns the values of an operand that is a term and of one that is
// text.
func termAndText(args arguments, term, text operand) (model.Term, string, error) {
	number, err := args.number(term)
	if err != nil {
		return 0, "", err
	}
	value, err := args.text(text)
	return model.Term(number), value, err
}

// waitForPosition executes group_wait. It returns when the log has received the
// position, when the database's term is higher than the position's, or when the
// timeout has passed; none of these is an error.
func (d *Database) waitForPosition(ctx context.Context, call callWait, args arguments) error {
	text, err := args.text(call.position)
	if err != nil {
		return err
	}
	position, err := model.ParsePosition(text)
	if err != nil {
		return newSQLError(stateInvalidParameter, "%s", err)
	}
	milliseconds, err := args.number(call.timeout)
	if err != nil {
		return err
	}
	timeout, cancel := context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
	defer cancel()
	_, _ = d.AwaitState(timeout, func(state State) bool {
		return !state.Received.Less(position) || state.Term > position.Term
	})
	return context.Cause(ctx)
}

// startFollowing executes group_follow.
func (d *Database) startFollowing(call callFollow, args arguments) error {
	term, name, err := termAndText(args, call.term, call.database)
	if err != nil {
		return err
	}
	text, err := args.text(call.address)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return newSQLError(stateInvalidParameter, "%q is no address", text)
	}
	return d.node.follow(term, model.DatabaseID(name), address)
}

// settle executes group_settle.
func (d *Database) settle(call callSettle, args arguments) (result, error) {
	term, key, err := termAndText(args, call.term, call.key)
	if err != nil {
		return result{}, err
	}
	if key == "" {
		return result{}, newSQLError(stateInvalidParameter, "the key is empty")
	}
	outcome, err := d.node.settle(term, key)
	if err != nil {
		return result{}, err
	}
	res := oneRow(statementColumns(call), formatBool(outcome.committed), outcome.position.String())
	res.tag = "CALL"
	return res, nil
}
