// Package settings reads the configuration of one instance: its name and
// availability zone, its listen addresses, the addresses of the platform and of
// its first peers, and the credentials of those who may connect to it.
//
// # What flows in and out
//
// The bytes of a TOML file flow in; completely validated Settings flow out, or a
// list of errors with their lines. Declarations that apply to all instances
// (groups, ranks, kinds, limits) are in the manifest instead, so that changing
// them needs no restart. The file contains no secrets: it names files or
// environment variables, which SecretReference.Load reads, and this package never
// prints their content.
//
// Nothing is open by default: callers need a user and a password unless trust
// is set, peers need a key or certificates, and operators on an address that
// other hosts can reach need a token.
//
// # Usage
//
//	s, err := settings.Parse(body)
//	token, err := s.Platform.Token.Load()
package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// The settings of one instance.

// Settings is the configuration of one instance, read when it starts.
type Settings struct {
	// Name is the name of the instance. Each start appends a unique suffix to it.
	Name string
	// Zone is the availability zone that the instance runs in.
	Zone model.ZoneID
	// TickInterval is the longest time between two steps of the core engine.
	TickInterval time.Duration
	// SeedAddresses are the peer addresses of other instances. It is enough if one
	// of them answers.
	SeedAddresses []netip.AddrPort
	Listen        ListenAddresses
	Platform      Platform
	Peer          Peer
	Operator      Operator
	Caller        Caller
	Database      DatabaseCredentials
	Log           Log
}

// ListenAddresses holds the addresses that the instance listens on.
type ListenAddresses struct {
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
}

// Platform configures the connection to the platform's services.
type Platform struct {
	URL *url.URL
	// Token is sent with each request, if there is one.
	Token SecretReference
}

// Peer configures how instances authenticate each other: by a shared key, or by
// certificates.
type Peer struct {
	SharedKey SecretReference
	TLS       TLSFiles
}

// Operator configures access to the operators' address.
type Operator struct {
	// Token is the bearer token that operators have to send, if it is set.
	Token SecretReference
}

// Caller configures which callers may connect, and how.
type Caller struct {
	TLS TLSFiles
	// RequireTLS rejects connections without TLS.
	RequireTLS bool
	// MaxConnections is the maximum number of callers' connections.
	MaxConnections int
	// MemoryBudget is the number of bytes that callers' messages and answers may take
	// together.
	MemoryBudget int64
	// TrustAnyUser accepts every user name without a password.
	TrustAnyUser bool
	// Users are the users who may connect.
	Users []User
}

// User is a user name that callers may connect with, and its password.
type User struct {
	Name     string
	Password SecretReference
}

// DatabaseCredentials holds the credentials for connections to databases.
type DatabaseCredentials struct {
	User     string
	Password SecretReference
}

// TLSFiles names a certificate, its private key, and the certificate of the
// authority that must have signed the other side's certificate. All are paths of
// PEM files.
type TLSFiles struct {
	CertificateFile string
	PrivateKeyFile  string
	CAFile          string
}

// IsSet reports whether t names a certificate.
func (t TLSFiles) IsSet() bool { return t.CertificateFile != "" }

// Log configures the lowest level and the format of log lines.
type Log struct {
	Level  event.Level
	Format Format
}

// Format is the form of log lines.
type Format int

// The values of Format.
const (
	// FormatJSON writes one JSON object per line.
	FormatJSON Format = iota
	// FormatText writes key=value pairs.
	FormatText
)

// String returns the name of f, as the settings give it.
func (f Format) String() string {
	if f == FormatText {
		return "text"
	}
	return "json"
}
