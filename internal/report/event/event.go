// Package event is the catalogue of numbered log events.
//
// # What flows in and out
//
// Code that decides something names an Event from the tables here and adds
// fields; the log sink writes one line for it, and `eelgrassfold events` prints
// the catalogue, from which docs/EVENTS.md is made. Numbers are never used
// again for another meaning.
//
// Each area has a file of its own and a range of numbers:
//
//	100 callers and sessions     600 peers and membership
//	200 routing of reads         700 manifest
//	300 writes, terms, outcomes  800 platform
//	400 failover and logbook     900 process and operators
//	500 ranks, slots, limits
//
// # Usage
//
//	note := message.Note{Event: event.ReadRouted, Fields: []event.Field{event.F("database", id)}}
package event

import "sort"

// Level tells how much an operator should care.
type Level int

// The levels, from the least to the most severe.
const (
	LevelDebug Level = iota
	LevelInfo
	LevelWarn
	LevelError
)

// String names l as the log lines do.
func (l Level) String() string {
	return [...]string{"debug", "info", "warn", "error"}[l]
}

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event for good.
	Number int
	// Name is a short name in lower case with dashes.
	Name string
	// Level is the level at which the line is written.
	Level Level
	// Text tells an operator what happened.
	Text string
	// Fields names the fields that the line carries.
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

// areas lists the tables of all areas; each area's file holds one.
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
	stewardEvents,
}
