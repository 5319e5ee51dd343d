package proof_test

import (
	"slices"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
)

// instanceKilled kills an instance between a write and its COMMIT. The write must not
// be committed.
func instanceKilled(s *scenario) {
	const entry = "written by an interrupted transaction"
	conn := s.connect(s.Instances[0], map[string]string{"eelgrassfold.kind": "post"})
	defer s.disconnect(conn)
	s.execute(conn, "BEGIN", "INSERT INTO ledger (entry) VALUES ('"+entry+"')")
	s.runUnderLoad(func() { s.Instances[0].Process.Kill() })
	if _, err := conn.Exec(s.ctx, "COMMIT"); err == nil {
		s.Error("COMMIT succeeded through an instance that was killed")
	}
	s.checkService()
	s.requireNoError(s.StartInstance(s.Instances[0]))
	s.requireNoError(s.AwaitServing(s.ctx))
	s.checkService()
	for _, d := range s.Databases {
		if slices.Contains(s.databaseContent(d).Ledger, entry) {
			s.Errorf("%s holds an entry of a transaction that was not committed", d.Name)
		}
	}
}

// instancePaused pauses an instance before the primary is partitioned from its replicas
// and resumes it after another database was promoted. The instance's state is then out
// of date, and the old primary still accepts its connections.
func instancePaused(s *scenario) {
	s.runUnderLoad(func() {
		s.requireNoError(s.Instances[2].Process.Pause())
		s.injectFault(s.Databases[0], database.FaultRequest{Fault: "isolate", From: []string{
			string(s.Databases[1].Name), string(s.Databases[2].Name),
		}})
		s.await("a promotion", func() bool {
			return s.databaseState(s.Databases[1]).Role == "primary" || s.databaseState(s.Databases[2]).Role == "primary"
		})
		s.requireNoError(s.Instances[2].Process.Resume())
		s.awaitPromotion()
		s.injectFault(s.Databases[0], database.FaultRequest{Fault: "none"})
	})
	s.checkService()
	s.awaitSameContent()
}

// instanceTerminated ends an instance by SIGTERM.
func instanceTerminated(s *scenario) {
	s.checkCleanShutdown(s.Instances[2].Process.Stop)
}

// instanceDrained drains an instance by the operator command.
func instanceDrained(s *scenario) {
	s.checkCleanShutdown(func() error {
		if _, err := s.RunOperatorCommand(s.ctx, s.Instances[2], "drain"); err != nil {
			return err
		}
		return s.Instances[2].Process.Wait(s.ctx)
	})
}

// checkCleanShutdown shuts down the last instance under load while a transaction is open.
// The transaction must still be able to commit, and callers may see only the errors of
// shutdownCauses.
func (s *scenario) checkCleanShutdown(shutDown func() error) {
	s.Helper()
	const entry = "written by a transaction open during the shutdown"
	conn := s.connect(s.Instances[2], map[string]string{"eelgrassfold.kind": "post"})
	s.execute(conn, "BEGIN", "INSERT INTO ledger (entry) VALUES ('"+entry+"')")
	report := s.runUnderLoad(func() {
		done := make(chan error, 1)
		go func() { done <- shutDown() }()
		s.await("the drain", func() bool {
			report, err := s.Status(s.ctx, s.Instances[2])
			return err == nil && report.Draining
		})
		s.execute(conn, "SELECT work('2s')", "COMMIT")
		s.disconnect(conn)
		s.requireNoError(<-done)
	})
	s.checkOnlyCleanErrors(report)
	s.checkService()
	if !slices.Contains(s.databaseContent(s.Databases[0]).Ledger, entry) {
		s.Error("an acknowledged transaction is lost")
	}
}

// shutdownCauses are the causes that a caller may see from an instance that shuts down:
// the connection is closed between two requests, and new connections are refused.
var shutdownCauses = []string{"57P01", "connect", "unsent"}

// checkOnlyCleanErrors checks that no request was interrupted: none has an unknown
// outcome, and all errors are among shutdownCauses.
func (s *scenario) checkOnlyCleanErrors(report load.Report) {
	s.Helper()
	for name, kind := range report.Kinds {
		s.checkEqual(name+" with unknown outcome", int64(0), kind.Unknown)
		for cause, count := range kind.Causes {
			if !slices.Contains(shutdownCauses, cause) {
				s.Errorf("%s: %d ended with %s", name, count, cause)
			}
		}
	}
}
