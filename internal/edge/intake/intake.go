// Package intake bounds what the connections of callers make an instance hold, in either
// protocol: bytes, and descriptors.
//
// # What flows in and out
//
// Connections flow in, and each gets an account. What is read from a connection, what its
// session keeps and the answers that its caller has not read are drawn from a budget that
// all accounts share; package budget decides who waits and who gives way. Reading stops
// while the budget is short, so that the caller has to wait.
//
// # Usage
//
//	limits := intake.NewLimits(intake.Options{Memory: memory, Connections: connections, Log: log})
//	account := limits.Open(conn)
//	defer account.Close()
//	limited := intake.Conn{Conn: conn, Account: account}
package intake

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/budget"
	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// freeBytes is the size up to which a message or an answer is part of the fixed cost
	// of a connection, so that ordinary requests draw nothing.
	freeBytes = 16 << 10
	// drawStep is the number of bytes of a message that are drawn at once.
	drawStep = 64 << 10
	// answerCost is the same for each byte of an answer: its rows, and the encoded copy.
	answerCost = 2
)

// closed counts the connections that had to give way, by the resource that was short.
var closed = expvar.NewMap("callers.closed")

// Options are the limits. Zero means no limit.
type Options struct {
	// Memory is the number of bytes that callers may make the instance hold, beyond the
	// fixed cost of their connections.
	Memory int64
	// Connections is the number of callers' connections.
	Connections int
	// MessageCost is how many bytes a message takes for each byte that was read of it,
	// until it is answered: the buffer that grows, the decoded statement, and the copy that
	// goes to the database.
	MessageCost int64
	// Log writes the events.
	Log func(e event.Event, fields ...event.Field)
}

// Limits bounds what callers make an instance hold. NewLimits makes one. It is safe for
// concurrent use.
type Limits struct {
	log         func(e event.Event, fields ...event.Field)
	messageCost int64

	mu sync.Mutex
	// bytes is the budget of memory, connections that of descriptors.
	bytes, connections *budget.Budget
	accounts           map[*budget.Holder]*Account
	// returned is closed, and replaced, when bytes are given back.
	returned chan struct{}
}

// NewLimits returns limits without accounts.
func NewLimits(options Options) *Limits {
	return &Limits{
		log: options.Log, messageCost: options.MessageCost, bytes: budget.New(options.Memory), connections: budget.New(int64(options.Connections)),
		accounts: map[*budget.Holder]*Account{}, returned: make(chan struct{}),
	}
}

// Account is one connection's part of the limits. Only the goroutine that serves the
// connection uses it, except that another one may read between two calls of ReadAhead.
type Account struct {
	limits            *Limits
	conn              net.Conn
	bytes, connection *budget.Holder
	// messageBytes counts the bytes read of the present message, and covered is what has
	// been drawn for it.
	messageBytes, covered int64
	// isReadingAhead is set while bytes are read that belong to later messages, of which
	// there are aheadBytes.
	isReadingAhead bool
	aheadBytes     int64
	// isInTransaction is what AwaitCaller was told last.
	isInTransaction bool
	// keepsConnection is set if the connection is not closed for another one.
	keepsConnection bool
	// hasGivenWay is set once the connection was closed for another one.
	hasGivenWay bool
	// done ends the waits of the account.
	done <-chan struct{}
}

// Open returns the account of a new connection, or nil if there are too many. The
// connection that has been idle for the longest gives way to the new one. The account no
// longer waits once ctx has ended.
func (l *Limits) Open(ctx context.Context, conn net.Conn) *Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	a := &Account{
		limits: l, conn: conn, done: ctx.Done(),
		bytes: l.bytes.Open(now), connection: l.connections.Open(now),
	}
	l.accounts[a.bytes], l.accounts[a.connection] = a, a
	for {
		switch decision := l.connections.Draw(a.connection, 1, now).(type) {
		case budget.Granted:
			l.bytes.SetProgress(a.bytes, now, false)
			l.connections.SetProgress(a.connection, now, false)
			return a
		case budget.Yield:
			l.closeYielding(decision.Holder, "connections")
			l.connections.Close(decision.Holder)
		case budget.Wait:
			closed.Add("refused", 1)
			l.drop(a)
			return nil
		}
	}
}

// closeYielding closes the connection of a holder that has to give way, once. The limits must
// be locked.
func (l *Limits) closeYielding(h *budget.Holder, resource string) {
	a := l.accounts[h]
	if a.hasGivenWay {
		return
	}
	a.hasGivenWay = true
	closed.Add(resource, 1)
	l.log(event.CallerClosed, event.F("resource", resource), event.F("caller", a.conn.RemoteAddr().String()),
		event.F("bytes", a.bytes.Held()), event.F("used", l.bytes.Used()))
	_ = a.conn.Close()
}

// drop removes an account. The limits must be locked.
func (l *Limits) drop(a *Account) {
	l.bytes.Close(a.bytes)
	l.connections.Close(a.connection)
	delete(l.accounts, a.bytes)
	delete(l.accounts, a.connection)
	l.notifyReturned()
}

// notifyReturned wakes those that wait for bytes. The limits must be locked.
func (l *Limits) notifyReturned() {
	close(l.returned)
	l.returned = make(chan struct{})
}

// Close gives back all that the account has drawn.
func (a *Account) Close() {
	a.limits.mu.Lock()
	defer a.limits.mu.Unlock()
	a.limits.drop(a)
}

// KeepConnection records that the connection is not to be closed to make room for another
// one.
func (a *Account) KeepConnection() {
	a.keepsConnection = true
	a.AwaitCaller(false)
}

// AwaitCaller records that the connection waits for its caller: to send or to read. Inside a
// transaction it does not give way.
func (a *Account) AwaitCaller(isInTransaction bool) {
	a.isInTransaction = isInTransaction
	a.awaitProgress()
}

// awaitProgress records that the connection waits for its caller from now on.
func (a *Account) awaitProgress() { a.setProgress(clock.Now(), a.isInTransaction) }

// Proceed records that the connection does not wait for its caller.
func (a *Account) Proceed() { a.setProgress(time.Time{}, false) }

func (a *Account) setProgress(waitsSince time.Time, isProtected bool) {
	a.limits.mu.Lock()
	defer a.limits.mu.Unlock()
	a.limits.bytes.SetProgress(a.bytes, waitsSince, isProtected)
	a.limits.connections.SetProgress(a.connection, waitsSince, isProtected || a.keepsConnection)
}

// Draw waits until the budget has an amount of bytes. Its error is a *GaveWayError.
func (a *Account) Draw(amount int64) error {
	for {
		wait, returned, err := a.tryDraw(amount)
		if wait == 0 {
			return err
		}
		timer := time.NewTimer(wait)
		select {
		case <-returned:
			timer.Stop()
		case <-timer.C:
		case <-a.done:
			timer.Stop()
			return &GaveWayError{}
		}
	}
}

// tryDraw asks once. If wait is not zero, the account has to ask again after that time, or
// once returned is closed.
func (a *Account) tryDraw(amount int64) (wait time.Duration, returned <-chan struct{}, err error) {
	l := a.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	switch decision := l.bytes.Draw(a.bytes, amount, clock.Now()).(type) {
	case budget.Yield:
		l.closeYielding(decision.Holder, "memory")
		if decision.Holder == a.bytes {
			return 0, nil, &GaveWayError{}
		}
		return budget.IdleAfter, l.returned, nil
	case budget.Wait:
		return decision.For, l.returned, nil
	default:
		return 0, nil, nil
	}
}

// Return gives an amount of bytes back.
func (a *Account) Return(amount int64) {
	if amount == 0 {
		return
	}
	a.limits.mu.Lock()
	defer a.limits.mu.Unlock()
	a.limits.bytes.Return(a.bytes, amount)
	a.limits.notifyReturned()
}

// Resize draws an amount, or gives it back if it is negative.
func (a *Account) Resize(change int64) error {
	if change > 0 {
		return a.Draw(change)
	}
	a.Return(-change)
	return nil
}

// AwaitRoom waits while more is held than the budget allows: the size of an answer is known
// only once it is there. Its error is a *GaveWayError.
func (a *Account) AwaitRoom() error {
	a.limits.mu.Lock()
	isShort := a.limits.bytes.IsShort()
	a.limits.mu.Unlock()
	if !isShort {
		return nil
	}
	return a.Draw(0)
}

// HoldAnswer records an answer of a size that its caller has to read, and returns what to
// give back afterwards. The answer is there already, so that it does not wait.
func (a *Account) HoldAnswer(size int) int64 {
	if size <= freeBytes {
		return 0
	}
	a.limits.mu.Lock()
	defer a.limits.mu.Unlock()
	a.limits.bytes.Take(a.bytes, answerCost*int64(size))
	return answerCost * int64(size)
}

// ReadAhead records whether the connection is read while a statement works, only to notice
// its end. Such reads do not wait: whoever reads has to stop by itself.
func (a *Account) ReadAhead(isReadingAhead bool) { a.isReadingAhead = isReadingAhead }

// received records that further bytes of the present message were read, and waits until
// the budget has room for more.
func (a *Account) received(n int) error {
	a.messageBytes += int64(n)
	if a.isReadingAhead {
		a.aheadBytes += int64(n)
		a.take(a.missing())
		return nil
	}
	if a.messageBytes <= freeBytes {
		return nil
	}
	a.awaitProgress()
	amount := a.missing()
	if amount == 0 {
		return nil
	}
	if err := a.Draw(amount); err != nil {
		return err
	}
	a.covered += amount
	return nil
}

// missing returns what has to be drawn so that the present message is covered.
func (a *Account) missing() int64 {
	missing := a.limits.messageCost*a.messageBytes - a.covered
	if a.messageBytes <= freeBytes || missing <= 0 {
		return 0
	}
	step := a.limits.messageCost * drawStep
	return (missing + step - 1) / step * step
}

// take draws an amount for the present message without waiting for it.
func (a *Account) take(amount int64) {
	a.limits.mu.Lock()
	defer a.limits.mu.Unlock()
	a.limits.bytes.Take(a.bytes, amount)
	a.covered += amount
}

// EndMessage gives back what the present message has drawn. What was read ahead counts for
// the next one.
func (a *Account) EndMessage() {
	a.Return(a.covered)
	a.messageBytes, a.covered, a.aheadBytes = a.aheadBytes, 0, 0
}

// Conn is a caller's connection with its account. A read waits while the callers hold more
// than the instance has room for.
type Conn struct {
	net.Conn
	Account *Account
}

// Read implements net.Conn.
func (c Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if drawErr := c.Account.received(n); drawErr != nil {
		return 0, drawErr
	}
	return n, err
}

// Write implements net.Conn. A caller that goes on reading a large answer does not count as
// idle, and neither does the work after it.
func (c Conn) Write(data []byte) (int, error) {
	if len(data) <= freeBytes {
		return c.Conn.Write(data)
	}
	defer c.Account.Proceed()
	written := 0
	for written < len(data) {
		c.Account.awaitProgress()
		n, err := c.Conn.Write(data[written:min(written+drawStep, len(data))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// GaveWayError reports that a connection was closed, since the callers of the instance
// hold more than it has room for.
type GaveWayError struct{}

// Error implements error.
func (e *GaveWayError) Error() string { return "the connection gave way to others" }
