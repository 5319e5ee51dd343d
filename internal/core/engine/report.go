package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

// -----------------------------------------------------------------------------
// Reports for operators.

// report returns the report on a topic.
func (e *Engine) report(requested message.ReportRequested) any {
	switch requested.Topic {
	case message.TopicLogbook:
		return e.reportLogbook(requested.Group)
	case message.TopicManifest:
		state := &e.manifests
		return status.Manifest{Number: state.number, Digest: state.digest, Body: string(state.body)}
	case message.TopicStatus:
	}
	return e.reportStatus(requested.Group)
}

// reportStatus returns the state of the instance.
func (e *Engine) reportStatus(groupName string) status.Status {
	report := status.Status{
		Instance: string(e.options.Instance), Zone: string(e.options.Zone),
		ManifestNumber: e.manifests.number, ManifestDigest: e.manifests.digest, Draining: e.drain.started,
		OpenSessions: len(e.sessions), OpenRequests: len(e.requests.byID), Ranks: e.scheduler.Report(e.now),
	}
	for _, g := range e.groups {
		if groupName == "" || groupName == string(g.name) {
			report.Groups = append(report.Groups, e.reportGroup(g))
		}
	}
	for _, entry := range e.instances.sorted() {
		report.Peers = append(report.Peers, status.Peer{
			Instance: string(entry.id), Zone: string(entry.zone), Address: entry.peerAddress, Alive: entry.alive,
			Leaving: entry.leaving, ManifestNumber: entry.manifest, TimeSinceHeartbeat: elapsedSince(e.now, entry.lastHeartbeat),
		})
	}
	return report
}

// elapsedSince returns the time from earlier to now, or zero if earlier is the zero
// time.
func elapsedSince(now, earlier time.Time) time.Duration {
	if earlier.IsZero() {
		return 0
	}
	return now.Sub(earlier)
}

// reportGroup returns the state of one group.
func (e *Engine) reportGroup(g *group) status.Group {
	report := status.Group{
		Name: string(g.name), Term: uint64(g.term), Primary: string(g.primaryName()), DurablePosition: g.durable.String(),
		CommitsAwaitingQuorum: len(g.awaitingQuorum), FailoverStep: g.failover.step.String(),
	}
	report.TermConfirmationAge = elapsedSince(e.now, g.confirmedAt)
	if !g.failover.suspectedAt.IsZero() {
		report.Evidence = g.failover.evidence
	}
	for _, r := range e.requests.inDoubt {
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
			TimeSinceAnswer: elapsedSince(e.now, d.answeredAt), ReplicationLag: d.lag, Latency: d.latency, RunningRequests: d.runningRequests,
		})
	}
	return report
}

// reportLogbook returns the promotion records that this instance knows, and
// requests the others from the platform for the next report.
func (e *Engine) reportLogbook(groupName string) status.Logbook {
	report := status.Logbook{Records: []any{}}
	for _, g := range e.groups {
		if groupName != "" && groupName != string(g.name) {
			continue
		}
		e.requestLogbook(g)
		report.QueriedAt = g.logbookReadAt
		for _, record := range g.logbook {
			report.Records = append(report.Records, record)
		}
	}
	return report
}
