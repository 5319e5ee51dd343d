package drill

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// Soak injects randomly drawn faults, several at a time, into a deployment under load.
// It checks what callers, operators and databases see, and fails with a *SoakError.
type Soak struct {
	Seed      uint64   `help:"Seed of the first run." default:"1"`
	Seeds     uint64   `help:"Number of runs, with consecutive seeds." default:"1"`
	Minutes   float64  `help:"Length of one run." default:"0.5"`
	Processes int      `help:"Number of processes: the platform, three databases, and instances." default:"7"`
	Faults    []string `help:"Names of the faults to draw from: ${faults}. The default is all."`
	Rate      float64  `help:"Writes a second; as many reads are offered." default:"100"`
	Logs      string   `help:"Directory for the plan, the report and the logs of runs that fail."`
}

// SoakError reports the seed of a run and what was wrong in it.
type SoakError struct {
	Seed     uint64
	Findings []string
}

// Error implements error.
func (e *SoakError) Error() string {
	return fmt.Sprintf("soak with seed %d: %s", e.Seed, strings.Join(e.Findings, "; "))
}

const (
	// otherProcesses is the number of processes that are not instances: the platform
	// and the databases of a group.
	otherProcesses = 4
	// recoveryTimeout is the time after the last fault in which every instance must
	// serve again.
	recoveryTimeout = 15 * time.Second
	// statusInterval is the time between two requests for the status of an instance,
	// statusTimeout bounds each.
	statusInterval = 500 * time.Millisecond
	statusTimeout  = time.Second
	// superviseInterval is the time between two looks at the processes.
	superviseInterval = 100 * time.Millisecond
	// drainTimeout is the time in which a terminated instance must end once there are no
	// faults: the product ends it then.
	drainTimeout = time.Minute
	// slowDelay is the delay of a slow link, and of a response of a late platform.
	slowDelay = 300 * time.Millisecond
	// slowFactor is the factor by which a slow database's statements take longer.
	slowFactor = 20
)

// Run implements Experiment.
func (s *Soak) Run(ctx context.Context, out io.Writer, binaries string) error {
	kinds, err := chosenFaults(s.Faults)
	if err != nil {
		return err
	}
	for seed := s.Seed; seed < s.Seed+s.Seeds; seed++ {
		if err := s.runSeed(ctx, out, binaries, seed, kinds); err != nil {
			return err
		}
	}
	return nil
}

// baseConnections is the number of a database's connections in deploy.BaseManifest.
const baseConnections = 20

// connectionsFor returns the number of a database's connections that instances need: two
// control connections and one for requests each, with one share that is free for an
// instance that joins, and the share of each that was killed, which stays reserved.
func connectionsFor(instances int) int {
	const perInstance = 3
	return max(baseConnections, 2*perInstance*(instances+1))
}

// soakManifest returns the base manifest with a number of connections.
func soakManifest(connections int) string {
	const line = "connections = %d\n"
	return strings.Replace(deploy.BaseManifest, fmt.Sprintf(line, baseConnections), fmt.Sprintf(line, connections), 1)
}

// chosenFaults returns the faults with the given names, or all. Its error is an
// *UnknownFaultError.
func chosenFaults(names []string) ([]soakFault, error) {
	if len(names) == 0 {
		return soakFaults, nil
	}
	var chosen []soakFault
	for _, name := range names {
		i := slices.IndexFunc(soakFaults, func(f soakFault) bool { return f.name == name })
		if i < 0 {
			return nil, &UnknownFaultError{Name: name}
		}
		chosen = append(chosen, soakFaults[i])
	}
	return chosen, nil
}

// soakFaultNames returns the names of all faults for the help text.
func soakFaultNames() string {
	names := make([]string, 0, len(soakFaults))
	for _, f := range soakFaults {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}

// runSeed runs one seed and writes its timeline.
func (s *Soak) runSeed(ctx context.Context, out io.Writer, binaries string, seed uint64, kinds []soakFault) error {
	instances := max(2, s.Processes-otherProcesses)
	duration := max(time.Duration(s.Minutes*float64(time.Minute)), soakWarmUp+soakCoolDown+time.Second)
	plan := planSoak(seed, duration, kinds, map[soakTarget]int{soakInstance: instances, soakDatabase: otherProcesses - 1, soakPlatform: 1})
	connections := connectionsFor(instances)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := deploy.Start(startCtx, deploy.Options{
		Binaries: binaries, Zones: zones, Groups: []model.GroupID{group}, Instances: instances,
		BaseManifest: soakManifest(connections), DatabaseFlags: []string{"--connections", strconv.Itoa(connections)}, Linked: true,
	})
	if err != nil {
		return err
	}
	r := &soakRun{Deployment: d, duration: duration, plan: plan, manifest: 1, endedBy: make([]string, instances), startDue: make([]bool, instances), paused: map[model.DatabaseID]bool{}}
	r.run(ctx, s.loadOptions(d, seed, duration))
	if err := d.Stop(); err != nil {
		r.find("stop: %v", err)
	}
	writeRow(out, "soak: seed %d, %s, %d instances, %d faults", seed, duration, instances, len(plan))
	r.writeTimeline(out)
	if len(r.findings) == 0 {
		return nil
	}
	failed := &SoakError{Seed: seed, Findings: r.findings}
	return errors.WithStack(cmp.Or[error](r.saveLogs(s.Logs, failed), failed))
}

// loadOptions returns the load of a run. The callers use the links of the instances.
func (s *Soak) loadOptions(d *deploy.Deployment, seed uint64, duration time.Duration) load.Options {
	options := load.Options{
		Group: group, User: "soak", Connections: 12, ConsistencyCheckers: 3, Seed: seed,
		Kinds: []load.Kind{
			{Name: "post", Access: model.AccessWrite, Rate: s.Rate},
			{Name: "check", Access: model.AccessRead, Rate: s.Rate},
		},
		Duration: duration, StatementTimeout: recoveryTimeout, AdminAddresses: adminAddresses(d),
	}
	for _, instance := range d.Instances {
		options.Addresses = append(options.Addresses, instance.Link.Address)
	}
	return options
}

// soakRun is one run.
type soakRun struct {
	*deploy.Deployment
	duration time.Duration
	plan     []plannedFault
	// seconds holds the number of statements that succeeded and that did not, for each
	// second of the run.
	seconds  []soakSecond
	findings []string
	// manifest is the number of the manifest that was accepted last.
	manifest uint64
	// endedBy holds for each instance that was not started again the name of the fault
	// that has ended it or told it to end; startDue marks those that are to be started
	// when they have ended.
	endedBy  []string
	startDue []bool
	// paused marks the databases that are paused.
	paused   map[model.DatabaseID]bool
	startsAt time.Time
}

// soakSecond counts the statements of one second.
type soakSecond struct{ done, failed atomic.Int64 }

func (r *soakRun) find(format string, values ...any) {
	r.findings = append(r.findings, fmt.Sprintf(format, values...))
}

// run offers the load, injects the faults, and checks the results.
func (r *soakRun) run(ctx context.Context, options load.Options) {
	r.startsAt = time.Now()
	r.seconds = make([]soakSecond, int((r.duration+options.StatementTimeout)/time.Second)+1)
	options.Observe = func(isDone bool) {
		second := &r.seconds[min(int(time.Since(r.startsAt)/time.Second), len(r.seconds)-1)]
		if isDone {
			second.done.Add(1)
		} else {
			second.failed.Add(1)
		}
	}
	type result struct {
		report load.Report
		err    error
	}
	loaded := make(chan result, 1)
	go func() {
		report, err := load.Run(ctx, options)
		loaded <- result{report, err}
	}()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	watched := make(chan []string, len(r.Instances))
	for _, instance := range r.Instances {
		go func() { watched <- r.watchManifest(watchCtx, instance) }()
	}
	r.injectFaults(ctx)
	if err := r.clear(ctx); err != nil {
		r.find("end of the faults: %v", err)
	}
	recoveryCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	if err := r.AwaitServing(recoveryCtx); err != nil {
		r.find("not serving %s after the last fault: %v", recoveryTimeout, err)
	}
	cancel()
	outcome := <-loaded
	r.checkLoad(outcome.report, outcome.err)
	stopWatch()
	for range r.Instances {
		r.findings = append(r.findings, <-watched...)
	}
}

// checkLoad checks what callers saw against the content of the primary.
func (r *soakRun) checkLoad(report load.Report, err error) {
	if err != nil {
		r.find("comparison: %v", err)
		return
	}
	c := report.Comparison
	if c.Lost+c.Duplicated+c.UnexpectedlyCommitted > 0 {
		r.find("%d writes lost, %d doubled, %d committed although reported as not run", c.Lost, c.Duplicated, c.UnexpectedlyCommitted)
	}
	if report.Check.Violations > 0 {
		r.find("%d of %d reads without their session's write", report.Check.Violations, report.Check.Checks)
	}
	if last := int(r.duration/time.Second) - 1; r.seconds[last].done.Load() == 0 {
		r.find("nothing was served in the last second, %s after the last fault", soakCoolDown)
	}
}

// watchManifest reads the number of the manifest in force of an instance until ctx ends,
// and returns a finding for each time that it goes back. An instance that has just
// started has none.
func (r *soakRun) watchManifest(ctx context.Context, instance *deploy.Instance) []string {
	var findings []string
	highest := uint64(0)
	for task.Sleep(ctx, statusInterval) {
		statusCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		report, err := r.Status(statusCtx, instance)
		cancel()
		if err != nil || report.ManifestNumber == 0 {
			continue
		}
		if report.ManifestNumber < highest {
			findings = append(findings, fmt.Sprintf("%s went back from manifest %d to %d", instance.Name, highest, report.ManifestNumber))
		}
		highest = max(highest, report.ManifestNumber)
	}
	return findings
}

// -----------------------------------------------------------------------------
// Faults.

// soakStep is the beginning or the end of a fault.
type soakStep struct {
	at    time.Duration
	fault plannedFault
	ends  bool
}

// injectFaults begins and ends each fault at its time, in one goroutine: the processes of
// a deployment are started by one goroutine at a time.
func (r *soakRun) injectFaults(ctx context.Context) {
	var steps []soakStep
	for _, f := range r.plan {
		steps = append(steps, soakStep{at: f.from, fault: f}, soakStep{at: f.to, fault: f, ends: true})
	}
	slices.SortStableFunc(steps, func(a, b soakStep) int { return cmp.Compare(a.at, b.at) })
	for _, step := range steps {
		for remaining := step.at - time.Since(r.startsAt); remaining > 0; remaining = step.at - time.Since(r.startsAt) {
			if !task.Sleep(ctx, min(remaining, superviseInterval)) {
				return
			}
			r.supervise(step.at)
		}
		apply := r.begin
		if step.ends {
			apply = r.end
		}
		if err := apply(ctx, step.fault); err != nil {
			r.find("%s at %s: %v", step.fault, step.at, err)
		}
	}
}

// supervise records the instances that have ended by themselves, and starts those again
// that were to end.
func (r *soakRun) supervise(at time.Duration) {
	for i, instance := range r.Instances {
		if !instance.Process.HasEnded() {
			continue
		}
		if r.endedBy[i] == "" {
			r.find("%s ended by itself before %s: %v", instance.Name, at, instance.Process.Wait(context.Background()))
			r.startDue[i] = true
		}
		if r.startDue[i] {
			if err := instance.Process.Wait(context.Background()); err != nil && r.endedBy[i] == "term" {
				r.find("the end of %s: %v", instance.Name, err)
			}
			r.endedBy[i], r.startDue[i] = "", false
			if err := r.StartInstance(instance); err != nil {
				r.find("start of %s: %v", instance.Name, err)
			}
		}
	}
}

// begin begins a fault.
func (r *soakRun) begin(ctx context.Context, f plannedFault) error {
	switch f.target {
	case soakInstance:
		return r.beginAtInstance(ctx, f)
	case soakDatabase:
		return r.beginAtDatabase(ctx, f)
	default:
		return setPlatformFault(ctx, r.Deployment, platformFaults[f.name])
	}
}

// end ends a fault.
func (r *soakRun) end(ctx context.Context, f plannedFault) error {
	switch f.target {
	case soakInstance:
		return r.endAtInstance(f)
	case soakDatabase:
		return r.endAtDatabase(ctx, f)
	default:
		return setPlatformFault(ctx, r.Deployment, platformFaults["none"])
	}
}

// platformFaults holds the fault of the platform for each name.
var platformFaults = map[string]platform.FaultRequest{
	"none": {Fault: "none"}, "outage": {Fault: "outage"}, "lose": {Fault: "lose", Writes: true},
	"late": {Fault: "slow", Delay: slowDelay.String()},
}

// linkFaults holds the fault of a link for each name.
var linkFaults = map[string]deploy.LinkFault{
	"reset": deploy.LinkReset{}, "silent": deploy.LinkSilent{}, "oneway": deploy.LinkOneWay{},
	"slow": deploy.LinkSlow{Delay: slowDelay},
}

func (r *soakRun) beginAtInstance(ctx context.Context, f plannedFault) error {
	instance := r.Instances[f.index]
	if fault, isLink := linkFaults[f.name]; isLink {
		instance.Link.Set(fault)
		return nil
	}
	if r.endedBy[f.index] != "" {
		return nil
	}
	switch f.name {
	case "kill":
		r.endedBy[f.index] = f.name
		instance.Process.Kill()
		return nil
	case "term":
		r.endedBy[f.index] = f.name
		return instance.Process.Terminate()
	case "pause":
		return instance.Process.Pause()
	default:
		r.submit(ctx, instance)
		return nil
	}
}

func (r *soakRun) endAtInstance(f plannedFault) error {
	instance := r.Instances[f.index]
	switch f.name {
	case "reset", "silent", "oneway", "slow":
		instance.Link.Set(deploy.LinkUp{})
		return nil
	case "pause":
		if instance.Process.HasEnded() {
			return nil
		}
		return instance.Process.Resume()
	case "kill", "term":
		// supervise starts the instance once it has ended: one that was terminated
		// first waits for its callers.
		r.startDue[f.index] = r.endedBy[f.index] != ""
		return nil
	default:
		return nil
	}
}

// submit submits a new manifest to an instance. The command may fail because of another
// fault; the manifest may be accepted nevertheless.
func (r *soakRun) submit(ctx context.Context, instance *deploy.Instance) {
	submitCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	text := fmt.Sprintf("%s# submission %d\n", r.ManifestText(), r.manifest)
	if _, err := r.SubmitManifest(submitCtx, instance, text, int(r.manifest)); err != nil {
		if report, statusErr := r.Status(submitCtx, instance); statusErr == nil {
			r.manifest = max(r.manifest, report.ManifestNumber)
		}
		return
	}
	r.manifest++
}

func (r *soakRun) beginAtDatabase(ctx context.Context, f plannedFault) error {
	d := r.Databases[f.index]
	if fault, isLink := linkFaults[strings.TrimPrefix(f.name, "db")]; isLink && f.name != "dbslow" {
		d.Link.Set(fault)
		return nil
	}
	if d.Process.HasEnded() {
		return nil
	}
	switch f.name {
	case "dbkill":
		d.Process.Kill()
		return nil
	case "dbpause":
		r.paused[d.Name] = true
		return d.Process.Pause()
	case "dbslow":
		return r.setDatabaseFault(ctx, d, database.FaultRequest{Fault: "slow", Factor: slowFactor})
	default:
		request := database.FaultRequest{Fault: "isolate"}
		for _, other := range r.Databases {
			if other != d {
				request.From = append(request.From, string(other.Name))
			}
		}
		return r.setDatabaseFault(ctx, d, request)
	}
}

func (r *soakRun) endAtDatabase(ctx context.Context, f plannedFault) error {
	d := r.Databases[f.index]
	if _, isLink := linkFaults[strings.TrimPrefix(f.name, "db")]; isLink && f.name != "dbslow" {
		d.Link.Set(deploy.LinkUp{})
		return nil
	}
	switch {
	case d.Process.HasEnded():
		return nil
	case f.name == "dbpause":
		delete(r.paused, d.Name)
		return d.Process.Resume()
	default:
		return r.setDatabaseFault(ctx, d, database.FaultRequest{Fault: "none"})
	}
}

// setDatabaseFault sets the fault of a database. One that is paused can't be reached: it
// stays as it is until clear.
func (r *soakRun) setDatabaseFault(ctx context.Context, d *deploy.Database, fault database.FaultRequest) error {
	if r.paused[d.Name] {
		return nil
	}
	return setDatabaseFault(ctx, d, fault)
}

// clear ends all faults that are still in force: the end of one may have failed or been
// left out because of another.
func (r *soakRun) clear(ctx context.Context) error {
	errs := []error{setPlatformFault(ctx, r.Deployment, platformFaults["none"])}
	for _, instance := range r.Instances {
		instance.Link.Set(deploy.LinkUp{})
	}
	for _, d := range r.Databases {
		d.Link.Set(deploy.LinkUp{})
		if !d.Process.HasEnded() {
			errs = append(errs, d.Process.Resume(), setDatabaseFault(ctx, d, database.FaultRequest{Fault: "none"}))
		}
	}
	for i, instance := range r.Instances {
		if !instance.Process.HasEnded() {
			errs = append(errs, instance.Process.Resume())
		}
		if r.endedBy[i] != "" {
			// supervise judges the exit code.
			endCtx, cancel := context.WithTimeout(ctx, drainTimeout)
			_ = instance.Process.Wait(endCtx)
			cancel()
			if !instance.Process.HasEnded() {
				r.find("%s did not end within %s", instance.Name, drainTimeout)
			}
			r.startDue[i] = true
		}
	}
	r.supervise(r.duration)
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// -----------------------------------------------------------------------------
// The report.

// writeTimeline writes a line for each second: the statements that were served, those
// that were not, and the faults in force.
func (r *soakRun) writeTimeline(out io.Writer) {
	writeRow(out, "%6s %6s %6s  %s", "second", "served", "failed", "faults")
	for second := range int(r.duration / time.Second) {
		from := time.Duration(second) * time.Second
		var active []string
		for _, f := range r.plan {
			if f.from < from+time.Second && f.to > from {
				active = append(active, f.String())
			}
		}
		writeRow(out, "%6d %6d %6d  %s", second, r.seconds[second].done.Load(), r.seconds[second].failed.Load(), strings.Join(active, ", "))
	}
	for _, finding := range r.findings {
		writeRow(out, "finding: %s", finding)
	}
}

// saveLogs writes the timeline and the logs of all processes to a directory for the seed.
func (r *soakRun) saveLogs(directory string, failed *SoakError) error {
	if directory == "" {
		return nil
	}
	directory = filepath.Join(directory, fmt.Sprint("seed-", failed.Seed))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return errors.WithStack(err)
	}
	var timeline strings.Builder
	r.writeTimeline(&timeline)
	for _, f := range r.plan {
		writeRow(&timeline, "%s to %s: %s", f.from, f.to, f)
	}
	files := map[string]string{"report.txt": timeline.String()}
	for i, process := range r.Processes() {
		files[fmt.Sprintf("%02d-%s.log", i, process.Name)] = strings.Join(process.LogLines(), "\n")
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(content), 0o600); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
