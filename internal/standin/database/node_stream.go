package database

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// target is the primary that a replica follows; its name is empty until it is
// known.
type target struct {
	name    model.DatabaseID
	address netip.AddrPort
}

// setTarget ends the stream in progress and changes what is followed.
func (n *node) setTarget(next target) {
	n.target = next
	n.streaming = false
	close(n.retarget)
	n.retarget = make(chan struct{})
	n.notify()
}

// followed returns what is followed, and a channel that is closed when that
// changes or the term is raised.
func (n *node) followed() (target, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.target, n.retarget
}

// -----------------------------------------------------------------------------
// The primary's end of a stream.

// greet returns what the primary answers to a replica's hello, or false where
// the stream is refused.
func (n *node) greet(h hello) (welcome, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != model.RolePrimary || h.Term > n.term {
		return welcome{}, false
	}
	common := n.log.common(h.Spans, h.Last)
	if common < h.Last && termAt(h.Spans, h.Last) == n.term {
		// The replica holds entries of this very term: this log was lost.
		return welcome{}, false
	}
	return welcome{
		Name: n.name, Zone: n.zone, Term: n.term, Nonce: n.nonce,
		Common: common, Last: n.log.last(),
	}, true
}

// entriesFrom returns the entries from an offset on, or false where the node is
// no longer primary of term.
func (n *node) entriesFrom(offset uint64, term model.Term) ([]entry, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != model.RolePrimary || n.term != term {
		return nil, false
	}
	return n.log.from(offset), true
}

// -----------------------------------------------------------------------------
// The replica's end of a stream.

// hello returns what a replica says first.
func (n *node) hello() hello {
	n.mu.Lock()
	defer n.mu.Unlock()
	return hello{Name: n.name, Zone: n.zone, Term: n.term, Spans: n.log.spans(), Last: n.log.last()}
}

// beginStream takes over the primary's term and drops the tail that it does
// not share. It reports false where the stream must not be used: the target
// has changed, or the term is lower.
func (n *node) beginStream(retarget <-chan struct{}, w welcome) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if retarget != n.retarget || w.Term < n.term || w.Common > n.log.last() {
		return false
	}
	if w.Term > n.term || n.nonce == "" {
		n.term, n.nonce = w.Term, w.Nonce
	}
	n.target.name = w.Name
	n.streaming = true
	n.dropTail(w.Common)
	n.joining = n.joining && n.log.last() < w.Last
	n.notify()
	return true
}

// receive appends entries to the log. It reports false where the stream must
// not be used any more.
func (n *node) receive(retarget <-chan struct{}, w welcome, entries []entry, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if retarget != n.retarget {
		return false
	}
	for _, e := range entries {
		if e.Position.Offset != n.log.last()+1 {
			return false
		}
		n.log.append(e)
		n.arrivals = append(n.arrivals, now)
	}
	n.joining = n.joining && n.log.last() < w.Last
	if len(entries) > 0 {
		n.notify()
	}
	return true
}

// endStream tells that the stream is gone.
func (n *node) endStream(retarget <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if retarget == n.retarget && n.streaming {
		n.streaming = false
		n.notify()
	}
}
