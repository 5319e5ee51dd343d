package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/toml"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// ValidationError lists all errors of a document.
type ValidationError = toml.ValidationError

// Diagnostic is one entry of a ValidationError.
type Diagnostic = toml.Diagnostic

const (
	// DefaultKind is the kind of requests that name no kind.
	DefaultKind = "default"
	// DefaultDeadline is the deadline of DefaultKind if the document does not
	// declare that kind.
	DefaultDeadline = 10 * time.Second
	// DefaultConnectTime is the time to open a connection if the document does
	// not give one.
	DefaultConnectTime = 12 * time.Millisecond
	// minFailoverDatabases is the smallest number of databases of which a majority
	// remains after the loss of one.
	minFailoverDatabases = 3
	// minSlotShareTolerance allows for rounding errors in minimum slot shares that
	// add up to 1.
	minSlotShareTolerance = 1e-9
)

// -----------------------------------------------------------------------------
// Reading.

// Parse reads a document and validates all of it. Its error is a
// *ValidationError.
func Parse(body []byte) (*Manifest, error) {
	m, _, err := ParseWithWarnings(body)
	return m, err
}

// ParseWithWarnings is like Parse, and also returns warnings about declarations
// that are valid but not recommended.
func ParseWithWarnings(body []byte) (m *Manifest, warnings []Diagnostic, err error) {
	root, err := toml.Parse(body)
	if err != nil {
		return nil, nil, err
	}
	r := reader{
		rankByName:    map[string]model.Rank{},
		seenDatabases: map[string]bool{},
		seenAddresses: map[netip.AddrPort]bool{},
	}
	m = r.read(root)
	if err := root.Finish(); err != nil {
		return nil, r.warnings, err
	}
	return m, r.warnings, nil
}

// Digest returns the SHA-256 hash of a document in hexadecimal, which is the name
// of its object in the platform's object store.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

type reader struct {
	warnings      []Diagnostic
	rankByName    map[string]model.Rank
	seenDatabases map[string]bool
	seenAddresses map[netip.AddrPort]bool
}

func (r *reader) read(root *toml.Table) *Manifest {
	root.Require("service", "rank", "group")
	m := &Manifest{Service: readName(root, "service", map[string]bool{})}
	m.Limits = readLimits(root.Table("limits"))
	m.Ranks = r.readRanks(root.Tables("rank"))
	m.Kinds = r.readKinds(root.Tables("kind"))
	m.Groups = r.readGroups(root.Tables("group"))
	m.addDefaultKind()
	return m
}

// readName reads a name and adds it to seenNames. A name that is already there is
// reported as a duplicate.
func readName(table *toml.Table, key string, seenNames map[string]bool) string {
	name, found := table.Text(key)
	switch {
	case !found:
	case !toml.IsValidName(name):
		table.Errorf(key, "%q is not a valid name: %s", name, toml.NameSyntax)
	case seenNames[name]:
		table.Errorf(key, "%q is declared twice", name)
	}
	seenNames[name] = true
	return name
}

// -----------------------------------------------------------------------------
// Limits.

func readLimits(table *toml.Table) DatabaseLimits {
	table.Require("slots", "connections")
	limits := DatabaseLimits{ConnectTime: DefaultConnectTime}
	slots, hasSlots := table.Int("slots")
	connections, hasConnections := table.Int("connections")
	limits.MaxConcurrentStatements, limits.MaxConnections = slots, connections
	limits.ReservedConnections, _ = table.Int("reserve")
	if open, found := table.Duration("open"); found {
		limits.ConnectTime = open
	}
	if hasSlots && slots < 1 {
		table.Errorf("slots", "must be at least 1")
	}
	if hasConnections && connections < 1 {
		table.Errorf("connections", "must be at least 1")
	}
	if hasSlots && hasConnections && slots > connections {
		table.Errorf("slots", "%d slots need at least as many connections, but there are %d", slots, connections)
	}
	if limits.ReservedConnections < 0 || hasConnections && limits.ReservedConnections >= connections {
		table.Errorf("reserve", "must be at least 0 and less than connections")
	}
	if limits.ConnectTime < 0 {
		table.Errorf("open", "must not be negative")
	}
	return limits
}

// -----------------------------------------------------------------------------
// Ranks.

func (r *reader) readRanks(tables []*toml.Table) []Rank {
	seenNames := map[string]bool{}
	var ranks []Rank
	minSlotShareSum := 0.0
	for i, table := range tables {
		rank := readRank(table, seenNames)
		if _, found := r.rankByName[rank.Name]; !found {
			r.rankByName[rank.Name] = model.Rank(i)
		}
		ranks = append(ranks, rank)
		// Only the first rank with which the sum exceeds 1 is reported.
		if minSlotShareSum <= 1+minSlotShareTolerance && minSlotShareSum+rank.MinSlotShare > 1+minSlotShareTolerance {
			table.Errorf("floor", "the sum of all floors must be at most 1, but it reaches %g", minSlotShareSum+rank.MinSlotShare)
		}
		minSlotShareSum += rank.MinSlotShare
	}
	return ranks
}

func readRank(table *toml.Table, seenNames map[string]bool) Rank {
	table.Require("name", "target", "worth", "floor")
	rank := Rank{Name: readName(table, "name", seenNames)}
	latencyTarget, hasLatencyTarget := table.Duration("target")
	value, hasValue := table.Float("worth")
	minSlotShare, hasMinSlotShare := table.Float("floor")
	if hasLatencyTarget && latencyTarget <= 0 {
		table.Errorf("target", "must be above 0")
	}
	if hasValue && (!(value > 0) || math.IsInf(value, 0)) {
		table.Errorf("worth", "must be above 0")
	}
	if hasMinSlotShare && !(minSlotShare >= 0 && minSlotShare <= 1) {
		table.Errorf("floor", "must be from 0 to 1")
		minSlotShare = 0
	}
	rank.LatencyTarget, rank.Value, rank.MinSlotShare = latencyTarget, value, minSlotShare
	return rank
}

// -----------------------------------------------------------------------------
// Kinds.

func (r *reader) readKinds(tables []*toml.Table) []RequestKind {
	seenNames := map[string]bool{}
	var kinds []RequestKind
	for _, table := range tables {
		kinds = append(kinds, r.readKind(table, seenNames))
	}
	return kinds
}

func (r *reader) readKind(table *toml.Table, seenNames map[string]bool) RequestKind {
	table.Require("name", "rank", "access", "deadline")
	kind := RequestKind{Name: readName(table, "name", seenNames)}
	if name, found := table.Text("rank"); found {
		rank, declared := r.rankByName[name]
		if !declared {
			table.Errorf("rank", "there is no rank %q", name)
		}
		kind.Rank = rank
	}
	kind.Access = readAccess(table)
	kind.Deadline, _ = table.Duration("deadline")
	if table.Has("deadline") && kind.Deadline <= 0 {
		table.Errorf("deadline", "must be a duration above 0")
	}
	kind.Retryable, _ = table.Bool("repeat")
	kind.MaxStaleness, kind.HasStalenessBound = table.Duration("stale")
	if kind.HasStalenessBound && kind.Access != model.AccessRead {
		table.Errorf("stale", "only a kind with access \"read\" may have a maximum staleness")
	}
	if kind.MaxStaleness < 0 {
		table.Errorf("stale", "must not be negative")
	}
	return kind
}

// readAccess returns the access of a kind. A missing or invalid access is an error,
// which rejects the document; the access returned then only affects which further
// errors are reported.
func readAccess(table *toml.Table) model.Access {
	text, found := table.Text("access")
	if !found {
		return model.AccessWrite
	}
	for _, access := range []model.Access{model.AccessWrite, model.AccessRead} {
		if text == access.String() {
			return access
		}
	}
	table.Errorf("access", "%q is neither \"read\" nor \"write\"", text)
	return model.AccessRead
}

// addDefaultKind adds DefaultKind unless the document declares it.
func (m *Manifest) addDefaultKind() {
	for _, kind := range m.Kinds {
		if kind.Name == DefaultKind {
			return
		}
	}
	m.Kinds = append(m.Kinds, RequestKind{
		Name:     DefaultKind,
		Rank:     model.Rank(len(m.Ranks) / 2),
		Access:   model.AccessWrite,
		Deadline: DefaultDeadline,
	})
}

// -----------------------------------------------------------------------------
// Groups.

func (r *reader) readGroups(tables []*toml.Table) []Group {
	seenNames := map[string]bool{}
	var groups []Group
	for _, table := range tables {
		table.Require("name", "database")
		group := Group{Name: model.GroupID(readName(table, "name", seenNames))}
		for _, database := range table.Tables("database") {
			group.Databases = append(group.Databases, r.readDatabase(database))
		}
		r.checkGroupSize(table, len(group.Databases))
		groups = append(groups, group)
	}
	return groups
}

// checkGroupSize warns about a group of fewer than minFailoverDatabases databases,
// which can't fail over after the loss of one. In a larger group it reports an even
// number as an error, because it tolerates no more failures than the odd number
// below it. A group without databases is reported elsewhere, as a missing key.
func (r *reader) checkGroupSize(table *toml.Table, size int) {
	switch {
	case size == 0 || size >= minFailoverDatabases && size%2 == 1:
	case size < minFailoverDatabases:
		r.warnings = append(r.warnings, Diagnostic{
			Line: table.Line(""), Key: "group.database",
			Message: "with fewer than 3 databases no failover is possible when one is lost",
		})
	default:
		table.Errorf("database", "a group must have an odd number of databases, but has %d", size)
	}
}

func (r *reader) readDatabase(table *toml.Table) Database {
	table.Require("name", "zone", "address")
	database := Database{Name: model.DatabaseID(readName(table, "name", r.seenDatabases))}
	database.Zone = model.ZoneID(readName(table, "zone", map[string]bool{}))
	database.Leaving, _ = table.Bool("leaving")
	address, found := table.Address("address")
	if !found {
		return database
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		table.Errorf("address", "%s has no port or no specific IP address", address)
	}
	if r.seenAddresses[address] {
		table.Errorf("address", "%s is also the address of another database", address)
	}
	r.seenAddresses[address] = true
	database.Address = address
	return database
}
