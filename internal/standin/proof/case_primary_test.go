package proof_test

import (
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// primaryKilled kills the process of the primary.
func primaryKilled(s *scenario) {
	s.runUnderLoad(func() {
		s.Databases[0].Process.Kill()
		s.awaitPromotion()
	})
	s.checkService()
}

// primaryFrozen pauses the primary and resumes it after another database was promoted.
func primaryFrozen(s *scenario) {
	s.runUnderLoad(func() {
		s.requireNoError(s.Databases[0].Process.Pause())
		s.awaitPromotion()
		s.requireNoError(s.Databases[0].Process.Resume())
	})
	s.checkService()
	s.awaitSameContent()
}

// primaryIsolated partitions the primary from its replicas until another database was
// promoted.
func primaryIsolated(s *scenario) {
	s.runUnderLoad(func() {
		s.injectFault(s.Databases[0], database.FaultRequest{Fault: "isolate", From: []string{
			string(s.Databases[1].Name), string(s.Databases[2].Name),
		}})
		s.awaitPromotion()
		s.injectFault(s.Databases[0], database.FaultRequest{Fault: "none"})
	})
	s.checkService()
	s.awaitSameContent()
}

// awaitSameContent waits until the old primary follows the new one and both have the same
// content. The content of the new primary must not change meanwhile: entries that only
// the old primary had must not reappear.
func (s *scenario) awaitSameContent() {
	s.Helper()
	primary := s.awaitPromotion()
	before := s.databaseContent(primary)
	s.await("the old primary to have the new one's content", func() bool {
		oldPrimary := s.databaseState(s.Databases[0])
		return oldPrimary.Role == "replica" && oldPrimary.Streaming && cmp.Equal(s.databaseContent(primary), s.databaseContent(s.Databases[0]))
	})
	s.checkEqual("the new primary's content", before, s.databaseContent(primary))
}

// primaryKilledInOutage checks that no replica is promoted while the platform, where
// instances agree on terms, is down.
func primaryKilledInOutage(s *scenario) {
	s.runUnderLoad(func() {
		s.injectPlatformFault("outage")
		s.Databases[0].Process.Kill()
		s.awaitEvent(event.PromotionWaits)
		for _, d := range s.Databases[1:] {
			s.checkEqual("a replica during the outage", databaseState{Role: "replica", Term: 1}, s.databaseState(d))
		}
		s.injectPlatformFault("none")
		s.awaitPromotion()
	})
	s.checkService()
}

// responsesLostInPromotion loses the platform's response to a claim that took effect.
// There must be exactly one primary afterwards.
func responsesLostInPromotion(s *scenario) {
	s.runUnderLoad(func() {
		s.loseWriteResponses(s.Databases[0].Process.Kill)
		s.awaitPromotion()
	})
	s.checkService()
	s.checkEqual("primaries", 1, s.countPrimaries())
}

// countPrimaries returns the number of primaries among all databases except the first,
// which was killed.
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
