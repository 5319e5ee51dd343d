package peer

import (
	"slices"
	"sync"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// maxQueuedMessages is the maximum number of messages queued for one link.
const maxQueuedMessages = 256

// -----------------------------------------------------------------------------
// Queues.

// queue contains the messages to be sent over a link, the oldest first.
type queue struct {
	// wake has a capacity of one and receives a value when a message is queued.
	wake chan struct{}

	mu       sync.Mutex
	messages []message.PeerMessage
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// push queues m. If the queue is full, it drops the oldest message of a replaceable
// type, or m itself if there is none. It returns the dropped message, and whether
// the queue was full.
func (q *queue) push(m message.PeerMessage) (dropped message.PeerMessage, queueFull bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) >= maxQueuedMessages {
		index := slices.IndexFunc(q.messages, func(other message.PeerMessage) bool {
			return messageTypeOf(other).replaceable
		})
		if index < 0 {
			return m, true
		}
		dropped, queueFull = q.messages[index], true
		q.messages = slices.Delete(q.messages, index, index+1)
	}
	q.messages = append(q.messages, m)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped, queueFull
}

// pop removes and returns the oldest message, or returns false if the queue is
// empty.
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
