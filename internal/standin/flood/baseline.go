package flood

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// baseline is a first-come-first-served pool. Each instance has the same fixed
// number of connections to each database, at least one. The pool rejects no work.
type baseline struct {
	slotsPerDatabase int
	queue            []rank.Work
	running          map[model.RequestID]runningRequest
	busySlots        map[model.DatabaseID]int
	lastExpiryCheck  time.Time
}

// expiryInterval is the time between two checks for expired work.
const expiryInterval = 20 * time.Millisecond

// runningRequest is a request that holds a slot of a database.
type runningRequest struct {
	work     rank.Work
	database model.DatabaseID
}

func newBaseline(m *manifest.Manifest, instances int) *baseline {
	return &baseline{
		slotsPerDatabase: max(1, m.Limits.MaxConcurrentStatements/instances),
		running:          map[model.RequestID]runningRequest{},
		busySlots:        map[model.DatabaseID]int{},
	}
}

// Enqueue appends work to the queue. It never rejects any.
func (b *baseline) Enqueue(_ time.Time, work rank.Work) (rank.Refusal, bool) {
	b.queue = append(b.queue, work)
	return rank.Refusal{}, true
}

// Requeue frees the slot of a request and puts it back at the end of the queue.
func (b *baseline) Requeue(now time.Time, request model.RequestID, completion rank.SlotCompletion) {
	work := b.running[request].work
	b.Finish(now, request, completion)
	b.queue = append(b.queue, work)
}

// TakeExpired removes the queued requests whose deadline has passed and returns
// their IDs.
func (b *baseline) TakeExpired(now time.Time) []model.RequestID {
	if now.Sub(b.lastExpiryCheck) < expiryInterval {
		return nil
	}
	b.lastExpiryCheck = now
	var expired []model.RequestID
	remaining := b.queue[:0]
	for _, work := range b.queue {
		if now.Before(work.Deadline) {
			remaining = append(remaining, work)
			continue
		}
		expired = append(expired, work.Request)
	}
	b.queue = remaining
	return expired
}

// AssignSlots assigns free slots to queued work in the order of arrival, until all
// slots of this instance are in use.
func (b *baseline) AssignSlots(_ time.Time, candidates rank.Candidates) []rank.SlotAssignment {
	var assignments []rank.SlotAssignment
	if b.allDatabasesBusy() {
		return nil
	}
	remaining := b.queue[:0]
	for i, work := range b.queue {
		if b.allDatabasesBusy() {
			remaining = append(remaining, b.queue[i:]...)
			break
		}
		database, found := b.findFreeDatabase(candidates(work))
		if !found {
			remaining = append(remaining, work)
			continue
		}
		b.busySlots[database]++
		b.running[work.Request] = runningRequest{work: work, database: database}
		assignments = append(assignments, rank.SlotAssignment{Request: work.Request, Database: database})
	}
	b.queue = remaining
	return assignments
}

// allDatabasesBusy reports whether this instance uses all its slots of every
// database.
func (b *baseline) allDatabasesBusy() bool {
	for i := range Consortium.Databases {
		if b.busySlots[databaseName(i)] < b.slotsPerDatabase {
			return false
		}
	}
	return true
}

// findFreeDatabase returns the first of the databases that has a free slot.
func (b *baseline) findFreeDatabase(databases []model.DatabaseID) (model.DatabaseID, bool) {
	for _, database := range databases {
		if b.busySlots[database] < b.slotsPerDatabase {
			return database, true
		}
	}
	return "", false
}

// Finish frees the slot of a request.
func (b *baseline) Finish(_ time.Time, request model.RequestID, _ rank.SlotCompletion) {
	b.busySlots[b.running[request].database]--
	delete(b.running, request)
}

// HandlePeerMessage ignores all messages, since shares are fixed.
func (b *baseline) HandlePeerMessage(time.Time, model.InstanceID, message.PeerMessage) {}

// TakeMessages returns no messages, since shares are fixed.
func (b *baseline) TakeMessages(time.Time) []message.SendPeer { return nil }
