package engine_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// Another writer has replaced the rows of the manifest and of the group. The manifest
// in force stays, a new one can be submitted that replaces the row, and a failover
// still finds a term to claim.
func TestOddRows(t *testing.T) {
	for name, body := range map[string]string{
		"no object":    `[[[[`,
		"wrong types":  `{"number":"one","term":{}}`,
		"too large":    `{"number":1e400,"term":1e400}`,
		"no successor": `{"number":18446744073709551615,"term":18446744073709551615,"phase":"promoted"}`,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.platform.store("manifest/current", []byte(body))
			w.platform.store("groups/ratings", []byte(body))
			w.run(3 * time.Second)
			n := w.node("i1")
			n.deliverEvent(message.ManifestSubmitted{CorrelationID: 1, Body: []byte(testManifest + "# second\n"), ExpectedNumber: 1, Submitter: "pipeline"})
			w.run(10 * time.Second)
			if diff := cmp.Diff("ok, in force 2 2 2", w.submitCell(n)); diff != "" {
				t.Error(diff)
			}
			previous := w.primary()
			previous.dead = true
			w.run(10 * time.Second)
			if primary := w.primary(); primary == nil || primary == previous {
				t.Error("no new primary")
			}
		})
	}
}
