package proof_test

import (
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

func primaryKilled(s *stage) {
	s.under(func() {
		s.Databases[0].Process.Kill()
		s.awaitPromotion()
	})
	s.serves()
}

// primaryFrozen thaws the old primary once another is in its place.
func primaryFrozen(s *stage) {
	s.under(func() {
		s.must(s.Databases[0].Process.Pause())
		s.awaitPromotion()
		s.must(s.Databases[0].Process.Resume())
	})
	s.serves()
	s.awaitOneHistory()
}

func primaryIsolated(s *stage) {
	s.under(func() {
		s.fail(s.Databases[0], database.FaultRequest{Fault: "isolate", From: []string{
			string(s.Databases[1].Name), string(s.Databases[2].Name),
		}})
		s.awaitPromotion()
		s.fail(s.Databases[0], database.FaultRequest{Fault: "none"})
	})
	s.serves()
	s.awaitOneHistory()
}

// awaitOneHistory waits until the old primary follows the new one, and both
// hold the same: nothing that only the old one had has come back.
func (s *stage) awaitOneHistory() {
	s.Helper()
	primary := s.awaitPromotion()
	before := s.content(primary)
	s.await("one history", func() bool {
		old := s.state(s.Databases[0])
		return old.Role == "replica" && old.Streaming && cmp.Equal(s.content(primary), s.content(s.Databases[0]))
	})
	s.equal("the new primary's content", before, s.content(primary))
}

// primaryKilledInOutage wants no promotion while the platform, where terms are
// agreed, is down.
func primaryKilledInOutage(s *stage) {
	s.under(func() {
		s.failPlatform("outage")
		s.Databases[0].Process.Kill()
		s.awaitEvent(event.PromotionWaits)
		for _, d := range s.Databases[1:] {
			s.equal("a replica in the outage", state{Role: "replica", Term: 1}, s.state(d))
		}
		s.failPlatform("none")
		s.awaitPromotion()
	})
	s.serves()
}

// answersLostInPromotion loses the answer to a claim that has taken effect.
func answersLostInPromotion(s *stage) {
	s.under(func() {
		s.loseWrites(s.Databases[0].Process.Kill)
		s.awaitPromotion()
	})
	s.serves()
	s.equal("primaries", 1, s.countPrimaries())
}

// countPrimaries counts the databases, but for the first, that are primary.
func (s *stage) countPrimaries() int {
	s.Helper()
	count := 0
	for _, d := range s.Databases[1:] {
		if s.state(d).Role == "primary" {
			count++
		}
	}
	return count
}
