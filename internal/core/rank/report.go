package rank

import (
	"slices"
	"strconv"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// counters counts the outcomes of the requests of one rank in one group.
type counters struct {
	running  int
	served   uint64
	late     uint64
	failed   uint64
	expired  uint64
	canceled uint64
	rejected map[message.RefusalReason]uint64
}

// Report is the state of this instance's scheduler and its counters, for
// operators.
type Report struct {
	// Groups are in the order of the manifest.
	Groups []GroupReport
}

// GroupReport is the state of one group.
type GroupReport struct {
	Group model.GroupID
	// Arbiter is the instance that leases the group's slots.
	Arbiter model.InstanceID
	// Alone is true if the arbiter does not answer, so that this instance uses
	// an equal share.
	Alone     bool
	Queues    []QueueReport
	Databases []DatabaseReport
}

// QueueReport is the state of one rank in one group. The counters of ended
// requests count from the start of the instance.
type QueueReport struct {
	Rank    model.Rank
	Name    string
	Waiting int
	// Oldest is the longest wait among the requests that are first by deadline
	// in their candidate queue.
	Oldest  time.Duration
	Running int
	// Served counts the successful answers, Late those of them after the
	// latency target.
	Served, Late uint64
	// Failed counts the uses of a slot that ended without an answer of the
	// database, or with the answer that it is overloaded.
	Failed uint64
	// Expired counts the requests that passed their deadline in the queue,
	// Withdrawn those that were canceled there.
	Expired, Withdrawn uint64
	// Refused counts the requests rejected at admission, by reason.
	Refused []RefusedReport
}

// RefusedReport is the number of requests rejected for one reason.
type RefusedReport struct {
	Why   message.RefusalReason
	Count uint64
}

// DatabaseReport is the state of one database.
type DatabaseReport struct {
	Database model.DatabaseID
	// Running is the number of this instance's requests that run there.
	Running int
	// Slots is the number of slots that all instances together should use.
	Slots int
	// Circuit is "closed", "slow" or "failing".
	Circuit string
	// Connections is the maximum number of connections that this instance may
	// have open for requests.
	Connections int
}

// Report returns the state of all groups and the counters of their ranks.
func (s *Scheduler) Report(now time.Time) Report {
	var report Report
	for _, g := range s.orderedGroups {
		leaseHolder := &g.leasing.leaseHolder
		groupReport := GroupReport{
			Group: g.id, Arbiter: leaseHolder.arbiter, Alone: leaseHolder.isArbiterUnresponsive(now),
		}
		for _, q := range g.queues {
			groupReport.Queues = append(groupReport.Queues, s.reportQueue(now, q))
		}
		for _, d := range g.databases {
			groupReport.Databases = append(groupReport.Databases, DatabaseReport{
				Database: d.id, Running: d.rankUsage.slotsInUse(), Slots: s.limitOf(d),
				Circuit: d.limiter.state.String(), Connections: s.Connections(d.id),
			})
		}
		report.Groups = append(report.Groups, groupReport)
	}
	return report
}

func (s *Scheduler) reportQueue(now time.Time, q *queue) QueueReport {
	counters := &q.count
	report := QueueReport{
		Rank: q.rank, Name: s.rankName(q.rank), Waiting: q.waiting, Running: counters.running,
		Served: counters.served, Late: counters.late, Failed: counters.failed,
		Expired: counters.expired, Withdrawn: counters.canceled,
	}
	for _, cq := range q.candidateQueues {
		if len(cq.callerQueues) > 0 {
			report.Oldest = max(report.Oldest, now.Sub(cq.callerQueues[0].items[0].work.Arrived))
		}
	}
	for reason, count := range counters.rejected {
		report.Refused = append(report.Refused, RefusedReport{Why: reason, Count: count})
	}
	slices.SortFunc(report.Refused, func(a, b RefusedReport) int { return int(a.Why) - int(b.Why) })
	return report
}

// rankName returns the manifest's name of a rank, or its number if the manifest
// has no such rank.
func (s *Scheduler) rankName(r model.Rank) string {
	if r >= 0 && int(r) < len(s.ranks) {
		return s.ranks[r].Name
	}
	return strconv.Itoa(int(r))
}
