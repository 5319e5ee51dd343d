// Package event is the catalogue of numbered log events.
//
// # What flows in and out
//
// Code that logs an event picks an Event from the tables in this package and adds
// fields; the log sink writes one line for it. `eelgrassfold events` prints the
// catalogue, from which docs/EVENTS.md is generated. A number is never reused for
// another meaning.
//
// Each area has a range of numbers and one or more files:
//
//	100 callers and sessions     600 peers and membership
//	200 routing of reads         700 manifest
//	300 writes, terms, outcomes  800 platform
//	400 failover and logbook     900 process and operators
//	500 ranks, slots, limits
//
// # Usage
//
//	action := message.LogEvent{Event: event.ReadRouted, Fields: []event.Field{event.F("database", id)}}
package event

import "sort"

// Level is the severity of an event.
type Level int

// The levels, from the least to the most severe.
const (
	LevelDebug Level = iota
	LevelInfo
	LevelWarn
	LevelError
)

// String returns the name of l in lower case, as the catalogue and the settings
// write it.
func (l Level) String() string {
	return [...]string{"debug", "info", "warn", "error"}[l]
}

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event permanently.
	Number int
	// Name is a short name in lower case with dashes.
	Name string
	// Level is the level at which the line is written.
	Level Level
	// Text describes for operators what happened.
	Text string
	// Fields lists the names of the fields on the event's log line.
	Fields []string
}

// Field is one value on a log line.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	var all []Event
	for _, area := range areas {
		all = append(all, area...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// areas lists the event tables; each file of an area defines one.
var areas = [][]Event{
	callerEvents,
	routeEvents,
	writeEvents,
	failoverEvents,
	rankEvents,
	peerEvents,
	manifestEvents,
	platformEvents,
	processEvents,
	memberEvents,
	serveEvents,
	sessionEvents,
	fleetEvents,
	coordinatorEvents,
	relayEvents,
	limitEvents,
}
