package rank

import (
	"slices"
	"strconv"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// counters count what became of the work of one rank in one group.
type counters struct {
	running   int
	served    uint64
	late      uint64
	failed    uint64
	expired   uint64
	withdrawn uint64
	refused   map[message.RefusalReason]uint64
}

// Report tells operators what the scheduler of this instance holds and did.
type Report struct {
	// Groups are in the order of the manifest.
	Groups []GroupReport
}

// GroupReport is the part of one group.
type GroupReport struct {
	Group model.GroupID
	// Arbiter is the instance that leases the group's slots.
	Arbiter model.InstanceID
	// Alone says that the arbiter does not answer, and this instance uses an
	// equal share.
	Alone     bool
	Queues    []QueueReport
	Databases []DatabaseReport
}

// QueueReport is the part of one rank in one group. The counts of what ended
// grow from the start of the instance.
type QueueReport struct {
	Rank    model.Rank
	Name    string
	Waiting int
	// Oldest is how long the work with the earliest deadline has waited.
	Oldest  time.Duration
	Running int
	// Served counts the answers, Late those of them after the target.
	Served, Late uint64
	// Failed counts the uses of a slot that a database did not answer.
	Failed uint64
	// Expired and Withdrawn left the queue without running.
	Expired, Withdrawn uint64
	// Refused counts the refusals at the door by reason.
	Refused []RefusedReport
}

// RefusedReport counts refusals of one reason.
type RefusedReport struct {
	Why   message.RefusalReason
	Count uint64
}

// DatabaseReport is the part of one database.
type DatabaseReport struct {
	Database model.DatabaseID
	// Running counts this instance's requests there.
	Running int
	// Slots is the number of slots that all instances together should use.
	Slots int
	// Circuit is "closed", "slow" or "failing".
	Circuit string
	// Connections is this instance's budget.
	Connections int
}

// Report returns what waits, runs, was served and was refused.
func (s *Scheduler) Report(now time.Time) Report {
	var report Report
	for _, g := range s.sequence {
		holder := &g.leasing.holder
		part := GroupReport{Group: g.id, Arbiter: holder.arbiter, Alone: holder.isAlone(now)}
		for _, q := range g.queues {
			part.Queues = append(part.Queues, s.reportQueue(now, q))
		}
		for _, d := range g.databases {
			part.Databases = append(part.Databases, DatabaseReport{
				Database: d.id, Running: d.ledger.busy(), Slots: s.limitOf(d),
				Circuit: d.limiter.state.String(), Connections: s.Connections(d.id),
			})
		}
		report.Groups = append(report.Groups, part)
	}
	return report
}

func (s *Scheduler) reportQueue(now time.Time, q *queue) QueueReport {
	c := &q.count
	report := QueueReport{
		Rank: q.rank, Name: s.rankName(q.rank), Waiting: q.waiting, Running: c.running,
		Served: c.served, Late: c.late, Failed: c.failed, Expired: c.expired, Withdrawn: c.withdrawn,
	}
	for _, l := range q.lanes {
		if len(l.lines) > 0 {
			report.Oldest = max(report.Oldest, now.Sub(l.lines[0].items[0].work.Arrived))
		}
	}
	for why, count := range c.refused {
		report.Refused = append(report.Refused, RefusedReport{Why: why, Count: count})
	}
	slices.SortFunc(report.Refused, func(a, b RefusedReport) int { return int(a.Why) - int(b.Why) })
	return report
}

// rankName returns the manifest's name of a rank.
func (s *Scheduler) rankName(r model.Rank) string {
	if r >= 0 && int(r) < len(s.ranks) {
		return s.ranks[r].Name
	}
	return strconv.Itoa(int(r))
}
