package proxy

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
)

var logbookSubcommand = subcommand{
	name:    "logbook",
	summary: "Print the history of primaries: who promoted which database, when and why.",
	detail: "Each record is written in one step with the failover that it describes. Times are\n" +
		"from the clock of the instance that ran the failover. While the platform is down,\n" +
		"the instance reports the records that it and its peers know.",
	examples:   []string{"eelgrassfold logbook", "eelgrassfold logbook --group finishes", "eelgrassfold logbook --json"},
	newCommand: func() any { return &logbookCommand{} },
}

type logbookCommand struct {
	operatorFlags
	Group string `help:"Only the records of this group."`
	JSON  bool   `name:"json" help:"Print the JSON document that the instance sent."`
}

// Run asks for the records and prints them.
func (c *logbookCommand) Run(console *Console) error {
	instance, ctx, cancel, err := c.newClient(console)
	if err != nil {
		return err
	}
	defer cancel()
	report, err := instance.Logbook(ctx, c.Group)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(console, report)
	}
	records, err := decodeRecords(report.Records)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		console.printf("no records\n")
	}
	for _, record := range records {
		printRecord(console, record)
	}
	return nil
}

func decodeRecords(raw []any) ([]engine.PromotionRecord, error) {
	body, err := json.Marshal(raw)
	if err != nil {
		return nil, &InvalidResponseError{Reason: err.Error()}
	}
	var records []engine.PromotionRecord
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, &InvalidResponseError{Reason: "the records can't be read: " + err.Error()}
	}
	return records, nil
}

func printRecord(console *Console, record engine.PromotionRecord) {
	console.printf("%s  %s  term %d  %s -> %s  at %s  by %s\n",
		record.PromotedAt.UTC().Format(time.RFC3339), record.Group, record.Term,
		orNone(string(record.PreviousPrimary)), record.Primary, record.Position, record.Coordinator)
	console.printf("    reason: %s\n", record.Reason)
	if len(record.Evidence) > 0 {
		console.printf("    evidence: %s\n", strings.Join(record.Evidence, "; "))
	}
	for _, fenced := range record.FencedDatabases {
		console.printf("    fenced: %s at %s\n", fenced.Database, fenced.Position)
	}
	if !record.SuspectedAt.IsZero() {
		console.printf("    took: %s from the first suspicion, %s from the claim\n",
			round(record.PromotedAt.Sub(record.SuspectedAt)), round(record.PromotedAt.Sub(record.ClaimedAt)))
	}
}
