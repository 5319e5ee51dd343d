package engine_test

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// fakePlatform is the platform's table service and object store.
type fakePlatform struct {
	rows          map[string]message.Row
	objects       map[string][]byte
	lastVersion   int
	down          bool
	responseDelay time.Duration
	// responsesToLose is the number of writes whose responses will be lost.
	responsesToLose int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]message.Row{}, objects: map[string][]byte{}}
}

func (p *fakePlatform) store(rowKey string, body []byte) message.Row {
	p.lastVersion++
	table, key, _ := strings.Cut(rowKey, "/")
	row := message.Row{Table: table, Key: key, Version: fmt.Sprint(p.lastVersion), Body: body}
	p.rows[rowKey] = row
	return row
}

func (p *fakePlatform) write(rows []message.Row) ([]message.Row, message.PlatformResult) {
	var existingRows []message.Row
	conflict := false
	for _, row := range rows {
		existing := p.rows[row.Table+"/"+row.Key]
		conflict = conflict || existing.Version != row.Version
		existingRows = append(existingRows, existing)
	}
	if conflict {
		return existingRows, message.PlatformConflict
	}
	var written []message.Row
	for _, row := range rows {
		written = append(written, p.store(row.Table+"/"+row.Key, row.Body))
	}
	return written, message.PlatformOK
}

func (p *fakePlatform) scan(table, prefix string) []message.Row {
	var rows []message.Row
	for id, row := range p.rows {
		if strings.HasPrefix(id, table+"/"+prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// performPlatformAction sends a request to the platform. Exactly one response is
// delivered, at the timeout at the latest.
func (n *node) performPlatformAction(action message.Action) {
	p := n.world.platform
	switch a := action.(type) {
	case message.ReadRow:
		n.requestPlatform(a.Timeout, false, func() message.Event {
			if row, found := p.rows[a.Table+"/"+a.Key]; found {
				return message.RowsRead{CorrelationID: a.CorrelationID, Rows: []message.Row{row}}
			}
			return message.RowsRead{CorrelationID: a.CorrelationID, Result: message.PlatformNotFound}
		}, func(err message.PlatformResult) message.Event {
			return message.RowsRead{CorrelationID: a.CorrelationID, Result: err}
		})
	case message.ScanRows:
		n.requestPlatform(a.Timeout, false, func() message.Event {
			return message.RowsRead{CorrelationID: a.CorrelationID, Rows: p.scan(a.Table, a.Prefix)}
		}, func(err message.PlatformResult) message.Event {
			return message.RowsRead{CorrelationID: a.CorrelationID, Result: err}
		})
	case message.WriteRows:
		n.requestPlatform(a.Timeout, true, func() message.Event {
			rows, err := p.write(a.Rows)
			return message.RowsWritten{CorrelationID: a.CorrelationID, Rows: rows, Result: err}
		}, func(err message.PlatformResult) message.Event {
			return message.RowsWritten{CorrelationID: a.CorrelationID, Result: err}
		})
	case message.ReadObject:
		n.requestPlatform(a.Timeout, false, func() message.Event {
			body, found := p.objects[a.Name]
			if !found {
				return message.ObjectRead{CorrelationID: a.CorrelationID, Result: message.PlatformNotFound}
			}
			return message.ObjectRead{CorrelationID: a.CorrelationID, Name: a.Name, Body: body}
		}, func(err message.PlatformResult) message.Event {
			return message.ObjectRead{CorrelationID: a.CorrelationID, Result: err}
		})
	case message.WriteObject:
		n.requestPlatform(a.Timeout, false, func() message.Event {
			p.objects[a.Name] = a.Body
			return message.ObjectWritten{CorrelationID: a.CorrelationID, Name: a.Name}
		}, func(err message.PlatformResult) message.Event {
			return message.ObjectWritten{CorrelationID: a.CorrelationID, Result: err}
		})
	case message.ListInstances:
		n.requestPlatform(a.Timeout, false, func() message.Event { return message.InstancesListed{CorrelationID: a.CorrelationID} },
			func(err message.PlatformResult) message.Event {
				return message.InstancesListed{CorrelationID: a.CorrelationID, Result: err}
			})
	}
}

// requestPlatform delivers a request to the platform and its response back.
func (n *node) requestPlatform(timeout time.Duration, isWrite bool, serve func() message.Event, fail func(message.PlatformResult) message.Event) {
	w := n.world
	if w.platform.down || !w.isConnected(n.name, "platform") {
		w.after(w.messageDelay(), func() { n.deliverEvent(fail(message.PlatformUnreachable)) })
		return
	}
	done := false
	finish := func(answer message.Event) {
		if !done {
			done = true
			n.deliverEvent(answer)
		}
	}
	w.after(timeout, func() { finish(fail(message.PlatformUnknown)) })
	w.after(w.messageDelay()+w.platform.responseDelay, func() {
		if w.platform.down {
			return
		}
		answer := serve()
		if isWrite && w.platform.responsesToLose > 0 {
			w.platform.responsesToLose--
			w.after(w.messageDelay(), func() { finish(fail(message.PlatformUnknown)) })
			return
		}
		w.after(w.messageDelay(), func() {
			if w.isConnected(n.name, "platform") {
				finish(answer)
			}
		})
	})
}
