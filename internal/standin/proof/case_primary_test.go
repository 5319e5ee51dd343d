package proof_test

import (
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

func primaryKilled(s *scenario) {
	s.runUnderLoad(func() {
		s.Databases[0].Process.Kill()
		s.awaitPromotion()
	})
	s.requireService()
}

// primaryFrozen thaws the old primary once another is in its place.
func primaryFrozen(s *scenario) {
	s.runUnderLoad(func() {
		s.requireNoError(s.Databases[0].Process.Pause())
		s.awaitPromotion()
		s.requireNoError(s.Databases[0].Process.Resume())
	})
	s.requireService()
	s.awaitSameContent()
}

func primaryIsolated(s *scenario) {
	s.runUnderLoad(func() {
		s.injectFault(s.Databases[0], database.FaultRequest{Fault: "isolate", From: []string{
			string(s.Databases[1].Name), string(s.Databases[2].Name),
		}})
		s.awaitPromotion()
		s.injectFault(s.Databases[0], database.FaultRequest{Fault: "none"})
	})
	s.requireService()
	s.awaitSameContent()
}

// awaitSameContent waits until the old primary follows the new one, and both
// hold the same: nothing that only the old one had has come back.
func (s *scenario) awaitSameContent() {
	s.Helper()
	primary := s.awaitPromotion()
	before := s.databaseContent(primary)
	s.await("one history", func() bool {
		oldPrimary := s.databaseState(s.Databases[0])
		return oldPrimary.Role == "replica" && oldPrimary.Streaming && cmp.Equal(s.databaseContent(primary), s.databaseContent(s.Databases[0]))
	})
	s.checkEqual("the new primary's content", before, s.databaseContent(primary))
}

// primaryKilledInOutage wants no promotion while the platform, where terms are
// agreed, is down.
func primaryKilledInOutage(s *scenario) {
	s.runUnderLoad(func() {
		s.injectPlatformFault("outage")
		s.Databases[0].Process.Kill()
		s.awaitEvent(event.PromotionWaits)
		for _, d := range s.Databases[1:] {
			s.checkEqual("a replica in the outage", databaseState{Role: "replica", Term: 1}, s.databaseState(d))
		}
		s.injectPlatformFault("none")
		s.awaitPromotion()
	})
	s.requireService()
}

// responsesLostInPromotion loses the answer to a claim that has taken effect.
func responsesLostInPromotion(s *scenario) {
	s.runUnderLoad(func() {
		s.loseWriteResponses(s.Databases[0].Process.Kill)
		s.awaitPromotion()
	})
	s.requireService()
	s.checkEqual("primaries", 1, s.countPrimaries())
}

// countPrimaries counts the databases, but for the first, that are primary.
func (s *scenario) countPrimaries() int {
	s.Helper()
	count := 0
	for _, d := range s.Databases[1:] {
		if s.databaseState(d).Role == "primary" {
			count++
		}
	}
	return count
}
