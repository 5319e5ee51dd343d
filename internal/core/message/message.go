// Package message defines what flows between the core's decisions and the
// wires around it.
//
// # What flows in and out
//
// Events flow into the core: arrivals from callers, answers of databases and
// of the platform, words from peers and operators. Actions flow out: what the
// wires shall do. Both are sealed interfaces, and every consumer decides by a
// type switch. A message carries headers, outcomes, terms and positions, never
// the bytes of a row: rows pass from a database's connection to the caller's
// without a detour through the core.
//
//	callers ─┐                               ┌─> callers    (Dispatch, Release, Acknowledge, Refuse, Abandon)
//	databases┼─> []Event ─> engine.Step ─> []Action ─┼─> databases  (Probe, Await, Fence, Promote, Follow, Settle)
//	platform ┤                               ├─> platform   (AskPlatform)
//	peers ───┤                               ├─> peers      (SendPeer)
//	operators┘                               └─> logs       (Note)
//
// The reason for the split: the same core runs under the real wires, under a
// table test on virtual time, and under any other bench, which needs these
// messages alone.
//
// # Usage
//
//	actions := engine.Step(now, []message.Event{message.SessionOpened{Session: 1, Group: "ratings"}})
//	for _, action := range actions {
//		switch action := action.(type) {
//		case message.Dispatch:
//			...
//		}
//	}
package message

// Event is anything that the core learns. The files event_*.go hold the
// variants, one family a file.
type Event interface{ isEvent() }

// Action is anything that the core wants done. The files action_*.go hold the
// variants, one family a file.
type Action interface{ isAction() }

// Sink takes events for the core. Post never blocks for long and may be called
// from any goroutine.
type Sink interface{ Post(event Event) }
