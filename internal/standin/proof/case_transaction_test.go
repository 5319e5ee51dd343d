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
	// writerCount is the number of sessions that run transactions concurrently,
	// transactionsPerWriter the number of transactions of each session, and
	// entriesPerTransaction the number of entries of each transaction.
	writerCount           = 9
	transactionsPerWriter = 20
	entriesPerTransaction = 3
)

// clientOutcome is the outcome of a transaction as its session knows it.
type clientOutcome int

const (
	outcomeUnknown clientOutcome = iota
	outcomeCommitted
	outcomeNotCommitted
)

// concurrentTransactions runs transactions through all instances and kills the primary
// meanwhile. All entries of a transaction must be in the ledger without other entries in
// between, or none of them, according to the outcome that its session received.
func concurrentTransactions(s *scenario) {
	results := make(chan map[string]clientOutcome, writerCount)
	for w := range writerCount {
		go func() { results <- s.runTransactions(s.Instances[w%len(s.Instances)], w) }()
	}
	s.await("transactions", func() bool { return len(s.databaseContent(s.Databases[0]).Ledger) >= entriesBeforeFault })
	s.Databases[0].Process.Kill()
	primary := s.awaitPromotion()
	committed := 0
	for range writerCount {
		for name, outcome := range <-results {
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
	s.checkService()
}

// runTransactions runs the transactions of one session and returns their outcomes by
// name. It connects again when the connection is lost.
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

// runTransaction appends entries to the ledger in one transaction and returns its
// outcome.
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

// entryName returns the i-th entry of a transaction.
func entryName(name string, i int) string { return fmt.Sprintf("%s, entry %d", name, i) }

// checkAtomic checks that all entries of a transaction are in the ledger once and next to
// each other if it was committed, and that none is if it was not. If the outcome is
// unknown, either is allowed.
func (s *scenario) checkAtomic(ledger []string, name string, outcome clientOutcome) {
	s.Helper()
	var expected, found []string
	firstIndex := slices.Index(ledger, entryName(name, 0))
	for i := range entriesPerTransaction {
		expected = append(expected, entryName(name, i))
	}
	if firstIndex >= 0 {
		found = ledger[firstIndex:min(firstIndex+entriesPerTransaction, len(ledger))]
	}
	present := 0
	for _, entry := range ledger {
		if slices.Contains(expected, entry) {
			present++
		}
	}
	isComplete := present == entriesPerTransaction && slices.Equal(expected, found)
	isAbsent := present == 0
	if outcome == outcomeCommitted && !isComplete || outcome == outcomeNotCommitted && !isAbsent || !isComplete && !isAbsent {
		s.Errorf("%s: outcome %d, %d entries in the ledger, beginning with %q", name, outcome, present, found)
	}
}
