package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

// logbookTable holds a record of each failover, as JSON. A record is written in
// one transaction with the group's row that it describes.
const logbookTable = "eelgrassfold-logbook"

// logbookKey returns the key of a record. The keys order the records of a group
// by epoch.
func logbookKey(name model.GroupID, epoch uint64) string {
	return fmt.Sprintf("%s/%020d", name, epoch)
}

// recordRow returns the row that stores a record.
func (f *Fleet) recordRow(record engine.PromotionRecord, epoch uint64) store.Row {
	body, err := json.Marshal(record)
	if err != nil {
		// The record consists of types that can always be encoded.
		panic(err)
	}
	return store.Row{Table: logbookTable, Key: logbookKey(record.Group, epoch), Value: body}
}

// newRecord returns the record of a failover that this instance claims now. The
// fields about the new primary are set later.
func (f *Fleet) newRecord(
	name model.GroupID, row lease.GroupRow, reason string, evidence succession.Evidence,
) engine.PromotionRecord {
	now := time.Now()
	record := engine.PromotionRecord{
		Group: name, PreviousPrimary: row.Primary, Coordinator: f.options.StartID, Reason: reason,
		SuspectedAt: now.Add(-max(f.Scheduler.FailureDuration(name), 0)), ClaimedAt: now,
	}
	if evidence.UnansweredObservers > 0 {
		record.Evidence = append(record.Evidence,
			fmt.Sprintf("no answer to %d of the %d instances that asked it, for %v or longer",
				evidence.UnansweredObservers, evidence.Observers, succession.SilenceThreshold))
	}
	return record
}

// firstRecord returns the record of a group's first row.
func (f *Fleet) firstRecord(name model.GroupID, row lease.GroupRow) engine.PromotionRecord {
	return engine.PromotionRecord{
		Group: name, Primary: row.Primary, Coordinator: row.Coordinator, Reason: row.Reason,
		PromotedAt: time.Now(),
	}
}

// Logbook returns the records of a group, or of all groups if name is empty,
// the oldest first. Its errors are those of the store.
func (f *Fleet) Logbook(ctx context.Context, name string) (status.Logbook, error) {
	rows, err := f.readTable(ctx, logbookTable)
	if err != nil {
		return status.Logbook{}, err
	}
	var records []engine.PromotionRecord
	for _, row := range rows.Rows {
		var record engine.PromotionRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			f.logEvent(event.ContentRejected, event.F("table", row.Table), event.F("key", row.Key),
				event.F("error", err.Error()))
			continue
		}
		if name == "" || string(record.Group) == name {
			records = append(records, record)
		}
	}
	slices.SortStableFunc(records, func(a, b engine.PromotionRecord) int {
		if c := a.PromotedAt.Compare(b.PromotedAt); c != 0 {
			return c
		}
		return strings.Compare(string(a.Group), string(b.Group))
	})
	report := status.Logbook{QueriedAt: time.Now(), Records: []any{}}
	for _, record := range records {
		report.Records = append(report.Records, record)
	}
	return report, nil
}
