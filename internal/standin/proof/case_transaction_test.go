package proof_test

import (
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

const (
	// writers is the number of sessions that run transactions side by side,
	// transactions that of each, and entries that of one transaction.
	writers      = 9
	transactions = 20
	entries      = 3
)

// told is what a session was told of a transaction.
type told int

const (
	toldNothing told = iota
	toldCommitted
	toldNotCommitted
)

// transactionsSideBySide runs transactions through all instances, lets the
// primary die meanwhile, and wants each to stand in the ledger whole and in one
// piece, or not at all, as its session was told.
func transactionsSideBySide(s *stage) {
	ended := make(chan map[string]told, writers)
	for w := range writers {
		go func() { ended <- s.runTransactions(s.Instances[w%len(s.Instances)], w) }()
	}
	s.await("transactions", func() bool { return len(s.content(s.Databases[0]).Ledger) >= beforeFault })
	s.Databases[0].Process.Kill()
	primary := s.awaitPromotion()
	committed := 0
	for range writers {
		for name, outcome := range <-ended {
			if outcome == toldCommitted {
				committed++
			}
			s.wantWhole(s.content(primary).Ledger, name, outcome)
		}
	}
	if committed == 0 {
		s.Error("no transaction was committed")
	}
	s.Logf("%d of %d transactions committed", committed, writers*transactions)
	s.serves()
}

// runTransactions runs one session's transactions.
func (s *stage) runTransactions(in *deploy.Instance, writer int) map[string]told {
	outcomes := map[string]told{}
	var conn *pgx.Conn
	for i := range transactions {
		if conn == nil || conn.IsClosed() {
			var err error
			conn, err = s.dial(in, map[string]string{"eelgrassfold.kind": "post"})
			if err != nil {
				s.Error(err)
				return outcomes
			}
			defer s.disconnect(conn)
		}
		name := fmt.Sprintf("writer %d, transaction %d", writer, i)
		outcomes[name] = s.transact(conn, name)
	}
	return outcomes
}

// transact appends entries in one transaction.
func (s *stage) transact(conn *pgx.Conn, name string) told {
	tx, err := conn.Begin(s.ctx)
	if err != nil {
		return toldNotCommitted
	}
	for i := range entries {
		if _, err := tx.Exec(s.ctx, "INSERT INTO ledger (entry) VALUES ($1)", entryOf(name, i)); err != nil {
			_ = tx.Rollback(s.ctx)
			return toldNotCommitted
		}
	}
	err = tx.Commit(s.ctx)
	var answered *pgconn.PgError
	switch {
	case err == nil:
		return toldCommitted
	case errors.Is(err, pgx.ErrTxCommitRollback), errors.As(err, &answered) && answered.Code != "08007":
		return toldNotCommitted
	}
	return toldNothing
}

func entryOf(name string, i int) string { return fmt.Sprintf("%s, entry %d", name, i) }

// wantWhole wants a transaction's entries to stand next to each other, once,
// where it was committed, and nowhere where it was not.
func (s *stage) wantWhole(ledger []string, name string, outcome told) {
	s.Helper()
	var wanted, found []string
	at := slices.Index(ledger, entryOf(name, 0))
	for i := range entries {
		wanted = append(wanted, entryOf(name, i))
	}
	if at >= 0 {
		found = ledger[at:min(at+entries, len(ledger))]
	}
	count := 0
	for _, entry := range ledger {
		if slices.Contains(wanted, entry) {
			count++
		}
	}
	isWhole := count == entries && slices.Equal(wanted, found)
	isGone := count == 0
	if outcome == toldCommitted && !isWhole || outcome == toldNotCommitted && !isGone || !isWhole && !isGone {
		s.Errorf("%s: told %d, %d entries in the ledger, the first of them in %q", name, outcome, count, found)
	}
}
