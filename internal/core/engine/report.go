package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

// -----------------------------------------------------------------------------
// Reports for operators.

// report returns the report on a topic.
func (e *Engine) report(wanted message.ReportRequested) any {
	switch wanted.Topic {
	case message.TopicLogbook:
		return e.reportLogbook(wanted.Group)
	case message.TopicManifest:
		s := &e.declared
		return status.Manifest{Number: s.number, Digest: s.digest, Body: string(s.body)}
	case message.TopicStatus:
	}
	return e.reportStatus(wanted.Group)
}

// reportStatus returns the state of the instance.
func (e *Engine) reportStatus(only string) status.Status {
	report := status.Status{
		Instance: string(e.options.Instance), Zone: string(e.options.Zone),
		ManifestNumber: e.declared.number, ManifestDigest: e.declared.digest, Draining: e.drain.started,
		OpenSessions: len(e.sessions), OpenRequests: len(e.requests.byID), Ranks: e.scheduler.Report(e.now),
	}
	for _, g := range e.groups {
		if only == "" || only == string(g.name) {
			report.Groups = append(report.Groups, e.reportGroup(g))
		}
	}
	for _, entry := range e.instances.sorted() {
		report.Peers = append(report.Peers, status.Peer{
			Instance: string(entry.id), Zone: string(entry.zone), Address: entry.peer, Alive: entry.alive,
			Leaving: entry.leaving, ManifestNumber: entry.manifest, TimeSinceHeartbeat: since(e.now, entry.heard),
		})
	}
	return report
}

// since returns the time that has passed since then, or zero where then is none.
func since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}

// reportGroup returns the state of one group.
func (e *Engine) reportGroup(g *group) status.Group {
	report := status.Group{
		Name: string(g.name), Term: uint64(g.term), Primary: string(g.primaryName()), DurablePosition: g.proven.String(),
		CommitsAwaitingQuorum: len(g.proving), FailoverStep: g.steward.step.String(),
	}
	report.TermConfirmationAge = since(e.now, g.proof)
	if !g.steward.suspected.IsZero() {
		report.Evidence = g.steward.evidence
	}
	for _, r := range e.requests.settling {
		if r.group == g {
			report.InDoubtCommits++
		}
	}
	for _, d := range g.databases {
		report.Databases = append(report.Databases, status.Database{
			Name: string(d.name), Zone: string(d.declared.Zone), Address: d.declared.Address,
			Role: d.status.Role.String(), Term: uint64(d.status.Term),
			ReceivedPosition: d.status.Received.String(), AppliedPosition: d.applied.String(),
			Streaming: d.status.Streaming, Leaving: d.isLeaving(), Reachable: d.isReachable(e.now),
			TimeSinceAnswer: since(e.now, d.heard), ReplicationLag: d.lag, Latency: d.latency, RunningRequests: d.running,
		})
	}
	return report
}

// reportLogbook returns the changes of primary that are known here, and asks
// the platform for those that are not.
func (e *Engine) reportLogbook(only string) status.Logbook {
	report := status.Logbook{Records: []any{}}
	for _, g := range e.groups {
		if only != "" && only != string(g.name) {
			continue
		}
		e.readLogbook(g)
		report.QueriedAt = g.logbookAt
		for _, record := range g.logbook {
			report.Records = append(report.Records, record)
		}
	}
	return report
}
