package proof_test

import (
	"slices"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
)

// instanceKilled kills an instance between a write and its COMMIT.
func instanceKilled(s *stage) {
	const entry = "written by a transaction that was cut off"
	conn := s.connect(s.Instances[0], map[string]string{"eelgrassfold.kind": "post"})
	defer s.disconnect(conn)
	s.execute(conn, "BEGIN", "INSERT INTO ledger (entry) VALUES ('"+entry+"')")
	s.under(func() { s.Instances[0].Process.Kill() })
	if _, err := conn.Exec(s.ctx, "COMMIT"); err == nil {
		s.Error("a transaction was committed through an instance that was killed")
	}
	s.serves()
	s.must(s.StartInstance(s.Instances[0]))
	s.must(s.AwaitServing(s.ctx))
	s.serves()
	for _, d := range s.Databases {
		if slices.Contains(s.content(d).Ledger, entry) {
			s.Errorf("%s holds an entry that was not committed", d.Name)
		}
	}
}

// instancePaused pauses an instance before the primary is cut off, and lets it
// go on when another primary is in its place: what it knows is out of date, and
// the old primary still takes its connections.
func instancePaused(s *stage) {
	s.under(func() {
		s.must(s.Instances[2].Process.Pause())
		s.fail(s.Databases[0], database.FaultRequest{Fault: "isolate", From: []string{
			string(s.Databases[1].Name), string(s.Databases[2].Name),
		}})
		s.await("a promotion", func() bool {
			return s.state(s.Databases[1]).Role == "primary" || s.state(s.Databases[2]).Role == "primary"
		})
		s.must(s.Instances[2].Process.Resume())
		s.awaitPromotion()
		s.fail(s.Databases[0], database.FaultRequest{Fault: "none"})
	})
	s.serves()
	s.awaitOneHistory()
}

func instanceTerminated(s *stage) {
	s.endsCleanly(s.Instances[2].Process.Stop)
}

func instanceDrained(s *stage) {
	s.endsCleanly(func() error {
		if _, err := s.RunOperatorCommand(s.ctx, s.Instances[2], "drain"); err != nil {
			return err
		}
		return s.Instances[2].Process.Wait(s.ctx)
	})
}

// endsCleanly ends the last instance under load and with a transaction open,
// which has to come to its end.
func (s *stage) endsCleanly(end func() error) {
	s.Helper()
	const entry = "written by a transaction that the end met"
	conn := s.connect(s.Instances[2], map[string]string{"eelgrassfold.kind": "post"})
	s.execute(conn, "BEGIN", "INSERT INTO ledger (entry) VALUES ('"+entry+"')")
	report := s.under(func() {
		ended := make(chan error, 1)
		go func() { ended <- end() }()
		s.await("the drain", func() bool {
			report, err := s.Status(s.ctx, s.Instances[2])
			return err == nil && report.Draining
		})
		s.execute(conn, "SELECT work('2s')", "COMMIT")
		s.disconnect(conn)
		s.must(<-ended)
	})
	s.wantCleanCloses(report)
	s.serves()
	if !slices.Contains(s.content(s.Databases[0]).Ledger, entry) {
		s.Error("a transaction that was acknowledged is lost")
	}
}

// cleanCauses are what a caller may see of an instance that ends: its
// connection is closed between two requests, and new ones are refused.
var cleanCauses = []string{"57P01", "connect", "unsent"}

// wantCleanCloses wants no request to have been cut off.
func (s *stage) wantCleanCloses(report load.Report) {
	s.Helper()
	for name, kind := range report.Kinds {
		s.equal(name+" with unknown outcome", int64(0), kind.Unknown)
		for cause, count := range kind.Causes {
			if !slices.Contains(cleanCauses, cause) {
				s.Errorf("%s: %d ended with %s", name, count, cause)
			}
		}
	}
}
