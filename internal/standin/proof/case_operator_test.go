package proof_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// Exit codes of the command "submit".
const (
	exitSuccess  = 0
	exitConflict = 3
	exitUnknown  = 5
)

// submit runs the command "submit" and returns its exit code.
func (s *scenario) submit(instance *deploy.Instance, text string, expected uint64) int {
	s.Helper()
	file := filepath.Join(s.TempDir(), "manifest.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.Error(err)
	}
	_, err := s.RunOperatorCommand(s.ctx, instance, "submit", file, "--expected", fmt.Sprint(expected))
	return exitCode(err)
}

// exitCode returns the exit code of the command that returned err.
func exitCode(err error) int {
	var failed *deploy.ProcessError
	if errors.As(err, &failed) {
		return failed.ExitCode
	}
	return exitSuccess
}

// awaitInForce waits until a manifest is in force on each instance.
func (s *scenario) awaitInForce(number uint64, digest string) {
	s.Helper()
	s.awaitStatus(fmt.Sprintf("manifest %d in force", number), func(report status.Status) bool {
		return report.ManifestNumber == number && report.ManifestDigest == digest
	})
}

// competingManifests returns two different manifests.
func (s *scenario) competingManifests(round uint64) []string {
	return []string{
		fmt.Sprintf("%s# first, round %d\n", s.ManifestText(), round),
		fmt.Sprintf("%s# second, round %d\n", s.ManifestText(), round),
	}
}

// concurrentSubmissions submits two manifests concurrently, both based on the same
// number. Exactly one must be accepted, and that one must be in force everywhere.
func concurrentSubmissions(s *scenario) {
	const rounds = 5
	for number := uint64(1); number <= rounds; number++ {
		texts := s.competingManifests(number)
		exitCodes := make([]int, len(texts))
		done := make(chan struct{})
		for i, text := range texts {
			go func() {
				defer func() { done <- struct{}{} }()
				exitCodes[i] = s.submit(s.Instances[i], text, number)
			}()
		}
		for range texts {
			<-done
		}
		s.checkEqual("exit codes", []int{exitSuccess, exitConflict}, slices.Sorted(slices.Values(exitCodes)))
		winner := max(0, slices.Index(exitCodes, exitSuccess))
		s.awaitInForce(number+1, manifest.Digest([]byte(texts[winner])))
	}
	s.checkService()
}

// responsesLostInSubmission loses the platform's response to a submission that took
// effect, and checks the exit code that the operator received against the manifest in
// force afterwards.
func responsesLostInSubmission(s *scenario) {
	texts := s.competingManifests(1)
	exits := make(chan int)
	s.loseWriteResponses(func() {
		go func() { exits <- s.submit(s.Instances[0], texts[0], 1) }()
	})
	code := <-exits
	s.Logf("the submission ended with exit code %d", code)
	number := uint64(1)
	switch code {
	case exitSuccess:
		s.awaitInForce(2, manifest.Digest([]byte(texts[0])))
		number = 2
	case exitUnknown:
		if s.submit(s.Instances[1], texts[0], 1) == exitConflict {
			s.awaitInForce(2, manifest.Digest([]byte(texts[0])))
		}
		number = 2
	}
	s.checkEqual("exit code of the next submission", exitSuccess, s.submit(s.Instances[1], texts[1], number))
	s.awaitInForce(number+1, manifest.Digest([]byte(texts[1])))
	s.checkService()
}

// restartInOutage restarts an instance while the platform is down. The instance must get
// the manifest from its peers.
func restartInOutage(s *scenario) {
	s.injectPlatformFault("outage")
	s.runUnderLoad(func() {
		s.Instances[2].Process.Kill()
		s.requireNoError(s.StartInstance(s.Instances[2]))
		s.requireNoError(s.AwaitServing(s.ctx))
	})
	s.awaitInForce(1, manifest.Digest([]byte(s.ManifestText())))
	s.checkService()
	s.injectPlatformFault("none")
	s.checkService()
}

// logbookRecordsFailover checks that each instance prints the record of a failover, also
// while the platform is down.
func logbookRecordsFailover(s *scenario) {
	s.Databases[0].Process.Kill()
	primary := s.awaitPromotion()
	s.checkRecords(primary)
	s.injectPlatformFault("outage")
	s.checkRecords(primary)
}

// checkRecords checks that each instance's logbook holds two records: the primary found
// at first, and the failover to the given primary.
func (s *scenario) checkRecords(primary *deploy.Database) {
	s.Helper()
	for _, instance := range s.Instances {
		const recordCount = 2
		s.await("records at "+instance.Name, func() bool { return len(s.records(instance)) >= recordCount })
		records := s.records(instance)
		s.checkEqual("number of records", recordCount, len(records))
		s.checkEqual("first primary", s.Databases[0].Name, records[0].Primary)
		s.checkFailoverRecord(instance, records[1], primary)
	}
}

// checkFailoverRecord checks that a record, in its JSON and its text form, describes the
// failover and its evidence.
func (s *scenario) checkFailoverRecord(instance *deploy.Instance, record engine.PromotionRecord, primary *deploy.Database) {
	s.Helper()
	s.checkEqual("group", group, record.Group)
	s.checkEqual("previous primary", s.Databases[0].Name, record.PreviousPrimary)
	s.checkEqual("primary", primary.Name, record.Primary)
	s.checkEqual("term", s.databaseState(primary).Term, record.Term)
	if len(record.Evidence) == 0 || len(record.FencedDatabases) < 2 || record.Coordinator == "" || record.PromotedAt.IsZero() {
		s.Errorf("%s: the record lacks evidence, fenced databases, coordinator or time: %+v", instance.Name, record)
	}
	out, err := s.RunOperatorCommand(s.ctx, instance, "logbook")
	s.requireNoError(err)
	for _, wanted := range append([]string{"evidence: ", "reason: ", string(record.Primary)}, record.Evidence...) {
		if !strings.Contains(out, wanted) {
			s.Errorf("%s: the logbook does not hold %q:\n%s", instance.Name, wanted, out)
		}
	}
}

// records returns the records of an instance's logbook, read in its JSON form.
func (s *scenario) records(instance *deploy.Instance) []engine.PromotionRecord {
	s.Helper()
	out, err := s.RunOperatorCommand(s.ctx, instance, "logbook", "--json")
	s.requireNoError(err)
	var logbook struct {
		Records []engine.PromotionRecord `json:"records"`
	}
	s.requireNoError(json.Unmarshal([]byte(out), &logbook))
	return logbook.Records
}
