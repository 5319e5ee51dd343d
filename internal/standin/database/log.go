package database

import "github.com/eelgrassfold/eelgrassfold/internal/core/model"

// -----------------------------------------------------------------------------
// Entries.

// op tells what a change does to the content.
type op int

// The values of op.
const (
	// opInsert adds a key that must not exist.
	opInsert op = iota
	// opPut replaces the value of a key.
	opPut
	// opDelete removes a key.
	opDelete
	// opAppend adds an entry to the ledger.
	opAppend
)

// change is one change of the content by a commit.
type change struct {
	Op    op     `msgpack:"op"`
	Key   string `msgpack:"key"`
	Value string `msgpack:"val"`
}

// entry is one entry of the log: a commit, the opening of a term, or the
// settling of an idempotency key.
type entry struct {
	Position model.Position `msgpack:"pos"`
	// Key is the idempotency key of the commit, or empty.
	Key string `msgpack:"key"`
	// Settled says that Key was not committed and never will be.
	Settled bool     `msgpack:"set"`
	Changes []change `msgpack:"chg"`
}

// keyOutcome tells what the log holds of an idempotency key.
type keyOutcome struct {
	committed bool
	position  model.Position
}

// -----------------------------------------------------------------------------
// The log.

// entryLog is a log of entries whose offsets begin at 1.
type entryLog struct {
	entries []entry
	keys    map[string]keyOutcome
}

func newEntryLog() entryLog { return entryLog{keys: map[string]keyOutcome{}} }

// last returns the offset of the last entry, or 0.
func (l *entryLog) last() uint64 { return uint64(len(l.entries)) }

// position returns the position of the entry at an offset, zero for offset 0.
func (l *entryLog) position(offset uint64) model.Position {
	if offset == 0 {
		return model.Position{}
	}
	return l.entries[offset-1].Position
}

// batchLimit is the greatest number of entries that are sent at once.
const batchLimit = 4096

// from returns the next entries from an offset on.
func (l *entryLog) from(offset uint64) []entry {
	entries := l.entries[offset-1:]
	return entries[:min(len(entries), batchLimit)]
}

// append adds an entry whose offset is the next one.
func (l *entryLog) append(e entry) {
	l.entries = append(l.entries, e)
	if e.Key != "" {
		l.keys[e.Key] = keyOutcome{committed: !e.Settled, position: e.Position}
	}
}

// truncate drops the entries after an offset.
func (l *entryLog) truncate(offset uint64) {
	for _, dropped := range l.entries[offset:] {
		delete(l.keys, dropped.Key)
	}
	// The capacity is cut too: streams may still read the old entries.
	l.entries = l.entries[:offset:offset]
}

// -----------------------------------------------------------------------------
// Common prefixes.

// span is a run of entries of one term.
type span struct {
	Term  model.Term `msgpack:"term"`
	First uint64     `msgpack:"first"`
}

// spans returns the runs of entries of each term, in order.
func (l *entryLog) spans() []span {
	var spans []span
	for i, e := range l.entries {
		if i == 0 || e.Position.Term != spans[len(spans)-1].Term {
			spans = append(spans, span{Term: e.Position.Term, First: e.Position.Offset})
		}
	}
	return spans
}

// common returns the last offset at which this log and another, given by its
// spans and last offset, hold an entry of the same term. Only one primary
// appends in a term, so all before it is shared as well.
func (l *entryLog) common(spans []span, last uint64) uint64 {
	offset := min(l.last(), last)
	for offset > 0 && termAt(spans, offset) != l.position(offset).Term {
		offset--
	}
	return offset
}

func termAt(spans []span, offset uint64) model.Term {
	var term model.Term
	for _, s := range spans {
		if s.First > offset {
			break
		}
		term = s.Term
	}
	return term
}
