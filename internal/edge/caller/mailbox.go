package caller

import (
	"sync"
	"time"
)

// deadliner is a connection whose reads can be woken.
type deadliner interface{ SetReadDeadline(t time.Time) error }

// aLongTimeAgo wakes a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// mailbox carries what others have to say to a session's goroutine, which
// either waits for it or reads a connection. A post wakes both.
type mailbox struct {
	signal chan struct{}

	mu      sync.Mutex
	items   []any
	reading deadliner
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

// post adds an item and wakes the session. It never blocks.
func (m *mailbox) post(item any) {
	m.mu.Lock()
	m.items = append(m.items, item)
	if m.reading != nil {
		_ = m.reading.SetReadDeadline(aLongTimeAgo)
	}
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns the oldest item, if there is one.
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

// putBack puts an item back that was taken last.
func (m *mailbox) putBack(item any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items = append([]any{item}, m.items...)
}

// read bounds the reads of conn until done: they end at the deadline, or as
// soon as there is an item.
func (m *mailbox) read(conn deadliner, deadline time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading = conn
	if len(m.items) > 0 {
		deadline = aLongTimeAgo
	}
	_ = conn.SetReadDeadline(deadline)
}

// done tells that no connection is read any more.
func (m *mailbox) done() {
	m.mu.Lock()
	m.reading = nil
	m.mu.Unlock()
}
