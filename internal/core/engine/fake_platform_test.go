package engine_test

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// fakePlatform is the table service and the object store.
type fakePlatform struct {
	rows     map[string]message.Row
	objects  map[string][]byte
	versions int
	down     bool
	slow     time.Duration
	// lose makes the answers to that many changes get lost.
	lose int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]message.Row{}, objects: map[string][]byte{}}
}

func (p *fakePlatform) put(id string, body []byte) message.Row {
	p.versions++
	table, key, _ := strings.Cut(id, "/")
	row := message.Row{Table: table, Key: key, Version: fmt.Sprint(p.versions), Body: body}
	p.rows[id] = row
	return row
}

func (p *fakePlatform) write(rows []message.Row) ([]message.Row, message.PlatformErr) {
	var stand []message.Row
	conflict := false
	for _, row := range rows {
		now := p.rows[row.Table+"/"+row.Key]
		conflict = conflict || now.Version != row.Version
		stand = append(stand, now)
	}
	if conflict {
		return stand, message.PlatformConflict
	}
	var written []message.Row
	for _, row := range rows {
		written = append(written, p.put(row.Table+"/"+row.Key, row.Body))
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

// actPlatform asks the platform; there is one answer, at the latest when the
// time is over.
func (n *node) actPlatform(action message.Action) {
	p := n.world.platform
	switch a := action.(type) {
	case message.ReadRow:
		n.ask(a.Timeout, false, func() message.Event {
			if row, found := p.rows[a.Table+"/"+a.Key]; found {
				return message.RowsRead{CorrelationID: a.CorrelationID, Rows: []message.Row{row}}
			}
			return message.RowsRead{CorrelationID: a.CorrelationID, Err: message.PlatformNotFound}
		}, func(err message.PlatformErr) message.Event {
			return message.RowsRead{CorrelationID: a.CorrelationID, Err: err}
		})
	case message.ScanRows:
		n.ask(a.Timeout, false, func() message.Event {
			return message.RowsRead{CorrelationID: a.CorrelationID, Rows: p.scan(a.Table, a.Prefix)}
		}, func(err message.PlatformErr) message.Event {
			return message.RowsRead{CorrelationID: a.CorrelationID, Err: err}
		})
	case message.WriteRows:
		n.ask(a.Timeout, true, func() message.Event {
			rows, err := p.write(a.Rows)
			return message.RowsWritten{CorrelationID: a.CorrelationID, Rows: rows, Err: err}
		}, func(err message.PlatformErr) message.Event {
			return message.RowsWritten{CorrelationID: a.CorrelationID, Err: err}
		})
	case message.ReadObject:
		n.ask(a.Timeout, false, func() message.Event {
			body, found := p.objects[a.Name]
			if !found {
				return message.ObjectRead{CorrelationID: a.CorrelationID, Err: message.PlatformNotFound}
			}
			return message.ObjectRead{CorrelationID: a.CorrelationID, Name: a.Name, Body: body}
		}, func(err message.PlatformErr) message.Event {
			return message.ObjectRead{CorrelationID: a.CorrelationID, Err: err}
		})
	case message.WriteObject:
		n.ask(a.Timeout, false, func() message.Event {
			p.objects[a.Name] = a.Body
			return message.ObjectWritten{CorrelationID: a.CorrelationID, Name: a.Name}
		}, func(err message.PlatformErr) message.Event {
			return message.ObjectWritten{CorrelationID: a.CorrelationID, Err: err}
		})
	case message.ListInstances:
		n.ask(a.Timeout, false, func() message.Event { return message.InstancesListed{CorrelationID: a.CorrelationID} },
			func(err message.PlatformErr) message.Event {
				return message.InstancesListed{CorrelationID: a.CorrelationID, Err: err}
			})
	}
}

// ask carries a question to the platform and the answer back.
func (n *node) ask(limit time.Duration, changes bool, serve func() message.Event, fail func(message.PlatformErr) message.Event) {
	w := n.world
	if w.platform.down || !w.linked(n.name, "platform") {
		w.after(w.delay(), func() { n.post(fail(message.PlatformUnreachable)) })
		return
	}
	done := false
	finish := func(answer message.Event) {
		if !done {
			done = true
			n.post(answer)
		}
	}
	w.after(limit, func() { finish(fail(message.PlatformUnknown)) })
	w.after(w.delay()+w.platform.slow, func() {
		if w.platform.down {
			return
		}
		answer := serve()
		if changes && w.platform.lose > 0 {
			w.platform.lose--
			w.after(w.delay(), func() { finish(fail(message.PlatformUnknown)) })
			return
		}
		w.after(w.delay(), func() {
			if w.linked(n.name, "platform") {
				finish(answer)
			}
		})
	})
}
