package engine

import (
	"net/netip"
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// instance is what is known of another instance.
type instance struct {
	id   model.InstanceID
	zone model.ZoneID
	peer netip.AddrPort
	// heard is when its last heartbeat came; alive says that this was lately.
	heard   time.Time
	alive   bool
	leaving bool
	// listed says that the platform's list has it; the list lags and proves
	// nothing.
	listed bool
	// manifest is the number of the manifest in force there.
	manifest uint64
	// told is when this instance last sent it a heartbeat.
	told time.Time
}

// instanceTable holds the other instances.
type instanceTable struct {
	byID map[model.InstanceID]*instance
	// order holds the same in the order of their names, or nothing where that
	// has to be worked out again.
	order []*instance
	// changed says that the set of links or of live instances may differ from
	// what was last published.
	changed  bool
	sequence uint64
	listAsk  uint64
	listAt   time.Time
}

func newInstanceTable() instanceTable {
	return instanceTable{byID: map[model.InstanceID]*instance{}, changed: true}
}

// get returns the entry of an instance, made where there is none.
func (t *instanceTable) get(id model.InstanceID) *instance {
	entry, found := t.byID[id]
	if !found {
		entry = &instance{id: id}
		t.byID[id] = entry
		t.order = nil
		t.changed = true
	}
	return entry
}

// remove forgets an instance. A list that sorted has returned stays as it is.
func (t *instanceTable) remove(id model.InstanceID) {
	delete(t.byID, id)
	t.order = nil
	t.changed = true
}

// sorted returns the instances in the order of their names. The list must not
// be changed.
func (t *instanceTable) sorted() []*instance {
	if t.order != nil {
		return t.order
	}
	t.order = make([]*instance, 0, len(t.byID))
	for _, entry := range t.byID {
		t.order = append(t.order, entry)
	}
	sort.Slice(t.order, func(i, j int) bool { return t.order[i].id < t.order[j].id })
	return t.order
}

// alive returns the names of the live instances that stay, without this one.
func (t *instanceTable) alive() []model.InstanceID {
	var names []model.InstanceID
	for _, entry := range t.sorted() {
		if entry.alive && !entry.leaving {
			names = append(names, entry.id)
		}
	}
	return names
}
