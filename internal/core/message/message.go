// Package message defines the messages between the core, which makes the decisions,
// and the protocol adapters around it (internal/edge).
//
// # What flows in and out
//
// Events flow into the core: requests of callers, responses of databases and of the
// platform, messages of peers and operators. Actions flow out: what the adapters are
// to do. Both are sealed interfaces, and every consumer distinguishes them by a type
// switch. A message carries headers, outcomes, terms and positions, but never the
// bytes of a row: rows pass from a database's connection to the caller's connection
// without going through the core.
//
//	callers ───┐                                       ┌─> callers
//	databases ─┤                                       ├─> databases
//	platform ──┼─> []Event ─> engine.Step ─> []Action ─┼─> platform
//	peers ─────┤                                       ├─> peers
//	operators ─┘                                       └─> logs
//
// The main actions are, by destination:
//   - callers: Dispatch, ReleaseResult, AcknowledgeCommit, RefuseRequest, AbortRequest
//   - databases: Probe, AwaitPosition, Fence, Promote, Follow, ResolveInDoubt
//   - platform: ReadRow, ScanRows, WriteRows, ReadObject, WriteObject, ListInstances
//   - peers: SendPeer
//   - logs: LogEvent
//
// The core is separated from the adapters so that the same core runs with the real
// adapters, in table tests on virtual time, and in any other test environment. Such an
// environment needs nothing but these messages.
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

// Event is an input of the core. The files event_*.go define the variants, one family
// per file.
type Event interface{ isEvent() }

// Action is an output of the core, to be carried out by an adapter. The files
// action_*.go define most variants, one family per file; event_operator.go defines
// those for operators and logs.
type Action interface{ isAction() }

// Sink accepts events for the core. Post does not block for long and is safe for
// concurrent use.
type Sink interface{ Post(event Event) }
