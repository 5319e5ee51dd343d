package engine_test

import (
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// BenchmarkRead measures the cost of a read in the engine: its arrival, its
// dispatch and its end.
func BenchmarkRead(b *testing.B) {
	w := newWorld(b, 1)
	n := w.node("i1")
	e, now := n.engine, w.now
	e.Step(now, []message.Event{message.SessionOpened{Session: 1, Group: "ratings", Caller: "sailor", TokenPosition: model.Position{Term: 1}}})
	b.ReportAllocs()
	for i := range b.N {
		id := model.RequestID(i + 1)
		now = now.Add(10 * time.Microsecond)
		arrived := message.RequestArrived{Request: id, Session: 1, Kind: "check"}
		var sent message.Dispatch
		for _, action := range e.Step(now, []message.Event{arrived}) {
			if dispatch, ok := action.(message.Dispatch); ok {
				sent = dispatch
			}
		}
		if sent.Attempt == 0 {
			// The confirmation of the term has expired, since nothing answers probes.
			b.Fatal("the read was not dispatched")
		}
		e.Step(now, []message.Event{message.AttemptEnded{
			Request: id, Attempt: sent.Attempt, Outcome: message.OutcomeRead{}, Elapsed: time.Millisecond,
		}})
	}
}
