package caller

import (
	"sync"
	"time"
)

// deadliner is a connection whose reads can be interrupted.
type deadliner interface{ SetReadDeadline(t time.Time) error }

// aLongTimeAgo is a read deadline that interrupts a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// mailbox is the queue of items for the goroutine of a session, which either
// waits for an item or reads a connection. Posting an item interrupts both.
type mailbox struct {
	signal chan struct{}

	mu       sync.Mutex
	items    []any
	readConn deadliner
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

// post adds an item and wakes the session. It never blocks.
func (m *mailbox) post(item any) {
	m.mu.Lock()
	m.items = append(m.items, item)
	if m.readConn != nil {
		_ = m.readConn.SetReadDeadline(aLongTimeAgo)
	}
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take removes and returns the oldest item. It reports false if there is none.
func (m *mailbox) take() (any, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.items) == 0 {
		return nil, false
	}
	item := m.items[0]
	m.items[0] = nil
	m.items = m.items[1:]
	if len(m.items) == 0 {
		m.items = nil
	}
	return item, true
}

// putBack returns the item taken last to the front of the queue.
func (m *mailbox) putBack(item any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items = append([]any{item}, m.items...)
}

// startReadLimit limits the reads of conn until endReadLimit is called: they end
// at the deadline, or as soon as there is an item.
func (m *mailbox) startReadLimit(conn deadliner, deadline time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readConn = conn
	if len(m.items) > 0 {
		deadline = aLongTimeAgo
	}
	_ = conn.SetReadDeadline(deadline)
}

// endReadLimit ends the effect of startReadLimit.
func (m *mailbox) endReadLimit() {
	m.mu.Lock()
	m.readConn = nil
	m.mu.Unlock()
}
