package caller

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
)

// batch is what a caller sends before it waits for an answer: one simple Query,
// or the messages of the extended protocol up to Sync. It is kept until its
// request ends, since it may have to be sent again.
type batch struct {
	// raw holds the messages as they came.
	raw []byte
	// extended says that the messages are of the extended protocol, and parts
	// lists them.
	extended bool
	parts    []part
	// text is that of the simple Query.
	text   string
	traits traits
	hint   hint
	// only is the command of the session that the simple Query is, or nil.
	only *command
	// early says that the caller has had the problem already, by a Flush.
	early bool
	// problem refuses the batch without running it.
	problem *problem
}

// part is one message of the extended protocol.
type part struct {
	kind byte
	// start and end bound the message in batch.raw.
	start, end int
	// named says that the message names a prepared statement: name is the
	// caller's own name, statement what the session knows by it, or nil.
	named     bool
	name      string
	statement *statement
}

func (b *batch) reset() {
	if cap(b.raw) > keptBuffer {
		b.raw = nil
	}
	clear(b.parts)
	*b = batch{raw: b.raw[:0], parts: b.parts[:0]}
}

// isEmpty reports whether the batch asks for nothing but a ReadyForQuery.
func (b *batch) isEmpty() bool { return b.extended && len(b.parts) == 0 }

// add appends a message of the extended protocol.
func (b *batch) add(frame postgres.Frame) *part {
	start := len(b.raw)
	b.raw = append(b.raw, frame.Raw...)
	b.parts = append(b.parts, part{kind: frame.Type, start: start, end: len(b.raw)})
	return &b.parts[len(b.parts)-1]
}

// refuse keeps the first problem.
func (b *batch) refuse(p *problem) {
	if b.problem == nil {
		b.problem = p
	}
}

// -----------------------------------------------------------------------------
// Reading.

// readBatch reads the caller's next batch. It returns io.EOF where the caller
// says goodbye, and a *ProtocolError where the stream is of no more use.
func (s *session) readBatch(b *batch) error {
	for {
		frame, err := s.reader.Next()
		if err != nil {
			return err
		}
		whole, err := s.takeFrame(b, frame)
		if err != nil || whole {
			return err
		}
	}
}

// takeFrame adds one message to b, and reports whether b is whole.
func (s *session) takeFrame(b *batch, frame postgres.Frame) (bool, error) {
	switch frame.Type {
	case 'Q':
		if len(b.parts) > 0 {
			return false, &ProtocolError{Detail: "a simple query among extended messages"}
		}
		return true, s.takeQuery(b, frame)
	case 'P', 'B', 'D', 'E', 'C':
		b.extended = true
		return false, s.takePart(b, frame)
	case 'S':
		b.extended = true
		b.finish()
		return true, nil
	case 'H':
		b.extended = true
		return false, s.refuseFlush(b)
	case 'F':
		b.refuse(problemFunctionCall)
		return true, nil
	case 'd', 'c', 'f':
		return false, nil
	case 'X':
		return false, errGoodbye
	}
	return false, &ProtocolError{Detail: "unknown message type " + quoted(string(frame.Type))}
}

func (s *session) takeQuery(b *batch, frame postgres.Frame) error {
	var query pgproto3.Query
	err := query.Decode(frame.Body())
	if err != nil {
		return &ProtocolError{Detail: "malformed Query"}
	}
	b.raw = append(b.raw, frame.Raw...)
	b.text = query.String
	b.traits = scan(query.String)
	h, err := parseHint(query.String)
	if err != nil {
		b.refuse(hintProblem(err))
	}
	b.hint = h
	b.only = parseCommand(query.String, b.traits)
	s.checkToken(b)
	return nil
}

// checkToken refuses a token of another group.
func (s *session) checkToken(b *batch) {
	group := b.hint.token.Group
	if group != "" && group != s.group {
		b.refuse(hintProblem(&HintError{
			Name:   "token",
			Value:  b.hint.token.String(),
			Detail: "the token is of another group",
		}))
	}
}

func (s *session) takePart(b *batch, frame postgres.Frame) error {
	if len(b.raw)+len(frame.Raw) > s.edge.options.MaxMessageSize {
		b.refuse(problemTooLarge)
		return nil
	}
	p := b.add(frame)
	body := b.raw[p.start+postgres.HeaderSize : p.end]
	switch frame.Type {
	case 'P':
		return s.takeParse(b, p, body)
	case 'B':
		_, rest, ok := cutString(body)
		name, _, named := cutString(rest)
		if !ok || !named {
			return &ProtocolError{Detail: "malformed Bind"}
		}
		s.refer(b, p, name)
	case 'D', 'C':
		if len(body) < 2 {
			return &ProtocolError{Detail: "malformed Describe or Close"}
		}
		name, _, ok := cutString(body[1:])
		if !ok {
			return &ProtocolError{Detail: "malformed Describe or Close"}
		}
		if body[0] == 'S' {
			s.refer(b, p, name)
		}
	}
	return nil
}

// takeParse remembers the statement under its name; the session keeps it once
// a database has accepted it.
func (s *session) takeParse(b *batch, p *part, body []byte) error {
	var parse pgproto3.Parse
	err := parse.Decode(body)
	if err != nil {
		return &ProtocolError{Detail: "malformed Parse"}
	}
	p.named = true
	p.name = parse.Name
	statement, err := newStatement(&parse)
	if err != nil {
		b.refuse(hintProblem(err))
		return nil
	}
	p.statement = statement
	if !s.statements.hasRoom(statement) {
		b.refuse(problemStatements)
	}
	b.note(statement)
	s.checkToken(b)
	return nil
}

// refuseFlush tells a caller at once that it can't have a part of its answer
// before Sync, since it will not send Sync before.
func (s *session) refuseFlush(b *batch) error {
	if b.early {
		return nil
	}
	b.refuse(problemFlush)
	b.early = true
	if s.request != nil {
		s.breakTransaction(message.OutcomeDatabaseError{SQLState: problemFlush.state})
	}
	s.say(b.problem)
	return s.flush()
}

// refer resolves the statement that a message names: one of this batch, or one
// of the session.
func (s *session) refer(b *batch, p *part, name []byte) {
	p.named = true
	for i := len(b.parts) - 2; i >= 0; i-- {
		other := &b.parts[i]
		if other.kind == 'P' && other.name == string(name) {
			p.name = other.name
			p.statement = other.statement
			return
		}
	}
	p.statement = s.statements.get(name)
	if p.statement == nil {
		p.name = string(name)
		return
	}
	p.name = p.statement.name
	b.note(p.statement)
	s.checkToken(b)
}

// note adds what is known of a statement to the batch.
func (b *batch) note(statement *statement) {
	b.traits = b.traits.join(statement.traits)
	h := statement.hint.over(b.hint)
	if h.key == "" {
		h.key = b.hint.key
	}
	b.hint = h
}

// finish completes a batch at its Sync.
func (b *batch) finish() {
	sync, _ := (&pgproto3.Sync{}).Encode(b.raw)
	b.raw = sync
}

// cutString cuts at the zero byte that ends a string.
func cutString(body []byte) ([]byte, []byte, bool) {
	return bytes.Cut(body, []byte{0})
}

// appendFrame appends a message of a type and a body in two pieces.
func appendFrame(to []byte, kind byte, pieces ...[]byte) []byte {
	to = append(to, kind, 0, 0, 0, 0)
	at := len(to) - 4
	for _, piece := range pieces {
		to = append(to, piece...)
	}
	binary.BigEndian.PutUint32(to[at:], uint32(len(to)-at))
	return to
}

// databaseProblem returns a database's error as the caller shall get it.
func databaseProblem(frame postgres.Frame) *problem {
	var response pgproto3.ErrorResponse
	if response.Decode(frame.Body()) != nil {
		return problemBroken
	}
	return &problem{
		state:   response.Code,
		message: response.Message,
		detail:  response.Detail,
		hint:    response.Hint,
	}
}
