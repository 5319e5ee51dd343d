package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
)

// takeError acts on an error of the database.
func (y *relay) takeError(frame postgres.Frame) {
	var response pgproto3.ErrorResponse
	if response.Decode(frame.Body()) != nil {
		return
	}
	y.failure = &response
	y.r.conn.State.GroupSettingsUncertain = y.r.conn.State.GroupSettingsUncertain || y.wasSetUp
	// After an error the database skips the rest of an extended batch.
	y.o.parses = nil
	y.o.closes = nil
	if y.copying {
		y.s.say(problemCopy)
		y.r.state = problemCopy.state
		return
	}
	why, ours := y.refusedWhy(response.Code)
	if !ours {
		if !y.r.failed {
			y.r.state = response.Code
		}
		y.pass(frame)
		return
	}
	if y.r.first && !y.r.passed {
		y.refusal = &resultRefused{why: why}
	}
	p := y.rewritten(response)
	y.r.state = p.state
	y.s.say(p)
}

// refusedWhy tells whether an error is a word between database and proxy.
func (y *relay) refusedWhy(state string) (message.NotStartedReason, bool) {
	switch state {
	case stateTerm:
		return message.NotStartedWrongTerm, true
	case stateDuplicate:
		return message.NotStartedDuplicateKey, true
	case stateReadOnly:
		return message.NotStartedReadOnly, y.r.dispatch.Access == model.AccessWrite
	}
	return 0, false
}

// rewritten returns what the caller gets for such an error where the work can't
// be run elsewhere any more.
func (y *relay) rewritten(response pgproto3.ErrorResponse) *problem {
	if response.Code == stateDuplicate && y.r.ownKey {
		p := refusals[message.RefuseDuplicateKey]
		return p.with(response.Message)
	}
	return problemFenced.with(response.Message)
}

// takeCopy turns a COPY down without losing the protocol's step.
func (y *relay) takeCopy(frame postgres.Frame) result {
	y.copying = true
	y.r.conn.Taint()
	if frame.Type != 'G' {
		return resultStopped{problem: problemCopy}
	}
	refusal, _ := (&pgproto3.CopyFail{Message: "COPY is not supported"}).Encode(nil)
	if y.b.extended {
		// The Sync of the batch was swallowed by the copy mode.
		refusal, _ = (&pgproto3.Sync{}).Encode(refusal)
	}
	_, err := y.r.conn.Write(refusal, sendTimeout)
	if err != nil {
		return resultLost{}
	}
	return nil
}
