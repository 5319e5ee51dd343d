package caller

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
)

const (
	// holdLimit bounds an answer that waits for the proof of its position, in
	// bytes. Beyond it the database is not read any further.
	holdLimit = 4 << 20
	// writeHold is what is held back of the proven answer to a write, in
	// bytes, so that the write can be run again where its connection breaks.
	writeHold = 64 << 10
	// flushSize is the size at which rows are sent on, in bytes.
	flushSize = 32 << 10
)

// The parameters of the databases' protocol.
const (
	groupPrefix    = "group_"
	groupPosition  = "group_position"
	groupCommit    = "group_commit"
	tokenParameter = "eelgrassfold.token"
)

// relay passes one answer from a backend connection to the caller.
type relay struct {
	s *session
	r *request
	b *batch
	o *outgoing

	times timers
	// preludeFailed says that a query of the proxy's own failed.
	preludeFailed bool
	// wasSetUp says that the settings were changed within the batch, so that
	// a failure of the batch takes them back.
	wasSetUp bool
	// known says that the answer has shown its position.
	known bool
	// behind says that the position is older than was asked for.
	behind bool
	// streaming says that frames go to the caller as they come.
	streaming bool
	commit    model.Position
	failure   *pgproto3.ErrorResponse
	// refusal is the database's proof that nothing ran, or nil.
	refusal *resultRefused
	// copying says that a COPY is being turned down.
	copying bool
}

// newRelay returns the session's relay, made ready for an exchange.
func newRelay(s *session, r *request, b *batch) *relay {
	y := &s.work.relay
	*y = relay{s: s, r: r, b: b, o: &s.work.outgoing}
	return y
}

// run reads the answer to its ReadyForQuery.
func (y *relay) run(ctx context.Context) result {
	y.begin(time.Now())
	for {
		frame, end := y.receive(ctx)
		if end != nil {
			return end
		}
		if y.o.preludes > 0 {
			y.takePrelude(frame)
			continue
		}
		if y.o.setups > 0 && y.takeSetup(frame) {
			continue
		}
		if frame.Type == 'Z' {
			return y.finish(frame)
		}
		end = y.take(ctx, frame)
		if end != nil {
			return end
		}
	}
}

// takePrelude swallows the answers to the proxy's own queries.
func (y *relay) takePrelude(frame postgres.Frame) {
	switch frame.Type {
	case 'Z':
		y.o.preludes--
	case 'E':
		y.preludeFailed = true
	}
}

// takeSetup swallows the answers to the proxy's own statements within the batch,
// and reports whether the frame was one. Where one of them fails, the database
// skips everything up to the end of the batch.
func (y *relay) takeSetup(frame postgres.Frame) bool {
	switch frame.Type {
	case 'Z':
		return false
	case 'C':
		y.o.setups--
		y.wasSetUp = true
	case 'E':
		y.setupRefused(frame)
	}
	return true
}

// setupRefused judges the refusal of a statement of the proxy's own: nothing of
// the caller's has run.
func (y *relay) setupRefused(frame postgres.Frame) {
	y.o.setups = 0
	y.r.conn.Taint()
	y.refusal = &resultRefused{why: message.NotStartedBrokenConnection}
	var response pgproto3.ErrorResponse
	if response.Decode(frame.Body()) == nil && response.Code == stateTerm {
		y.refusal.why = message.NotStartedWrongTerm
	}
}

// take acts on one frame of the caller's answer.
func (y *relay) take(ctx context.Context, frame postgres.Frame) result {
	switch frame.Type {
	case 'S':
		return y.takeParameter(ctx, frame)
	case 'E':
		y.takeError(frame)
	case '1':
		if y.takeParsed() {
			return nil
		}
		y.pass(frame)
	case '3':
		if y.takeClosed() {
			return nil
		}
		y.pass(frame)
	case 'G', 'H', 'W':
		return y.takeCopy(frame)
	case 'D':
		if !y.known {
			// Rows of a state that nobody knows can't be checked.
			return resultLost{}
		}
		y.pass(frame)
	case 'd', 'c', 'A':
		return nil
	default:
		y.pass(frame)
	}
	return y.moveOn(ctx)
}

func (y *relay) pass(frame postgres.Frame) {
	if !y.behind && !y.copying {
		y.s.work.out = append(y.s.work.out, frame.Raw...)
	}
}

// takeParsed notes that a statement is prepared, and reports whether the caller
// did not ask for it.
func (y *relay) takeParsed() bool {
	if len(y.o.parses) == 0 {
		return false
	}
	one := y.o.parses[0]
	y.o.parses = y.o.parses[1:]
	if one.statement.backend != "" {
		y.r.conn.State.PreparedStatements[one.statement.backend] = struct{}{}
	}
	if !one.swallow {
		y.s.statements.put(one.statement)
	}
	return one.swallow
}

func (y *relay) takeClosed() bool {
	if len(y.o.closes) == 0 {
		return false
	}
	one := y.o.closes[0]
	y.o.closes = y.o.closes[1:]
	if one.statement != nil {
		y.s.statements.drop(one.statement.name)
	}
	return one.swallow
}

// takeParameter acts on the parameters of the databases' protocol and passes on
// the others.
func (y *relay) takeParameter(ctx context.Context, frame postgres.Frame) result {
	name, rest, ok := cutString(frame.Body())
	if !ok {
		return resultLost{}
	}
	switch string(name) {
	case groupPosition, groupCommit:
		value, _, _ := cutString(rest)
		position, err := model.ParsePosition(string(value))
		if err != nil {
			return resultLost{}
		}
		return y.takePosition(ctx, position, string(name) == groupCommit)
	}
	if len(name) < len(groupPrefix) || string(name[:len(groupPrefix)]) != groupPrefix {
		y.pass(frame)
	}
	return nil
}

func (y *relay) takePosition(ctx context.Context, position model.Position, commit bool) result {
	if y.streaming {
		// What came before was of a state that is proven.
		err := y.s.flush()
		if err != nil {
			return resultUnread{cause: err}
		}
		y.r.passed = true
		y.streaming = false
	}
	y.known = true
	y.r.position = y.r.position.Max(position)
	if commit {
		y.commit = y.commit.Max(position)
		return nil
	}
	if position.Less(y.r.dispatch.MinPosition) {
		return y.takeBehind()
	}
	return y.moveOn(ctx)
}

// takeBehind acts on a state that is too old for the caller. Where nothing was
// passed on, the work can be run elsewhere.
func (y *relay) takeBehind() result {
	if y.r.passed || !y.r.first {
		return resultStopped{problem: problemBehind}
	}
	y.behind = y.r.dispatch.Access == model.AccessRead
	if !y.behind {
		// A primary of the right term that lacks what the group has proven
		// can't be trusted with a write; its outcome has to be settled.
		return resultLost{}
	}
	return nil
}

// finish judges the whole answer.
func (y *relay) finish(frame postgres.Frame) result {
	body := frame.Body()
	if len(body) != 1 {
		return resultLost{}
	}
	y.r.status = body[0]
	y.copying = false
	if y.preludeFailed {
		return y.finishUnsure()
	}
	if y.commit.IsZero() && y.refusal != nil {
		return *y.refusal
	}
	if y.commit.IsZero() && y.behind {
		return resultBehind{}
	}
	return resultWhole{
		commit:   y.commit,
		failure:  y.failure,
		unproven: len(y.s.work.out) > 0 && !y.mayPass(),
	}
}

// finishUnsure judges an answer that came although a query of the proxy's own
// had failed: unless the database refused the work as well, it may have run
// without the guard of a term.
func (y *relay) finishUnsure() result {
	if y.refusal != nil && y.commit.IsZero() {
		y.r.conn.Taint()
		return *y.refusal
	}
	return resultLost{}
}
