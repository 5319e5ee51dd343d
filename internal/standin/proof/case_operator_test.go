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

// The exit codes of a submission.
const (
	exitDone     = 0
	exitConflict = 3
	exitUnknown  = 5
)

// submit runs the verb and returns its exit code.
func (s *stage) submit(in *deploy.Instance, text string, expected uint64) int {
	s.Helper()
	file := filepath.Join(s.TempDir(), "manifest.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.Error(err)
	}
	_, err := s.RunOperatorCommand(s.ctx, in, "submit", file, "--expected", fmt.Sprint(expected))
	return exitOf(err)
}

func exitOf(err error) int {
	var failed *deploy.ProcessError
	if errors.As(err, &failed) {
		return failed.ExitCode
	}
	return exitDone
}

// awaitInForce waits until a manifest is in force on each instance.
func (s *stage) awaitInForce(number uint64, digest string) {
	s.Helper()
	s.awaitStatus(fmt.Sprintf("manifest %d in force", number), func(report status.Status) bool {
		return report.ManifestNumber == number && report.ManifestDigest == digest
	})
}

// rivals returns two manifests that differ.
func (s *stage) rivals(round uint64) []string {
	return []string{
		fmt.Sprintf("%s# first, round %d\n", s.ManifestText(), round),
		fmt.Sprintf("%s# second, round %d\n", s.ManifestText(), round),
	}
}

// operatorsRace submits two manifests against the same number at once.
func operatorsRace(s *stage) {
	const rounds = 5
	for number := uint64(1); number <= rounds; number++ {
		texts := s.rivals(number)
		exits := make([]int, len(texts))
		ended := make(chan struct{})
		for i, text := range texts {
			go func() {
				defer func() { ended <- struct{}{} }()
				exits[i] = s.submit(s.Instances[i], text, number)
			}()
		}
		for range texts {
			<-ended
		}
		s.equal("exit codes", []int{exitDone, exitConflict}, slices.Sorted(slices.Values(exits)))
		winner := max(0, slices.Index(exits, exitDone))
		s.awaitInForce(number+1, manifest.Digest([]byte(texts[winner])))
	}
	s.serves()
}

// answersLostInSubmission holds what the operator was told against what is in
// force afterwards.
func answersLostInSubmission(s *stage) {
	texts := s.rivals(1)
	ended := make(chan int)
	s.loseWrites(func() {
		go func() { ended <- s.submit(s.Instances[0], texts[0], 1) }()
	})
	exit := <-ended
	s.Logf("the submission ended with exit code %d", exit)
	number := uint64(1)
	switch exit {
	case exitDone:
		s.awaitInForce(2, manifest.Digest([]byte(texts[0])))
		number = 2
	case exitUnknown:
		if s.submit(s.Instances[1], texts[0], 1) == exitConflict {
			s.awaitInForce(2, manifest.Digest([]byte(texts[0])))
		}
		number = 2
	}
	s.equal("exit code of the next submission", exitDone, s.submit(s.Instances[1], texts[1], number))
	s.awaitInForce(number+1, manifest.Digest([]byte(texts[1])))
	s.serves()
}

// restartInOutage starts an instance anew while the platform is down: it has
// the manifest from its peers.
func restartInOutage(s *stage) {
	s.failPlatform("outage")
	s.under(func() {
		s.Instances[2].Process.Kill()
		s.must(s.StartInstance(s.Instances[2]))
		s.must(s.AwaitServing(s.ctx))
	})
	s.awaitInForce(1, manifest.Digest([]byte(s.ManifestText())))
	s.serves()
	s.failPlatform("none")
	s.serves()
}

// logbookTells prints the change of primary, also while the platform is down.
func logbookTells(s *stage) {
	s.Databases[0].Process.Kill()
	primary := s.awaitPromotion()
	s.wantRecords(primary)
	s.failPlatform("outage")
	s.wantRecords(primary)
}

// wantRecords wants each instance to tell which primary was found at first, and
// of the one change since.
func (s *stage) wantRecords(primary *deploy.Database) {
	s.Helper()
	for _, in := range s.Instances {
		const wanted = 2
		s.await("records at "+in.Name, func() bool { return len(s.records(in)) >= wanted })
		records := s.records(in)
		s.equal("number of records", wanted, len(records))
		s.equal("first primary", s.Databases[0].Name, records[0].Primary)
		s.wantChange(in, records[1], primary)
	}
}

// wantChange wants a record, in JSON and in text, to tell of the change and its
// evidence.
func (s *stage) wantChange(in *deploy.Instance, record engine.PromotionRecord, primary *deploy.Database) {
	s.Helper()
	s.equal("group", group, record.Group)
	s.equal("primary before", s.Databases[0].Name, record.PreviousPrimary)
	s.equal("primary", primary.Name, record.Primary)
	s.equal("term", s.state(primary).Term, record.Term)
	if len(record.Evidence) == 0 || len(record.FencedDatabases) < 2 || record.Coordinator == "" || record.PromotedAt.IsZero() {
		s.Errorf("%s: the record lacks evidence, fences, conductor or time: %+v", in.Name, record)
	}
	out, err := s.RunOperatorCommand(s.ctx, in, "logbook")
	s.must(err)
	for _, wanted := range append([]string{"evidence: ", "reason: ", string(record.Primary)}, record.Evidence...) {
		if !strings.Contains(out, wanted) {
			s.Errorf("%s: the logbook does not tell %q:\n%s", in.Name, wanted, out)
		}
	}
}

// records returns an instance's logbook from its JSON form.
func (s *stage) records(in *deploy.Instance) []engine.PromotionRecord {
	s.Helper()
	out, err := s.RunOperatorCommand(s.ctx, in, "logbook", "--json")
	s.must(err)
	var book struct {
		Records []engine.PromotionRecord `json:"records"`
	}
	s.must(json.Unmarshal([]byte(out), &book))
	return book.Records
}
