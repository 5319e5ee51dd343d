// Package proof injects faults into whole deployments of real processes, and compares
// the outcomes that callers received with the final content of the databases.
//
// # What flows in and out
//
// The binaries are built once by `go build`. Each case starts a deployment of its own,
// offers a small load with a fixed seed, injects its faults and checks the results. The
// checks rely on the answers that callers and operators received and on the content of
// the databases. The status that an instance reports is used only to wait until the
// instance has detected something. The cases measure no times; a time limit for the whole
// case turns a hang into a failure.
//
// # Usage
//
//	go test -race ./internal/standin/proof -run 'TestProof/primary_killed'
package proof_test

import (
	"os/exec"
	"testing"
)

// faultCase is one test case.
type faultCase struct {
	name string
	run  func(s *scenario)
}

// cases lists all cases. The files case_*_test.go implement them.
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

// maxConcurrentDeployments is the maximum number of deployments that run at once.
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

// buildBinaries builds the binaries into a temporary directory and returns its path.
func buildBinaries(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	out, err := exec.Command("go", "build", "-o", directory+"/", "../../../cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return directory
}
