package fleet

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	decision "github.com/eelgrassfold/eelgrassfold/internal/core/relay"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/relay"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// askedRelays is the number of peers that are asked at once whether a primary
	// answers them.
	askedRelays = 3
	// askTimeout bounds the answer of a peer: a new link has to be opened for it.
	askTimeout = 300 * time.Millisecond
)

// relays holds which statements pass through relays, and the links to those.
type relays struct {
	chooser *decision.Chooser
	client  *relay.Client
	// port is that of the relay address of all instances. Statements are not relayed if
	// it is zero.
	port uint16
	// primaries holds the relays for the primaries whose statements are relayed.
	primaries atomic.Pointer[map[model.DatabaseID][]decision.Candidate]
	// owners holds the owners of databases; it is empty if no tenants are configured.
	// leaving holds the relay addresses of the peers that are known to be draining.
	owners  atomic.Pointer[map[model.DatabaseID][]decision.Candidate]
	leaving atomic.Pointer[map[netip.AddrPort]bool]

	mu     sync.Mutex
	cuts   map[model.GroupID]*decision.Cut
	asking map[model.GroupID]bool
}

func newRelays(options Options) relays {
	chooser := decision.NewChooser(options.InstanceName, options.Zone)
	return relays{
		chooser: chooser, port: options.RelayPort,
		client: relay.NewClient(relay.ClientOptions{Instance: options.StartID, Key: options.RelayKey, Chooser: chooser, Log: options.Log}),
		cuts:   map[model.GroupID]*decision.Cut{}, asking: map[model.GroupID]bool{},
	}
}

// RelayExecutor returns what runs the statements of peers at this instance.
func (f *Fleet) RelayExecutor() relay.Executor {
	return &relay.PoolExecutor{
		Scheduler: f.Scheduler, Pool: f.Pool,
		LagOf: func(group model.GroupID, position model.Position) time.Duration {
			return f.SamplesOf(group).Lag(clock.Now(), position)
		},
		Probe: func(database placement.Database) { f.startProbe(f.lifetime, database) },
	}
}

// IsRelayed implements placement.RelayPolicy: the database is a primary that does not
// answer this instance and answers peers, or its owner is another instance.
func (f *Fleet) IsRelayed(database placement.Database, _ model.TenantID) bool {
	if primaries := f.relays.primaries.Load(); primaries != nil {
		if _, found := (*primaries)[database.ID]; found {
			return true
		}
	}
	owner, found := f.ownerOf(database.ID, nil)
	return found && owner.Instance != f.options.InstanceName
}

// Open implements session.Relays.
func (f *Fleet) Open(requirements placement.Requirements, reservation placement.Reservation, excluded []netip.AddrPort) (*relay.Conn, bool) {
	database := reservation.Database.ID
	if owner, found := f.ownerOf(database, excluded); found && owner.Instance != f.options.InstanceName {
		return f.relays.client.Open(owner.Address, requirements, reservation), true
	}
	primaries := f.relays.primaries.Load()
	if primaries == nil {
		return nil, false
	}
	for _, candidate := range f.relays.order(database, (*primaries)[database]) {
		if !slices.Contains(excluded, candidate.Address) {
			return f.relays.client.Open(candidate.Address, requirements, reservation), true
		}
	}
	return nil, false
}

// isReachedThroughRelays reports whether statements for a group's primary are relayed.
func (f *Fleet) isReachedThroughRelays(name model.GroupID) bool {
	primaries := f.relays.primaries.Load()
	if primaries == nil {
		return false
	}
	grant, _ := f.Leases.Grant(name)
	_, found := (*primaries)[grant.Primary]
	return found
}

// order returns the candidates that may be used, in the order of preference.
func (r *relays) order(database model.DatabaseID, candidates []decision.Candidate) []decision.Candidate {
	candidates = slices.Clone(candidates)
	for i := range candidates {
		candidates[i].Outstanding = r.client.Outstanding(candidates[i].Address)
	}
	return r.chooser.Order(clock.Now(), database, candidates)
}

// updateRelays decides for each group whether statements for its primary pass through
// relays, and asks peers where it has to.
func (f *Fleet) updateRelays(ctx context.Context) {
	if f.relays.port == 0 {
		return
	}
	now := clock.Now()
	isConfirmed := f.Leases.IsConfirmed(now)
	primaries, hasChanged := map[model.DatabaseID][]decision.Candidate{}, false
	rows := f.Leases.View().Rows
	f.relays.mu.Lock()
	maps.DeleteFunc(f.relays.cuts, func(name model.GroupID, _ *decision.Cut) bool { _, found := rows[name]; return !found })
	for name := range rows {
		grant, found := f.Leases.Grant(name)
		database, isKnown := f.Scheduler.DatabaseOf(grant.Primary)
		if !found || !isKnown {
			delete(f.relays.cuts, name)
			continue
		}
		cut, found := f.relays.cuts[name]
		if !found {
			cut = &decision.Cut{}
			f.relays.cuts[name] = cut
		}
		evidence := decision.Evidence{
			Primary: grant.Primary, UnansweredFor: f.Scheduler.UnansweredFor(name),
			AnsweredAt: f.Scheduler.AnsweredAt(grant.Primary), IsConfirmed: isConfirmed,
		}
		isUsable := func(address netip.AddrPort) bool { return f.relays.chooser.IsUsable(now, address, grant.Primary) }
		wasRelaying := cut.IsRelaying()
		if cut.Update(now, evidence, isUsable) && !f.relays.asking[name] {
			f.relays.asking[name] = true
			f.startAsking(ctx, database)
		}
		if cut.IsRelaying() {
			primaries[grant.Primary] = cut.Relays()
			// Only an answer of the primary itself ends this.
			f.startProbe(ctx, database)
		}
		if cut.IsRelaying() != wasRelaying {
			hasChanged = true
			f.logRelaying(name, cut, evidence.UnansweredFor)
		}
	}
	f.relays.mu.Unlock()
	f.relays.primaries.Store(&primaries)
	if hasChanged {
		f.Scheduler.Reschedule()
	}
}

func (f *Fleet) logRelaying(name model.GroupID, cut *decision.Cut, unanswered time.Duration) {
	var addresses []string
	for _, candidate := range f.relays.order(cut.Primary(), cut.Relays()) {
		addresses = append(addresses, candidate.Address.String())
	}
	f.logEvent(event.RelayingChanged, event.F("group", name), event.F("database", cut.Primary()),
		event.F("relaying", cut.IsRelaying()), event.F("unanswered", unanswered.String()), event.F("relays", strings.Join(addresses, " ")))
}

// startAsking asks some peers, in the background, whether a primary answers them.
func (f *Fleet) startAsking(ctx context.Context, primary placement.Database) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		var asked sync.WaitGroup
		for i, candidate := range f.relays.order(primary.ID, f.relayCandidates()) {
			if i == askedRelays {
				break
			}
			asked.Add(1)
			go func() {
				defer asked.Done()
				answeredAt, err := f.relays.client.Ask(ctx, candidate.Address, primary, askTimeout)
				if err != nil {
					return
				}
				f.relays.mu.Lock()
				defer f.relays.mu.Unlock()
				if cut, found := f.relays.cuts[primary.Group]; found {
					cut.RecordReached(primary.ID, candidate, answeredAt)
				}
			}()
		}
		asked.Wait()
		f.relays.mu.Lock()
		defer f.relays.mu.Unlock()
		delete(f.relays.asking, primary.Group)
	}()
}

// relayCandidates returns the members that may serve as relays, as far as is known without
// asking them.
func (f *Fleet) relayCandidates() []decision.Candidate {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	unavailable, now := map[model.InstanceID]bool{}, clock.Now()
	for _, p := range f.peers.known {
		if p.isAlive(now) {
			unavailable[p.gossip.Instance] = p.gossip.Leaving
		}
	}
	candidates := make([]decision.Candidate, 0, len(f.peers.members))
	for name, m := range f.peers.members {
		candidates = append(candidates, decision.Candidate{
			Instance: name, Zone: m.Zone, Address: netip.AddrPortFrom(m.Address.Addr(), f.relays.port),
			ReachesDatabase: true, IsLeaving: unavailable[name],
		})
	}
	return candidates
}
