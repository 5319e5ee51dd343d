package caller

import (
	"context"
	"sync/atomic"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// provenCell holds up to which position the log of one group is proven.
type provenCell struct {
	position atomic.Pointer[model.Position]
}

func (c *provenCell) set(position model.Position) { c.position.Store(&position) }

// covers reports whether a position is proven: it is at or below what was told
// last, in the same term. Another term proves nothing.
func (c *provenCell) covers(position model.Position) bool {
	proven := c.position.Load()
	return proven != nil && covers(*proven, position)
}

func covers(proven, position model.Position) bool {
	return proven.Term == position.Term && position.Offset <= proven.Offset
}

// mayPass reports whether what has been read so far may go to the caller.
func (y *relay) mayPass() bool {
	if !y.commit.IsZero() || y.behind {
		return false
	}
	if !y.r.dispatch.HoldUntilDurable || !y.known {
		return true
	}
	return covers(y.r.released, y.r.position) || y.s.proven.covers(y.r.position)
}

// moveOn sends on what may be sent, at a good moment, and stops reading where
// too much waits for a proof.
func (y *relay) moveOn(ctx context.Context) result {
	waiting := len(y.s.work.out)
	if !y.streaming && waiting > 0 {
		y.streaming = y.mayStream(waiting)
	}
	if !y.streaming && waiting > holdLimit {
		end := y.holdHere(ctx)
		if end != nil {
			return end
		}
	}
	if !y.streaming || waiting == 0 {
		return nil
	}
	if waiting < flushSize && y.r.conn.Reader.Buffered() > 0 {
		return nil
	}
	err := y.s.flush()
	if err != nil {
		return resultUnread{cause: err}
	}
	y.r.passed = true
	return nil
}

// mayStream reports whether the answer's position allows to pass it on before
// its end. Answers to writes are held back for a while even then: until a part
// of them has passed, the write can be run again if the database refuses it.
func (y *relay) mayStream(waiting int) bool {
	if !y.known || y.refusal != nil || y.preludeFailed {
		return false
	}
	if y.r.first && y.r.dispatch.Access == model.AccessWrite && waiting < writeHold {
		return false
	}
	return y.mayPass()
}

// holdHere waits for the proof of a position while the answer is incomplete;
// the database's connection is not read meanwhile.
func (y *relay) holdHere(ctx context.Context) result {
	if !y.commit.IsZero() || y.behind || y.refusal != nil || y.preludeFailed {
		return nil
	}
	y.s.mailbox.done()
	end := y.s.awaitRelease(ctx, y.r)
	if end != nil {
		return end
	}
	y.streaming = true
	y.rearm()
	return nil
}
