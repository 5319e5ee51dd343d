package database

import (
	"maps"
	"slices"
)

// content is the data that statements read: the table kv and the ledger.
type content struct {
	kv     map[string]string
	ledger []string
}

func newContent() content { return content{kv: map[string]string{}} }

// apply applies changes in order.
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

// duplicateInsert returns the first key that changes insert although it exists,
// and reports whether there is one.
func (c *content) duplicateInsert(changes []change) (string, bool) {
	for i, ch := range changes {
		if ch.Op != opInsert {
			continue
		}
		if _, exists := (transactionView{c, changes[:i]}).value(ch.Key); exists {
			return ch.Key, true
		}
	}
	return "", false
}

// transactionView is the content as a transaction sees it: base with the buffered
// changes of the transaction applied.
type transactionView struct {
	base    *content
	changes []change
}

// value returns the value of a key, and whether the key exists.
func (v transactionView) value(key string) (string, bool) {
	for _, ch := range slices.Backward(v.changes) {
		if ch.Op != opAppend && ch.Key == key {
			return ch.Value, ch.Op != opDelete
		}
	}
	value, found := v.base.kv[key]
	return value, found
}

// copyKV returns a copy of the table kv, and its keys in ascending order.
func (v transactionView) copyKV() (map[string]string, []string) {
	copied := content{kv: maps.Clone(v.base.kv)}
	copied.apply(v.changes)
	return copied.kv, slices.Sorted(maps.Keys(copied.kv))
}

// ledgerEntries returns a copy of the ledger's entries in commit order.
func (v transactionView) ledgerEntries() []string {
	entries := slices.Clone(v.base.ledger)
	for _, ch := range v.changes {
		if ch.Op == opAppend {
			entries = append(entries, ch.Value)
		}
	}
	return entries
}

// countEntry returns how often an entry occurs in the ledger.
func (v transactionView) countEntry(searched string) int64 {
	count := int64(0)
	for _, e := range v.base.ledger {
		if e == searched {
			count++
		}
	}
	for _, ch := range v.changes {
		if ch.Op == opAppend && ch.Value == searched {
			count++
		}
	}
	return count
}
