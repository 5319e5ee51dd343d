package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/peer"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// replyShare is the part of a statement's remaining time in which the relay wants
	// the database's answer, and maxReplyTime the most that it leaves for the way back.
	replyShare = 0.05
	// readShare is the part of its remaining time that a read of a tenant outside a
	// transaction may run: its answer may have been lost.
	readShare    = 0.35
	maxReplyTime = 20 * time.Millisecond
)

// servedLink is the link from one peer.
type servedLink struct {
	server  *Server
	channel *peer.Channel
	outbox  *outbox
	closed  chan struct{}
	// cancel interrupts what runs for the link.
	cancel context.CancelFunc
	// statements counts those that are being served.
	statements sync.WaitGroup

	mu           sync.Mutex
	transactions map[uint64]*servedTransaction
}

// servedTransaction is an open transaction of a peer.
type servedTransaction struct {
	// running is held while a statement runs. execution is nil before the first
	// statement has got one and after the end. Both belong to the holder of running.
	running   sync.Mutex
	execution Execution
	ended     bool
	// cancel interrupts the statement that runs.
	ctx    context.Context
	cancel context.CancelFunc
}

func newServedLink(s *Server, channel *peer.Channel) *servedLink {
	return &servedLink{
		server: s, channel: channel, outbox: newOutbox(), closed: make(chan struct{}),
		transactions: map[uint64]*servedTransaction{},
	}
}

// run serves the link until it ends, and then interrupts its statements and rolls back
// its transactions.
func (l *servedLink) run(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, l.channel.Close)
	defer stop()
	writerEnded := make(chan struct{})
	go func() {
		if l.outbox.write(l.channel, l.closed) != nil {
			l.channel.Close()
		}
		close(writerEnded)
	}()
	l.read(ctx)
	l.channel.Close()
	l.cancel()
	close(l.closed)
	<-writerEnded
	l.endTransactions()
	l.statements.Wait()
	l.outbox.drop()
}

// read handles the messages that arrive until the link ends.
func (l *servedLink) read(ctx context.Context) {
	for {
		l.extendDeadline()
		content, err := l.channel.Read()
		if err != nil || len(content) == 0 {
			return
		}
		switch kind(content[0]) {
		case kindPing:
			l.outbox.push(&outgoing{content: []byte{byte(kindPong)}})
		case kindEnd:
			message, err := decode[end](content)
			if err != nil {
				return
			}
			if t := l.removeTransaction(message.Transaction); t != nil {
				t.cancel()
				l.spawn(t.end)
			}
		case kindRun:
			message, err := decode[run](content)
			if err != nil {
				return
			}
			l.serveStatement(ctx, &message, len(content))
		default:
		}
	}
}

// extendDeadline sets the time until which a frame has to arrive.
func (l *servedLink) extendDeadline() {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := unusedLinkTimeout
	if len(l.transactions) > 0 {
		timeout = openTransactionTimeout
	}
	l.channel.SetReadTimeout(timeout)
}

// spawn starts a goroutine that the end of the link waits for.
func (l *servedLink) spawn(run func()) {
	l.statements.Add(1)
	go func() {
		defer l.statements.Done()
		run()
	}()
}

// -----------------------------------------------------------------------------
// Statements.

// serveStatement runs a statement in a goroutine of its own, or refuses it at once.
func (l *servedLink) serveStatement(ctx context.Context, message *run, size int) {
	arrivedAt := clock.Now()
	if message.Statement.Type == statementAsk {
		l.answerAsk(message, arrivedAt)
		return
	}
	opensTransaction := message.Begin != nil
	isInTransaction := message.Transaction != 0 && !opensTransaction
	if reason := l.server.admit(size, isInTransaction, opensTransaction); reason != 0 {
		l.finish(message, arrivedAt, 0, reply{Reason: reason, Text: "this relay accepts no statement"})
		return
	}
	t := l.transactionOf(ctx, message.Transaction, opensTransaction)
	l.spawn(func() {
		if message.Transaction == 0 {
			t = newServedTransaction(ctx)
		}
		answer := l.runStatement(t, message, arrivedAt)
		if message.Transaction == 0 {
			t.end()
		}
		l.finish(message, arrivedAt, size, answer)
	})
}

func newServedTransaction(ctx context.Context) *servedTransaction {
	ctx, cancel := context.WithCancel(ctx)
	return &servedTransaction{ctx: ctx, cancel: cancel}
}

// transactionOf returns the transaction of that number, which is added if a statement
// opens it. It returns nil if there is none.
func (l *servedLink) transactionOf(ctx context.Context, number uint64, opens bool) *servedTransaction {
	l.mu.Lock()
	defer l.mu.Unlock()
	if opens {
		l.transactions[number] = newServedTransaction(ctx)
		l.channel.SetReadTimeout(openTransactionTimeout)
	}
	return l.transactions[number]
}

// removeTransaction removes and returns a transaction, or nil if there is none.
func (l *servedLink) removeTransaction(number uint64) *servedTransaction {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.transactions[number]
	if t != nil {
		delete(l.transactions, number)
		l.server.transactionEnded()
	}
	return t
}

// endTransactions ends all transactions of the link.
func (l *servedLink) endTransactions() {
	l.mu.Lock()
	numbers := make([]uint64, 0, len(l.transactions))
	for number := range l.transactions {
		numbers = append(numbers, number)
	}
	l.mu.Unlock()
	for _, number := range numbers {
		if t := l.removeTransaction(number); t != nil {
			l.server.spawn(t.end)
		}
	}
}

// end waits for the statement that runs, rolls the transaction back if it is open, and
// gives its reservation back. What must not wait calls cancel first.
func (t *servedTransaction) end() {
	t.running.Lock()
	defer t.running.Unlock()
	defer t.cancel()
	t.ended = true
	if t.execution != nil {
		t.execution.End()
		t.execution = nil
	}
}

// runStatement runs one statement and returns the reply.
func (l *servedLink) runStatement(t *servedTransaction, message *run, arrivedAt time.Time) reply {
	if t == nil {
		return reply{Reason: ReasonTransactionEnded, Text: "the relay has no such transaction"}
	}
	t.running.Lock()
	defer t.running.Unlock()
	stmt, isKnown := message.Statement.decode()
	switch {
	case t.ended:
		return reply{Reason: ReasonTransactionEnded, Text: "the transaction has ended"}
	case !isKnown:
		return reply{Reason: ReasonRefused, Text: "this statement is not relayed"}
	}
	if t.execution == nil {
		ctx, cancel := context.WithTimeout(t.ctx, message.Wait)
		execution, err := l.server.options.Executor.Reserve(ctx, orderOf(message, arrivedAt))
		cancel()
		if err != nil {
			return refusalReply(err)
		}
		t.execution = execution
	}
	state := backend.SessionState{Variables: message.Variables, Prepared: message.Prepared}
	if message.Begin != nil {
		state.Begin = &statement.Request{Statement: statement.Begin{ReadOnly: message.Begin.ReadOnly}, MinPosition: message.Begin.MinPosition}
	}
	sentAt := clock.Now()
	timeout := message.Remaining - min(time.Duration(replyShare*float64(message.Remaining)), maxReplyTime) - sentAt.Sub(arrivedAt)
	if message.Tenant != "" && message.Transaction == 0 && !message.isWrite() {
		// The peer may try another way for a read whose answer is lost.
		timeout = min(timeout, time.Duration(readShare*float64(message.Remaining)))
	}
	if timeout <= 0 {
		return reply{Reason: ReasonNoRoom, Text: "no time is left"}
	}
	request := statement.Request{ID: message.RequestID, Statement: stmt, MinPosition: message.MinPosition}
	answer, err := t.execution.Run(t.ctx, timeout, state, request, message.isWrite())
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal):
		return refusalReply(err)
	case err != nil:
		return reply{Lost: true, Text: err.Error()}
	}
	return reply{
		Answered: true, Rows: answer.Rows, Signature: answer.Signature, Failure: answer.Failure,
		TransactionState: answer.TransactionState, Position: answer.Position, Took: clock.Since(sentAt),
	}
}

// orderOf returns what the executor needs to know of a statement.
func orderOf(message *run, arrivedAt time.Time) Order {
	requirements := placement.Requirements{
		Group: message.Group, Rank: message.Rank, Tenant: message.Tenant, ArrivedAt: arrivedAt.Add(-message.Age),
		Deadline: arrivedAt.Add(message.Wait), RequiresPrimary: message.NeedsPrimary, Database: message.Database,
	}
	if message.HasTarget {
		requirements.Target = arrivedAt.Add(message.Target)
	}
	if message.PositionAge > 0 {
		requirements.MinPosition, requirements.MinPositionAsOf = message.MinPosition, arrivedAt.Add(-message.PositionAge)
	}
	return Order{
		Database: placement.Database{
			ID: message.Database, Group: message.Group, Address: message.Address, Incarnation: message.Incarnation,
		},
		Requirements: requirements, Variables: message.Variables,
	}
}

// answerAsk tells the peer when a database has last answered this instance.
func (l *servedLink) answerAsk(message *run, arrivedAt time.Time) {
	if reason := l.server.admit(0, false, false); reason != 0 {
		l.send(message.Call, 0, reply{Reason: reason, Text: "this relay accepts no statement"})
		return
	}
	age, err := l.server.options.Executor.AnswerAge(orderOf(message, arrivedAt))
	if err != nil {
		l.send(message.Call, 0, refusalReply(err))
	} else {
		l.send(message.Call, 0, reply{Answered: true, Took: age})
	}
	l.server.done(0, 0)
}

// refusalReply returns the reply for a statement that was not sent.
func refusalReply(err error) reply {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return reply{Reason: refusal.Reason, Text: refusal.Text, Wait: refusal.ExpectedWait}
	}
	return reply{Reason: ReasonNoWay, Text: err.Error()}
}

// send sends the reply to a call. size is what its statement was admitted with, zero if it
// was not admitted.
func (l *servedLink) send(call uint64, size int, answer reply) {
	answer.Call = call
	content, err := encode(kindReply, answer)
	if err != nil || len(content) > maxContent {
		answer = reply{Call: call, Lost: true, Text: "the answer does not fit into a frame"}
		content, _ = encode(kindReply, answer)
	}
	frame := &outgoing{content: content}
	if size > 0 {
		l.server.done(size, len(content))
		frame.written = func() { l.server.release(len(content)) }
	}
	if !l.outbox.push(frame) {
		// The peer reads too slowly. The end of the link tells it that the answers are lost.
		if frame.written != nil {
			frame.written()
		}
		l.channel.Close()
	}
}

// finish sends the reply to a statement and logs it.
func (l *servedLink) finish(message *run, arrivedAt time.Time, size int, answer reply) {
	l.send(message.Call, size, answer)
	outcome := "answered"
	switch {
	case answer.Reason != 0:
		outcome = answer.Reason.String()
	case answer.Lost:
		outcome = "lost"
	}
	counters.Add("served."+outcome, 1)
	l.server.logEvent(event.RelayServed, event.F("request", message.RequestID), event.F("from", l.channel.Peer()),
		event.F("database", message.Database), event.F("transaction", message.Transaction), event.F("rank", int(message.Rank)),
		event.F("outcome", outcome), event.F("text", answer.Text), event.F("took", clock.Since(arrivedAt).String()))
}
