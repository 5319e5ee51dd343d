// Package replica keeps the record of the databases of each group with synchronous
// replication in the platform's store, and waits until one of them may be promoted. It also
// reads the promotions of all groups, which are in the same table.
//
// # What flows in and out
//
// The entries of databases and their answers flow in, through Source. The record flows
// out to the store, and a Decision to the failover that asked for it. The decisions
// themselves are those of package core/replica.
//
// # Usage
//
//	keeper := replica.NewKeeper(options)
//	keeper.Observe(ctx, group, primary)
//	...
//	outcome, err := keeper.Await(ctx, replacement)
package replica

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/core/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// table holds the record of each group, its last promotions, and those that may still
	// take effect.
	table = "eelgrassfold-replicas"
	// Prefixes of the table's keys.
	copiesPrefix  = "copies/"
	historyPrefix = "history/"
	callsPrefix   = "calls/"
	// queryInterval is the minimum time between two queries of databases for the record
	// of a group.
	queryInterval = time.Second
	// maxObservationGap is the time between two observations of a group within which a
	// database can't have had an entry unseen.
	maxObservationGap = 2 * time.Second
)

// Source is what an instance knows about databases.
type Source interface {
	// Copies returns the databases of a group that have an entry.
	Copies(group model.GroupID) []replica.Copy
	// ReadCopies is like Copies after a read of the store.
	ReadCopies(ctx context.Context, group model.GroupID) ([]replica.Copy, error)
	// IsRetired reports whether a database gets no more statements of callers.
	IsRetired(id model.DatabaseID) bool
	// Query queries the status of databases at the same time and returns the answers.
	Query(ctx context.Context, group model.GroupID, copies []replica.Copy) []replica.Answer
	// Read reads a table of the store, Write carries out a transaction.
	Read(ctx context.Context, table string) (store.Rows, error)
	Write(ctx context.Context, tx store.Transaction) (uint64, error)
}

// Options configures a Keeper.
type Options struct {
	Source Source
	// CatchUp is how long a change waits for a replica to receive all that a primary
	// which answers has.
	CatchUp time.Duration
	// Patience is how long a change waits for databases that have no entry and may hold
	// acknowledged commits.
	Patience time.Duration
	Log      func(event.Event, ...event.Field)
}

// Keeper keeps the records. Use NewKeeper to create one. It is safe for concurrent use.
type Keeper struct {
	options Options
	mu      sync.Mutex
	// known holds the records as they were read or written last, queriedAt when the
	// databases of a group were last queried for its record.
	known     map[model.GroupID]stored
	queriedAt map[model.GroupID]time.Time
	// gone holds what the last observation of each group has shown to be gone.
	gone map[model.GroupID]goneAt
}

// goneAt holds the databases that are gone as of an observation.
type goneAt struct {
	gone    replica.Gone
	primary model.DatabaseID
	at      time.Time
}

// stored is what the store holds about a group.
type stored struct {
	record     replica.Record
	promotions Promotions
	// version is the version of the record's row; zero if there is none.
	version uint64
}

// Promotions is what the store holds about the promotions of a group.
type Promotions struct {
	History succession.History
	// Calls are the promotions that may still take effect. They are incomplete if there is
	// no record of them.
	Calls promotion.Calls
}

// NewKeeper returns a Keeper that knows no record yet.
func NewKeeper(options Options) *Keeper {
	return &Keeper{
		options: options, known: map[model.GroupID]stored{}, queriedAt: map[model.GroupID]time.Time{},
		gone: map[model.GroupID]goneAt{},
	}
}

// HistoryRow returns the row with the promotions of a group.
func HistoryRow(group model.GroupID, history succession.History) store.Row {
	return store.Row{Table: table, Key: historyPrefix + string(group), Value: encode(&history)}
}

// CallsRow returns the row with the promotions of a group that may still take effect.
func CallsRow(group model.GroupID, calls promotion.Calls) store.Row {
	return store.Row{Table: table, Key: callsPrefix + string(group), Value: encode(&calls)}
}

// RecordRow returns the row with a group's record.
func RecordRow(group model.GroupID, record replica.Record) store.Row {
	return store.Row{Table: table, Key: copiesPrefix + string(group), Value: encode(&record)}
}

func encode(value any) []byte {
	body, err := msgpack.Marshal(value)
	if err != nil {
		// The values are plain types, which can always be encoded.
		panic(err)
	}
	return body
}

// read reads the rows of a group.
func (k *Keeper) read(ctx context.Context, group model.GroupID) (stored, error) {
	rows, err := k.options.Source.Read(ctx, table)
	if err != nil {
		return stored{}, err
	}
	s := stored{promotions: Promotions{Calls: promotion.Calls{IsIncomplete: true}}}
	for _, row := range rows.Rows {
		if name, ok := strings.CutPrefix(row.Key, copiesPrefix); ok && name == string(group) {
			s.version = row.Version
			k.decode(row, &s.record)
		}
		if name, ok := strings.CutPrefix(row.Key, historyPrefix); ok && name == string(group) {
			k.decode(row, &s.promotions.History)
		}
		if name, ok := strings.CutPrefix(row.Key, callsPrefix); ok && name == string(group) {
			var calls promotion.Calls
			if k.decode(row, &calls) {
				s.promotions.Calls = calls
			}
		}
	}
	return s, nil
}

// decode decodes a row's value into target and reports whether that succeeded. A value that
// can't be decoded is logged.
func (k *Keeper) decode(row store.Row, target any) bool {
	err := msgpack.Unmarshal(row.Value, target)
	if err != nil {
		k.options.Log(event.ContentRejected, event.F("table", row.Table), event.F("key", row.Key),
			event.F("error", err.Error()))
	}
	return err == nil
}

// Promotions returns the promotions of a group. Its errors are those of the store.
func (k *Keeper) Promotions(ctx context.Context, group model.GroupID) (Promotions, error) {
	s, err := k.read(ctx, group)
	return s.promotions, err
}

// RecordAfterPromotion returns the row with the record of a group for the time after a
// promotion. Its errors are those of the store.
func (k *Keeper) RecordAfterPromotion(ctx context.Context, group model.GroupID) (store.Row, error) {
	s, err := k.read(ctx, group)
	if err != nil {
		return store.Row{}, err
	}
	listed, err := k.options.Source.ReadCopies(ctx, group)
	if err != nil {
		return store.Row{}, err
	}
	record := replica.Record{Copies: k.copiesOf(group, s.record)}
	return RecordRow(group, record.AfterPromotion(listed)), nil
}

// Observe brings the record of a group up to date with the entries of its databases and,
// where that takes their answers, with those. Only the coordinator calls it, while the
// primary is in use.
func (k *Keeper) Observe(ctx context.Context, group model.GroupID, primary model.DatabaseID) {
	known, ok := k.knownRecord(ctx, group)
	if !ok {
		return
	}
	o := replica.Observation{Primary: primary, Listed: k.options.Source.Copies(group)}
	if known.record.NeedsAnswers(o.Listed) && k.isQueryDue(group) {
		o.PrimaryEnd, o.Answers = k.query(ctx, group, known.record, primary)
	}
	o.Gone = k.updateGone(group, known.record, o)
	updated, changed := known.record.Observe(o)
	if !changed {
		return
	}
	row := RecordRow(group, updated)
	version, err := k.options.Source.Write(ctx, store.Transaction{
		Preconditions: []store.Row{{Table: row.Table, Key: row.Key, Version: known.version}},
		Upserts:       []store.Row{row},
	})
	k.mu.Lock()
	if err == nil {
		k.known[group] = stored{record: updated, version: version}
	} else {
		delete(k.known, group)
	}
	k.mu.Unlock()
	k.options.Log(event.ReplicaRecordWritten, event.F("group", group), event.F("databases", idsOf(updated.Copies)),
		event.F("outcome", outcomeText(err)))
}

// Patience returns how long a change waits for databases that have no entry.
func (k *Keeper) Patience() time.Duration { return k.options.Patience }

// Forget drops what is known about the records, for an instance that is not the
// coordinator: another one changes them.
func (k *Keeper) Forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.known)
	clear(k.gone)
}

// updateGone returns the databases of a group that were gone before an observation, and
// remembers those that are gone now. After a gap between observations it starts anew, since a
// database may have come back and gone again.
func (k *Keeper) updateGone(group model.GroupID, record replica.Record, o replica.Observation) replica.Gone {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	if last := k.gone[group]; last.primary == o.Primary && now.Sub(last.at) < maxObservationGap {
		o.Gone = last.gone
	}
	k.gone[group] = goneAt{gone: record.Gone(o), primary: o.Primary, at: now}
	return o.Gone
}

// knownRecord returns the record as it was read or written last, or reads it.
func (k *Keeper) knownRecord(ctx context.Context, group model.GroupID) (stored, bool) {
	k.mu.Lock()
	known, found := k.known[group]
	k.mu.Unlock()
	if found {
		return known, true
	}
	known, err := k.read(ctx, group)
	if err != nil {
		return stored{}, false
	}
	k.mu.Lock()
	k.known[group] = known
	k.mu.Unlock()
	return known, true
}

func (k *Keeper) isQueryDue(group model.GroupID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock.Since(k.queriedAt[group]) < queryInterval {
		return false
	}
	k.queriedAt[group] = clock.Now()
	return true
}

// query returns the end of the primary's log, and the answers of the recorded databases
// after that.
func (k *Keeper) query(
	ctx context.Context, group model.GroupID, record replica.Record, primary model.DatabaseID,
) (model.Position, []replica.Answer) {
	primaryCopy, others := split(k.copiesOf(group, record), primary)
	answers := k.options.Source.Query(ctx, group, primaryCopy)
	if len(answers) == 0 || !answers[0].IsPrimary {
		return model.Position{}, nil
	}
	return answers[0].Position, k.options.Source.Query(ctx, group, others)
}

// copiesOf returns the recorded databases of a group and those that have an entry.
func (k *Keeper) copiesOf(group model.GroupID, record replica.Record) []replica.Copy {
	merged, _ := record.Observe(replica.Observation{Listed: k.options.Source.Copies(group)})
	return merged.Copies
}

// split separates one database from the others.
func split(copies []replica.Copy, id model.DatabaseID) (one, others []replica.Copy) {
	for _, c := range copies {
		if c.ID == id {
			one = append(one, c)
		} else {
			others = append(others, c)
		}
	}
	return one, others
}

func idsOf(copies []replica.Copy) []model.DatabaseID {
	var ids []model.DatabaseID
	for _, c := range copies {
		ids = append(ids, c.ID)
	}
	return ids
}

// outcomeText returns the text of an error for a log field, or "ok" for nil.
func outcomeText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
