package database

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// streamSource is the primary that a replica follows. Its name may be empty
// until the primary has sent it.
type streamSource struct {
	name    model.DatabaseID
	address netip.AddrPort
}

// setSource changes the source and ends the stream in progress.
func (n *node) setSource(next streamSource) {
	n.source = next
	n.streaming = false
	close(n.sourceChanged)
	n.sourceChanged = make(chan struct{})
	n.notify()
}

// currentSource returns the source, and a channel that is closed when the
// source changes or the term is raised.
func (n *node) currentSource() (streamSource, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source, n.sourceChanged
}

// -----------------------------------------------------------------------------
// Primary side of a stream.

// acceptReplica returns the primary's response to a replica that connects, or
// false if the stream must be rejected: this node is not primary, the replica
// has a higher term, or it has entries of the current term that this log lacks.
func (n *node) acceptReplica(startup streamStartup) (streamReady, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != model.RolePrimary || startup.Term > n.term {
		return streamReady{}, false
	}
	common := n.log.commonOffset(startup.Spans, startup.Last)
	if common < startup.Last && termAt(startup.Spans, startup.Last) == n.term {
		// The replica has entries of the current term that this log lacks, which
		// means that this log was lost.
		return streamReady{}, false
	}
	return streamReady{
		Name: n.name, Zone: n.zone, Term: n.term, Nonce: n.nonce,
		Common: common, Last: n.log.lastOffset(),
	}, true
}

// entriesFrom returns the next entries from an offset on, or false if the node
// is no longer primary of term.
func (n *node) entriesFrom(offset uint64, term model.Term) ([]entry, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != model.RolePrimary || n.term != term {
		return nil, false
	}
	return n.log.nextEntries(offset), true
}

// -----------------------------------------------------------------------------
// Replica side of a stream.

// startupMessage returns the first frame that the replica sends.
func (n *node) startupMessage() streamStartup {
	n.mu.Lock()
	defer n.mu.Unlock()
	return streamStartup{Name: n.name, Zone: n.zone, Term: n.term, Spans: n.log.spans(), Last: n.log.lastOffset()}
}

// beginStream adopts the primary's term and removes the entries that the
// primary's log does not have. It returns false if the stream must not be used:
// the source has changed, the primary's term is lower, or the common offset is
// beyond this log.
func (n *node) beginStream(sourceChanged <-chan struct{}, ready streamReady) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sourceChanged != n.sourceChanged || ready.Term < n.term || ready.Common > n.log.lastOffset() {
		return false
	}
	if ready.Term > n.term || n.nonce == "" {
		n.term, n.nonce = ready.Term, ready.Nonce
	}
	n.source.name = ready.Name
	n.streaming = true
	n.dropTail(ready.Common)
	n.catchingUp = n.catchingUp && n.log.lastOffset() < ready.Last
	n.notify()
	return true
}

// receive appends entries to the log. It returns false if the stream must not
// be used any longer.
func (n *node) receive(sourceChanged <-chan struct{}, ready streamReady, entries []entry, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sourceChanged != n.sourceChanged {
		return false
	}
	for _, e := range entries {
		if e.Position.Offset != n.log.lastOffset()+1 {
			return false
		}
		n.log.append(e)
		n.receiveTimes = append(n.receiveTimes, now)
	}
	n.catchingUp = n.catchingUp && n.log.lastOffset() < ready.Last
	if len(entries) > 0 {
		n.notify()
	}
	return true
}

// endStream records that the stream has ended, unless the source has changed
// since.
func (n *node) endStream(sourceChanged <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sourceChanged == n.sourceChanged && n.streaming {
		n.streaming = false
		n.notify()
	}
}
