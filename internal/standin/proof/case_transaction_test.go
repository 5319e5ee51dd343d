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
	// writerCount is the number of sessions that run transactions side by side,
	// transactions that of each, and entries that of one transaction.
	writerCount           = 9
	transactionsPerWriter = 20
	entriesPerTransaction = 3
)

// clientOutcome is what a session was clientOutcome of a transaction.
type clientOutcome int

const (
	outcomeUnknown clientOutcome = iota
	outcomeCommitted
	outcomeNotCommitted
)

// concurrentTransactions runs transactions through all instances, lets the
// primary die meanwhile, and wants each to stand in the ledger whole and in one
// piece, or not at all, as its session was told.
func concurrentTransactions(s *scenario) {
	ended := make(chan map[string]clientOutcome, writerCount)
	for w := range writerCount {
		go func() { ended <- s.runTransactions(s.Instances[w%len(s.Instances)], w) }()
	}
	s.await("transactions", func() bool { return len(s.databaseContent(s.Databases[0]).Ledger) >= entriesBeforeFault })
	s.Databases[0].Process.Kill()
	primary := s.awaitPromotion()
	committed := 0
	for range writerCount {
		for name, outcome := range <-ended {
			if outcome == outcomeCommitted {
				committed++
			}
			s.checkAtomic(s.databaseContent(primary).Ledger, name, outcome)
		}
	}
	if committed == 0 {
		s.Error("no transaction was committed")
	}
	s.Logf("%d of %d transactions committed", committed, writerCount*transactionsPerWriter)
	s.requireService()
}

// runTransactions runs one session's transactions.
func (s *scenario) runTransactions(instance *deploy.Instance, writer int) map[string]clientOutcome {
	outcomes := map[string]clientOutcome{}
	var conn *pgx.Conn
	for i := range transactionsPerWriter {
		if conn == nil || conn.IsClosed() {
			var err error
			conn, err = s.dial(instance, map[string]string{"eelgrassfold.kind": "post"})
			if err != nil {
				s.Error(err)
				return outcomes
			}
			defer s.disconnect(conn)
		}
		name := fmt.Sprintf("writer %d, transaction %d", writer, i)
		outcomes[name] = s.runTransaction(conn, name)
	}
	return outcomes
}

// runTransaction appends entries in one transaction.
func (s *scenario) runTransaction(conn *pgx.Conn, name string) clientOutcome {
	tx, err := conn.Begin(s.ctx)
	if err != nil {
		return outcomeNotCommitted
	}
	for i := range entriesPerTransaction {
		if _, err := tx.Exec(s.ctx, "INSERT INTO ledger (entry) VALUES ($1)", entryName(name, i)); err != nil {
			_ = tx.Rollback(s.ctx)
			return outcomeNotCommitted
		}
	}
	err = tx.Commit(s.ctx)
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return outcomeCommitted
	case errors.Is(err, pgx.ErrTxCommitRollback), errors.As(err, &pgErr) && pgErr.Code != "08007":
		return outcomeNotCommitted
	}
	return outcomeUnknown
}

func entryName(name string, i int) string { return fmt.Sprintf("%s, entry %d", name, i) }

// checkAtomic wants a transaction's entries to stand next to each other, once,
// where it was committed, and nowhere where it was not.
func (s *scenario) checkAtomic(ledger []string, name string, outcome clientOutcome) {
	s.Helper()
	var expected, found []string
	start := slices.Index(ledger, entryName(name, 0))
	for i := range entriesPerTransaction {
		expected = append(expected, entryName(name, i))
	}
	if start >= 0 {
		found = ledger[start:min(start+entriesPerTransaction, len(ledger))]
	}
	count := 0
	for _, entry := range ledger {
		if slices.Contains(expected, entry) {
			count++
		}
	}
	isComplete := count == entriesPerTransaction && slices.Equal(expected, found)
	isAbsent := count == 0
	if outcome == outcomeCommitted && !isComplete || outcome == outcomeNotCommitted && !isAbsent || !isComplete && !isAbsent {
		s.Errorf("%s: told %d, %d entries in the ledger, the first of them in %q", name, outcome, count, found)
	}
}
