package rank

import "time"

// Readmit takes work in again whose slot was given back while its outcome was
// being settled. It keeps its place by arrival and, unlike with Offer, is never
// refused: the caller's work has been accepted before.
func (s *Scheduler) Readmit(now time.Time, work Work) {
	g := s.groups[work.Group]
	if g == nil {
		return
	}
	s.enter(now, g.queueOf(&work), &item{work: work, cost: s.kind(work.Kind).cost(now)})
}
