package peer

import (
	"slices"
	"sync"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// maxQueue bounds the messages that wait for one link.
const maxQueue = 256

// -----------------------------------------------------------------------------
// Queues.

// queue holds the messages that wait for a link, the oldest first.
type queue struct {
	// wake has room for one value: a message was queued.
	wake chan struct{}

	mu       sync.Mutex
	messages []message.PeerMessage
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// push queues a message. Where the queue is full, the oldest message that a
// newer one replaces makes room; where there is none, m is left out. It
// returns what was dropped, if anything.
func (q *queue) push(m message.PeerMessage) (dropped message.PeerMessage, full bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) >= maxQueue {
		place := slices.IndexFunc(q.messages, func(other message.PeerMessage) bool {
			return kindOf(other).replaceable
		})
		if place < 0 {
			return m, true
		}
		dropped, full = q.messages[place], true
		q.messages = slices.Delete(q.messages, place, place+1)
	}
	q.messages = append(q.messages, m)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped, full
}

// pop takes the oldest message.
func (q *queue) pop() (message.PeerMessage, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		return nil, false
	}
	m := q.messages[0]
	q.messages = slices.Delete(q.messages, 0, 1)
	return m, true
}
