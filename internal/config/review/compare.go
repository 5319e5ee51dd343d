package review

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
)

// -----------------------------------------------------------------------------
// Differences.

// Compare returns what changes for callers if a document replaces the one in force. The
// findings are in the order of kinds: names, what their routes promise, tenants, the rest.
func Compare(inForce, document Document) []Finding {
	var found findings
	if document.Version <= inForce.Version {
		found.add(KindVersionNotNewer, "version", "version %d is not above version %d, which is in force: instances would ignore it", document.Version, inForce.Version)
	}
	found.compareRoutes(inForce, document)
	found.compareTenants(inForce, document)
	found.compareGroups(inForce, document)
	if before, after := inForce.IdleTransactionTimeout, document.IdleTransactionTimeout; before != after {
		found.add(KindIdleLimit, "limits", "idle transactions are ended after %s instead of %s", orNever(after), orNever(before))
	}
	slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(a.Kind.Number, b.Kind.Number) })
	return found
}

// byName returns the entries that are in force, by name: of several, the last.
func byName[T any, N comparable](entries []Entry[T], name func(T) N) map[N]Entry[T] {
	result := make(map[N]Entry[T], len(entries))
	for _, entry := range entries {
		result[name(entry.Value)] = entry
	}
	return result
}

// pairs calls each for every name that either document has, in the order of the documents.
func pairs[T any, N comparable](before, after []Entry[T], name func(T) N, each func(was, is *Entry[T])) {
	old, current := byName(before, name), byName(after, name)
	seen := map[N]bool{}
	for _, entries := range [][]Entry[T]{before, after} {
		for _, entry := range entries {
			n := name(entry.Value)
			if seen[n] {
				continue
			}
			seen[n] = true
			var was, is *Entry[T]
			if e, found := old[n]; found {
				was = &e
			}
			if e, found := current[n]; found {
				is = &e
			}
			each(was, is)
		}
	}
}

func (f *findings) compareRoutes(inForce, document Document) {
	pairs(inForce.Routes, document.Routes, func(r route.Route) string { return r.Name }, func(was, is *Entry[route.Route]) {
		switch {
		case is == nil:
			f.add(KindNameRemoved, "routes", "callers of %s are refused", was.Value.Name)
		case was == nil:
			f.add(KindNameAdded, is.Place, "callers may connect to %s", is.Value.Name)
		default:
			f.compareRoute(was.Value, is.Value, is.Place, inForce.RequiresKey, document.RequiresKey)
		}
	})
}

func (f *findings) compareRoute(was, is route.Route, place string, keysBefore, keysAfter bool) {
	if was.Consistency != is.Consistency {
		f.add(KindConsistency, place, "reads of %s are %s instead of %s", is.Name, is.Consistency, was.Consistency)
	}
	if was.MaxStaleness != is.MaxStaleness {
		f.add(KindStaleness, place, "reads of %s may be %s old instead of %s", is.Name, is.MaxStaleness, was.MaxStaleness)
	}
	if was.Timeout != is.Timeout {
		f.add(KindTimeout, place, "statements of %s end after %s instead of %s", is.Name, is.Timeout, was.Timeout)
	}
	if was.Rank != is.Rank {
		f.add(KindRank, place, "statements of %s have rank %d instead of %d", is.Name, is.Rank, was.Rank)
	}
	if was.Group != is.Group {
		f.add(KindGroupOfRoute, place, "%s leads to %s instead of %s: other data", is.Name, is.Group, was.Group)
	}
	if was.LatencyTarget != is.LatencyTarget {
		f.add(KindTarget, place, "the target of %s is %s instead of %s", is.Name, is.LatencyTarget, was.LatencyTarget)
	}
	needed, needs := keysBefore && !was.IsPublic, keysAfter && !is.IsPublic
	switch {
	case needs && !needed:
		f.add(KindPublic, place, "callers of %s need a key; sessions without one are closed", is.Name)
	case needed && !needs:
		f.add(KindPublic, place, "callers of %s need no key any more", is.Name)
	}
}

func (f *findings) compareTenants(inForce, document Document) {
	pairs(inForce.Tenants, document.Tenants, func(t route.Tenant) model.TenantID { return t.Name }, func(was, is *Entry[route.Tenant]) {
		switch {
		case is == nil:
			f.add(KindTenantRemoved, "tenants", "callers of tenant %s are refused, and their sessions closed", was.Value.Name)
		case was == nil:
			f.add(KindTenantAdded, is.Place, "callers of tenant %s are admitted", is.Value.Name)
		default:
			f.compareTenant(was.Value, is.Value, is.Place)
		}
	})
}

func (f *findings) compareTenant(was, is route.Tenant, place string) {
	if removed := countMissing(was.Keys, is.Keys); removed > 0 {
		f.add(KindKeysRemoved, place, "%d keys of tenant %s are taken away; their sessions are closed", removed, is.Name)
	}
	if added := countMissing(is.Keys, was.Keys); added > 0 {
		f.add(KindKeysAdded, place, "tenant %s gets %d more keys", is.Name, added)
	}
	if was.Rate != is.Rate || was.Burst != is.Burst {
		f.add(KindLimitChanged, place, "tenant %s may send %g operations a second and %g at once instead of %g and %g", is.Name, is.Rate, is.Burst, was.Rate, was.Burst)
	}
}

// countMissing returns how many of some keys are not among others.
func countMissing(keys, others []route.KeyDigest) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}

func (f *findings) compareGroups(inForce, document Document) {
	pairs(inForce.Groups, document.Groups, func(g route.Group) model.GroupID { return g.Name }, func(was, is *Entry[route.Group]) {
		if was == nil || is == nil {
			// A group matters to callers by the routes that lead to it.
			return
		}
		if was.Value.MaxConnections != is.Value.MaxConnections {
			f.add(KindConnectionsOfBase, is.Place, "each database of %s accepts %d connections instead of %d", is.Value.Name, is.Value.MaxConnections, was.Value.MaxConnections)
		}
		if was.Value.SynchronousReplication != is.Value.SynchronousReplication {
			f.add(KindSynchronous, is.Place, "commits of %s wait for a replica: %v instead of %v", is.Value.Name, is.Value.SynchronousReplication, was.Value.SynchronousReplication)
		}
	})
}

// orNever names a limit, of which zero means none.
func orNever(limit time.Duration) string {
	if limit == 0 {
		return "no time"
	}
	return limit.String()
}
