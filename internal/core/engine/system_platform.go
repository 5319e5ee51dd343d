package engine

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// logbookInterval is the time between two reads of a group's logbook.
const logbookInterval = 30 * time.Second

// -----------------------------------------------------------------------------
// Answers of the platform.

// takePlatform hands an answer to the system that asked.
func (e *Engine) takePlatform(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.RowsRead:
		e.takeRows(incoming)
	case message.RowsWritten:
		e.takeWritten(incoming)
	case message.ObjectRead:
		if incoming.CorrelationID == e.declared.objectAsk {
			e.takeManifestObject(incoming)
		}
	case message.ObjectWritten:
		if sub, found := e.submitOf(incoming.CorrelationID); found {
			e.takeStored(sub, incoming)
		}
	case message.InstancesListed:
		if incoming.CorrelationID == e.instances.listAsk {
			e.takeList(incoming)
		}
	}
}

// takeRows hands rows to the system that asked for them.
func (e *Engine) takeRows(read message.RowsRead) {
	if read.CorrelationID == e.declared.rowAsk {
		e.takeManifestRow(read)
		return
	}
	if sub, found := e.submitOf(read.CorrelationID); found {
		e.takeSubmitRow(sub, read)
		return
	}
	for _, g := range e.groups {
		if g.steward.ask == read.CorrelationID && g.steward.step == conductRead {
			e.takeGroupRow(g, read)
			return
		}
		if g.logbookAsk == read.CorrelationID {
			e.takeLogbook(g, read)
			return
		}
	}
}

// takeWritten hands the answer of a write to the system that wrote.
func (e *Engine) takeWritten(written message.RowsWritten) {
	if sub, found := e.submitOf(written.CorrelationID); found {
		e.takeSubmitWrite(sub, written)
		return
	}
	for _, g := range e.groups {
		if g.steward.ask == written.CorrelationID {
			e.takeGroupWrite(g, written)
			return
		}
	}
}

// -----------------------------------------------------------------------------
// The logbook as this instance knows it.

// logbookKey orders the records of a group by term.
func logbookKey(group model.GroupID, term model.Term) string {
	return fmt.Sprintf("%s/%020d", group, term)
}

// readLogbook asks the platform for the records of a group.
func (e *Engine) readLogbook(g *group) {
	if g.logbookAsk != 0 || !g.logbookAt.IsZero() && e.now.Sub(g.logbookAt) < logbookInterval {
		return
	}
	g.logbookAt = e.now
	g.logbookAsk = e.ask()
	e.do(message.ScanRows{CorrelationID: g.logbookAsk, Table: logbookTable, Prefix: string(g.name) + "/", Timeout: platformTimeout})
}

// takeLogbook keeps the records that the platform holds.
func (e *Engine) takeLogbook(g *group, read message.RowsRead) {
	g.logbookAsk = 0
	if read.Err != message.PlatformOK {
		return
	}
	for _, row := range read.Rows {
		var record PromotionRecord
		if json.Unmarshal(row.Body, &record) == nil {
			e.keepRecord(g, record)
		}
	}
}

// keepRecord adds a record, ordered by term; the newest ones are kept.
func (e *Engine) keepRecord(g *group, record PromotionRecord) {
	i := sort.Search(len(g.logbook), func(i int) bool { return g.logbook[i].Term >= record.Term })
	if i < len(g.logbook) && g.logbook[i].Term == record.Term {
		return
	}
	g.logbook = append(g.logbook, PromotionRecord{})
	copy(g.logbook[i+1:], g.logbook[i:])
	g.logbook[i] = record
	if extra := len(g.logbook) - logbookKept; extra > 0 {
		g.logbook = append(g.logbook[:0], g.logbook[extra:]...)
	}
}
