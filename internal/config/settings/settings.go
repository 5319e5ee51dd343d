// Package settings reads what one instance is told at its start: its name and
// availability zone, its addresses, where the platform and its first peers are,
// and who may speak to it.
//
// # What flows in and out
//
// The bytes of a TOML file flow in; Settings flow out, checked whole, or a list
// of faults with their lines. What concerns all instances alike (groups, ranks,
// kinds, limits) stands in the manifest, so that a change of it needs no
// restart. Secrets never stand in the file: it names files or environment
// variables, which Secret.Load reads, and nothing here prints their content.
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

// Settings is what one instance is told at its start.
type Settings struct {
	// Name names the instance; each start adds a suffix of its own.
	Name string
	// Zone is the availability zone that the instance runs in.
	Zone model.ZoneID
	// TickInterval is the longest time between two runs of the decisions.
	TickInterval time.Duration
	// SeedAddresses are peer addresses of other instances. One that answers is enough.
	SeedAddresses []netip.AddrPort
	Listen        ListenAddresses
	Platform      Platform
	Peer          Peer
	Operator      Operator
	Caller        Caller
	Database      DatabaseCredentials
	Log           Log
}

// ListenAddresses holds the addresses that the instance binds.
type ListenAddresses struct {
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
}

// Platform tells how to reach the platform's services.
type Platform struct {
	URL *url.URL
	// Token is sent with each request, if there is one.
	Token SecretReference
}

// Peer tells how instances prove themselves to each other: by a shared Key, or
// by certificates.
type Peer struct {
	SharedKey SecretReference
	TLS       TLSFiles
}

// Operator tells who may use the operators' address.
type Operator struct {
	// Token is what operators have to send, if there is one.
	Token SecretReference
}

// Caller tells who may connect, and how.
type Caller struct {
	TLS TLSFiles
	// RequireTLS refuses callers that don't ask for TLS.
	RequireTLS bool
	// MaxConnections is the greatest number of callers' connections.
	MaxConnections int
	// TrustAnyUser lets everyone in under any name.
	TrustAnyUser bool
	// Users are those who may connect.
	Users []User
}

// User is one name that callers may connect with.
type User struct {
	Name     string
	Password SecretReference
}

// DatabaseCredentials tells as whom the instance connects to databases.
type DatabaseCredentials struct {
	User     string
	Password SecretReference
}

// TLSFiles names a certificate, its private key, and the authority that has to have
// signed the other side's certificate. All are paths of PEM files.
type TLSFiles struct {
	CertificateFile string
	PrivateKeyFile  string
	CAFile          string
}

// IsSet tells whether t names a certificate.
func (t TLSFiles) IsSet() bool { return t.CertificateFile != "" }

// Log tells what is logged, and in which form.
type Log struct {
	Level  event.Level
	Format Format
}

// Format is the form of log lines.
type Format int

// The values of Format.
const (
	// FormatJSON writes one JSON object a line.
	FormatJSON Format = iota
	// FormatText writes key=value pairs.
	FormatText
)

// String names f as the settings do.
func (f Format) String() string {
	if f == FormatText {
		return "text"
	}
	return "json"
}
