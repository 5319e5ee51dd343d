package replica

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// modelDatabase is a database of a model of a group. Its log is the list of its commits.
type modelDatabase struct {
	Copy
	log       []model.Position
	term      model.Term
	isPrimary bool
	isDown    bool
	isDeaf    bool
	isListed  bool
}

// modelGroup is a group with synchronous replication and what the store holds about it.
type modelGroup struct {
	databases []*modelDatabase
	primary   *modelDatabase
	// primaryID is the ID under which callers use the primary.
	primaryID model.DatabaseID
	record    Record
	gone      Gone
	base      model.Position
	// acknowledged are the commits that callers were told of.
	acknowledged []model.Position
	started      int64
}

func newModelGroup(size int) *modelGroup {
	g := &modelGroup{}
	for range size {
		g.add()
	}
	g.primary = g.databases[0]
	g.primary.isPrimary, g.primaryID = true, g.primary.ID
	g.observe()
	return g
}

// add starts a new database, which has to receive the whole log.
func (g *modelGroup) add() *modelDatabase {
	g.started++
	d := &modelDatabase{term: 1, isListed: true, Copy: Copy{
		ID: model.DatabaseID(fmt.Sprint("d", g.started)), Incarnation: g.started,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(g.started)),
	}}
	g.databases = append(g.databases, d)
	return d
}

func (d *modelDatabase) end() model.Position {
	if len(d.log) == 0 {
		return model.Position{Term: 1}
	}
	return d.log[len(d.log)-1]
}

// commit appends to the log of the primary, and acknowledges the commit if a replica
// receives it.
func (g *modelGroup) commit() {
	p := g.primary
	if p.isDown || !p.isPrimary || p.ID != g.primaryID {
		return
	}
	made := model.Position{Term: p.term, Offset: p.end().Offset + 1}
	p.log = append(slices.Clone(p.log), made)
	if g.replicate() {
		g.acknowledged = append(g.acknowledged, made)
	}
}

// replicate passes the log of the primary on and reports whether a replica has received
// it.
func (g *modelGroup) replicate() bool {
	received := false
	if g.primary.isDown || !g.primary.isPrimary {
		return false
	}
	for _, d := range g.databases {
		if d != g.primary && !d.isDown && !d.isDeaf {
			d.log, d.term, d.isPrimary = slices.Clone(g.primary.log), g.primary.term, false
			received = true
		}
	}
	return received
}

func (g *modelGroup) listed() []Copy {
	var listed []Copy
	for _, d := range g.databases {
		if d.isListed {
			listed = append(listed, d.Copy)
		}
	}
	return listed
}

func (g *modelGroup) answers(answers func(*modelDatabase) bool) []Answer {
	var all []Answer
	for _, d := range g.databases {
		if !d.isDown && answers(d) {
			all = append(all, Answer{Copy: d.Copy, Term: d.term, Position: d.end(), IsPrimary: d.isPrimary})
		}
	}
	return all
}

// observe updates the record as the coordinator does while the primary is in use.
func (g *modelGroup) observe() {
	o := Observation{Primary: g.primaryID, Listed: g.listed()}
	if !g.primary.isDown && g.primary.isPrimary && g.primary.ID == g.primaryID && g.record.NeedsAnswers(o.Listed) {
		o.PrimaryEnd = g.primary.end()
		o.Answers = g.answers(func(d *modelDatabase) bool { return d != g.primary })
	}
	o.Gone = g.gone
	g.gone = g.record.Gone(o)
	g.record, _ = g.record.Observe(o)
}

// fail decides about a failover and carries out what it decides. reached tells which
// databases the coordinator reaches.
func (g *modelGroup) fail(t *rapid.T, reached map[model.DatabaseID]bool) {
	merged, _ := g.record.Observe(Observation{Listed: g.listed()})
	decision := Decide(Change{
		Primary: g.primaryID, Term: g.primary.term, Base: g.base, Copies: merged.Copies, CanResume: true, IsOverdue: true,
		Answers: g.answers(func(d *modelDatabase) bool { return reached[d.ID] }),
	})
	promote, ok := decision.(Promote)
	if !ok {
		return
	}
	i := slices.IndexFunc(g.databases, func(d *modelDatabase) bool { return d.ID == promote.Database })
	chosen := g.databases[i]
	for _, a := range g.acknowledged {
		if !slices.Contains(chosen.log, a) {
			t.Fatalf("%s is promoted (%s) with a log up to %s, without the acknowledged commit %s", promote.Database, describe(promote), chosen.end(), a)
		}
	}
	if chosen == g.primary && chosen.isPrimary && chosen.ID != g.primaryID {
		// It stays, under its other ID.
		g.primaryID, g.record, g.gone = chosen.ID, merged.AfterPromotion(g.listed()), nil
		return
	}
	g.promote(chosen)
	g.base, g.record, g.gone = chosen.end(), merged.AfterPromotion(g.listed()), nil
}

func (g *modelGroup) promote(chosen *modelDatabase) {
	term := model.Term(0)
	for _, d := range g.databases {
		term = max(term, d.term)
	}
	if !g.primary.isDown {
		g.primary.isPrimary = false
	}
	chosen.isPrimary, chosen.term, g.primary, g.primaryID = true, term+1, chosen, chosen.ID
}

// change changes the state of one database other than the primary, or crashes that.
func (g *modelGroup) change(kind string, d *modelDatabase) {
	switch {
	case kind == "crash":
		d.isDown = true
	case (kind == "return" || kind == "return under another ID") && d.isDown:
		g.started++
		if kind != "return" {
			d.ID = model.DatabaseID(fmt.Sprint("d", g.started))
		}
		d.isDown, d.isListed, d.Incarnation = false, true, g.started
		d.isPrimary = d == g.primary
	case kind == "expire" && d.isDown:
		d.isListed = false
	case kind == "stop receiving":
		d.isDeaf = true
	case kind == "receive":
		d.isDeaf = false
		g.replicate()
	case kind == "drain" && !d.isDown:
		d.Leaving = true
	}
}

// Guards against a promotion that loses an acknowledged commit after any sequence of
// crashes, expired entries, lags and drains, whichever databases answer.
func TestNoAcknowledgedCommitIsLost(t *testing.T) {
	kinds := []string{"crash", "return", "return under another ID", "expire", "stop receiving", "receive", "drain"}
	rapid.Check(t, func(t *rapid.T) {
		g := newModelGroup(rapid.IntRange(3, 4).Draw(t, "size"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 2).Draw(t, "commits") {
				g.commit()
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				g.change(rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.SampledFrom(g.databases).Draw(t, "database"))
				g.observe()
			case 3:
				g.add()
				g.observe()
			default:
				reached := map[model.DatabaseID]bool{}
				for _, d := range g.databases {
					reached[d.ID] = rapid.Bool().Draw(t, "reached")
				}
				g.fail(t, reached)
			}
		}
	})
}
