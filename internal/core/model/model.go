// Package model holds the vocabulary that every other package shares:
// identifiers, log positions, session tokens, ranks and outcomes.
//
// # What flows in and out
//
// Nothing flows: the package has values only. It imports no other package of
// the project, so that the decisions (internal/core), the wires
// (internal/edge) and the stand-ins may all use the same words.
//
// # Usage
//
//	p := model.Position{Term: 7, Offset: 120}
//	q, err := model.ParsePosition("7:121")
//	if p.Less(q) { ... }
package model

import (
	"fmt"
	"strconv"
	"strings"
)

// -----------------------------------------------------------------------------
// Identifiers.

// InstanceID names one running process of eelgrassfold, unique for one start
// of it: a restarted process has another.
type InstanceID string

// ZoneID names an availability zone.
type ZoneID string

// GroupID names a group of databases that replicate one log. Callers give it
// as the database name when they connect.
type GroupID string

// DatabaseID names one database of a group.
type DatabaseID string

// CallerID names who a session works for: the user name of its connection.
type CallerID string

// SessionID numbers a caller's connection on one instance.
type SessionID uint64

// RequestID numbers a unit of work on one instance: a statement outside a
// transaction, or a whole transaction.
type RequestID uint64

// Attempt numbers the tries of one request, from 1.
type Attempt uint32

// Term numbers the reigns of primaries in a group. A higher term replaces a
// lower one.
type Term uint64

// Nonce tells whose change a row or a database holds, so that a lost answer
// can be settled by reading.
type Nonce string

// -----------------------------------------------------------------------------
// Positions.

// Position is a place in a group's log. Positions compare by term, then by
// offset.
type Position struct {
	Term   Term   `msgpack:"term"`
	Offset uint64 `msgpack:"off"`
}

// Less reports whether p comes before q.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// IsZero reports whether p is the place before the first entry.
func (p Position) IsZero() bool { return p == Position{} }

// String formats p as "term:offset", the form that databases report.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + ":" + strconv.FormatUint(p.Offset, 10)
}

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// PositionError reports text that is not a position.
type PositionError struct {
	// Text is what was read.
	Text string
}

// Error implements error.
func (e *PositionError) Error() string {
	return fmt.Sprintf("%q is not a position of the form term:offset", e.Text)
}

// ParsePosition reads the form that Position.String writes. Its error is a
// *PositionError.
func ParsePosition(text string) (Position, error) {
	head, tail, found := strings.Cut(text, ":")
	if !found {
		return Position{}, &PositionError{Text: text}
	}
	term, err := strconv.ParseUint(head, 10, 64)
	if err != nil {
		return Position{}, &PositionError{Text: text}
	}
	offset, err := strconv.ParseUint(tail, 10, 64)
	if err != nil {
		return Position{}, &PositionError{Text: text}
	}
	return Position{Term: Term(term), Offset: offset}, nil
}

// -----------------------------------------------------------------------------
// Session tokens.

// Token is what a caller carries from one instance to another to go on seeing
// its own writes. Its text form is "group/term:offset".
type Token struct {
	Group    GroupID
	Position Position
}

// String formats t as "group/term:offset".
func (t Token) String() string { return string(t.Group) + "/" + t.Position.String() }

// TokenError reports text that is not a session token.
type TokenError struct {
	// Text is what was read.
	Text string
}

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("%q is not a session token of the form group/term:offset", e.Text)
}

// ParseToken reads the form that Token.String writes. Its error is a
// *TokenError.
func ParseToken(text string) (Token, error) {
	cut := strings.LastIndexByte(text, '/')
	if cut <= 0 {
		return Token{}, &TokenError{Text: text}
	}
	position, err := ParsePosition(text[cut+1:])
	if err != nil {
		return Token{}, &TokenError{Text: text}
	}
	return Token{Group: GroupID(text[:cut]), Position: position}, nil
}

// -----------------------------------------------------------------------------
// Ranks and access.

// Rank orders work by urgency: 0 is the most urgent. The manifest gives each
// rank its name.
type Rank int

// Access tells what a kind of work does to the databases.
type Access int

// The values of Access.
const (
	// AccessWrite goes to the primary, and its commit is acknowledged under
	// proof.
	AccessWrite Access = iota
	// AccessRead may go to any database that is fresh enough.
	AccessRead
)

// String names a in the words of the manifest.
func (a Access) String() string {
	if a == AccessRead {
		return "read"
	}
	return "write"
}

// Role tells what a database says that it is.
type Role int

// The values of Role.
const (
	// RoleReplica follows a primary.
	RoleReplica Role = iota
	// RolePrimary accepts commits in its term.
	RolePrimary
)

// String names r in the words that databases report.
func (r Role) String() string {
	if r == RolePrimary {
		return "primary"
	}
	return "replica"
}
