package engine

import (
	"net/netip"
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// instance is the last known state of another instance.
type instance struct {
	id          model.InstanceID
	zone        model.ZoneID
	peerAddress netip.AddrPort
	// lastHeartbeat is when its last heartbeat arrived; alive reports that this was
	// recent.
	lastHeartbeat time.Time
	alive         bool
	leaving       bool
	// listed reports that the platform's list contains the instance. The list lags,
	// so this is a hint only.
	listed bool
	// manifest is the number of the manifest in force at the instance.
	manifest uint64
	// heartbeatSentAt is when this instance last sent it a heartbeat.
	heartbeatSentAt time.Time
}

// instanceTable holds the other instances.
type instanceTable struct {
	byID map[model.InstanceID]*instance
	// ordered holds the same instances in the order of their IDs, or nil if it must
	// be rebuilt.
	ordered []*instance
	// linksChanged reports that the set of links or of live instances may differ
	// from what was last published.
	linksChanged      bool
	heartbeatSequence uint64
	listRequestID     uint64
	nextListRead      time.Time
}

func newInstanceTable() instanceTable {
	return instanceTable{byID: map[model.InstanceID]*instance{}, linksChanged: true}
}

// getOrAdd returns the entry of an instance and creates it if there is none.
func (t *instanceTable) getOrAdd(id model.InstanceID) *instance {
	entry, found := t.byID[id]
	if !found {
		entry = &instance{id: id}
		t.byID[id] = entry
		t.ordered = nil
		t.linksChanged = true
	}
	return entry
}

// remove deletes an instance. A slice that sorted returned earlier is not changed.
func (t *instanceTable) remove(id model.InstanceID) {
	delete(t.byID, id)
	t.ordered = nil
	t.linksChanged = true
}

// sorted returns the instances in the order of their IDs. The slice must
// not be changed.
func (t *instanceTable) sorted() []*instance {
	if t.ordered != nil {
		return t.ordered
	}
	t.ordered = make([]*instance, 0, len(t.byID))
	for _, entry := range t.byID {
		t.ordered = append(t.ordered, entry)
	}
	sort.Slice(t.ordered, func(i, j int) bool { return t.ordered[i].id < t.ordered[j].id })
	return t.ordered
}

// alive returns the IDs of the other instances that are alive and not leaving.
func (t *instanceTable) alive() []model.InstanceID {
	var names []model.InstanceID
	for _, entry := range t.sorted() {
		if entry.alive && !entry.leaving {
			names = append(names, entry.id)
		}
	}
	return names
}
