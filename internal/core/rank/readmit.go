package rank

import "time"

// Readmit adds a request to the queue again after its slot was released while
// its in-doubt outcome was being resolved. It keeps its arrival time and,
// unlike with Enqueue, is never rejected, since it has been admitted before.
func (s *Scheduler) Readmit(now time.Time, work Work) {
	g := s.groups[work.Group]
	if g == nil {
		return
	}
	s.addItem(now, g.queueOf(&work), &item{work: work, cost: s.requestKind(work.Kind).cost(now)})
}
