package database

import (
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a prepared statement. Its st is nil if the text is
// empty.
type preparedStatement struct {
	st         statement
	parameters []uint32
}

// portal is a prepared statement bound to its arguments.
type portal struct {
	st      statement
	args    arguments
	formats []int16
	// result is the result of the statement, nil until the portal has run.
	result *result
	// rowsSent is the number of the result's rows that have been sent.
	rowsSent int
}

// handleExtended handles one message of the extended query protocol.
func (s *session) handleExtended(ctx context.Context, message pgproto3.FrontendMessage) {
	var err error
	switch message := message.(type) {
	case *pgproto3.Parse:
		err = s.parse(message)
	case *pgproto3.Bind:
		err = s.bind(message)
	case *pgproto3.Describe:
		err = s.describe(message)
	case *pgproto3.Execute:
		err = s.execute(ctx, message)
	case *pgproto3.Close:
		s.close(message)
	default:
		err = newSQLError(stateProtocol, "unexpected message %T", message)
	}
	if err != nil {
		s.failStatement(err)
		s.skipUntilSync = true
	}
}

func (s *session) parse(message *pgproto3.Parse) error {
	statements, err := parse(message.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return newSQLError(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := preparedStatement{parameters: make([]uint32, parameterCount(message.Query))}
	for i := range p.parameters {
		p.parameters[i] = oidText
	}
	if len(statements) == 1 {
		p.st = statements[0]
	}
	s.prepared[message.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(message *pgproto3.Bind) error {
	p, found := s.prepared[message.PreparedStatement]
	if !found {
		return newSQLError(stateUnknownStatement, "no prepared statement %q", message.PreparedStatement)
	}
	if len(message.Parameters) != len(p.parameters) {
		return newSQLError(stateProtocol, "%d parameters for %d", len(message.Parameters), len(p.parameters))
	}
	args := make(arguments, 0, len(message.Parameters))
	for _, value := range message.Parameters {
		// The values are copied because the next message reuses this one's memory.
		args = append(args, slices.Clone(value))
	}
	formats := slices.Clone(message.ResultFormatCodes)
	s.portals[message.DestinationPortal] = &portal{st: p.st, args: args, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(message *pgproto3.Describe) error {
	if message.ObjectType == 'P' {
		p, found := s.portals[message.Name]
		if !found {
			return newSQLError(stateUnknownPortal, "no portal %q", message.Name)
		}
		s.sendDescription(p.st, p.formats)
		return nil
	}
	p, found := s.prepared[message.Name]
	if !found {
		return newSQLError(stateUnknownStatement, "no prepared statement %q", message.Name)
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameters})
	s.sendDescription(p.st, nil)
	return nil
}

// sendDescription sends the description of a statement's columns, or NoData if it
// returns no rows.
func (s *session) sendDescription(st statement, formats []int16) {
	if columns := statementColumns(st); len(columns) > 0 {
		s.backend.Send(rowDescription(columns, formats))
		return
	}
	s.backend.Send(&pgproto3.NoData{})
}

func (s *session) execute(ctx context.Context, message *pgproto3.Execute) error {
	p, found := s.portals[message.Portal]
	if !found {
		return newSQLError(stateUnknownPortal, "no portal %q", message.Portal)
	}
	if p.st == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		res, err := s.runStatement(ctx, p.st, p.args)
		if err != nil {
			return err
		}
		p.result = &res
	}
	end := p.result.rowCount
	if message.MaxRows > 0 {
		end = min(end, p.rowsSent+int(message.MaxRows))
	}
	if err := s.sendRows(*p.result, p.formats, p.rowsSent, end); err != nil {
		return err
	}
	p.rowsSent = end
	if end < p.result.rowCount {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.pendingResult = p.result
	return nil
}

func (s *session) close(message *pgproto3.Close) {
	if message.ObjectType == 'P' {
		delete(s.portals, message.Name)
	} else {
		delete(s.prepared, message.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}
