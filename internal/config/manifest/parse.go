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

// ValidationError lists everything that is wrong with a document.
type ValidationError = toml.ValidationError

// Diagnostic is one entry of a ValidationError.
type Diagnostic = toml.Diagnostic

const (
	// DefaultKind is the kind of requests that name none.
	DefaultKind = "default"
	// DefaultDeadline is the deadline of DefaultKind where the document
	// declares no such kind.
	DefaultDeadline = 10 * time.Second
	// DefaultConnectTime is the time to open a connection where the document gives
	// none.
	DefaultConnectTime = 12 * time.Millisecond
	// leastDatabases is the number of databases from which on a majority
	// survives the loss of one.
	leastDatabases = 3
	// floorSlack allows for the rounding of floors that add up to 1.
	floorSlack = 1e-9
)

// -----------------------------------------------------------------------------
// Reading.

// Parse reads a document and checks it whole. Its error is a *ValidationError.
func Parse(body []byte) (*Manifest, error) {
	m, _, err := ParseWithWarnings(body)
	return m, err
}

// ParseWithWarnings is Parse, with warnings about what is allowed but unwise.
func ParseWithWarnings(body []byte) (m *Manifest, warnings []Diagnostic, err error) {
	root, err := toml.Parse(body)
	if err != nil {
		return nil, nil, err
	}
	r := reader{
		ranks:     map[string]model.Rank{},
		databases: map[string]bool{},
		addresses: map[netip.AddrPort]bool{},
	}
	m = r.read(root)
	if err := root.Finish(); err != nil {
		return nil, r.warnings, err
	}
	return m, r.warnings, nil
}

// Digest returns the hexadecimal SHA-256 of a document: the name of its object
// in the platform's object store.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

type reader struct {
	warnings  []Diagnostic
	ranks     map[string]model.Rank
	databases map[string]bool
	addresses map[netip.AddrPort]bool
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

// readName reads a name and notes it in taken; a name noted before is a fault.
func readName(table *toml.Table, key string, taken map[string]bool) string {
	name, found := table.Text(key)
	switch {
	case !found:
	case !toml.IsValidName(name):
		table.Errorf(key, "%q is no name: %s", name, toml.NameSyntax)
	case taken[name]:
		table.Errorf(key, "%q is declared twice", name)
	}
	taken[name] = true
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
		table.Errorf("slots", "%d slots need as many connections, and there are %d", slots, connections)
	}
	if limits.ReservedConnections < 0 || hasConnections && limits.ReservedConnections >= connections {
		table.Errorf("reserve", "must be from 0 to below connections")
	}
	if limits.ConnectTime < 0 {
		table.Errorf("open", "must not be negative")
	}
	return limits
}

// -----------------------------------------------------------------------------
// Ranks.

func (r *reader) readRanks(tables []*toml.Table) []Rank {
	taken := map[string]bool{}
	var ranks []Rank
	floors := 0.0
	for i, table := range tables {
		rank := readRank(table, taken)
		if _, found := r.ranks[rank.Name]; !found {
			r.ranks[rank.Name] = model.Rank(i)
		}
		ranks = append(ranks, rank)
		if floors <= 1+floorSlack && floors+rank.MinSlotShare > 1+floorSlack {
			table.Errorf("floor", "all floors together must be at most 1, and here they reach %g", floors+rank.MinSlotShare)
		}
		floors += rank.MinSlotShare
	}
	return ranks
}

func readRank(table *toml.Table, taken map[string]bool) Rank {
	table.Require("name", "target", "worth", "floor")
	rank := Rank{Name: readName(table, "name", taken)}
	target, hasTarget := table.Duration("target")
	worth, hasWorth := table.Float("worth")
	floor, hasFloor := table.Float("floor")
	if hasTarget && target <= 0 {
		table.Errorf("target", "must be above 0")
	}
	if hasWorth && (!(worth > 0) || math.IsInf(worth, 0)) {
		table.Errorf("worth", "must be above 0")
	}
	if hasFloor && !(floor >= 0 && floor <= 1) {
		table.Errorf("floor", "must be from 0 to 1")
		floor = 0
	}
	rank.LatencyTarget, rank.Value, rank.MinSlotShare = target, worth, floor
	return rank
}

// -----------------------------------------------------------------------------
// Kinds.

func (r *reader) readKinds(tables []*toml.Table) []RequestKind {
	taken := map[string]bool{}
	var kinds []RequestKind
	for _, table := range tables {
		kinds = append(kinds, r.readKind(table, taken))
	}
	return kinds
}

func (r *reader) readKind(table *toml.Table, taken map[string]bool) RequestKind {
	table.Require("name", "rank", "access", "deadline")
	kind := RequestKind{Name: readName(table, "name", taken)}
	if name, found := table.Text("rank"); found {
		rank, declared := r.ranks[name]
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
		table.Errorf("stale", "only reads have a bound of staleness")
	}
	if kind.MaxStaleness < 0 {
		table.Errorf("stale", "must not be negative")
	}
	return kind
}

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

// addDefaultKind adds the kind of requests that name none, where the document
// does not declare it.
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
	taken := map[string]bool{}
	var groups []Group
	for _, table := range tables {
		table.Require("name", "database")
		group := Group{Name: model.GroupID(readName(table, "name", taken))}
		for _, database := range table.Tables("database") {
			group.Databases = append(group.Databases, r.readDatabase(database))
		}
		r.checkSize(table, len(group.Databases))
		groups = append(groups, group)
	}
	return groups
}

// checkSize wants an odd number of databases: an even one bears no more losses
// than the odd number below it.
func (r *reader) checkSize(table *toml.Table, size int) {
	switch {
	case size == 0 || size >= leastDatabases && size%2 == 1:
	case size < leastDatabases:
		r.warnings = append(r.warnings, Diagnostic{
			Line: table.Line(""), Key: "group.database",
			Message: "with fewer than 3 databases no failover is possible when one is lost",
		})
	default:
		table.Errorf("database", "a group wants an odd number of databases, and here are %d", size)
	}
}

func (r *reader) readDatabase(table *toml.Table) Database {
	table.Require("name", "zone", "address")
	database := Database{Name: model.DatabaseID(readName(table, "name", r.databases))}
	database.Zone = model.ZoneID(readName(table, "zone", map[string]bool{}))
	database.Leaving, _ = table.Bool("leaving")
	address, found := table.Address("address")
	if !found {
		return database
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		table.Errorf("address", "%s can't be connected to", address)
	}
	if r.addresses[address] {
		table.Errorf("address", "%s is the address of another database too", address)
	}
	r.addresses[address] = true
	database.Address = address
	return database
}
