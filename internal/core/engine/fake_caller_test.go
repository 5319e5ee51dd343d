package engine_test

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// result is what a caller got for a request.
type result string

const (
	resultNone    result = "no answer"
	resultDone    result = "done"
	resultNotRun  result = "not run"
	resultFailed  result = "failed, nothing committed"
	resultUnknown result = "outcome unknown"
	resultCut     result = "connection lost"
	// resultCommitted is reported with the SQLSTATE of an unknown outcome.
	resultCommitted result = "committed, answer lost"
)

// fakeCaller is one request of one session, and what came of it.
type fakeCaller struct {
	node    *node
	session model.SessionID
	request model.RequestID
	kind    string
	// value is what a write appends.
	value string
	// saw is what a read returned: the values of the log, in order.
	saw      []string
	result   result
	why      string
	token    model.Token
	position model.Position
	began    time.Time
	ended    time.Time
	attempts int
	// transaction runs the work in three exchanges: BEGIN, the write, COMMIT.
	transaction bool
	// after is the write whose token a read brought along.
	after *fakeCaller
}

// attempt is what the fake edge runs for one dispatch.
type attempt struct {
	dispatch message.Dispatch
	caller   *fakeCaller
	step     string
	held     model.Position
	rows     []string
	ended    bool
	lost     bool
}

// call opens a session at an instance, with a token or none, and sends one
// request.
func (w *world) call(n *node, kind, value string, token model.Token) *fakeCaller {
	c := &fakeCaller{node: n, kind: kind, value: value}
	return w.open(c, message.SessionOpened{TokenPosition: token.Position}, message.RequestArrived{})
}

// callRoaming opens a session that is spread over several connections and sends
// one request with a token of its own.
func (w *world) callRoaming(n *node, kind string, token model.Token) *fakeCaller {
	c := &fakeCaller{node: n, kind: kind}
	return w.open(c, message.SessionOpened{Roaming: true}, message.RequestArrived{TokenPosition: token.Position})
}

// begin opens a session and sends a transaction that appends a value.
func (w *world) begin(n *node, value string) *fakeCaller {
	c := &fakeCaller{node: n, kind: "post", value: value, transaction: true}
	return w.open(c, message.SessionOpened{}, message.RequestArrived{Transaction: true})
}

// open sends a caller's session and request to its instance.
func (w *world) open(c *fakeCaller, opened message.SessionOpened, arrived message.RequestArrived) *fakeCaller {
	w.lastSession++
	c.session, c.request = w.lastSession, model.RequestID(w.lastSession)
	c.result, c.began = resultNone, w.now
	w.callers = append(w.callers, c)
	c.node.callers[c.request] = c
	opened.Session, opened.Group, opened.Caller = c.session, "ratings", "officer"
	arrived.Session, arrived.Request, arrived.Kind = c.session, c.request, c.kind
	arrived.IdempotencyKey = fmt.Sprintf("%s-%d", c.node.name, c.request)
	c.node.post(opened)
	c.node.post(arrived)
	return c
}

func (c *fakeCaller) end(r result, why string) {
	if c.result != resultNone {
		c.node.world.t.Errorf("%s of %s ended twice: %s, then %s", c.kind, c.value, c.result, r)
		return
	}
	c.result, c.why, c.ended = r, why, c.node.world.now
	c.node.post(message.SessionClosed{Session: c.session})
}

// -----------------------------------------------------------------------------
// The fake of the caller edge and the data connections.

func (n *node) actCaller(action message.Action) {
	switch a := action.(type) {
	case message.Dispatch:
		n.dispatch(a)
	case message.SetDurablePosition:
		n.proven = a.Position
	case message.ReleaseResult:
		if run := n.running[a.Request]; run != nil && run.dispatch.Attempt == a.Attempt && !run.ended {
			n.pass(run)
		}
	case message.AcknowledgeCommit:
		if c := n.callers[a.Request]; c != nil {
			c.token = a.Token
			c.end(n.running[a.Request].acknowledged(), "")
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

// acknowledged is what a caller gets of a commit: its answer, or, where that was
// lost, the word that the work is committed.
func (a *attempt) acknowledged() result {
	if a.lost && !a.caller.transaction {
		return resultCommitted
	}
	return resultDone
}

// finish ends an attempt towards the engine, once.
func (n *node) finish(run *attempt, answer message.Outcome) {
	if run.ended {
		return
	}
	_, run.lost = answer.(message.OutcomeConnectionLost)
	run.ended = true
	n.post(message.AttemptEnded{Request: run.dispatch.Request, Attempt: run.dispatch.Attempt, Outcome: answer, Elapsed: workTime})
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
		n.statement(run, func() { n.statement(run, func() { n.commitWork(run) }) })
		return
	}
	n.commitWork(run)
}

// statement runs a statement of an open transaction that commits nothing.
func (n *node) statement(run *attempt, next func()) {
	n.roundTrip(run, func(d *fakeDatabase) func() {
		if refused := d.refuses(run); refused != nil {
			return func() { n.refused(run, refused) }
		}
		return func() {
			run.step = "open"
			next()
		}
	})
}

func (n *node) refused(run *attempt, answer message.Outcome) {
	if run.step == "open" {
		answer = message.OutcomeConnectionLost{}
	}
	n.finish(run, answer)
}

// commitWork runs the statement, or the COMMIT, that may commit.
func (n *node) commitWork(run *attempt) {
	if run.caller.transaction {
		run.step = "commit"
	}
	n.roundTrip(run, func(d *fakeDatabase) func() {
		if refused := d.refuses(run); refused != nil {
			return func() { n.finish(run, refused) }
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
			if !e.never && e.key != "" {
				rows = append(rows, e.value)
			}
		}
		return func() { n.rows(run, position, rows) }
	})
}

// refuses tells why a database does not run the work.
func (d *fakeDatabase) refuses(run *attempt) message.Outcome {
	switch {
	case d.term != run.dispatch.Term:
		return message.OutcomeNotStarted{Reason: message.NotStartedWrongTerm}
	case run.dispatch.Access == model.AccessWrite && d.role != model.RolePrimary:
		return message.OutcomeNotStarted{Reason: message.NotStartedReadOnly}
	}
	return nil
}

// roundTrip carries work to the database and the answer back. A connection to
// a dead database is refused; work on its way when the database dies is lost.
func (n *node) roundTrip(run *attempt, serve func(d *fakeDatabase) func()) {
	w := n.world
	d := w.database(run.dispatch.Database)
	if d.dead && run.step != "open" && run.step != "commit" {
		w.after(w.delay(), func() { n.finish(run, message.OutcomeNotStarted{Reason: message.NotStartedUnreachable}) })
		return
	}
	w.after(w.delay()+workTime, func() {
		if d.dead {
			n.finish(run, message.OutcomeConnectionLost{MayHaveCommitted: run.isCommitting()})
			return
		}
		if run.ended || !w.linked(n.name, string(d.name)) || d.mute[n.name] {
			n.suspect(run, d)
			return
		}
		d.do(func() {
			answer := serve(d)
			w.after(w.delay(), func() {
				switch {
				case n.dead || run.ended:
				case d.dead:
					n.finish(run, message.OutcomeConnectionLost{MayHaveCommitted: run.isCommitting()})
				case w.linked(n.name, string(d.name)) && !d.mute[n.name]:
					answer()
				default:
					n.suspect(run, d)
				}
			})
		})
	})
}

// suspect stands for the check of a silent connection by a new one, repeated
// while that one does not work either.
func (n *node) suspect(run *attempt, d *fakeDatabase) {
	n.world.after(run.dispatch.SilenceTimeout, func() {
		if run.ended {
			return
		}
		if d.dead || d.frozen || !n.world.linked(n.name, string(d.name)) {
			n.suspect(run, d)
			return
		}
		delete(d.mute, n.name)
		n.finish(run, message.OutcomeConnectionLost{MayHaveCommitted: run.isCommitting(), Unresponsive: true})
	})
}

// rows checks the answer's position before the first row goes to the caller.
func (n *node) rows(run *attempt, position model.Position, rows []string) {
	if position.Less(run.dispatch.MinPosition) {
		n.finish(run, message.OutcomeBehind{Position: position})
		return
	}
	run.held, run.rows = position, rows
	if !run.dispatch.HoldUntilDurable || position.IsZero() || position.Term == n.proven.Term && !n.proven.Less(position) {
		n.pass(run)
		return
	}
	n.post(message.ResultHeld{Request: run.dispatch.Request, Attempt: run.dispatch.Attempt, Position: position})
}

func (n *node) pass(run *attempt) {
	run.caller.saw, run.caller.position = run.rows, run.held
	n.finish(run, message.OutcomeRead{Position: run.held})
	run.caller.end(resultDone, string(run.dispatch.Database))
}
