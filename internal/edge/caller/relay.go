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
	// maxHeldAnswer is the maximum size of an answer that is held until its
	// position is durable, in bytes. Beyond it the database is not read any
	// further.
	maxHeldAnswer = 4 << 20
	// writeHoldSize is the size up to which an answer to a write is held back even
	// if its position is durable, in bytes, so that the write can be run again if
	// its connection breaks.
	writeHoldSize = 64 << 10
	// flushSize is the size from which rows are sent without waiting for more,
	// in bytes.
	flushSize = 32 << 10
)

// Parameters of the protocol of the databases, and the token for callers.
const (
	groupPrefix    = "group_"
	groupPosition  = "group_position"
	groupCommit    = "group_commit"
	tokenParameter = "eelgrassfold.token"
)

// relay forwards the answer to one batch from a backend connection to the
// caller.
type relay struct {
	session  *session
	request  *request
	batch    *batch
	outgoing *outgoing

	timers timers
	// setupQueryFailed is true if a setup query of the proxy failed.
	setupQueryFailed bool
	// setupInBatch is true if the batch itself set the group settings, which a
	// failure of the batch rolls back.
	setupInBatch bool
	// positionKnown is true once the answer has reported its position.
	positionKnown bool
	// behind is true if the position is older than the minimum position.
	behind bool
	// streaming is true if frames are sent to the caller as they arrive.
	streaming      bool
	commitPosition model.Position
	databaseError  *pgproto3.ErrorResponse
	// notStarted is set if the database reported that nothing was run, and is
	// nil otherwise.
	notStarted *resultNotStarted
	// rejectingCopy is true while a COPY is being rejected.
	rejectingCopy bool
}

// newRelay initializes the relay of the session for an exchange.
func newRelay(s *session, r *request, b *batch) *relay {
	rl := &s.workspace.relay
	*rl = relay{session: s, request: r, batch: b, outgoing: &s.workspace.outgoing}
	return rl
}

// run reads the answer up to its ReadyForQuery.
func (rl *relay) run(ctx context.Context) result {
	rl.startTimers(time.Now())
	for {
		frame, res := rl.readFrame(ctx)
		if res != nil {
			return res
		}
		if rl.outgoing.pendingSetupQueries > 0 {
			rl.handleSetupQueryFrame(frame)
			continue
		}
		if rl.outgoing.pendingSetupStatements > 0 && rl.handleSetupStatementFrame(frame) {
			continue
		}
		if frame.Type == 'Z' {
			return rl.finish(frame)
		}
		res = rl.handleFrame(ctx, frame)
		if res != nil {
			return res
		}
	}
}

// handleSetupQueryFrame drops the answers to the setup queries of the proxy.
func (rl *relay) handleSetupQueryFrame(frame postgres.Frame) {
	switch frame.Type {
	case 'Z':
		rl.outgoing.pendingSetupQueries--
	case 'E':
		rl.setupQueryFailed = true
	}
}

// handleSetupStatementFrame drops the answers to the setup statements of the
// proxy within the batch, and reports whether the frame was one. If one of them
// fails, the database skips everything up to the end of the batch.
func (rl *relay) handleSetupStatementFrame(frame postgres.Frame) bool {
	switch frame.Type {
	case 'Z':
		return false
	case 'C':
		rl.outgoing.pendingSetupStatements--
		rl.setupInBatch = true
	case 'E':
		rl.handleSetupError(frame)
	}
	return true
}

// handleSetupError handles the failure of a setup statement of the proxy.
// Nothing of the caller's batch has run.
func (rl *relay) handleSetupError(frame postgres.Frame) {
	rl.outgoing.pendingSetupStatements = 0
	rl.request.conn.Taint()
	rl.notStarted = &resultNotStarted{reason: message.NotStartedBrokenConnection}
	var response pgproto3.ErrorResponse
	if response.Decode(frame.Body()) == nil && response.Code == stateWrongTerm {
		rl.notStarted.reason = message.NotStartedWrongTerm
	}
}

// handleFrame handles one frame of the answer to the caller's batch.
func (rl *relay) handleFrame(ctx context.Context, frame postgres.Frame) result {
	switch frame.Type {
	case 'S':
		return rl.handleParameterStatus(ctx, frame)
	case 'E':
		rl.handleError(frame)
	case '1':
		if rl.handleParseComplete() {
			return nil
		}
		rl.bufferFrame(frame)
	case '3':
		if rl.handleCloseComplete() {
			return nil
		}
		rl.bufferFrame(frame)
	case 'G', 'H', 'W':
		return rl.rejectCopy(frame)
	case 'D':
		if !rl.positionKnown {
			// Rows read at an unknown position cannot be checked.
			return resultConnectionLost{}
		}
		rl.bufferFrame(frame)
	case 'd', 'c', 'A':
		return nil
	default:
		rl.bufferFrame(frame)
	}
	return rl.forwardBuffered(ctx)
}

func (rl *relay) bufferFrame(frame postgres.Frame) {
	if !rl.behind && !rl.rejectingCopy {
		rl.session.workspace.output = append(rl.session.workspace.output, frame.Raw...)
	}
}

// handleParseComplete records that a statement is prepared, and reports whether
// the answer is dropped because the caller did not ask for it.
func (rl *relay) handleParseComplete() bool {
	if len(rl.outgoing.expectedParses) == 0 {
		return false
	}
	expected := rl.outgoing.expectedParses[0]
	rl.outgoing.expectedParses = rl.outgoing.expectedParses[1:]
	if expected.statement.backendName != "" {
		rl.request.conn.State.PreparedStatements[expected.statement.backendName] = struct{}{}
	}
	if !expected.suppress {
		rl.session.statements.put(expected.statement)
	}
	return expected.suppress
}

func (rl *relay) handleCloseComplete() bool {
	if len(rl.outgoing.expectedCloses) == 0 {
		return false
	}
	expected := rl.outgoing.expectedCloses[0]
	rl.outgoing.expectedCloses = rl.outgoing.expectedCloses[1:]
	if expected.statement != nil {
		rl.session.statements.drop(expected.statement.name)
	}
	return expected.suppress
}

// handleParameterStatus handles the parameters of the protocol of the databases
// and forwards all others.
func (rl *relay) handleParameterStatus(ctx context.Context, frame postgres.Frame) result {
	name, rest, ok := cutString(frame.Body())
	if !ok {
		return resultConnectionLost{}
	}
	switch string(name) {
	case groupPosition, groupCommit:
		value, _, _ := cutString(rest)
		position, err := model.ParsePosition(string(value))
		if err != nil {
			return resultConnectionLost{}
		}
		return rl.handlePosition(ctx, position, string(name) == groupCommit)
	}
	if len(name) < len(groupPrefix) || string(name[:len(groupPrefix)]) != groupPrefix {
		rl.bufferFrame(frame)
	}
	return nil
}

func (rl *relay) handlePosition(ctx context.Context, position model.Position, commit bool) result {
	if rl.streaming {
		// What was buffered before belongs to a durable position.
		err := rl.session.flush()
		if err != nil {
			return resultSessionEnded{cause: err}
		}
		rl.request.partlySent = true
		rl.streaming = false
	}
	rl.positionKnown = true
	rl.request.position = rl.request.position.Max(position)
	if commit {
		rl.commitPosition = rl.commitPosition.Max(position)
		return nil
	}
	if position.Less(rl.request.dispatch.MinPosition) {
		return rl.handleBehind()
	}
	return rl.forwardBuffered(ctx)
}

// handleBehind handles a position older than the minimum position. If nothing
// was sent to the caller, the request can be run elsewhere.
func (rl *relay) handleBehind() result {
	if rl.request.partlySent || !rl.request.firstBatch {
		return resultAborted{problem: problemBehind}
	}
	rl.behind = rl.request.dispatch.Access == model.AccessRead
	if !rl.behind {
		// A primary of the right term that lacks durable positions cannot be
		// trusted with a write; the outcome of the write is in doubt and has to
		// be resolved.
		return resultConnectionLost{}
	}
	return nil
}

// finish returns the result of a complete answer.
func (rl *relay) finish(frame postgres.Frame) result {
	body := frame.Body()
	if len(body) != 1 {
		return resultConnectionLost{}
	}
	rl.request.transactionStatus = body[0]
	rl.rejectingCopy = false
	if rl.setupQueryFailed {
		return rl.finishUncertain()
	}
	if rl.commitPosition.IsZero() && rl.notStarted != nil {
		return *rl.notStarted
	}
	if rl.commitPosition.IsZero() && rl.behind {
		return resultBehind{}
	}
	return resultComplete{
		commitPosition: rl.commitPosition,
		databaseError:  rl.databaseError,
		mustHold:       len(rl.session.workspace.output) > 0 && !rl.mayForward(),
	}
}

// finishUncertain returns the result of an answer that arrived although a setup
// query of the proxy had failed. Unless the database refused the batch as well,
// the batch may have run without the check of the term.
func (rl *relay) finishUncertain() result {
	if rl.notStarted != nil && rl.commitPosition.IsZero() {
		rl.request.conn.Taint()
		return *rl.notStarted
	}
	return resultConnectionLost{}
}
