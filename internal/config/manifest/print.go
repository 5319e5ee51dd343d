package manifest

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"

	gotoml "github.com/pelletier/go-toml/v2"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// The printed form.

type printedManifest struct {
	Service string         `toml:"service"`
	Limits  printedLimits  `toml:"limits"`
	Ranks   []printedRank  `toml:"rank"`
	Kinds   []printedKind  `toml:"kind"`
	Groups  []printedGroup `toml:"group"`
}

type printedLimits struct {
	Slots       int    `toml:"slots"`
	Connections int    `toml:"connections"`
	Reserve     int    `toml:"reserve"`
	Open        string `toml:"open"`
}

type printedRank struct {
	Name   string  `toml:"name"`
	Target string  `toml:"target"`
	Worth  float64 `toml:"worth"`
	Floor  float64 `toml:"floor"`
}

type printedKind struct {
	Name     string  `toml:"name"`
	Rank     string  `toml:"rank"`
	Access   string  `toml:"access"`
	Stale    *string `toml:"stale,omitempty"`
	Deadline string  `toml:"deadline"`
	Repeat   bool    `toml:"repeat"`
}

type printedGroup struct {
	Name      string            `toml:"name"`
	Databases []printedDatabase `toml:"database"`
}

type printedDatabase struct {
	Name    string         `toml:"name"`
	Zone    string         `toml:"zone"`
	Address netip.AddrPort `toml:"address"`
	Leaving bool           `toml:"leaving"`
}

// Format prints m as a document with all defaults written out. Parse returns an
// equal Manifest for it.
func Format(m *Manifest) []byte {
	printed := printedManifest{Service: m.Service, Limits: printLimits(m.Limits)}
	for _, rank := range m.Ranks {
		printed.Ranks = append(printed.Ranks, printRank(rank))
	}
	for _, kind := range m.Kinds {
		printed.Kinds = append(printed.Kinds, m.printKind(kind))
	}
	for _, group := range m.Groups {
		printed.Groups = append(printed.Groups, printGroup(group))
	}
	var buffer bytes.Buffer
	encoder := gotoml.NewEncoder(&buffer)
	if err := encoder.Encode(printed); err != nil {
		panic(err) // every value of the types above can be encoded
	}
	return buffer.Bytes()
}

func printLimits(limits DatabaseLimits) printedLimits {
	return printedLimits{
		Slots:       limits.MaxConcurrentStatements,
		Connections: limits.MaxConnections,
		Reserve:     limits.ReservedConnections,
		Open:        limits.ConnectTime.String(),
	}
}

func printRank(rank Rank) printedRank {
	return printedRank{Name: rank.Name, Target: rank.LatencyTarget.String(), Worth: rank.Value, Floor: rank.MinSlotShare}
}

func (m *Manifest) printKind(kind RequestKind) printedKind {
	printed := printedKind{
		Name:     kind.Name,
		Rank:     m.rankName(kind.Rank),
		Access:   kind.Access.String(),
		Deadline: kind.Deadline.String(),
		Repeat:   kind.Retryable,
	}
	if kind.HasStalenessBound {
		stale := kind.MaxStaleness.String()
		printed.Stale = &stale
	}
	return printed
}

func (m *Manifest) rankName(rank model.Rank) string {
	if int(rank) < len(m.Ranks) {
		return m.Ranks[rank].Name
	}
	return strconv.Itoa(int(rank))
}

func printGroup(group Group) printedGroup {
	printed := printedGroup{Name: string(group.Name)}
	for _, database := range group.Databases {
		printed.Databases = append(printed.Databases, printedDatabase{
			Name:    string(database.Name),
			Zone:    string(database.Zone),
			Address: database.Address,
			Leaving: database.Leaving,
		})
	}
	return printed
}

// -----------------------------------------------------------------------------
// Differences.

// Change is one difference between two manifests.
type Change struct {
	// Key locates the value, such as "limits slots" or "kind post-finish rank".
	Key string
	// Before and After are the old and the new value; one is empty if the key
	// exists in one of the manifests only.
	Before, After string
}

// String formats c with a leading '+' for an added, '-' for a removed and '~' for
// a changed value.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s = %s", c.Key, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s = %s", c.Key, c.Before)
	default:
		return fmt.Sprintf("~ %s = %s (was %s)", c.Key, c.After, c.Before)
	}
}

// Diff lists the differences between before and after: first the removed and
// changed values, in the order of before, then the added values, in the order of
// after. A nil manifest counts as empty.
func Diff(before, after *Manifest) []Change {
	older, newer := before.flatten(), after.flatten()
	var changes []Change
	for _, key := range older.keys {
		if older.textByKey[key] != newer.textByKey[key] {
			changes = append(changes, Change{Key: key, Before: older.textByKey[key], After: newer.textByKey[key]})
		}
	}
	for _, key := range newer.keys {
		if _, found := older.textByKey[key]; !found {
			changes = append(changes, Change{Key: key, After: newer.textByKey[key]})
		}
	}
	return changes
}

// flatValues holds all values of a manifest as text, each under a key such as
// "limits slots". keys keeps their order.
type flatValues struct {
	keys      []string
	textByKey map[string]string
}

func (v *flatValues) add(key string, value any) {
	v.keys = append(v.keys, key)
	v.textByKey[key] = fmt.Sprint(value)
}

func (m *Manifest) flatten() *flatValues {
	v := &flatValues{textByKey: map[string]string{}}
	if m == nil {
		return v
	}
	v.add("service", m.Service)
	v.add("limits slots", m.Limits.MaxConcurrentStatements)
	v.add("limits connections", m.Limits.MaxConnections)
	v.add("limits reserve", m.Limits.ReservedConnections)
	v.add("limits open", m.Limits.ConnectTime)
	for i, rank := range m.Ranks {
		v.addRank(i, rank)
	}
	for _, kind := range m.Kinds {
		v.addKind(m, kind)
	}
	for _, group := range m.Groups {
		v.addGroup(group)
	}
	return v
}

func (v *flatValues) addRank(index int, rank Rank) {
	key := "rank " + rank.Name
	v.add(key+" place", index+1)
	v.add(key+" target", rank.LatencyTarget)
	v.add(key+" worth", rank.Value)
	v.add(key+" floor", rank.MinSlotShare)
}

func (v *flatValues) addKind(m *Manifest, kind RequestKind) {
	key := "kind " + kind.Name
	v.add(key+" rank", m.rankName(kind.Rank))
	v.add(key+" access", kind.Access)
	if kind.HasStalenessBound {
		v.add(key+" stale", kind.MaxStaleness)
	}
	v.add(key+" deadline", kind.Deadline)
	v.add(key+" repeat", kind.Retryable)
}

func (v *flatValues) addGroup(group Group) {
	for _, database := range group.Databases {
		key := fmt.Sprintf("group %s database %s", group.Name, database.Name)
		v.add(key+" zone", database.Zone)
		v.add(key+" address", database.Address)
		v.add(key+" leaving", database.Leaving)
	}
}
