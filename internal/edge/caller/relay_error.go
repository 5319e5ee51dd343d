package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
)

// handleError handles an error from the database.
func (rl *relay) handleError(frame postgres.Frame) {
	var response pgproto3.ErrorResponse
	if response.Decode(frame.Body()) != nil {
		return
	}
	rl.databaseError = &response
	rl.request.conn.State.GroupSettingsUncertain = rl.request.conn.State.GroupSettingsUncertain || rl.setupInBatch
	// After an error the database skips the rest of an extended batch.
	rl.outgoing.expectedParses = nil
	rl.outgoing.expectedCloses = nil
	if rl.rejectingCopy {
		rl.session.appendProblem(problemCopy)
		rl.request.sqlState = problemCopy.sqlState
		return
	}
	reason, isGroupProtocol := rl.classifyError(response.Code)
	if !isGroupProtocol {
		if !rl.request.alreadyFailed {
			rl.request.sqlState = response.Code
		}
		rl.bufferFrame(frame)
		return
	}
	if rl.request.firstBatch && !rl.request.partlySent {
		rl.notStarted = &resultNotStarted{reason: reason}
	}
	p := rl.callerProblem(response)
	rl.request.sqlState = p.sqlState
	rl.session.appendProblem(p)
}

// classifyError returns why a request was not started, and reports whether the
// error belongs to the protocol between database and proxy.
func (rl *relay) classifyError(sqlState string) (message.NotStartedReason, bool) {
	switch sqlState {
	case stateWrongTerm:
		return message.NotStartedWrongTerm, true
	case stateDuplicateKey:
		return message.NotStartedDuplicateKey, true
	case stateReadOnly:
		return message.NotStartedReadOnly, rl.request.dispatch.Access == model.AccessWrite
	}
	return 0, false
}

// callerProblem returns the error that the caller receives for such an error if
// the request cannot be run elsewhere any more.
func (rl *relay) callerProblem(response pgproto3.ErrorResponse) *problem {
	if response.Code == stateDuplicateKey && rl.request.callerSuppliedKey {
		p := refusalProblems[message.RefuseDuplicateKey]
		return p.withDetail(response.Message)
	}
	return problemFenced.withDetail(response.Message)
}

// rejectCopy rejects a COPY and keeps the protocol in step.
func (rl *relay) rejectCopy(frame postgres.Frame) result {
	rl.rejectingCopy = true
	rl.request.conn.Taint()
	if frame.Type != 'G' {
		return resultAborted{problem: problemCopy}
	}
	rejection, _ := (&pgproto3.CopyFail{Message: "COPY is not supported"}).Encode(nil)
	if rl.batch.extended {
		// The database consumed the Sync of the batch while it was in copy
		// mode.
		rejection, _ = (&pgproto3.Sync{}).Encode(rejection)
	}
	_, err := rl.request.conn.Write(rejection, sendTimeout)
	if err != nil {
		return resultConnectionLost{}
	}
	return nil
}
