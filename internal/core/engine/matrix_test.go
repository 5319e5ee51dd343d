package engine_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var update = flag.Bool("update", false, "write the golden files again")

// faultDuration is the duration of a temporary fault.
const faultDuration = 5 * time.Second

// -----------------------------------------------------------------------------
// Faults: one entry each.

type fault struct {
	name string
	// trigger triggers the fault; n is the instance at whose step it happens.
	trigger func(w *world, n *node)
}

var faults = []fault{
	{"none", func(*world, *node) {}},
	{"primary killed", func(w *world, _ *node) { w.primary().dead = true }},
	{"primary frozen 5 s", func(w *world, _ *node) {
		d := w.primary()
		d.frozen = true
		w.after(faultDuration, d.unfreeze)
	}},
	{"primary cut off 5 s", func(w *world, _ *node) {
		d := w.primary()
		w.partitionFor(faultDuration, []string{string(d.name)}, w.names(string(d.name)))
	}},
	{"primary cut from replicas 5 s", func(w *world, _ *node) {
		d := w.primary()
		w.partitionFor(faultDuration, []string{string(d.name)}, w.replicaNames(d))
	}},
	{"one replica cut from primary 5 s", func(w *world, _ *node) {
		w.partitionFor(faultDuration, []string{string(w.primary().name)}, []string{string(w.replica().name)})
	}},
	{"zone cut off 5 s", func(w *world, n *node) {
		zone := []string{n.name, fmt.Sprintf("d%d", (instanceIndex(n.name)-1)%3+1)}
		w.partitionFor(faultDuration, zone, w.names(zone...))
	}},
	{"replicas 5 s behind", func(w *world, _ *node) {
		for _, d := range w.databases {
			d.lag = faultDuration
		}
	}},
	{"replica killed", func(w *world, _ *node) { w.replica().dead = true }},
	{"two databases killed", func(w *world, _ *node) {
		w.replica().dead = true
		w.primary().dead = true
	}},
	{"instance killed", func(_ *world, n *node) { n.dead = true }},
	{"instance paused 4 s", func(w *world, n *node) {
		n.paused = true
		w.after(4*time.Second, n.resume)
	}},
	{"platform down 5 s", func(w *world, _ *node) {
		w.platform.down = true
		w.after(faultDuration, func() { w.platform.down = false })
	}},
	{"platform slow 0.8 s", func(w *world, _ *node) { w.platform.responseDelay = 800 * time.Millisecond }},
	{"platform's answer lost", func(w *world, _ *node) { w.platform.responsesToLose = 1 }},
	{"messages late and out of order", func(w *world, _ *node) {
		w.maxExtraDelay = 40 * time.Millisecond
		w.after(faultDuration, func() { w.maxExtraDelay = 0 })
	}},
	{"rival manifest", func(w *world, n *node) {
		other := w.nodes[instanceIndex(n.name)%len(w.nodes)]
		other.deliverEvent(message.ManifestSubmitted{CorrelationID: 2, Body: []byte(testManifest + "# rival\n"), ExpectedNumber: 1, Submitter: "rival"})
	}},
	{"flood of the least urgent", func(w *world, n *node) { w.flood(n, "pull") }},
	{"flood of the most urgent", func(w *world, n *node) { w.flood(n, "post") }},
	{"connections silent", func(w *world, n *node) {
		for _, d := range w.databases {
			d.unresponsiveTo[n.name] = true
		}
	}},
}

// flood sends far more requests at once than the group can serve.
func (w *world) flood(n *node, kind string) {
	const count = 400
	for range count {
		w.newRequest(n, kind, fmt.Sprintf("f%d", len(w.callers)), model.Token{})
	}
}

// names returns the names of the platform, the databases and the instances, without
// the excluded ones.
func (w *world) names(excluded ...string) []string {
	names := []string{"platform"}
	for _, d := range w.databases {
		names = append(names, string(d.name))
	}
	for _, n := range w.nodes {
		names = append(names, n.name)
	}
	var remaining []string
	for _, name := range names {
		if !contains(excluded, name) {
			remaining = append(remaining, name)
		}
	}
	return remaining
}

func contains(list []string, name string) bool {
	for _, other := range list {
		if other == name {
			return true
		}
	}
	return false
}

func (w *world) replicaNames(primary *fakeDatabase) []string {
	var names []string
	for _, d := range w.databases {
		if d != primary {
			names = append(names, string(d.name))
		}
	}
	return names
}

// replica returns the first database that is alive and not a primary.
func (w *world) replica() *fakeDatabase {
	for _, d := range w.databases {
		if d.role != model.RolePrimary && !d.dead {
			return d
		}
	}
	return w.databases[2]
}

// partitionFor breaks the links between the two sides and restores just these after
// a while.
func (w *world) partitionFor(d time.Duration, one, other []string) {
	w.partition(one, other)
	w.after(d, func() {
		for _, a := range one {
			for _, b := range other {
				delete(w.brokenLinks, [2]string{a, b})
			}
		}
	})
}

// -----------------------------------------------------------------------------
// Steps: when the fault is triggered, and which operation is observed.

type step struct {
	name string
	// setup starts the operation and returns a function that returns its result at
	// the end of the test. It must arrange that trigger is called once, at the
	// step.
	setup func(w *world, trigger func(n *node)) func() string
}

// atAction triggers the fault before the first matching action is carried out.
func atAction(w *world, trigger func(n *node), matches func(n *node, action message.Action) bool) {
	triggered := false
	w.onAction = func(n *node, action message.Action) {
		if !triggered && matches(n, action) {
			triggered = true
			trigger(n)
		}
	}
}

// atEvent triggers the fault before the first matching event is delivered.
func atEvent(w *world, trigger func(n *node), matches func(incoming message.Event) bool) {
	triggered := false
	w.onEvent = func(n *node, incoming message.Event) {
		if !triggered && matches(incoming) {
			triggered = true
			trigger(n)
		}
	}
}

func (c *fakeCaller) cell() string {
	if c.result == resultNone {
		return string(resultConnectionLost)
	}
	cell := string(c.result)
	if c.result == resultNotRun {
		cell += " (" + c.detail + ")"
	}
	return fmt.Sprintf("%s %.1f s", cell, c.endedAt.Sub(c.startedAt).Seconds())
}

// requestStep triggers the fault at an action or event of one request.
func requestStep(name string, send func(w *world) *fakeCaller, arrange func(w *world, trigger func(n *node))) step {
	return step{name: name, setup: func(w *world, trigger func(n *node)) func() string {
		arrange(w, trigger)
		return send(w).cell
	}}
}

func newRead(kind string) func(w *world) *fakeCaller {
	return func(w *world) *fakeCaller { return w.newRequest(w.node("i1"), kind, "", model.Token{}) }
}

func newWrite(w *world) *fakeCaller {
	return w.newRequest(w.node("i1"), "post", "watched", model.Token{})
}

func newWatchedTransaction(w *world) *fakeCaller { return w.newTransaction(w.node("i1"), "watched") }

func isDispatch(_ *node, action message.Action) bool {
	_, ok := action.(message.Dispatch)
	return ok
}

func isAwait(n *node, action message.Action) bool {
	_, ok := action.(message.AwaitPosition)
	return ok && n.name == "i1"
}

// writesRow returns a function that reports whether an action writes a row of the
// table whose body contains the text.
func writesRow(table, text string) func(*node, message.Action) bool {
	return func(_ *node, action message.Action) bool {
		write, ok := action.(message.WriteRows)
		return ok && write.Rows[0].Table == table && strings.Contains(string(write.Rows[0].Body), text)
	}
}

func atDispatch(w *world, trigger func(n *node)) { atAction(w, trigger, isDispatch) }

// promotionStep kills the primary and triggers the fault at a step of the failover.
func promotionStep(name string, matches func(*node, message.Action) bool) step {
	return step{name: name, setup: func(w *world, trigger func(n *node)) func() string {
		atAction(w, trigger, matches)
		w.primary().dead = true
		return w.newRequest(w.node("i2"), "post", "watched", model.Token{}).cell
	}}
}

// submitStep submits a manifest at i1 and triggers the fault at a step of the
// submission.
func submitStep(name string, matches func(*node, message.Action) bool) step {
	return step{name: name, setup: func(w *world, trigger func(n *node)) func() string {
		atAction(w, trigger, matches)
		n := w.node("i1")
		n.deliverEvent(message.ManifestSubmitted{CorrelationID: 1, Body: []byte(testManifest + "# second\n"), ExpectedNumber: 1, Submitter: "pipeline"})
		return func() string { return w.submitCell(n) }
	}}
}

// submitCell returns the result of the submission and the number of the manifest in
// force on each live instance.
func (w *world) submitCell(n *node) string {
	cell := string(resultConnectionLost)
	if decided, found := n.decided[1]; found {
		cell = decided.Result.String()
	}
	var numbers []string
	for _, other := range w.nodes {
		if !other.dead {
			numbers = append(numbers, fmt.Sprint(other.number))
		}
	}
	return cell + ", in force " + strings.Join(numbers, " ")
}

// drainStep drains i1 with a write in flight.
var drainStep = step{name: "shutdown: a write in flight", setup: func(w *world, trigger func(n *node)) func() string {
	c := newWrite(w)
	n := w.node("i1")
	n.deliverEvent(message.DrainRequested{})
	trigger(n)
	return func() string {
		drained := "still draining"
		if n.drained {
			drained = "left"
		}
		return c.cell() + ", " + drained
	}
}}

var steps = []step{
	requestStep("read: waits for a barrier", newRead("check"), func(w *world, trigger func(n *node)) {
		atEvent(w, trigger, func(incoming message.Event) bool {
			_, ok := incoming.(message.RequestArrived)
			return ok
		})
	}),
	requestStep("read: sent", newRead("check"), atDispatch),
	requestStep("read with a bound of 2 s: sent", newRead("pull"), atDispatch),
	requestStep("write: arrived", newWrite, func(w *world, trigger func(n *node)) {
		atEvent(w, trigger, func(incoming message.Event) bool {
			_, ok := incoming.(message.RequestArrived)
			return ok
		})
	}),
	requestStep("write: sent", newWrite, atDispatch),
	requestStep("write: committed, not durable", newWrite, func(w *world, trigger func(n *node)) { atAction(w, trigger, isAwait) }),
	requestStep("transaction: BEGIN sent", newWatchedTransaction, atDispatch),
	requestStep("transaction: open", newWatchedTransaction, func(w *world, trigger func(n *node)) {
		atDispatch(w, func(n *node) { w.after(statementTime*5, func() { trigger(n) }) })
	}),
	requestStep("transaction: COMMIT sent", newWatchedTransaction, func(w *world, trigger func(n *node)) {
		atDispatch(w, func(n *node) { w.after(statementTime*7+statementTime/2, func() { trigger(n) }) })
	}),
	promotionStep("promotion: row read", func(n *node, action message.Action) bool {
		read, ok := action.(message.ReadRow)
		return ok && read.Table == "groups" && n.world.primary().dead
	}),
	promotionStep("promotion: claim written", writesRow("groups", "claimed")),
	promotionStep("promotion: fences sent", func(_ *node, action message.Action) bool {
		_, ok := action.(message.Fence)
		return ok
	}),
	promotionStep("promotion: promote sent", func(_ *node, action message.Action) bool {
		_, ok := action.(message.Promote)
		return ok
	}),
	promotionStep("promotion: record written", writesRow("groups", "promoted")),
	submitStep("submit: body stored", func(_ *node, action message.Action) bool {
		_, ok := action.(message.WriteObject)
		return ok
	}),
	submitStep("submit: row written", writesRow("manifest", "")),
	drainStep,
}

// -----------------------------------------------------------------------------
// The matrix.

// runCell triggers one fault at one step during mixed requests of other callers,
// and checks the whole history.
func runCell(t *testing.T, s step, trigger func(w *world, n *node)) string {
	t.Helper()
	w := newWorld(t, 3)
	w.t = t
	w.mixedWork(200 * time.Millisecond)
	cell := s.setup(w, func(n *node) { trigger(w, n) })
	w.mixedWork(4 * time.Second)
	w.run(16 * time.Second)
	w.onAction, w.onEvent = nil, nil
	w.checkHistory()
	return cell()
}

// mixedWork sends writes and reads through the instances, one every 40 ms.
func (w *world) mixedWork(d time.Duration) {
	const pause = 40 * time.Millisecond
	kinds := []string{"post", "check", "pull"}
	for i, end := 0, w.now.Add(d); w.now.Before(end); i++ {
		n := w.nodes[i%len(w.nodes)]
		if !n.dead && !n.drained && !n.paused {
			kind := kinds[i/len(w.nodes)%len(kinds)]
			w.newRequest(n, kind, fmt.Sprintf("v%d", len(w.callers)), model.Token{})
			w.readWithTokens(n)
		}
		w.run(pause)
	}
}

// readWithTokens reads at an instance with the token of the last acknowledged write
// of any instance: once with the token on the session, and once with it on the
// statement.
func (w *world) readWithTokens(n *node) {
	for i := len(w.callers) - 1; i >= 0; i-- {
		if before := w.callers[i]; before.result == resultDone && before.kind == "post" {
			w.newRequest(n, "check", "", before.token).afterWrite = before
			w.newRoamingRequest(n, "check", before.token).afterWrite = before
			break
		}
	}
	// With an old token, only the staleness bound of 2 s requires a newer state.
	for _, first := range w.callers {
		if first.result == resultDone && first.kind == "post" {
			w.newRequest(n, "pull", "", first.token)
			return
		}
	}
}

func TestFaultMatrix(t *testing.T) {
	cells := make([][]string, len(steps))
	t.Run("cells", func(t *testing.T) {
		for i, s := range steps {
			cells[i] = make([]string, len(faults))
			for j, f := range faults {
				t.Run(s.name+"/"+f.name, func(t *testing.T) {
					t.Parallel()
					cells[i][j] = runCell(t, s, f.trigger)
				})
			}
		}
	})
	pairs := make([][]string, len(faults))
	t.Run("pairs", func(t *testing.T) {
		for i, first := range faults {
			pairs[i] = make([]string, len(faults))
			for j, second := range faults {
				t.Run(first.name+"/"+second.name, func(t *testing.T) {
					t.Parallel()
					pairs[i][j] = runCell(t, steps[4], func(w *world, n *node) {
						first.trigger(w, n)
						w.after(150*time.Millisecond, func() { second.trigger(w, n) })
					})
				})
			}
		}
	})
	compareGolden(t, filepath.Join("..", "..", "..", "docs", "FAULTS.md"), renderMatrix(cells, pairs))
}

func renderMatrix(cells, pairs [][]string) string {
	var b strings.Builder
	b.WriteString("# What a caller gets: every fault at every step\n\n" +
		"Generated by `go test ./internal/core/engine -run TestFaultMatrix -update`: the core of three instances in\n" +
		"front of one group of three databases on virtual time, while other callers send requests too. A cell shows\n" +
		"the result that the observed caller got, and when; in each cell the history of all callers is checked against\n" +
		"the final state of the group. For a submission the cell shows its result and the number of the manifest in\n" +
		"force on each remaining instance, 20 s later. \"connection lost\" is what the caller of a killed instance sees.\n\n")
	header := make([]string, 0, len(faults)+1)
	header = append(header, "step")
	for _, f := range faults {
		header = append(header, f.name)
	}
	writeRow(&b, header)
	writeRow(&b, strings.Split(strings.Repeat("---,", len(header)-1)+"---", ","))
	for i, s := range steps {
		writeRow(&b, append([]string{s.name}, cells[i]...))
	}
	b.WriteString("\n## Two faults\n\nThe first fault occurs when a write is sent, the second 150 ms later, at the same instance.\n\n")
	writeRow(&b, append([]string{"first, then"}, header[1:]...))
	writeRow(&b, strings.Split(strings.Repeat("---,", len(header)-1)+"---", ","))
	for i, f := range faults {
		writeRow(&b, append([]string{f.name}, pairs[i]...))
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells []string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// compareGolden compares a text with a golden file, or writes the file with
// -update.
func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}
