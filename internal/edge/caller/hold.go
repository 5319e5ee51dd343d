package caller

import (
	"context"
	"sync/atomic"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// durablePosition holds the position up to which the log of a group is durable.
type durablePosition struct {
	position atomic.Pointer[model.Position]
}

func (d *durablePosition) set(position model.Position) { d.position.Store(&position) }

// covers reports whether a position is durable: it is in the term of the last
// reported durable position, and not beyond it. A durable position of another
// term says nothing about it.
func (d *durablePosition) covers(position model.Position) bool {
	durable := d.position.Load()
	return durable != nil && covers(*durable, position)
}

func covers(durable, position model.Position) bool {
	return durable.Term == position.Term && position.Offset <= durable.Offset
}

// mayForward reports whether the part of the answer read so far may go to the
// caller.
func (rl *relay) mayForward() bool {
	if !rl.commitPosition.IsZero() || rl.behind {
		return false
	}
	if !rl.request.dispatch.HoldUntilDurable || !rl.positionKnown {
		return true
	}
	return covers(rl.request.releasedPosition, rl.request.position) || rl.session.durable.covers(rl.request.position)
}

// forwardBuffered sends the buffered part of an answer if it may go to the
// caller and is large enough or the database has sent no more. If too much is
// buffered, it waits until the position is durable before it reads on.
func (rl *relay) forwardBuffered(ctx context.Context) result {
	buffered := len(rl.session.workspace.output)
	if !rl.streaming && buffered > 0 {
		rl.streaming = rl.mayStream(buffered)
	}
	if !rl.streaming && buffered > maxHeldAnswer {
		res := rl.holdIncomplete(ctx)
		if res != nil {
			return res
		}
	}
	if !rl.streaming || buffered == 0 {
		return nil
	}
	if buffered < flushSize && rl.request.conn.Reader.Buffered() > 0 {
		return nil
	}
	err := rl.session.flush()
	if err != nil {
		return resultSessionEnded{cause: err}
	}
	rl.request.partlySent = true
	return nil
}

// mayStream reports whether the position of the answer allows sending it before
// it is complete. The first part of an answer to a write is held back even
// then: until some of it was sent, the write can be run again if the database
// refuses it.
func (rl *relay) mayStream(buffered int) bool {
	if !rl.positionKnown || rl.notStarted != nil || rl.setupQueryFailed {
		return false
	}
	if rl.request.firstBatch && rl.request.dispatch.Access == model.AccessWrite && buffered < writeHoldSize {
		return false
	}
	return rl.mayForward()
}

// holdIncomplete waits until the position of an incomplete answer is durable.
// The backend connection is not read meanwhile.
func (rl *relay) holdIncomplete(ctx context.Context) result {
	if !rl.commitPosition.IsZero() || rl.behind || rl.notStarted != nil || rl.setupQueryFailed {
		return nil
	}
	rl.session.mailbox.endReadLimit()
	res := rl.session.awaitRelease(ctx, rl.request)
	if res != nil {
		return res
	}
	rl.streaming = true
	rl.rearm()
	return nil
}
