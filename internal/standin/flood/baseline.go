package flood

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// baseline is a first-come-first-served pool that has the same number of
// connections to each database on every instance, at least one, and refuses
// nothing.
type baseline struct {
	slots   int
	waiting []rank.Work
	running map[model.RequestID]run
	busy    map[model.DatabaseID]int
	swept   time.Time
}

// sweepTime is the time between two looks for expired work.
const sweepTime = 20 * time.Millisecond

type run struct {
	work     rank.Work
	database model.DatabaseID
}

func newBaseline(m *manifest.Manifest, instances int) *baseline {
	return &baseline{
		slots:   max(1, m.Limits.MaxConcurrentStatements/instances),
		running: map[model.RequestID]run{},
		busy:    map[model.DatabaseID]int{},
	}
}

// Enqueue takes everything in.
func (b *baseline) Enqueue(_ time.Time, work rank.Work) (rank.Refusal, bool) {
	b.waiting = append(b.waiting, work)
	return rank.Refusal{}, true
}

// Requeue puts a request at the end of the queue.
func (b *baseline) Requeue(now time.Time, request model.RequestID, ending rank.SlotCompletion) {
	work := b.running[request].work
	b.Finish(now, request, ending)
	b.waiting = append(b.waiting, work)
}

// TakeExpired drops what has passed its deadline.
func (b *baseline) TakeExpired(now time.Time) []model.RequestID {
	if now.Sub(b.swept) < sweepTime {
		return nil
	}
	b.swept = now
	var gone []model.RequestID
	kept := b.waiting[:0]
	for _, work := range b.waiting {
		if now.Before(work.Deadline) {
			kept = append(kept, work)
			continue
		}
		gone = append(gone, work.Request)
	}
	b.waiting = kept
	return gone
}

// AssignSlots starts work in the order of arrival. It stops looking once all
// databases are busy.
func (b *baseline) AssignSlots(_ time.Time, candidates rank.Candidates) []rank.SlotAssignment {
	var grants []rank.SlotAssignment
	if b.isFull() {
		return nil
	}
	kept := b.waiting[:0]
	for i, work := range b.waiting {
		if b.isFull() {
			kept = append(kept, b.waiting[i:]...)
			break
		}
		database, found := b.free(candidates(work))
		if !found {
			kept = append(kept, work)
			continue
		}
		b.busy[database]++
		b.running[work.Request] = run{work: work, database: database}
		grants = append(grants, rank.SlotAssignment{Request: work.Request, Database: database})
	}
	b.waiting = kept
	return grants
}

func (b *baseline) isFull() bool {
	for i := range Consortium.Databases {
		if b.busy[databaseName(i)] < b.slots {
			return false
		}
	}
	return true
}

func (b *baseline) free(databases []model.DatabaseID) (model.DatabaseID, bool) {
	for _, database := range databases {
		if b.busy[database] < b.slots {
			return database, true
		}
	}
	return "", false
}

// Finish frees a slot.
func (b *baseline) Finish(_ time.Time, request model.RequestID, _ rank.SlotCompletion) {
	b.busy[b.running[request].database]--
	delete(b.running, request)
}

// HandlePeerMessage hears nothing.
func (b *baseline) HandlePeerMessage(time.Time, model.InstanceID, message.PeerMessage) {}

// TakeMessages says nothing.
func (b *baseline) TakeMessages(time.Time) []message.SendPeer { return nil }
