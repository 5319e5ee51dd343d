package database

import (
	"maps"
	"slices"
)

// content is what statements read: the table kv and the ledger.
type content struct {
	kv     map[string]string
	ledger []string
}

func newContent() content { return content{kv: map[string]string{}} }

// apply makes changes visible.
func (c *content) apply(changes []change) {
	for _, ch := range changes {
		switch ch.Op {
		case opInsert, opPut:
			c.kv[ch.Key] = ch.Value
		case opDelete:
			delete(c.kv, ch.Key)
		case opAppend:
			c.ledger = append(c.ledger, ch.Value)
		}
	}
}

// conflict returns a key that changes insert although it exists.
func (c *content) conflict(changes []change) (string, bool) {
	for i, ch := range changes {
		if ch.Op != opInsert {
			continue
		}
		if _, exists := (view{c, changes[:i]}).value(ch.Key); exists {
			return ch.Key, true
		}
	}
	return "", false
}

// view is the content with the buffered changes of a transaction over it.
type view struct {
	base    *content
	changes []change
}

// value returns the value of a key.
func (v view) value(key string) (string, bool) {
	for _, ch := range slices.Backward(v.changes) {
		if ch.Op != opAppend && ch.Key == key {
			return ch.Value, ch.Op != opDelete
		}
	}
	value, found := v.base.kv[key]
	return value, found
}

// all returns a copy of the table kv, and its keys in order.
func (v view) all() (map[string]string, []string) {
	copied := content{kv: maps.Clone(v.base.kv)}
	copied.apply(v.changes)
	return copied.kv, slices.Sorted(maps.Keys(copied.kv))
}

// entries returns a copy of the ledger.
func (v view) entries() []string {
	entries := slices.Clone(v.base.ledger)
	for _, ch := range v.changes {
		if ch.Op == opAppend {
			entries = append(entries, ch.Value)
		}
	}
	return entries
}

// count returns how often an entry stands in the ledger.
func (v view) count(wanted string) int64 {
	count := int64(0)
	for _, e := range v.base.ledger {
		if e == wanted {
			count++
		}
	}
	for _, ch := range v.changes {
		if ch.Op == opAppend && ch.Value == wanted {
			count++
		}
	}
	return count
}
