// Package review checks a configuration of routes, groups and tenants before it is sent, and
// compares it with the one in force.
//
// # What flows in and out
//
// Documents flow in: the parts of a configuration in their order, each with its place in the
// document, and the parts that could not be decoded. Findings flow out. A finding of Check is
// a mistake or a contradiction; one of Compare says what a difference means for callers.
// Keys of tenants are known by their digests only and are never part of a finding.
//
// # Usage
//
//	findings := review.Check(document, review.Options{Instances: 7})
//	findings = append(findings, review.Compare(inForce, document)...)
package review

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
)

// Entry is one part of a document, with its place there.
type Entry[T any] struct {
	Place string
	Value T
}

// Document is a configuration with its parts in their order.
type Document struct {
	Version uint64
	Routes  []Entry[route.Route]
	Groups  []Entry[route.Group]
	Tenants []Entry[route.Tenant]
	// RequiresKey is true if the document lists tenants, valid or not.
	RequiresKey            bool
	IdleTransactionTimeout time.Duration
	// Invalid holds why a part was left out, by its place.
	Invalid []Entry[error]
}

// Options are what is known besides the document.
type Options struct {
	// Instances is the number of instances that share the databases; zero if unknown.
	Instances int
}

// Kind is what a finding is about. A number is never reused for another meaning.
type Kind struct {
	Number int
	Name   string
}

// The kinds of mistakes and contradictions.
var (
	KindInvalid           = Kind{1, "invalid"}
	KindHiddenRoute       = Kind{2, "hidden-route"}
	KindUnknownGroup      = Kind{3, "unknown-group"}
	KindUnusedGroup       = Kind{4, "unused-group"}
	KindTargetAfterLimit  = Kind{5, "target-above-timeout"}
	KindUselessStaleness  = Kind{6, "staleness-without-effect"}
	KindMissingStaleness  = Kind{7, "staleness-missing"}
	KindFewConnections    = Kind{8, "connections-too-few"}
	KindSmallBurst        = Kind{9, "burst-below-one"}
	KindNobodyAdmitted    = Kind{10, "nobody-admitted"}
	KindTimeoutAfterIdle  = Kind{11, "timeout-above-idle-limit"}
	KindVersionNotNewer   = Kind{20, "version-not-newer"}
	KindNameRemoved       = Kind{21, "name-removed"}
	KindNameAdded         = Kind{22, "name-added"}
	KindConsistency       = Kind{23, "consistency-changed"}
	KindStaleness         = Kind{24, "staleness-changed"}
	KindTimeout           = Kind{25, "timeout-changed"}
	KindRank              = Kind{26, "rank-changed"}
	KindGroupOfRoute      = Kind{27, "group-changed"}
	KindTarget            = Kind{28, "target-changed"}
	KindPublic            = Kind{29, "key-requirement-changed"}
	KindTenantRemoved     = Kind{31, "tenant-removed"}
	KindTenantAdded       = Kind{32, "tenant-added"}
	KindKeysRemoved       = Kind{33, "keys-removed"}
	KindKeysAdded         = Kind{34, "keys-added"}
	KindLimitChanged      = Kind{35, "limit-changed"}
	KindConnectionsOfBase = Kind{41, "connections-changed"}
	KindSynchronous       = Kind{42, "synchronous-changed"}
	KindIdleLimit         = Kind{43, "idle-limit-changed"}
)

// Finding is one result.
type Finding struct {
	Kind Kind
	// Place is where the document has what the finding is about.
	Place string
	// Text is a sentence for operators.
	Text string
}

// String formats f as "PLACE: NUMBER NAME: TEXT".
func (f Finding) String() string {
	return fmt.Sprintf("%s: %d %s: %s", f.Place, f.Kind.Number, f.Kind.Name, f.Text)
}

// findings collects findings.
type findings []Finding

func (f *findings) add(kind Kind, place, format string, values ...any) {
	*f = append(*f, Finding{Kind: kind, Place: place, Text: fmt.Sprintf(format, values...)})
}

// -----------------------------------------------------------------------------
// Mistakes and contradictions.

// Check returns the mistakes and contradictions of a document.
func Check(document Document, options Options) []Finding {
	var found findings
	for _, entry := range document.Invalid {
		found.add(KindInvalid, entry.Place, "this part would be left out: %v", entry.Value)
	}
	found.checkRoutes(document)
	found.checkGroups(document, options)
	for _, entry := range document.Tenants {
		if t := entry.Value; t.Rate > 0 && t.Burst < 1 {
			found.add(KindSmallBurst, entry.Place, "tenant %s may send %g operations a second, but a burst of %g admits none at once", t.Name, t.Rate, t.Burst)
		}
	}
	if document.RequiresKey && len(document.Tenants) == 0 {
		found.add(KindNobodyAdmitted, "tenants", "no tenant has a valid key: only public routes would be served")
	}
	return found
}

func (f *findings) checkRoutes(document Document) {
	groups, last := map[model.GroupID]bool{}, map[string]string{}
	for _, entry := range document.Groups {
		groups[entry.Value.Name] = true
	}
	for _, entry := range document.Routes {
		last[entry.Value.Name] = entry.Place
	}
	for _, entry := range document.Routes {
		r, place := entry.Value, entry.Place
		if last[r.Name] != place {
			f.add(KindHiddenRoute, place, "%s has the same name and hides this route of %s", last[r.Name], r.Name)
		}
		if !groups[r.Group] {
			f.add(KindUnknownGroup, place, "route %s leads to %s, which is not listed", r.Name, r.Group)
		}
		if r.LatencyTarget > r.Timeout {
			f.add(KindTargetAfterLimit, place, "the target of %s for route %s is above its timeout of %s", r.LatencyTarget, r.Name, r.Timeout)
		}
		if idle := document.IdleTransactionTimeout; idle > 0 && r.Timeout > idle {
			f.add(KindTimeoutAfterIdle, place, "the timeout of %s for route %s is above the limit of %s for idle transactions", r.Timeout, r.Name, idle)
		}
		switch {
		case r.Consistency == route.ConsistencyPrimary && r.MaxStaleness > 0:
			f.add(KindUselessStaleness, place, "route %s reads at the primary only; its staleness bound of %s has no effect", r.Name, r.MaxStaleness)
		case r.Consistency != route.ConsistencyPrimary && r.MaxStaleness == 0:
			f.add(KindMissingStaleness, place, "route %s has no staleness bound, so that its reads go to the primary", r.Name)
		}
	}
}

func (f *findings) checkGroups(document Document, options Options) {
	used := map[model.GroupID]bool{}
	for _, entry := range document.Routes {
		used[entry.Value.Group] = true
	}
	for _, entry := range document.Groups {
		g := entry.Value
		if !used[g.Name] {
			f.add(KindUnusedGroup, entry.Place, "no route leads to %s", g.Name)
		}
		// One connection of each database is kept for control statements.
		if g.MaxConnections > 0 && g.MaxConnections-1 < options.Instances {
			f.add(KindFewConnections, entry.Place, "%d connections to each database of %s are too few for %d instances to keep one each", g.MaxConnections, g.Name, options.Instances)
		}
	}
}
