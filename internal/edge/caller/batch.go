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
// request ends, because it may have to be sent again.
type batch struct {
	// raw holds the messages as received.
	raw []byte
	// extended is true if the messages are of the extended protocol; messages
	// lists them.
	extended bool
	messages []extendedMessage
	// queryText is the text of the simple Query.
	queryText string
	traits    traits
	hint      hint
	// queryCommand is the command in the simple Query that changes or shows the
	// state of the session, or nil if the Query is another statement.
	queryCommand *command
	// flushRejected is true if problem was sent to the caller early, in answer
	// to a Flush.
	flushRejected bool
	// problem is the reason why the batch is rejected without being run, or
	// nil.
	problem *problem
}

// extendedMessage is one message of the extended protocol.
type extendedMessage struct {
	frameType byte
	// start and end are the offsets of the message in batch.raw.
	start, end int
	// namesStatement is true if the message refers to a prepared statement:
	// name is the caller's name for it, statement is the session's statement of
	// that name, or nil if there is none.
	namesStatement bool
	name           string
	statement      *statement
}

func (b *batch) reset() {
	if cap(b.raw) > maxRetainedBuffer {
		b.raw = nil
	}
	clear(b.messages)
	*b = batch{raw: b.raw[:0], messages: b.messages[:0]}
}

// isEmpty reports whether the batch holds nothing but a Sync.
func (b *batch) isEmpty() bool { return b.extended && len(b.messages) == 0 }

// addMessage appends a message of the extended protocol.
func (b *batch) addMessage(frame postgres.Frame) *extendedMessage {
	start := len(b.raw)
	b.raw = append(b.raw, frame.Raw...)
	b.messages = append(b.messages, extendedMessage{frameType: frame.Type, start: start, end: len(b.raw)})
	return &b.messages[len(b.messages)-1]
}

// reject marks the batch as rejected. The first problem is kept.
func (b *batch) reject(p *problem) {
	if b.problem == nil {
		b.problem = p
	}
}

// -----------------------------------------------------------------------------
// Reading batches.

// readBatch reads the caller's next batch. Its error is errCallerTerminated after
// a Terminate message, a *ProtocolError or *postgres.SizeError if the stream
// cannot be read further, or an error of the connection.
func (s *session) readBatch(b *batch) error {
	for {
		frame, err := s.reader.Next()
		if err != nil {
			return err
		}
		complete, err := s.addFrame(b, frame)
		if err != nil || complete {
			return err
		}
	}
}

// addFrame adds one message to b, and reports whether b is complete.
func (s *session) addFrame(b *batch, frame postgres.Frame) (bool, error) {
	switch frame.Type {
	case 'Q': // Query
		if len(b.messages) > 0 {
			return false, &ProtocolError{Detail: "a simple query among extended messages"}
		}
		return true, s.addQuery(b, frame)
	case 'P', 'B', 'D', 'E', 'C': // Parse, Bind, Describe, Execute, Close
		b.extended = true
		return false, s.addExtendedMessage(b, frame)
	case 'S': // Sync
		b.extended = true
		b.finish()
		return true, nil
	case 'H': // Flush
		b.extended = true
		return false, s.rejectFlush(b)
	case 'F':
		// FunctionCall, which is not supported. No Sync follows it.
		b.reject(problemFunctionCall)
		return true, nil
	case 'd', 'c', 'f':
		// CopyData, CopyDone and CopyFail. COPY is rejected, and PostgreSQL ignores
		// these messages outside a COPY too: the caller may send them before it reads
		// the error.
		return false, nil
	case 'X': // Terminate
		return false, errCallerTerminated
	}
	return false, &ProtocolError{Detail: "unknown message type " + quoted(string(frame.Type))}
}

func (s *session) addQuery(b *batch, frame postgres.Frame) error {
	var query pgproto3.Query
	err := query.Decode(frame.Body())
	if err != nil {
		return &ProtocolError{Detail: "malformed Query"}
	}
	b.raw = append(b.raw, frame.Raw...)
	b.queryText = query.String
	b.traits = scanTraits(query.String)
	h, err := parseHint(query.String)
	if err != nil {
		b.reject(hintProblem(err))
	}
	b.hint = h
	b.queryCommand = parseCommand(query.String, b.traits)
	s.checkTokenGroup(b)
	return nil
}

// checkTokenGroup rejects the batch if its token belongs to another group.
func (s *session) checkTokenGroup(b *batch) {
	group := b.hint.token.Group
	if group != "" && group != s.group {
		b.reject(hintProblem(&HintError{
			Name:   "token",
			Value:  b.hint.token.String(),
			Detail: "the token is of another group",
		}))
	}
}

// addExtendedMessage adds one message up to Sync to b. A message with which b would
// exceed MaxMessageSize is dropped and b is rejected, but the rest of the batch is
// still read. A batch that is rejected keeps no further messages. The error is a
// *ProtocolError for a malformed message.
func (s *session) addExtendedMessage(b *batch, frame postgres.Frame) error {
	if b.problem != nil {
		return nil
	}
	if len(b.raw)+len(frame.Raw) > s.server.options.MaxMessageSize {
		b.reject(problemTooLarge)
		return nil
	}
	m := b.addMessage(frame)
	body := b.raw[m.start+postgres.HeaderSize : m.end]
	switch frame.Type {
	case 'P':
		return s.addParse(b, m, body)
	case 'B':
		_, rest, ok := cutString(body)
		name, _, named := cutString(rest)
		if !ok || !named {
			return &ProtocolError{Detail: "malformed Bind"}
		}
		s.resolveStatement(b, m, name)
	case 'D', 'C':
		if len(body) < 2 {
			return &ProtocolError{Detail: "malformed Describe or Close"}
		}
		name, _, ok := cutString(body[1:])
		if !ok {
			return &ProtocolError{Detail: "malformed Describe or Close"}
		}
		if body[0] == 'S' {
			s.resolveStatement(b, m, name)
		}
	}
	return nil
}

// addParse adds a Parse message and its statement to b. The session stores the
// statement only when a database has accepted it.
func (s *session) addParse(b *batch, m *extendedMessage, body []byte) error {
	var parse pgproto3.Parse
	err := parse.Decode(body)
	if err != nil {
		return &ProtocolError{Detail: "malformed Parse"}
	}
	m.namesStatement = true
	m.name = parse.Name
	stmt, err := newStatement(&parse)
	if err != nil {
		b.reject(hintProblem(err))
		return nil
	}
	m.statement = stmt
	if !s.statements.hasRoom(stmt) {
		b.reject(problemTooManyStatements)
	}
	b.addStatement(stmt)
	s.checkTokenGroup(b)
	return nil
}

// rejectFlush answers a Flush with an error at once. The proxy sends no part of
// an answer before Sync, and the caller may send Sync only after it has
// received one.
func (s *session) rejectFlush(b *batch) error {
	if b.flushRejected {
		return nil
	}
	b.reject(problemFlush)
	b.flushRejected = true
	if s.request != nil {
		s.abortTransaction(message.OutcomeDatabaseError{SQLState: problemFlush.sqlState})
	}
	s.appendProblem(b.problem)
	return s.flush()
}

// resolveStatement finds the statement that a message names, in this batch or
// among those of the session. The message is the last one of b, so that the search
// starts at the one before it.
func (s *session) resolveStatement(b *batch, m *extendedMessage, name []byte) {
	m.namesStatement = true
	for i := len(b.messages) - 2; i >= 0; i-- {
		other := &b.messages[i]
		if other.frameType == 'P' && other.name == string(name) {
			m.name = other.name
			m.statement = other.statement
			return
		}
	}
	m.statement = s.statements.get(name)
	if m.statement == nil {
		m.name = string(name)
		return
	}
	m.name = m.statement.name
	b.addStatement(m.statement)
	s.checkTokenGroup(b)
}

// addStatement merges the traits and the hint of a statement into those of the
// batch.
func (b *batch) addStatement(stmt *statement) {
	b.traits = b.traits.merge(stmt.traits)
	h := stmt.hint.withDefaults(b.hint)
	if h.key == "" {
		h.key = b.hint.key
	}
	b.hint = h
}

// finish appends the Sync that completes a batch.
func (b *batch) finish() {
	sync, _ := (&pgproto3.Sync{}).Encode(b.raw)
	b.raw = sync
}

// cutString splits body at the zero byte that ends its first string.
func cutString(body []byte) ([]byte, []byte, bool) {
	return bytes.Cut(body, []byte{0})
}

// appendFrame appends a message with the given type and a body made of pieces.
func appendFrame(to []byte, frameType byte, pieces ...[]byte) []byte {
	to = append(to, frameType, 0, 0, 0, 0)
	lengthAt := len(to) - 4
	for _, piece := range pieces {
		to = append(to, piece...)
	}
	binary.BigEndian.PutUint32(to[lengthAt:], uint32(len(to)-lengthAt))
	return to
}

// databaseProblem returns the error of a database as a problem for the caller, or
// problemConnectionLost if the error can't be decoded.
func databaseProblem(frame postgres.Frame) *problem {
	var response pgproto3.ErrorResponse
	if response.Decode(frame.Body()) != nil {
		return problemConnectionLost
	}
	return &problem{
		sqlState: response.Code,
		message:  response.Message,
		detail:   response.Detail,
		hint:     response.Hint,
	}
}
