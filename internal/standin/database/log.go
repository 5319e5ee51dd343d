package database

import "github.com/eelgrassfold/eelgrassfold/internal/core/model"

// -----------------------------------------------------------------------------
// Entries.

// op is the kind of a change.
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

// change is one change that a commit makes to the content.
type change struct {
	Op    op     `msgpack:"op"`
	Key   string `msgpack:"key"`
	Value string `msgpack:"val"`
}

// entry is one entry of the log: a commit, the start of a term, or the resolution
// of an in-doubt commit as not committed.
type entry struct {
	Position model.Position `msgpack:"pos"`
	// Key is the idempotency key of the commit, or of the in-doubt commit that was
	// resolved; it may be empty.
	Key string `msgpack:"key"`
	// ResolvedNotCommitted is true if Key was not committed and never will be.
	ResolvedNotCommitted bool     `msgpack:"set"`
	Changes              []change `msgpack:"chg"`
}

// keyOutcome is what the log holds for an idempotency key: whether the commit with
// the key took place or was resolved as not committed, and the position of the entry
// that says so.
type keyOutcome struct {
	committed bool
	position  model.Position
}

// -----------------------------------------------------------------------------
// The log.

// entryLog is the log of a database. The offsets of its entries start at 1.
type entryLog struct {
	entries []entry
	keys    map[string]keyOutcome
}

func newEntryLog() entryLog { return entryLog{keys: map[string]keyOutcome{}} }

// lastOffset returns the offset of the last entry, or 0 if the log is empty.
func (l *entryLog) lastOffset() uint64 { return uint64(len(l.entries)) }

// position returns the position of the entry at an offset, or the zero position
// for offset 0.
func (l *entryLog) position(offset uint64) model.Position {
	if offset == 0 {
		return model.Position{}
	}
	return l.entries[offset-1].Position
}

// maxBatchEntries is the maximum number of entries in one batch.
const maxBatchEntries = 4096

// nextEntries returns up to maxBatchEntries entries, starting at an offset.
func (l *entryLog) nextEntries(offset uint64) []entry {
	entries := l.entries[offset-1:]
	return entries[:min(len(entries), maxBatchEntries)]
}

// append appends an entry, whose offset must be the next one.
func (l *entryLog) append(e entry) {
	l.entries = append(l.entries, e)
	if e.Key != "" {
		l.keys[e.Key] = keyOutcome{committed: !e.ResolvedNotCommitted, position: e.Position}
	}
}

// truncate removes the entries after an offset.
func (l *entryLog) truncate(offset uint64) {
	for _, dropped := range l.entries[offset:] {
		delete(l.keys, dropped.Key)
	}
	// The capacity is limited too, so that the next append copies the entries:
	// streams may still read the old ones.
	l.entries = l.entries[:offset:offset]
}

// -----------------------------------------------------------------------------
// Common prefixes.

// termSpan is a run of consecutive entries of one term. First is the offset of
// the first one.
type termSpan struct {
	Term  model.Term `msgpack:"term"`
	First uint64     `msgpack:"first"`
}

// spans returns the span of each term in the log, in order.
func (l *entryLog) spans() []termSpan {
	var spans []termSpan
	for i, e := range l.entries {
		if i == 0 || e.Position.Term != spans[len(spans)-1].Term {
			spans = append(spans, termSpan{Term: e.Position.Term, First: e.Position.Offset})
		}
	}
	return spans
}

// commonOffset returns the last offset at which this log and another, given by
// its spans and last offset, hold an entry of the same term. Only one primary
// appends in a term, so the logs also agree on all entries before that offset.
func (l *entryLog) commonOffset(spans []termSpan, last uint64) uint64 {
	offset := min(l.lastOffset(), last)
	for offset > 0 && termAt(spans, offset) != l.position(offset).Term {
		offset--
	}
	return offset
}

// termAt returns the term of the entry at an offset, given the spans of its log.
func termAt(spans []termSpan, offset uint64) model.Term {
	var term model.Term
	for _, s := range spans {
		if s.First > offset {
			break
		}
		term = s.Term
	}
	return term
}
