// Package proof lets faults happen to whole deployments of real processes, and
// holds what callers were told against what the databases finally hold.
//
// # What flows in and out
//
// The binaries are built once by `go build`. Each case starts a deployment of
// its own, offers a small load with a fixed seed, lets its faults happen and
// judges. The verdict rests on what callers and operators were told and on the
// databases' content; an instance's own opinion serves only to wait until it
// has noticed something. Nothing is timed: a limit for the whole case turns a
// hang into a failure.
//
// # Usage
//
//	go test -race ./internal/standin/proof -run 'TestProof/primary_killed'
package proof_test

import (
	"os/exec"
	"testing"
)

// faultCase is one case of the table.
type faultCase struct {
	name string
	run  func(s *scenario)
}

// cases lists every case; the files case_*_test.go hold them.
var cases = []faultCase{
	{"primary killed", primaryKilled},
	{"primary frozen and thawed", primaryFrozen},
	{"primary isolated from its replicas", primaryIsolated},
	{"connections silent", connectionsUnresponsive},
	{"transactions side by side", concurrentTransactions},
	{"instance killed in a transaction", instanceKilled},
	{"instance paused through a change of primary", instancePaused},
	{"instance ended by SIGTERM", instanceTerminated},
	{"instance drained", instanceDrained},
	{"replica leaves", replicaLeaves},
	{"replica leaves by the manifest", replicaLeavesByManifest},
	{"primary leaves", primaryLeaves},
	{"instance restarted in an outage", restartInOutage},
	{"primary killed in an outage", primaryKilledInOutage},
	{"answers lost in a submission", responsesLostInSubmission},
	{"answers lost in a promotion", responsesLostInPromotion},
	{"operators race", concurrentSubmissions},
	{"logbook", logbookRecordsFailover},
}

// maxConcurrentDeployments is the number of deployments that run at once.
const maxConcurrentDeployments = 2

func TestProof(t *testing.T) {
	binaries := buildBinaries(t)
	semaphore := make(chan struct{}, maxConcurrentDeployments)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			t.Cleanup(func() { <-semaphore })
			c.run(newScenario(t, binaries))
		})
	}
}

// buildBinaries builds the binaries into a temporary directory and returns its name.
func buildBinaries(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	out, err := exec.Command("go", "build", "-o", directory+"/", "../../../cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return directory
}
