package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/toml"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// ValidationError lists all errors of a settings file.
type ValidationError = toml.ValidationError

// Diagnostic is one entry of a ValidationError.
type Diagnostic = toml.Diagnostic

const (
	// DefaultTickInterval is the longest time between two steps of the core engine
	// if the settings do not give one.
	DefaultTickInterval = 5 * time.Millisecond
	// DefaultDatabaseUser is the user name for connections to databases if the
	// settings do not give one.
	DefaultDatabaseUser = "eelgrassfold"

	// DefaultMaxConnections is the maximum number of callers' connections if the
	// settings do not give one.
	DefaultMaxConnections = 10_000

	// DefaultCallerMemoryMiB is how much memory callers' messages and answers may take
	// together if the settings do not say. minCallerMemoryMiB is the least that the
	// settings may give: enough for one message of the largest size.
	DefaultCallerMemoryMiB = 256
	minCallerMemoryMiB     = 144

	minTickInterval = time.Millisecond
	maxTickInterval = 100 * time.Millisecond
)

// -----------------------------------------------------------------------------
// Reading.

// Parse reads a settings file and validates all of it. Its error is a
// *ValidationError.
func Parse(body []byte) (*Settings, error) {
	s, _, err := ParseWithWarnings(body)
	return s, err
}

// ParseWithWarnings is like Parse, and also returns warnings about settings that
// are valid but not recommended.
func ParseWithWarnings(body []byte) (s *Settings, warnings []Diagnostic, err error) {
	root, err := toml.Parse(body)
	if err != nil {
		return nil, nil, err
	}
	r := reader{}
	s = r.read(root)
	if err := root.Finish(); err != nil {
		return nil, r.warnings, err
	}
	return s, r.warnings, nil
}

type reader struct {
	warnings []Diagnostic
}

func (r *reader) warn(table *toml.Table, key, text string) {
	r.warnings = append(r.warnings, Diagnostic{Line: table.Line(key), Key: key, Message: text})
}

func (r *reader) read(root *toml.Table) *Settings {
	root.Require("name", "zone")
	s := &Settings{Name: readName(root, "name"), TickInterval: readTick(root)}
	s.Zone = model.ZoneID(readName(root, "zone"))
	s.SeedAddresses, _ = root.Addresses("seeds")
	s.Listen = readListen(root.Table("listen"))
	s.Platform = readPlatform(root.Table("platform"))
	s.Peer = readPeer(root.Table("peer"))
	s.Operator = r.readOperator(root.Table("operator"), s.Listen.Operators)
	s.Caller = r.readCaller(root, s.Listen.Callers)
	s.Database = readDatabase(root.Table("database"))
	s.Log = readLog(root.Table("log"))
	return s
}

func readName(table *toml.Table, key string) string {
	name, found := table.Text(key)
	if found && !toml.IsValidName(name) {
		table.Errorf(key, "%q is not a valid name: %s", name, toml.NameSyntax)
	}
	return name
}

func readTick(root *toml.Table) time.Duration {
	tick, found := root.Duration("tick")
	if !found {
		return DefaultTickInterval
	}
	if tick < minTickInterval || tick > maxTickInterval {
		root.Errorf("tick", "must be from %s to %s", minTickInterval, maxTickInterval)
	}
	return tick
}

// -----------------------------------------------------------------------------
// Addresses.

func readListen(table *toml.Table) ListenAddresses {
	table.Require("callers", "peers", "operators")
	var listen ListenAddresses
	listen.Callers, _ = table.Address("callers")
	listen.Operators, _ = table.Address("operators")
	peers, found := table.Address("peers")
	if found && peers.Addr().IsUnspecified() {
		table.Errorf("peers", "other instances can't connect to %s; give the address at which they reach this instance", peers)
	}
	if found && peers.Port() == 0 {
		table.Errorf("peers", "must have a port: other instances connect to this address")
	}
	listen.Peers = peers
	return listen
}

func readPlatform(table *toml.Table) Platform {
	table.Require("url")
	platform := Platform{Token: readSecret(table, "token")}
	text, found := table.Text("url")
	if !found {
		return platform
	}
	address, err := url.Parse(text)
	if err != nil || address.Scheme != "http" && address.Scheme != "https" {
		table.Errorf("url", "%q is not an HTTP URL, such as \"http://10.1.0.2:8080\"", text)
		return platform
	}
	if _, err := netip.ParseAddrPort(address.Host); err != nil {
		table.Errorf("url", "%q must have an IP address with a port as its host", text)
	}
	if strings.Trim(address.Path, "/") != "" {
		table.Errorf("url", "%q must not have a path", text)
	}
	platform.URL = address
	return platform
}

// -----------------------------------------------------------------------------
// Credentials: peers, operators, callers and databases.

func readSecret(table *toml.Table, key string) SecretReference {
	text, found := table.Text(key)
	if !found {
		return SecretReference{}
	}
	secret, valid := ParseSecretReference(text)
	if !valid {
		// The message does not quote the text, because it may be the secret itself.
		table.Errorf(key, "must be a reference, \"file:PATH\" or \"env:NAME\"; settings must not contain secrets")
	}
	return secret
}

func readTLS(table *toml.Table) TLSFiles {
	var files TLSFiles
	files.CertificateFile, _ = table.Text("certificate")
	files.PrivateKeyFile, _ = table.Text("secret")
	files.CAFile, _ = table.Text("authority")
	if table.Has("certificate") != table.Has("secret") {
		table.Errorf("certificate", "certificate and secret must be given together")
	}
	return files
}

func readPeer(table *toml.Table) Peer {
	peer := Peer{SharedKey: readSecret(table, "key"), TLS: readTLS(table)}
	if !table.Has("key") && !table.Has("certificate") {
		table.Errorf("", "must have a key, or a certificate, its secret and an authority")
	}
	if table.Has("certificate") && !table.Has("authority") {
		table.Errorf("certificate", "requires the authority that signed the peers' certificates")
	}
	return peer
}

func (r *reader) readOperator(table *toml.Table, listen netip.AddrPort) Operator {
	operator := Operator{Token: readSecret(table, "token")}
	if !table.Has("token") {
		r.warn(table, "operator.token", "without a token, nobody may submit a manifest or drain through this instance")
	}
	if listen.IsValid() && !listen.Addr().IsLoopback() && !table.Has("token") {
		table.Errorf("token", "is missing, although other hosts can reach %s", listen)
	}
	return operator
}

func (r *reader) readCaller(root *toml.Table, listen netip.AddrPort) Caller {
	table := root.Table("caller")
	caller := Caller{TLS: readTLS(table), MaxConnections: DefaultMaxConnections, MemoryBudget: DefaultCallerMemoryMiB << 20}
	caller.TrustAnyUser, _ = table.Bool("trust")
	caller.RequireTLS, _ = table.Bool("require")
	if limit, found := table.Int("limit"); found {
		caller.MaxConnections = limit
	}
	if memory, found := table.Int("memory"); found {
		caller.MemoryBudget = int64(memory) << 20
		if memory < minCallerMemoryMiB {
			table.Errorf("memory", "must be at least %d", minCallerMemoryMiB)
		}
	}
	seenNames := map[string]bool{}
	for _, user := range root.Tables("user") {
		caller.Users = append(caller.Users, readUser(user, seenNames))
	}
	r.checkCaller(table, caller, listen)
	return caller
}

func (r *reader) checkCaller(table *toml.Table, caller Caller, listen netip.AddrPort) {
	if caller.MaxConnections < 1 {
		table.Errorf("limit", "must be at least 1")
	}
	if !caller.TrustAnyUser && len(caller.Users) == 0 {
		table.Errorf("", "nobody may connect: declare a [[user]], or set trust")
	}
	if caller.TrustAnyUser && len(caller.Users) > 0 {
		table.Errorf("trust", "excludes users: with trust, no caller is asked for a password")
	}
	if caller.TLS.IsSet() {
		return
	}
	if caller.RequireTLS {
		table.Errorf("require", "TLS needs a certificate and its secret")
	}
	if listen.IsValid() && !listen.Addr().IsLoopback() && len(caller.Users) > 0 {
		table.Errorf("certificate", "is missing: passwords must not cross the network without TLS")
		return
	}
	r.warn(table, "caller", "without a certificate, callers' connections are not encrypted")
}

func readUser(table *toml.Table, seenNames map[string]bool) User {
	table.Require("name", "password")
	user := User{Name: readName(table, "name"), Password: readSecret(table, "password")}
	if seenNames[user.Name] {
		table.Errorf("name", "%q is declared twice", user.Name)
	}
	seenNames[user.Name] = true
	return user
}

func readDatabase(table *toml.Table) DatabaseCredentials {
	database := DatabaseCredentials{User: DefaultDatabaseUser, Password: readSecret(table, "password")}
	if table.Has("user") {
		database.User = readName(table, "user")
	}
	return database
}

// -----------------------------------------------------------------------------
// Logs.

func readLog(table *toml.Table) Log {
	log := Log{Level: event.LevelInfo}
	if text, found := table.Text("level"); found {
		log.Level = readLevel(table, text)
	}
	if text, found := table.Text("format"); found {
		log.Format = readFormat(table, text)
	}
	return log
}

func readLevel(table *toml.Table, text string) event.Level {
	for level := event.LevelDebug; level <= event.LevelError; level++ {
		if text == level.String() {
			return level
		}
	}
	table.Errorf("level", "%q is not one of debug, info, warn, error", text)
	return event.LevelInfo
}

func readFormat(table *toml.Table, text string) Format {
	for _, format := range []Format{FormatJSON, FormatText} {
		if text == format.String() {
			return format
		}
	}
	table.Errorf("format", "%q is neither \"json\" nor \"text\"", text)
	return FormatJSON
}
