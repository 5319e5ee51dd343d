package engine_test

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// result is the result that a caller got for a request.
type result string

const (
	resultNone           result = "no answer"
	resultDone           result = "done"
	resultNotRun         result = "not run"
	resultFailed         result = "failed, nothing committed"
	resultUnknown        result = "outcome unknown"
	resultConnectionLost result = "connection lost"
	// resultCommitted is reported to the caller with the SQLSTATE of an unknown
	// outcome.
	resultCommitted result = "committed, answer lost"
)

// fakeCaller is one request of one session, and its result.
type fakeCaller struct {
	node    *node
	session model.SessionID
	request model.RequestID
	kind    string
	// value is the value that a write appends.
	value string
	// returnedValues are the values of the log that a read returned, in order.
	returnedValues []string
	result         result
	detail         string
	token          model.Token
	position       model.Position
	startedAt      time.Time
	endedAt        time.Time
	attempts       int
	// transaction reports that the request runs in three exchanges: BEGIN, the
	// write, COMMIT.
	transaction bool
	// afterWrite is the write whose token a read passed.
	afterWrite *fakeCaller
}

// attempt is one dispatch as run by the fake edge.
type attempt struct {
	dispatch       message.Dispatch
	caller         *fakeCaller
	step           string
	resultPosition model.Position
	rows           []string
	ended          bool
	connectionLost bool
}

// newRequest opens a session at an instance, with or without a token, and sends one
// request.
func (w *world) newRequest(n *node, kind, value string, token model.Token) *fakeCaller {
	c := &fakeCaller{node: n, kind: kind, value: value}
	return w.openAndSend(c, message.SessionOpened{TokenPosition: token.Position}, message.RequestArrived{})
}

// newRoamingRequest opens a multi-connection session and sends one request with its
// own token.
func (w *world) newRoamingRequest(n *node, kind string, token model.Token) *fakeCaller {
	c := &fakeCaller{node: n, kind: kind}
	return w.openAndSend(c, message.SessionOpened{Roaming: true}, message.RequestArrived{TokenPosition: token.Position})
}

// newTransaction opens a session and sends a transaction that appends a value.
func (w *world) newTransaction(n *node, value string) *fakeCaller {
	c := &fakeCaller{node: n, kind: "post", value: value, transaction: true}
	return w.openAndSend(c, message.SessionOpened{}, message.RequestArrived{Transaction: true})
}

// openAndSend opens a caller's session at its instance and sends its request.
func (w *world) openAndSend(c *fakeCaller, opened message.SessionOpened, arrived message.RequestArrived) *fakeCaller {
	w.lastSession++
	c.session, c.request = w.lastSession, model.RequestID(w.lastSession)
	c.result, c.startedAt = resultNone, w.now
	w.callers = append(w.callers, c)
	c.node.callers[c.request] = c
	opened.Session, opened.Group, opened.Caller = c.session, "ratings", "officer"
	arrived.Session, arrived.Request, arrived.Kind = c.session, c.request, c.kind
	arrived.IdempotencyKey = fmt.Sprintf("%s-%d", c.node.name, c.request)
	c.node.deliverEvent(opened)
	c.node.deliverEvent(arrived)
	return c
}

func (c *fakeCaller) end(r result, detail string) {
	if c.result != resultNone {
		c.node.world.t.Errorf("%s of %s ended twice: %s, then %s", c.kind, c.value, c.result, r)
		return
	}
	c.result, c.detail, c.endedAt = r, detail, c.node.world.now
	c.node.deliverEvent(message.SessionClosed{Session: c.session})
}

// -----------------------------------------------------------------------------
// The fake of the caller server and the data connections.

func (n *node) performCallerAction(action message.Action) {
	switch a := action.(type) {
	case message.Dispatch:
		n.dispatch(a)
	case message.SetDurablePosition:
		n.durable = a.Position
	case message.ReleaseResult:
		if run := n.running[a.Request]; run != nil && run.dispatch.Attempt == a.Attempt && !run.ended {
			n.releaseRows(run)
		}
	case message.AcknowledgeCommit:
		if c := n.callers[a.Request]; c != nil {
			c.token = a.Token
			c.end(n.running[a.Request].acknowledgedResult(), "")
		}
	case message.RefuseRequest:
		if c := n.callers[a.Request]; c != nil {
			c.end(resultNotRun, a.Reason.String())
		}
	case message.AbortRequest:
		if c := n.callers[a.Request]; c != nil && a.OutcomeUnknown {
			c.end(resultUnknown, a.Reason)
		} else if c != nil {
			c.end(resultFailed, a.Reason)
		}
	case message.CloseConnection:
		if run := n.running[a.Request]; run != nil && run.dispatch.Attempt == a.Attempt {
			n.finish(run, message.OutcomeConnectionLost{MayHaveCommitted: run.isCommitting()})
		}
	}
}

func (a *attempt) isCommitting() bool {
	if a.dispatch.Access != model.AccessWrite {
		return false
	}
	return !a.caller.transaction || a.step == "commit"
}

// acknowledgedResult returns the result of an acknowledged commit: done, or
// committed if the response was lost.
func (a *attempt) acknowledgedResult() result {
	if a.connectionLost && !a.caller.transaction {
		return resultCommitted
	}
	return resultDone
}

// finish reports the outcome of an attempt to the engine, once.
func (n *node) finish(run *attempt, answer message.Outcome) {
	if run.ended {
		return
	}
	_, run.connectionLost = answer.(message.OutcomeConnectionLost)
	run.ended = true
	n.deliverEvent(message.AttemptEnded{Request: run.dispatch.Request, Attempt: run.dispatch.Attempt, Outcome: answer, Elapsed: statementTime})
}

func (n *node) dispatch(a message.Dispatch) {
	w := n.world
	c := n.callers[a.Request]
	if c == nil {
		return
	}
	c.attempts++
	run := &attempt{dispatch: a, caller: c, step: "work"}
	n.running[a.Request] = run
	w.after(a.Deadline.Sub(w.now)+tick, func() { n.finish(run, message.OutcomeConnectionLost{MayHaveCommitted: run.isCommitting()}) })
	if c.transaction {
		run.step = "begin"
		n.runStatement(run, func() { n.runStatement(run, func() { n.runCommittingStatement(run) }) })
		return
	}
	n.runCommittingStatement(run)
}

// runStatement runs a statement of an open transaction that does not commit.
func (n *node) runStatement(run *attempt, next func()) {
	n.roundTrip(run, func(d *fakeDatabase) func() {
		if rejected := d.rejection(run); rejected != nil {
			return func() { n.rejected(run, rejected) }
		}
		return func() {
			run.step = "open"
			next()
		}
	})
}

func (n *node) rejected(run *attempt, answer message.Outcome) {
	if run.step == "open" {
		answer = message.OutcomeConnectionLost{}
	}
	n.finish(run, answer)
}

// runCommittingStatement runs the statement that may commit: the only one, or the
// COMMIT of a transaction.
func (n *node) runCommittingStatement(run *attempt) {
	if run.caller.transaction {
		run.step = "commit"
	}
	n.roundTrip(run, func(d *fakeDatabase) func() {
		if rejected := d.rejection(run); rejected != nil {
			return func() { n.finish(run, rejected) }
		}
		if run.dispatch.Access == model.AccessWrite {
			position, ok := d.commit(run.dispatch.IdempotencyKey, run.caller.value, false)
			if !ok {
				return func() { n.finish(run, message.OutcomeNotStarted{Reason: message.NotStartedDuplicateKey}) }
			}
			return func() { n.finish(run, message.OutcomeCommitted{Position: position}) }
		}
		position := d.applied()
		var rows []string
		for _, e := range d.appliedLog() {
			if !e.neverCommitted && e.key != "" {
				rows = append(rows, e.value)
			}
		}
		return func() { n.rows(run, position, rows) }
	})
}

// rejection returns the outcome with which a database rejects the attempt, or nil
// if it runs it.
func (d *fakeDatabase) rejection(run *attempt) message.Outcome {
	switch {
	case d.term != run.dispatch.Term:
		return message.OutcomeNotStarted{Reason: message.NotStartedWrongTerm}
	case run.dispatch.Access == model.AccessWrite && d.role != model.RolePrimary:
		return message.OutcomeNotStarted{Reason: message.NotStartedReadOnly}
	}
	return nil
}

// roundTrip delivers a request to the database and its response back. A connection
// to a dead database is refused; a request in flight when the database dies is
// lost.
func (n *node) roundTrip(run *attempt, serve func(d *fakeDatabase) func()) {
	w := n.world
	d := w.database(run.dispatch.Database)
	if d.dead && run.step != "open" && run.step != "commit" {
		w.after(w.messageDelay(), func() { n.finish(run, message.OutcomeNotStarted{Reason: message.NotStartedUnreachable}) })
		return
	}
	w.after(w.messageDelay()+statementTime, func() {
		if d.dead {
			n.finish(run, message.OutcomeConnectionLost{MayHaveCommitted: run.isCommitting()})
			return
		}
		if run.ended || !w.isConnected(n.name, string(d.name)) || d.unresponsiveTo[n.name] {
			n.checkSilentConnection(run, d)
			return
		}
		d.runOrDefer(func() {
			answer := serve(d)
			w.after(w.messageDelay(), func() {
				switch {
				case n.dead || run.ended:
				case d.dead:
					n.finish(run, message.OutcomeConnectionLost{MayHaveCommitted: run.isCommitting()})
				case w.isConnected(n.name, string(d.name)) && !d.unresponsiveTo[n.name]:
					answer()
				default:
					n.checkSilentConnection(run, d)
				}
			})
		})
	})
}

// checkSilentConnection simulates the check of a silent connection by opening a new
// one. It is repeated while the new connection does not work either.
func (n *node) checkSilentConnection(run *attempt, d *fakeDatabase) {
	n.world.after(run.dispatch.SilenceTimeout, func() {
		if run.ended {
			return
		}
		if d.dead || d.frozen || !n.world.isConnected(n.name, string(d.name)) {
			n.checkSilentConnection(run, d)
			return
		}
		delete(d.unresponsiveTo, n.name)
		n.finish(run, message.OutcomeConnectionLost{MayHaveCommitted: run.isCommitting(), Unresponsive: true})
	})
}

// rows checks the position of the response before its first row goes to the caller.
func (n *node) rows(run *attempt, position model.Position, rows []string) {
	if position.Less(run.dispatch.MinPosition) {
		n.finish(run, message.OutcomeBehind{Position: position})
		return
	}
	run.resultPosition, run.rows = position, rows
	if !run.dispatch.HoldUntilDurable || position.IsZero() || position.Term == n.durable.Term && !n.durable.Less(position) {
		n.releaseRows(run)
		return
	}
	n.deliverEvent(message.ResultHeld{Request: run.dispatch.Request, Attempt: run.dispatch.Attempt, Position: position})
}

func (n *node) releaseRows(run *attempt) {
	run.caller.returnedValues, run.caller.position = run.rows, run.resultPosition
	n.finish(run, message.OutcomeRead{Position: run.resultPosition})
	run.caller.end(resultDone, string(run.dispatch.Database))
}
