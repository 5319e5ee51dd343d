package caller

import (
	"sync"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// requestShards is the number of shards of a requestTable.
const requestShards = 32

// requestTable maps requests to their sessions. Every request is added and
// removed, so it is split into shards with a lock each to reduce contention.
// The zero value is empty.
type requestTable struct{ shards [requestShards]requestShard }

type requestShard struct {
	mu       sync.Mutex
	sessions map[model.RequestID]*session
}

func (t *requestTable) shard(id model.RequestID) *requestShard {
	return &t.shards[uint64(id)%requestShards]
}

func (t *requestTable) put(id model.RequestID, s *session) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.sessions == nil {
		shard.sessions = map[model.RequestID]*session{}
	}
	shard.sessions[id] = s
}

func (t *requestTable) get(id model.RequestID) *session {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.sessions[id]
}

func (t *requestTable) drop(id model.RequestID) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.sessions, id)
}
