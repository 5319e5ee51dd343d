package proxy

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

var statusSubcommand = subcommand{
	name:    "status",
	summary: "Show the state of groups, databases and peers, as one instance observes it.",
	detail: "The state is that which the instance last observed itself. 'proven' is the newest\n" +
		"position that a majority holds; 'proof' is the time since a majority of the group\n" +
		"last confirmed the term; 'silent' is the time since the last answer.",
	examples:   []string{"eelgrassfold status", "eelgrassfold status --json", "eelgrassfold status --address 10.1.1.11:7480 --token file:/etc/eelgrassfold/operator.token"},
	newCommand: func() any { return &statusCommand{} },
}

type statusCommand struct {
	operatorFlags
	JSON bool `name:"json" help:"Print the JSON document that the instance sent."`
}

// Run asks for the report and prints it.
func (c *statusCommand) Run(console *Console) error {
	instance, ctx, cancel, err := c.newClient(console)
	if err != nil {
		return err
	}
	defer cancel()
	report, err := instance.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(console, report)
	}
	printStatus(console, report)
	return nil
}

func printStatus(console *Console, report status.Status) {
	console.printf("instance %s in %s, manifest %d, %d sessions, %d requests",
		report.Instance, report.Zone, report.ManifestNumber, report.OpenSessions, report.OpenRequests)
	if report.Draining {
		console.printf(", draining")
	}
	console.printf("\n")
	for _, group := range report.Groups {
		printGroup(console, group)
	}
	if len(report.Peers) > 0 {
		console.printf("\npeers\n")
		peers := newTable("instance", "zone", "address", "alive", "leaving", "manifest", "silent")
		for _, peer := range report.Peers {
			peers.add(peer.Instance, peer.Zone, peer.Address, peer.Alive, peer.Leaving, peer.ManifestNumber, round(peer.TimeSinceHeartbeat))
		}
		peers.print(console)
	}
	if report.Ranks != nil {
		console.printf("\nranks\n")
		printAny(console, report.Ranks)
	}
}

func printGroup(console *Console, group status.Group) {
	console.printf("\ngroup %s, term %d, primary %s, proven %s, proof %s, change %s\n",
		group.Name, group.Term, orNone(group.Primary), group.DurablePosition, round(group.TermConfirmationAge), orNone(group.FailoverStep))
	for _, evidence := range group.Evidence {
		console.printf("  evidence: %s\n", evidence)
	}
	if group.CommitsAwaitingQuorum+group.InDoubtCommits > 0 {
		console.printf("  commits waiting for a majority: %d, commits in doubt: %d\n", group.CommitsAwaitingQuorum, group.InDoubtCommits)
	}
	databases := newTable("database", "zone", "role", "term", "received", "applied", "state", "silent", "lag", "running")
	for _, database := range group.Databases {
		databases.add(database.Name, database.Zone, database.Role, database.Term, database.ReceivedPosition,
			database.AppliedPosition, databaseState(database), round(database.TimeSinceAnswer), round(database.ReplicationLag), database.RunningRequests)
	}
	databases.print(console)
}

func databaseState(database status.Database) string {
	switch {
	case !database.Reachable:
		return "unreachable"
	case database.Leaving:
		return "leaving"
	case database.Role == "replica" && !database.Streaming:
		return "not-streaming"
	default:
		return "up"
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// round rounds a duration to a readable precision.
func round(d time.Duration) time.Duration {
	if d < time.Second {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(100 * time.Millisecond)
}
