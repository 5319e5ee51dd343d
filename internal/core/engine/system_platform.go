package engine

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// logbookInterval is the minimum time between two reads of a group's logbook.
const logbookInterval = 30 * time.Second

// -----------------------------------------------------------------------------
// Responses of the platform.

// handlePlatformEvent passes a response to the system that sent the request.
func (e *Engine) handlePlatformEvent(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.RowsRead:
		e.handleRowsRead(incoming)
	case message.RowsWritten:
		e.handleRowsWritten(incoming)
	case message.ObjectRead:
		if incoming.CorrelationID == e.manifests.objectReadID {
			e.handleManifestObject(incoming)
		}
	case message.ObjectWritten:
		if sub, found := e.submissionByID(incoming.CorrelationID); found {
			e.handleObjectStored(sub, incoming)
		}
	case message.InstancesListed:
		if incoming.CorrelationID == e.instances.listRequestID {
			e.handleInstanceList(incoming)
		}
	}
}

// handleRowsRead passes rows to the system that requested them.
func (e *Engine) handleRowsRead(read message.RowsRead) {
	if read.CorrelationID == e.manifests.rowReadID {
		e.handleManifestRow(read)
		return
	}
	if sub, found := e.submissionByID(read.CorrelationID); found {
		e.handleSubmissionRow(sub, read)
		return
	}
	for _, g := range e.groups {
		if g.failover.correlationID == read.CorrelationID && g.failover.step == failoverReadRow {
			e.handleGroupRow(g, read)
			return
		}
		if g.logbookReadID == read.CorrelationID {
			e.handleLogbookRead(g, read)
			return
		}
	}
}

// handleRowsWritten passes the result of a write to the system that sent it.
func (e *Engine) handleRowsWritten(written message.RowsWritten) {
	if sub, found := e.submissionByID(written.CorrelationID); found {
		e.handleSubmissionWrite(sub, written)
		return
	}
	for _, g := range e.groups {
		if g.failover.correlationID == written.CorrelationID {
			e.handleGroupWrite(g, written)
			return
		}
	}
}

// -----------------------------------------------------------------------------
// The local copy of the logbook.

// logbookKey returns the key of a promotion record. The term is padded, so that the
// keys of a group sort by term.
func logbookKey(group model.GroupID, term model.Term) string {
	return fmt.Sprintf("%s/%020d", group, term)
}

// requestLogbook requests the promotion records of a group, unless that was done
// within logbookInterval.
func (e *Engine) requestLogbook(g *group) {
	if g.logbookReadID != 0 || !g.logbookReadAt.IsZero() && e.now.Sub(g.logbookReadAt) < logbookInterval {
		return
	}
	g.logbookReadAt = e.now
	g.logbookReadID = e.correlationID()
	e.emit(message.ScanRows{CorrelationID: g.logbookReadID, Table: logbookTable, Prefix: string(g.name) + "/", Timeout: platformTimeout})
}

// handleLogbookRead stores the records that the platform has returned.
func (e *Engine) handleLogbookRead(g *group, read message.RowsRead) {
	g.logbookReadID = 0
	if read.Result != message.PlatformOK {
		return
	}
	for _, row := range read.Rows {
		var record PromotionRecord
		if json.Unmarshal(row.Body, &record) == nil {
			e.addRecord(g, record)
		}
	}
}

// addRecord inserts a record in the order of the terms, unless there is one of that
// term, and keeps the newest maxLogbookRecords.
func (e *Engine) addRecord(g *group, record PromotionRecord) {
	i := sort.Search(len(g.logbook), func(i int) bool { return g.logbook[i].Term >= record.Term })
	if i < len(g.logbook) && g.logbook[i].Term == record.Term {
		return
	}
	g.logbook = append(g.logbook, PromotionRecord{})
	copy(g.logbook[i+1:], g.logbook[i:])
	g.logbook[i] = record
	if excess := len(g.logbook) - maxLogbookRecords; excess > 0 {
		g.logbook = append(g.logbook[:0], g.logbook[excess:]...)
	}
}
