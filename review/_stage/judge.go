package main

import (
	"fmt"
	"maps"
	"os"
	"sync"
	"time"
)

// record is the file in which a run writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	lines   int
}

const maxLines = 20000

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines++; r.lines > maxLines && format[0] == ' ' {
		return
	}
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// call is a request of a client.
type call struct {
	id, text, attempt string
	session           int
	service           string
	kind              string
	staleness         time.Duration
	// firstAt is when the first byte of the request, or of its transaction, was sent.
	firstAt time.Time
	values  map[string]string
	// shape is what the client has prepared under the name that it executes.
	shape string
	tx    *clientTx
	// runs counts the runs of the request.
	runs int
}

// clientTx is a transaction of a client.
type clientTx struct{ committing bool }

// judge checks the rules. It is told of everything by clients and databases.
type judge struct {
	mu         sync.Mutex
	record     *record
	calls      map[string]*call
	signatures map[string]string
	effects    map[string]int
	promised   map[string]string
	byID       map[string]*commit
	// acked holds, by service, the commits that clients were told of.
	acked  map[string][]*commit
	counts map[string]int
	breaks []string
	next   int
}

func newJudge(r *record) *judge {
	return &judge{record: r, calls: map[string]*call{}, signatures: map[string]string{}, effects: map[string]int{}, promised: map[string]string{}, byID: map[string]*commit{}, acked: map[string][]*commit{}, counts: map[string]int{}}
}

// broken records that a rule is broken. Its callers may hold the judge or not.
func (j *judge) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	j.record.line("BROKEN %s", text)
	j.record.mu.Lock()
	j.breaks = append(j.breaks, text)
	j.record.mu.Unlock()
}

func (j *judge) count(what string) {
	j.mu.Lock()
	j.counts[what]++
	j.mu.Unlock()
}

func (j *judge) sent(c *call) {
	j.mu.Lock()
	j.calls[c.id] = c
	j.mu.Unlock()
	j.record.line(" session %d sends %s %s", c.session, c.id, c.text)
}

// arrived checks that a client has sent the request, to this service.
func (j *judge) arrived(d *database, id, text string, s *dbSession) {
	j.mu.Lock()
	c := j.calls[id]
	j.mu.Unlock()
	switch {
	case c == nil:
		j.broken("UNASKED", "%s runs %s %q, which no client sent", d.id, id, text)
	case c.service != d.g.name:
		j.broken("ROUTE", "%s of service %s gets %s for service %s", d.id, d.g.name, id, c.service)
	case c.shape == "" && c.text != text:
		j.broken("UNASKED", "%s gets %s as %q instead of %q", d.id, id, text, c.text)
	}
}

// runs checks a statement that is about to run on a connection.
func (j *judge) runs(s *dbSession, id, text, shape string) *call {
	j.mu.Lock()
	c := j.calls[id]
	if c != nil {
		c.runs++
	}
	j.mu.Unlock()
	j.record.line(" %s runs %s %s in state %s", s.d.id, id, text, s.state)
	if c == nil {
		return nil
	}
	if c.shape != shape {
		j.broken("PINNED", "%s runs %s with shape %q, prepared was %q", s.d.id, id, shape, c.shape)
	}
	if !maps.Equal(c.values, s.values) {
		j.broken("PINNED", "%s runs %s with values %v, acknowledged were %v", s.d.id, id, s.values, c.values)
	}
	switch {
	case s.state == "T" && s.owner == nil:
		s.owner = c.tx
	}
	if s.state == "T" && s.owner != c.tx || s.state != "T" && c.tx != nil {
		j.broken("PINNED", "%s runs %s in state %s, outside its own transaction", s.d.id, id, s.state)
	}
	return c
}

// reads checks that the log of a read has all commits that it needs.
func (j *judge) reads(s *dbSession, c *call, log []*commit) {
	if c == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, k := range j.acked[c.service] {
		if k.rolledBack || k.stale || len(log) >= int(k.num) && log[k.num-1] == k {
			continue
		}
		limit := c.firstAt
		if c.kind != "primary" && !(c.kind == "own" && k.session == c.session) {
			limit = limit.Add(-c.staleness)
		}
		if k.ackedAt.Before(limit) {
			j.broken("STALE", "%s (%s, session %d, first byte %v ago) reads at %s, whose log ends at %s and lacks commit %d.%d of session %d, acknowledged %v before the first byte",
				c.id, c.kind, c.session, time.Since(c.firstAt).Round(time.Millisecond), s.d.id, position(log), k.term, k.num, k.session, c.firstAt.Sub(k.ackedAt).Round(time.Millisecond))
			return
		}
	}
}

// committed records a commit of a database.
func (j *judge) committed(d *database, id string, k *commit) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byID[id] = k
	j.record.line(" %s commits %d.%d with %v", d.id, k.term, k.num, k.ids)
	c := j.calls[id]
	if c == nil || (c.tx != nil && !c.tx.committing) {
		j.broken("UNASKED", "%s commits %s, which its client has not asked for", d.id, id)
	}
	for i, write := range k.ids {
		j.effects[write]++
		if j.effects[write] > 1 {
			j.broken("TWICE", "write %s takes effect %d times", write, j.effects[write])
		}
		if code, is := j.promised[k.attempts[i]]; is {
			j.broken("REFUSED", "write %s is committed, although its client was promised %s", write, code)
		}
	}
}

// promise records that a client was told that nothing of an attempt is kept.
func (j *judge) promise(attempt, code string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.promised[attempt] = code
	for _, k := range j.byID {
		for i, a := range k.attempts {
			if a == attempt {
				j.broken("REFUSED", "the client is promised %s for attempt %s, although write %s was committed as %d.%d", code, attempt, k.ids[i], k.term, k.num)
			}
		}
	}
}

func (j *judge) sign(id, data string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next++
	signature := fmt.Sprintf("sig%d", j.next)
	j.signatures[signature] = id + " " + data
	return signature
}

// success checks a success that a client got. commits is set for a single write and a COMMIT.
func (j *judge) success(c *call, signature, data string, commits bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if got := j.signatures[signature]; got != c.id+" "+data {
		j.broken("MIXED", "%s gets success with signature %s of %q and rows %q", c.id, signature, got, data)
	}
	if !commits {
		return
	}
	if k := j.byID[c.id]; k != nil {
		k.ackedAt = time.Now()
		j.acked[c.service] = append(j.acked[c.service], k)
		if k.stale {
			j.broken("ONE", "%s is acknowledged; it was committed as %d.%d at the old primary after a promotion", c.id, k.term, k.num)
		}
	}
}
