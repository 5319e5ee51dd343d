package caller

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
)

// unknownPrefix begins the names that no prepared statement has.
const unknownPrefix = "unknown "

// expectation tells what to do with the next answer to a Parse or a Close.
type expectation struct {
	// statement is what the answer is about, or nil.
	statement *statement
	// swallow says that the caller did not ask for it.
	swallow bool
}

// outgoing is a batch as it goes to one backend connection, with what is known
// of the answers.
type outgoing struct {
	bytes []byte
	// preludes counts the answers of the proxy's own queries that come first,
	// each up to its ReadyForQuery.
	preludes int
	// setups counts the proxy's own statements that follow in the batch
	// itself, ahead of the caller's.
	setups int
	parses []expectation
	closes []expectation
}

func (o *outgoing) reset() {
	if cap(o.bytes) > keptBuffer {
		o.bytes = nil
	}
	clear(o.parses)
	clear(o.closes)
	*o = outgoing{bytes: o.bytes[:0], parses: o.parses[:0], closes: o.closes[:0]}
}

// query appends a query of the proxy's own.
func (o *outgoing) query(text string) {
	o.bytes, _ = (&pgproto3.Query{String: text}).Encode(o.bytes)
	o.preludes++
}

// setUp appends a statement of the proxy's own. In a simple batch it is a query
// by itself. In an extended one it goes into the batch: that spares the database
// a write, and where it fails the database skips the caller's part.
func (o *outgoing) setUp(text string, extended bool) {
	if !extended {
		o.query(text)
		return
	}
	o.bytes, _ = (&pgproto3.Parse{Query: text}).Encode(o.bytes)
	o.bytes, _ = (&pgproto3.Bind{}).Encode(o.bytes)
	o.bytes, _ = (&pgproto3.Execute{}).Encode(o.bytes)
	o.setups++
}

// prelude appends what sets the connection up for a dispatched request.
func (o *outgoing) prelude(conn *database.Conn, d message.Dispatch, extended bool) {
	state := &conn.State
	if len(state.PreparedStatements) > preparedLimit {
		state.NeedsReset = true
	}
	if state.NeedsReset {
		o.query("DISCARD ALL")
		forget(state)
	}
	work := workOf(d)
	if state.GroupWork != work || state.GroupSettingsUncertain {
		o.setUp("SET group_work = '"+work+"'", extended)
		state.GroupWork = work
	}
	reads := d.Access == model.AccessRead
	if state.GroupRead != reads || state.GroupSettingsUncertain {
		o.setUp("SET group_read = '"+onOff(reads)+"'", extended)
		state.GroupRead = reads
	}
	state.GroupSettingsUncertain = false
}

// forget sets the state of a connection after DISCARD ALL.
func forget(state *database.SessionState) {
	clear(state.PreparedStatements)
	*state = database.SessionState{PreparedStatements: state.PreparedStatements}
}

func workOf(d message.Dispatch) string {
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

// body appends the caller's batch, with the names that its prepared statements
// have at the databases, and prepares those that the connection lacks.
func (o *outgoing) body(conn *database.Conn, b *batch) {
	if !b.extended {
		o.bytes = append(o.bytes, b.raw...)
		return
	}
	o.prepare(conn, b)
	last := 0
	for i := range b.parts {
		p := &b.parts[i]
		last = p.end
		switch {
		case p.kind == 'P':
			o.parse(conn, p)
		case p.kind == 'C' && p.named:
			o.close(p)
		case p.kind == 'C':
			o.closes = append(o.closes, expectation{})
			o.bytes = append(o.bytes, b.raw[p.start:p.end]...)
		case p.named:
			o.rename(b.raw[p.start:p.end], p)
		default:
			o.bytes = append(o.bytes, b.raw[p.start:p.end]...)
		}
	}
	o.bytes = append(o.bytes, b.raw[last:]...)
}

// close appends a Close of a name that no connection knows, which is no error:
// the statement itself may serve other sessions that prepared the same.
func (o *outgoing) close(p *part) {
	o.bytes, _ = (&pgproto3.Close{ObjectType: 'S', Name: unknownPrefix + p.name}).Encode(o.bytes)
	o.closes = append(o.closes, expectation{statement: &statement{name: p.name}})
}

// prepare sends the statements that the batch uses and that the connection
// lacks ahead of it.
func (o *outgoing) prepare(conn *database.Conn, b *batch) {
	for i := range b.parts {
		p := &b.parts[i]
		if p.kind == 'P' || p.kind == 'C' || p.statement == nil {
			continue
		}
		if b.parsedBefore(i) || o.isPrepared(conn, p.statement) {
			continue
		}
		o.bytes = append(o.bytes, p.statement.parse...)
		o.parses = append(o.parses, expectation{statement: p.statement, swallow: true})
	}
}

// parsedBefore reports whether the statement of part i comes from a Parse of
// the same batch.
func (b *batch) parsedBefore(i int) bool {
	for j := range i {
		if b.parts[j].kind == 'P' && b.parts[j].statement == b.parts[i].statement {
			return true
		}
	}
	return false
}

func (o *outgoing) isPrepared(conn *database.Conn, one *statement) bool {
	for i := range o.parses {
		other := o.parses[i].statement
		if other == one || one.backend != "" && other.backend == one.backend {
			return true
		}
	}
	if one.backend == "" {
		return false
	}
	_, found := conn.State.PreparedStatements[one.backend]
	return found
}

// parse appends the caller's Parse. One that the connection has already is
// closed first, so that the answers come as the caller expects them.
func (o *outgoing) parse(conn *database.Conn, p *part) {
	if p.statement.backend != "" && o.isPrepared(conn, p.statement) {
		o.bytes, _ = (&pgproto3.Close{ObjectType: 'S', Name: p.statement.backend}).Encode(o.bytes)
		o.closes = append(o.closes, expectation{swallow: true})
	}
	o.bytes = append(o.bytes, p.statement.parse...)
	o.parses = append(o.parses, expectation{statement: p.statement})
}

// rename appends a Bind, Describe or Close with the name that the statement has
// at the databases. A name that the session does not know gets one that no
// connection knows.
func (o *outgoing) rename(raw []byte, p *part) {
	name := unknownPrefix + p.name
	if p.statement != nil {
		name = p.statement.backend
	}
	body := raw[postgres.HeaderSize:]
	if p.kind != 'B' {
		o.bytes = appendFrame(o.bytes, p.kind, body[:1], []byte(name), []byte{0})
		return
	}
	portal, rest, _ := cutString(body)
	_, rest, _ = cutString(rest)
	o.bytes = appendFrame(o.bytes, p.kind, portal, []byte{0}, []byte(name), []byte{0}, rest)
}
