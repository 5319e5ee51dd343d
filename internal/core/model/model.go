// Package model defines the types that every other package shares: identifiers, log
// positions, session tokens, ranks, kinds of access and roles.
//
// # Dependencies
//
// The package defines values only. It imports no other package of the project, so
// that the decisions (internal/core), the protocol adapters (internal/edge) and the
// simulated databases and platform (internal/standin) can all use the same types.
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

// InstanceID identifies an instance of eelgrassfold. Most values identify one running
// process: a restarted process has another one. Where a field or comment speaks of an
// instance's name, such as lease.CoordinatorLease.HolderName, the value is the name from
// the settings, which stays the same after a restart.
type InstanceID string

// ZoneID names an availability zone.
type ZoneID string

// GroupID names a group of databases that replicate one log. Callers send it as the
// database name when they connect.
type GroupID string

// DatabaseID names one database of a group.
type DatabaseID string

// TenantID names a tenant: the callers that share an API key or several. It is empty
// where the configuration names no tenants.
type TenantID string

// CallerID identifies the caller of a session: the user name of its connection.
type CallerID string

// SessionID numbers a caller's connection on one instance.
type SessionID uint64

// RequestID numbers a request on one instance: a statement outside a
// transaction, or a whole transaction.
type RequestID uint64

// Attempt numbers the attempts of one request, from 1.
type Attempt uint32

// Term numbers the successive primaries of a group. A primary of a higher term
// replaces one of a lower term.
type Term uint64

// Nonce identifies one change of a row or a database and is stored with it. An instance
// whose request was not answered reads the nonce to determine whether its own change
// took effect.
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

// IsZero reports whether p is the position before the first entry.
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

// PositionError is the error for a text that is not a position.
type PositionError struct {
	// Text is the text that could not be parsed.
	Text string
}

// Error implements error.
func (e *PositionError) Error() string {
	return fmt.Sprintf("%q is not a position of the form term:offset", e.Text)
}

// ParsePosition parses the form that Position.String returns. Its error is a
// *PositionError.
func ParsePosition(text string) (Position, error) {
	termText, offsetText, found := strings.Cut(text, ":")
	if !found {
		return Position{}, &PositionError{Text: text}
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, &PositionError{Text: text}
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Position{}, &PositionError{Text: text}
	}
	return Position{Term: Term(term), Offset: offset}, nil
}

// -----------------------------------------------------------------------------
// Session tokens.

// Token is a session token. A caller presents it to another instance to continue to
// read its own writes. Its text form is "group/term:offset".
type Token struct {
	Group    GroupID
	Position Position
}

// String formats t as "group/term:offset".
func (t Token) String() string { return string(t.Group) + "/" + t.Position.String() }

// TokenError is the error for a text that is not a session token.
type TokenError struct {
	// Text is the text that could not be parsed.
	Text string
}

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("%q is not a session token of the form group/term:offset", e.Text)
}

// ParseToken parses the form that Token.String returns. Its error is a *TokenError.
func ParseToken(text string) (Token, error) {
	separator := strings.LastIndexByte(text, '/')
	if separator <= 0 {
		return Token{}, &TokenError{Text: text}
	}
	position, err := ParsePosition(text[separator+1:])
	if err != nil {
		return Token{}, &TokenError{Text: text}
	}
	return Token{Group: GroupID(text[:separator]), Position: position}, nil
}

// -----------------------------------------------------------------------------
// Ranks and access.

// Rank is the priority class of a request: 0 is the most urgent. The manifest gives
// each rank a name.
type Rank int

// Access is the kind of access that a request needs to a database.
type Access int

// The values of Access.
const (
	// AccessWrite requires the primary. Its commit is acknowledged only once the
	// primary is confirmed (it was the primary when it answered) or the commit's
	// position is durable (replicated to a majority, so that it survives any
	// promotion).
	AccessWrite Access = iota
	// AccessRead is served by any database that is fresh enough.
	AccessRead
)

// String returns the name of a in the manifest.
func (a Access) String() string {
	if a == AccessRead {
		return "read"
	}
	return "write"
}

// Role is the replication role that a database reports.
type Role int

// The values of Role.
const (
	// RoleReplica follows a primary.
	RoleReplica Role = iota
	// RolePrimary accepts commits in its term.
	RolePrimary
)

// String returns the name of r as databases report it.
func (r Role) String() string {
	if r == RolePrimary {
		return "primary"
	}
	return "replica"
}
