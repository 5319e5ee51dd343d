package database

import (
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement; st is nil where its text is empty.
type prepared struct {
	st         statement
	parameters []uint32
}

// portal is a prepared statement with its arguments.
type portal struct {
	st      statement
	args    arguments
	formats []int16
	// result is the answer, once the portal has run, and sent the number of
	// its rows that have been sent.
	result *result
	sent   int
}

// extended handles one message of the extended query protocol.
func (s *session) extended(ctx context.Context, message pgproto3.FrontendMessage) {
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
		err = failure(stateProtocol, "unexpected message %T", message)
	}
	if err != nil {
		s.fail(err)
		s.skipping = true
	}
}

func (s *session) parse(message *pgproto3.Parse) error {
	statements, err := parse(message.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return failure(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := prepared{parameters: make([]uint32, parameters(message.Query))}
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
		return failure(stateNoStatement, "no prepared statement %q", message.PreparedStatement)
	}
	if len(message.Parameters) != len(p.parameters) {
		return failure(stateProtocol, "%d parameters for %d", len(message.Parameters), len(p.parameters))
	}
	args := make(arguments, 0, len(message.Parameters))
	for _, value := range message.Parameters {
		// The message's memory is used again, so the values are copied.
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
			return failure(stateNoPortal, "no portal %q", message.Name)
		}
		s.sendDescription(p.st, p.formats)
		return nil
	}
	p, found := s.prepared[message.Name]
	if !found {
		return failure(stateNoStatement, "no prepared statement %q", message.Name)
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.parameters})
	s.sendDescription(p.st, nil)
	return nil
}

func (s *session) sendDescription(st statement, formats []int16) {
	if columns := columnsOf(st); len(columns) > 0 {
		s.backend.Send(described(columns, formats))
		return
	}
	s.backend.Send(&pgproto3.NoData{})
}

func (s *session) execute(ctx context.Context, message *pgproto3.Execute) error {
	p, found := s.portals[message.Portal]
	if !found {
		return failure(stateNoPortal, "no portal %q", message.Portal)
	}
	if p.st == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		res, err := s.run(ctx, p.st, p.args)
		if err != nil {
			return err
		}
		p.result = &res
	}
	until := p.result.length
	if message.MaxRows > 0 {
		until = min(until, p.sent+int(message.MaxRows))
	}
	if err := s.sendRows(*p.result, p.formats, p.sent, until); err != nil {
		return err
	}
	p.sent = until
	if until < p.result.length {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.held = p.result
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
