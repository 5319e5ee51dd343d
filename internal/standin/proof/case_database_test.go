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

func connectionsUnresponsive(s *scenario) {
	s.runUnderLoad(func() {
		for _, d := range s.Databases {
			s.injectFault(d, database.FaultRequest{Fault: "silent"})
		}
	})
	s.requireService()
}

func replicaLeaves(s *scenario) {
	s.checkDeparture(s.Databases[1], func() {
		s.injectFault(s.Databases[1], database.FaultRequest{Fault: "leave", Grace: "30s"})
	})
}

// replicaLeavesByManifest declares the departure; the database says nothing.
func replicaLeavesByManifest(s *scenario) {
	leaving := s.Databases[1]
	name := fmt.Sprintf("name = %q\n", leaving.Name)
	text := strings.Replace(s.ManifestText(), name, name+"leaving = true\n", 1)
	s.checkDeparture(leaving, func() { s.checkEqual("exit code", exitSuccess, s.submit(s.Instances[0], text, 1)) })
}

// checkDeparture lets every statement at the replica fail once it has no work, so that
// new work there would be seen by a caller.
func (s *scenario) checkDeparture(leaving *deploy.Database, startDeparture func()) {
	s.Helper()
	report := s.runUnderLoad(func() {
		startDeparture()
		s.awaitNoRequests(leaving)
		s.injectFault(leaving, database.FaultRequest{Fault: "err", Share: 1})
	})
	s.checkNoCause(report, ioError)
	s.requireService()
}

// primaryLeaves wants a planned change of primary besides.
func primaryLeaves(s *scenario) {
	leaving := s.Databases[0]
	report := s.runUnderLoad(func() {
		s.injectFault(leaving, database.FaultRequest{Fault: "leave", Grace: "30s"})
		s.awaitPromotion()
		s.awaitNoRequests(leaving)
		s.injectFault(leaving, database.FaultRequest{Fault: "err", Share: 1})
	})
	s.checkNoCause(report, ioError)
	s.requireService()
	out, err := s.RunOperatorCommand(s.ctx, s.Instances[0], "logbook")
	s.requireNoError(err)
	if !strings.Contains(out, "reason: primary leaving") {
		s.Errorf("the logbook does not tell why:\n%s", out)
	}
}

// awaitNoRequests waits until each instance has heard that a database leaves and
// has no request there.
func (s *scenario) awaitNoRequests(leaving *deploy.Database) {
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

// checkNoCause wants no statement to have ended for a cause.
func (s *scenario) checkNoCause(report load.Report, cause string) {
	s.Helper()
	for name, kind := range report.Kinds {
		s.checkEqual(name+" with "+cause, int64(0), kind.Causes[cause])
	}
}
