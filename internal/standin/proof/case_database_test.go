package proof_test

import (
	"fmt"
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
)

// ioError is the SQLSTATE of the fault "err".
const ioError = "58030"

func connectionsSilent(s *stage) {
	s.under(func() {
		for _, d := range s.Databases {
			s.fail(d, database.FaultRequest{Fault: "silent"})
		}
	})
	s.serves()
}

func replicaLeaves(s *stage) {
	s.leaves(s.Databases[1], func() {
		s.fail(s.Databases[1], database.FaultRequest{Fault: "leave", Grace: "30s"})
	})
}

// replicaLeavesByManifest declares the departure; the database says nothing.
func replicaLeavesByManifest(s *stage) {
	leaving := s.Databases[1]
	name := fmt.Sprintf("name = %q\n", leaving.Name)
	text := strings.Replace(s.ManifestText(), name, name+"leaving = true\n", 1)
	s.leaves(leaving, func() { s.equal("exit code", exitDone, s.submit(s.Instances[0], text, 1)) })
}

// leaves lets every statement at the replica fail once it has no work, so that
// new work there would be seen by a caller.
func (s *stage) leaves(leaving *deploy.Database, leave func()) {
	s.Helper()
	report := s.under(func() {
		leave()
		s.awaitNoWork(leaving)
		s.fail(leaving, database.FaultRequest{Fault: "err", Share: 1})
	})
	s.wantNoCause(report, ioError)
	s.serves()
}

// primaryLeaves wants a planned change of primary besides.
func primaryLeaves(s *stage) {
	leaving := s.Databases[0]
	report := s.under(func() {
		s.fail(leaving, database.FaultRequest{Fault: "leave", Grace: "30s"})
		s.awaitPromotion()
		s.awaitNoWork(leaving)
		s.fail(leaving, database.FaultRequest{Fault: "err", Share: 1})
	})
	s.wantNoCause(report, ioError)
	s.serves()
	out, err := s.RunOperatorCommand(s.ctx, s.Instances[0], "logbook")
	s.must(err)
	if !strings.Contains(out, "reason: primary leaving") {
		s.Errorf("the logbook does not tell why:\n%s", out)
	}
}

// awaitNoWork waits until each instance has heard that a database leaves and
// has no request there.
func (s *stage) awaitNoWork(leaving *deploy.Database) {
	s.Helper()
	s.awaitStatus("no work at the leaving database", func(report status.Status) bool {
		for _, d := range report.Groups[0].Databases {
			if d.Name == string(leaving.Name) {
				return d.Leaving && d.RunningRequests == 0
			}
		}
		return false
	})
}

// wantNoCause wants no statement to have ended for a cause.
func (s *stage) wantNoCause(report load.Report, cause string) {
	s.Helper()
	for name, kind := range report.Kinds {
		s.equal(name+" with "+cause, int64(0), kind.Causes[cause])
	}
}
