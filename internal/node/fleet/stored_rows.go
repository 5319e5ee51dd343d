package fleet

import (
	"strconv"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// maxRowBytes is the maximum size of a row of the table of groups. The decoder descends
// one level with each byte of a value nested in itself, so that this also bounds its
// stack.
const maxRowBytes = 16 << 10

// groupRows is the decoded table of groups.
type groupRows struct {
	view    lease.View
	members map[model.InstanceID]member
}

// decodeRow adds one row of the table of groups to read. A row that can't be
// decoded, or whose values are out of range, is logged once.
//
// In its place the value of known counts, with the version of the row, so that the next
// change replaces the row. A member's own row is not among the known ones, and no peer
// reports the member as one (see member.isRejected), so that it writes the row again.
// Where no value is known, a group counts as one without a row,
// and the version stands for the fencing token of the coordinator lease, which the row
// hides: each token took a write, so that the version is at least as high.
func (f *Fleet) decodeRow(row store.Row, known groupRows, read *groupRows) {
	view := &read.view
	if name, ok := strings.CutPrefix(row.Key, memberPrefix); ok {
		var decoded member
		id := model.InstanceID(name)
		if f.decodeValue(row, &decoded) {
			read.members[id] = decoded
		} else if previous, found := known.members[id]; found {
			previous.isRejected = true
			read.members[id] = previous
		}
		return
	}
	if name, ok := strings.CutPrefix(row.Key, groupPrefix); ok {
		var decoded lease.GroupRow
		if !f.decodeValue(row, &decoded) {
			var found bool
			if decoded, found = known.view.Rows[model.GroupID(name)]; !found {
				view.Rejected[model.GroupID(name)] = row.Version
				return
			}
		}
		decoded.Version = row.Version
		view.Rows[model.GroupID(name)] = decoded
		return
	}
	if row.Key != coordinatorLeaseKey {
		return
	}
	var decoded lease.CoordinatorLease
	if !f.decodeValue(row, &decoded) {
		decoded = known.view.CoordinatorLease
		if decoded.Holder == "" {
			decoded.FencingToken = row.Version
		}
	}
	decoded.Version = row.Version
	view.CoordinatorLease = decoded
}

// decodeValue decodes a row's value into target and checks its ranges. It reports
// whether that succeeded, and logs a failure as ContentRejected, once for each version
// of a row.
func (f *Fleet) decodeValue(row store.Row, target any) bool {
	err := decodeStored(row.Value, target)
	if err != nil && f.rejectedRows.add(row) {
		f.logEvent(event.ContentRejected, event.F("table", row.Table), event.F("key", row.Key),
			event.F("error", err.Error()))
	}
	return err == nil
}

// decodeStored decodes the value of a row of the table of groups.
func decodeStored(value []byte, target any) error {
	if len(value) > maxRowBytes {
		return &model.OutOfRangeError{Field: "row", Value: strconv.Itoa(len(value)) + " bytes"}
	}
	if err := msgpack.Unmarshal(value, target); err != nil {
		return err
	}
	switch decoded := target.(type) {
	case *member:
		if address := decoded.Address; address.Port() == 0 || !address.IsValid() || address.Addr().IsUnspecified() {
			return &model.OutOfRangeError{Field: "address", Value: address.String()}
		}
	case *lease.GroupRow:
		if !decoded.Phase.HasPrimary() && decoded.Phase != lease.PhaseChanging {
			return &model.OutOfRangeError{Field: "phase", Value: strconv.Itoa(int(decoded.Phase))}
		}
		if err := model.CheckCounter("epoch", decoded.Epoch); err != nil {
			return err
		}
		return model.CheckCounter("term", uint64(decoded.Term))
	case *lease.CoordinatorLease:
		return model.CheckCounter("token", decoded.FencingToken)
	}
	return nil
}

// rejections holds the version of each row that could not be decoded, by key, so that
// it is logged once. At most maxRejected rows are remembered. The zero value is empty.
type rejections struct {
	mu       sync.Mutex
	versions map[string]uint64
}

// add records a row and reports whether this version of it is new.
func (r *rejections) add(row store.Row) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version, found := r.versions[row.Key]; found && version >= row.Version {
		return false
	}
	if r.versions == nil || len(r.versions) >= maxRejected {
		r.versions = map[string]uint64{}
	}
	r.versions[row.Key] = row.Version
	return true
}

// remove forgets a row that could be decoded or is gone.
func (r *rejections) remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.versions, key)
}
