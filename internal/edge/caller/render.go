package caller

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
)

// unknownPrefix is the prefix of names that no prepared statement has.
const unknownPrefix = "unknown "

// expectedAnswer describes the next answer to a Parse or a Close.
type expectedAnswer struct {
	// statement is the statement that the answer is about, or nil.
	statement *statement
	// suppress is true if the answer is dropped because the caller did not send
	// the message.
	suppress bool
}

// outgoing is a batch as it is sent to one backend connection, with the answers
// that are expected.
type outgoing struct {
	bytes []byte
	// pendingSetupQueries counts the setup queries of the proxy that are sent
	// before the batch and whose ReadyForQuery has not arrived.
	pendingSetupQueries int
	// pendingSetupStatements counts the setup statements of the proxy that are
	// sent within the batch, before the caller's messages, and whose answer has
	// not arrived.
	pendingSetupStatements int
	expectedParses         []expectedAnswer
	expectedCloses         []expectedAnswer
}

func (o *outgoing) reset() {
	if cap(o.bytes) > maxRetainedBuffer {
		o.bytes = nil
	}
	clear(o.expectedParses)
	clear(o.expectedCloses)
	*o = outgoing{bytes: o.bytes[:0], expectedParses: o.expectedParses[:0], expectedCloses: o.expectedCloses[:0]}
}

// appendSetupQuery appends a setup query of the proxy.
func (o *outgoing) appendSetupQuery(text string) {
	o.bytes, _ = (&pgproto3.Query{String: text}).Encode(o.bytes)
	o.pendingSetupQueries++
}

// appendSetupStatement appends a setup statement of the proxy. For a simple
// batch it is a separate query. For an extended batch it becomes part of the
// batch, which saves the database a write, and if it fails the database skips
// the caller's messages.
func (o *outgoing) appendSetupStatement(text string, extended bool) {
	if !extended {
		o.appendSetupQuery(text)
		return
	}
	o.bytes, _ = (&pgproto3.Parse{Query: text}).Encode(o.bytes)
	o.bytes, _ = (&pgproto3.Bind{}).Encode(o.bytes)
	o.bytes, _ = (&pgproto3.Execute{}).Encode(o.bytes)
	o.pendingSetupStatements++
}

// appendSetup appends the statements that prepare the connection for a
// dispatched request.
func (o *outgoing) appendSetup(conn *database.Conn, d message.Dispatch, extended bool) {
	state := &conn.State
	if len(state.PreparedStatements) > maxBackendStatements {
		state.NeedsReset = true
	}
	if state.NeedsReset {
		o.appendSetupQuery("DISCARD ALL")
		clearState(state)
	}
	groupWork := groupWorkValue(d)
	if state.GroupWork != groupWork || state.GroupSettingsUncertain {
		o.appendSetupStatement("SET group_work = '"+groupWork+"'", extended)
		state.GroupWork = groupWork
	}
	readOnly := d.Access == model.AccessRead
	if state.GroupRead != readOnly || state.GroupSettingsUncertain {
		o.appendSetupStatement("SET group_read = '"+onOff(readOnly)+"'", extended)
		state.GroupRead = readOnly
	}
	state.GroupSettingsUncertain = false
}

// clearState sets the recorded state of a connection to that after DISCARD ALL.
func clearState(state *database.SessionState) {
	clear(state.PreparedStatements)
	*state = database.SessionState{PreparedStatements: state.PreparedStatements}
}

func groupWorkValue(d message.Dispatch) string {
	term := strconv.FormatUint(uint64(d.Term), 10)
	if d.Access == model.AccessRead {
		return term + "/"
	}
	return term + "/" + d.IdempotencyKey
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// -----------------------------------------------------------------------------
// The caller's messages.

// appendBatch appends the caller's batch, with the names that its prepared
// statements have at the databases. Before it, it prepares the statements that
// the connection lacks.
func (o *outgoing) appendBatch(conn *database.Conn, b *batch) {
	if !b.extended {
		o.bytes = append(o.bytes, b.raw...)
		return
	}
	o.appendMissingStatements(conn, b)
	last := 0
	for i := range b.messages {
		m := &b.messages[i]
		last = m.end
		switch {
		case m.frameType == 'P':
			o.appendParse(conn, m)
		case m.frameType == 'C' && m.namesStatement:
			o.appendClose(m)
		case m.frameType == 'C':
			o.expectedCloses = append(o.expectedCloses, expectedAnswer{})
			o.bytes = append(o.bytes, b.raw[m.start:m.end]...)
		case m.namesStatement:
			o.appendRenamed(b.raw[m.start:m.end], m)
		default:
			o.bytes = append(o.bytes, b.raw[m.start:m.end]...)
		}
	}
	o.bytes = append(o.bytes, b.raw[last:]...)
}

// appendClose appends a Close of a name that no connection knows, which is not
// an error. The statement itself stays prepared, because other sessions that
// prepared the same text may use it.
func (o *outgoing) appendClose(m *extendedMessage) {
	o.bytes, _ = (&pgproto3.Close{ObjectType: 'S', Name: unknownPrefix + m.name}).Encode(o.bytes)
	o.expectedCloses = append(o.expectedCloses, expectedAnswer{statement: &statement{name: m.name}})
}

// appendMissingStatements appends a Parse for each statement that the batch
// uses and that is not prepared on the connection.
func (o *outgoing) appendMissingStatements(conn *database.Conn, b *batch) {
	for i := range b.messages {
		m := &b.messages[i]
		if m.frameType == 'P' || m.frameType == 'C' || m.statement == nil {
			continue
		}
		if b.isParsedBefore(i) || o.isPrepared(conn, m.statement) {
			continue
		}
		o.bytes = append(o.bytes, m.statement.parseMessage...)
		o.expectedParses = append(o.expectedParses, expectedAnswer{statement: m.statement, suppress: true})
	}
}

// isParsedBefore reports whether the statement of message i comes from an
// earlier Parse of the same batch.
func (b *batch) isParsedBefore(i int) bool {
	for j := range i {
		if b.messages[j].frameType == 'P' && b.messages[j].statement == b.messages[i].statement {
			return true
		}
	}
	return false
}

func (o *outgoing) isPrepared(conn *database.Conn, stmt *statement) bool {
	for i := range o.expectedParses {
		other := o.expectedParses[i].statement
		if other == stmt || stmt.backendName != "" && other.backendName == stmt.backendName {
			return true
		}
	}
	if stmt.backendName == "" {
		return false
	}
	_, found := conn.State.PreparedStatements[stmt.backendName]
	return found
}

// appendParse appends the caller's Parse. A statement that is prepared on the
// connection already is closed first, so that the database answers as the
// caller expects.
func (o *outgoing) appendParse(conn *database.Conn, m *extendedMessage) {
	if m.statement.backendName != "" && o.isPrepared(conn, m.statement) {
		o.bytes, _ = (&pgproto3.Close{ObjectType: 'S', Name: m.statement.backendName}).Encode(o.bytes)
		o.expectedCloses = append(o.expectedCloses, expectedAnswer{suppress: true})
	}
	o.bytes = append(o.bytes, m.statement.parseMessage...)
	o.expectedParses = append(o.expectedParses, expectedAnswer{statement: m.statement})
}

// appendRenamed appends a Bind, Describe or Close with the name that the
// statement has at the databases. A name that the session does not know is
// replaced by one that no connection knows.
func (o *outgoing) appendRenamed(raw []byte, m *extendedMessage) {
	name := unknownPrefix + m.name
	if m.statement != nil {
		name = m.statement.backendName
	}
	body := raw[postgres.HeaderSize:]
	if m.frameType != 'B' {
		o.bytes = appendFrame(o.bytes, m.frameType, body[:1], []byte(name), []byte{0})
		return
	}
	portal, rest, _ := cutString(body)
	_, rest, _ = cutString(rest)
	o.bytes = appendFrame(o.bytes, m.frameType, portal, []byte{0}, []byte(name), []byte{0}, rest)
}
