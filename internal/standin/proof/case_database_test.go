package proof_test

import (
	"fmt"
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
)

// ioError is the SQLSTATE of the errors that a database with the fault "err" returns.
const ioError = "58030"

// connectionsUnresponsive makes the open connections of all databases unresponsive.
func connectionsUnresponsive(s *scenario) {
	s.runUnderLoad(func() {
		for _, d := range s.Databases {
			s.injectFault(d, database.FaultRequest{Fault: "silent"})
		}
	})
	s.checkService()
}

// replicaLeaves lets a replica announce that it is leaving.
func replicaLeaves(s *scenario) {
	s.checkDeparture(s.Databases[1], func() {
		s.injectFault(s.Databases[1], database.FaultRequest{Fault: "leave", Grace: "30s"})
	})
}

// replicaLeavesByManifest declares a replica as leaving in the manifest only; the
// database itself does not announce it.
func replicaLeavesByManifest(s *scenario) {
	leaving := s.Databases[1]
	name := fmt.Sprintf("name = %q\n", leaving.Name)
	text := strings.Replace(s.ManifestText(), name, name+"leaving = true\n", 1)
	s.checkDeparture(leaving, func() { s.checkEqual("exit code", exitSuccess, s.submit(s.Instances[0], text, 1)) })
}

// checkDeparture checks that a leaving replica receives no new work. Once it has no
// requests left, it answers every statement with an error, so that a caller would see
// any statement that is still sent there.
func (s *scenario) checkDeparture(leaving *deploy.Database, startDeparture func()) {
	s.Helper()
	report := s.runUnderLoad(func() {
		startDeparture()
		s.awaitNoRequests(leaving)
		s.injectFault(leaving, database.FaultRequest{Fault: "err", Share: 1})
	})
	s.checkNoneEndedWith(report, ioError)
	s.checkService()
}

// primaryLeaves checks that a leaving primary is replaced by a planned failover and
// receives no new work afterwards.
func primaryLeaves(s *scenario) {
	leaving := s.Databases[0]
	report := s.runUnderLoad(func() {
		s.injectFault(leaving, database.FaultRequest{Fault: "leave", Grace: "30s"})
		s.awaitPromotion()
		s.awaitNoRequests(leaving)
		s.injectFault(leaving, database.FaultRequest{Fault: "err", Share: 1})
	})
	s.checkNoneEndedWith(report, ioError)
	s.checkService()
	out, err := s.RunOperatorCommand(s.ctx, s.Instances[0], "logbook")
	s.requireNoError(err)
	if !strings.Contains(out, "reason: primary leaving") {
		s.Errorf("the logbook does not hold the reason of the failover:\n%s", out)
	}
}

// awaitNoRequests waits until each instance knows that a database is leaving and has no
// requests running there.
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

// checkNoneEndedWith checks that no statement ended with the given cause.
func (s *scenario) checkNoneEndedWith(report load.Report, cause string) {
	s.Helper()
	for name, kind := range report.Kinds {
		s.checkEqual(name+" with "+cause, int64(0), kind.Causes[cause])
	}
}
