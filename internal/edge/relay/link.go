package relay

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/edge/peer"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/socket"
)

const (
	// dialTimeout bounds the opening of a connection to a relay, and handshakeTimeout the
	// handshake that follows.
	dialTimeout      = 300 * time.Millisecond
	handshakeTimeout = 300 * time.Millisecond
	// tickInterval is the time between two checks of a link. While answers are due, a
	// ping is sent at each; idlePingTicks is the number of ticks between two pings while
	// only transactions are open.
	tickInterval  = 100 * time.Millisecond
	idlePingTicks = 10
	// silentTicks is the number of ticks without a frame, while answers are due, after
	// which a relay counts as lost. Ticks are counted rather than the time, since they do
	// not advance while this process itself does not run.
	silentTicks = 4
	// idleSilentTicks is the same while only transactions are open.
	idleSilentTicks = 3 * idlePingTicks
	// idleTimeout is how long a link is kept that carries nothing.
	idleTimeout = 10 * time.Second
)

// link is the link to one relay.
type link struct {
	address netip.AddrPort
	outbox  *outbox
	// closed is closed when the link ends, for the reason given by the first close.
	closeOnce sync.Once
	closed    chan struct{}
	reason    error
	// hasReceived is set by each frame that arrives, and reset at each tick.
	hasReceived atomic.Bool

	mu sync.Mutex
	// pending holds the statements that were queued or sent and not answered.
	pending      map[uint64]*pendingCall
	lastCall     uint64
	transactions int
	// isEnded is set once no further statement may be added.
	isEnded bool
}

// pendingCall is a statement that awaits its reply.
type pendingCall struct {
	frame *outgoing
	// replied receives the reply, and is closed if there will be none.
	replied chan reply
}

func newLink(address netip.AddrPort) *link {
	return &link{address: address, outbox: newOutbox(), closed: make(chan struct{}), pending: map[uint64]*pendingCall{}}
}

// close ends the link. Only the reason of the first call is kept.
func (l *link) close(reason error) {
	l.closeOnce.Do(func() {
		l.reason = reason
		close(l.closed)
	})
}

func (l *link) outstanding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

// -----------------------------------------------------------------------------
// The life of a link.

// run opens the connection and serves it until the link ends. It returns the reason,
// which is never nil.
func (l *link) run(ctx context.Context, options ClientOptions) error {
	channel, err := l.dial(ctx, options)
	if err != nil {
		l.close(err)
		return l.reason
	}
	readerEnded, writerEnded := make(chan struct{}), make(chan struct{})
	go func() {
		l.close(l.read(channel))
		close(readerEnded)
	}()
	go func() {
		l.close(l.outbox.write(channel, l.closed))
		close(writerEnded)
	}()
	l.watch()
	channel.Close()
	<-readerEnded
	<-writerEnded
	return l.reason
}

func (l *link) dial(ctx context.Context, options ClientOptions) (*peer.Channel, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := socket.Dial(dialCtx, "tcp", l.address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return peer.DialChannel(ctx, conn, protocol, options.Instance, options.Key, handshakeTimeout)
}

// read hands the replies that arrive to those who wait for them.
func (l *link) read(channel *peer.Channel) error {
	for {
		content, err := channel.Read()
		if err != nil {
			return err
		}
		l.hasReceived.Store(true)
		if len(content) == 0 || kind(content[0]) != kindReply {
			continue
		}
		answer, err := decode[reply](content)
		if err != nil {
			return err
		}
		if call := l.remove(answer.Call); call != nil {
			call.replied <- answer
		}
	}
}

// watch sends pings and closes the link when the relay is silent or when the link is not
// needed any more. It returns when the link is closed.
func (l *link) watch() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// These count ticks: without a frame, with answers due, since the last ping, and
	// without use.
	silent, due, unpinged, unused := 0, 0, 0, 0
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
		}
		isDue, hasTransactions := l.use()
		silent, due, unpinged, unused = silent+1, due+1, unpinged+1, unused+1
		if l.hasReceived.Swap(false) {
			silent = 0
		}
		if !isDue {
			due = 0
		}
		if isDue || hasTransactions {
			unused = 0
		}
		switch {
		case min(silent, due) >= silentTicks, hasTransactions && silent >= idleSilentTicks:
			l.close(&SilentError{})
		case unused*int(tickInterval) >= int(idleTimeout):
			l.closeUnused()
		case isDue, hasTransactions && unpinged >= idlePingTicks:
			l.outbox.push(&outgoing{content: []byte{byte(kindPing)}})
			unpinged = 0
		case unused > 0:
			silent = 0
		}
	}
}

// use reports whether answers are due and whether transactions are open.
func (l *link) use() (isDue, hasTransactions bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0, l.transactions > 0
}

// closeUnused closes the link unless a statement has been added in the meantime.
func (l *link) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 && l.transactions == 0 {
		l.isEnded = true
		l.close(&LinkClosedError{})
	}
}

// -----------------------------------------------------------------------------
// Statements.

// exchange sends a message and returns the answer. timeout bounds it, and so does the end of
// ctx. A message that opens a transaction has its number afterwards, and endTransaction has to
// be called, unless it was not queued. The errors are *NotRunError and *LostError.
func (l *link) exchange(ctx context.Context, timeout time.Duration, message *run) (reply, error) {
	call, reason, err := l.add(message)
	if err != nil {
		return reply{}, notRun(l.address, reason, err.Error())
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer, isAnswered := <-call.replied:
		if !isAnswered {
			return reply{}, l.unanswered(call, ReasonUnreachable, l.reason)
		}
		return answer, l.errorOf(answer)
	case <-timer.C:
		err = &TimeoutError{}
	case <-ctx.Done():
		err = ctx.Err()
	}
	l.remove(message.Call)
	return reply{}, l.unanswered(call, ReasonNoRoom, err)
}

// errorOf returns the error that a reply states, or nil if the database has answered.
func (l *link) errorOf(answer reply) error {
	switch {
	case answer.Reason != 0:
		return &NotRunError{Relay: l.address, Reason: answer.Reason, Text: answer.Text, ExpectedWait: answer.Wait}
	case answer.Lost || !answer.Answered:
		return &LostError{Relay: l.address, Text: answer.Text, IsRelayFailure: true}
	default:
		return nil
	}
}

// unanswered returns the error for a message without a reply. If its frame was not claimed
// for sending, it never will be, and the statement has not run for the given reason.
func (l *link) unanswered(call *pendingCall, reason Reason, cause error) error {
	if call.frame.claim() {
		return notRun(l.address, reason, cause.Error())
	}
	return &LostError{Relay: l.address, Text: cause.Error(), IsRelayFailure: false}
}

func notRun(relay netip.AddrPort, reason Reason, text string) error {
	return &NotRunError{Relay: relay, Reason: reason, Text: text, ExpectedWait: 0}
}

// add queues a message and returns its call. Without a call, the reason says why the message
// was not queued.
func (l *link) add(message *run) (*pendingCall, Reason, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isEnded {
		return nil, ReasonUnreachable, &LinkClosedError{}
	}
	l.lastCall++
	message.Call = l.lastCall
	if message.Begin != nil {
		message.Transaction = message.Call
	}
	call, reason, err := l.queue(message)
	if err != nil {
		message.Transaction = 0
		return nil, reason, err
	}
	l.pending[message.Call] = call
	if message.Begin != nil {
		l.transactions++
	}
	return call, 0, nil
}

// queue puts a message into the outbox. The link must be locked.
func (l *link) queue(message *run) (*pendingCall, Reason, error) {
	content, err := encode(kindRun, message)
	if err != nil {
		return nil, ReasonTooLarge, err
	}
	if len(content) > maxContent {
		return nil, ReasonTooLarge, &peer.FrameSizeError{Size: len(content), Limit: maxContent}
	}
	call := &pendingCall{frame: &outgoing{content: content}, replied: make(chan reply, 1)}
	if !l.outbox.push(call.frame) {
		return nil, ReasonQueueFull, &QueueFullError{}
	}
	return call, 0, nil
}

// remove removes and returns a call, or nil if there is none.
func (l *link) remove(number uint64) *pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.pending[number]
	delete(l.pending, number)
	return call
}

// endTransaction tells the relay that a transaction has ended here.
func (l *link) endTransaction(number uint64) {
	l.mu.Lock()
	l.transactions--
	l.mu.Unlock()
	content, err := encode(kindEnd, end{Transaction: number})
	if err != nil || !l.outbox.push(&outgoing{content: content}) {
		// The relay would keep the transaction open: only the end of the link ends it.
		l.close(&LinkClosedError{})
	}
}

// failPending ends all calls that have got no reply. It returns how many of them were not
// sent and how many may have been.
func (l *link) failPending() (unsent, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isEnded = true
	for number, call := range l.pending {
		delete(l.pending, number)
		if !call.frame.claimed.Load() {
			unsent++
		} else {
			lost++
		}
		close(call.replied)
	}
	return unsent, lost
}
