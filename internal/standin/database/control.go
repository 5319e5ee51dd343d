package database

import (
	"context"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// runControl runs one control statement.
func (s *session) runControl(ctx context.Context, st statement, args arguments) (result, error) {
	if call, ok := st.(callSettle); ok {
		return s.database.settle(call, args)
	}
	if err := s.database.control(ctx, st, args); err != nil {
		return result{}, err
	}
	res := oneRow(statusColumns, statusRow(s.database.State())...)
	res.tag = "CALL"
	return res, nil
}

// control does what a control statement asks for, apart from its answer.
func (d *Database) control(ctx context.Context, st statement, args arguments) error {
	switch st := st.(type) {
	case callWait:
		return d.wait(ctx, st, args)
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

func termAndText(args arguments, term, text operand) (model.Term, string, error) {
	number, err := args.number(term)
	if err != nil {
		return 0, "", err
	}
	value, err := args.text(text)
	return model.Term(number), value, err
}

// wait returns when the log has received a position, the term is above the
// position's, or the time is over.
func (d *Database) wait(ctx context.Context, call callWait, args arguments) error {
	text, err := args.text(call.position)
	if err != nil {
		return err
	}
	position, err := model.ParsePosition(text)
	if err != nil {
		return failure(stateInvalidParameter, "%s", err)
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
		return failure(stateInvalidParameter, "%q is no address", text)
	}
	return d.node.follow(term, model.DatabaseID(name), address)
}

func (d *Database) settle(call callSettle, args arguments) (result, error) {
	term, key, err := termAndText(args, call.term, call.key)
	if err != nil {
		return result{}, err
	}
	if key == "" {
		return result{}, failure(stateInvalidParameter, "the key is empty")
	}
	outcome, err := d.node.settle(term, key)
	if err != nil {
		return result{}, err
	}
	res := oneRow(columnsOf(call), formatBool(outcome.committed), outcome.position.String())
	res.tag = "CALL"
	return res, nil
}
