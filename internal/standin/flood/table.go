package flood

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Selection selects the runs of a table.
type Selection struct {
	Topologies []Topology
	Schedulers []string
	Loads      []float64
	Seed       uint64
}

// Table is a named set of scenarios whose results are printed as a table.
type Table struct {
	Name string
	// Help describes what the table compares.
	Help string
	// Scenarios returns the scenarios of the table, one for each line.
	Scenarios func(Selection) []Scenario
}

// Tables lists all tables.
var Tables = []Table{
	{Name: "floods", Help: "each rank floods, by load and scheduler", Scenarios: floodScenarios},
	{Name: "faults", Help: "one database is slow or returns errors, with adaptive and with fixed limits", Scenarios: faultScenarios},
	{Name: "peers", Help: "peers are partitioned or crash, or the flood arrives at one instance", Scenarios: peerFaultScenarios},
}

// WriteTable runs the scenarios of a table and writes one line for each.
func WriteTable(out io.Writer, table Table, selection Selection) error {
	writer := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	header := "place\tway\tcase\tflood\tload\t"
	for _, declared := range Manifest(Consortium).Ranks {
		header += declared.Name + " inside\tuseful\tlate\tp99\theld\t"
	}
	_, _ = fmt.Fprintln(writer, header+"useful\tworth\trecovery\tbeyond\tmessages\tcontrol\t")
	for _, scenario := range table.Scenarios(selection) {
		_, _ = fmt.Fprintln(writer, formatResult(Run(scenario)))
	}
	return writer.Flush()
}

// formatResult returns the line of one result.
func formatResult(result Result) string {
	s := &result.Scenario
	text := fmt.Sprintf("%s\t%s\t%s\t%s\t%g\t", s.Topology.Name, s.Scheduler, s.faultLabel(), Manifest(s.Topology).Ranks[s.Rank].Name, s.Load)
	for r := range result.Ranks {
		rank := &result.Ranks[r]
		text += fmt.Sprintf("%.1f%%\t%.3f\t%.1f%%\t%dms\t%.3f\t",
			100*rank.InTargetShare(), result.GoodputByRank[r], 100*rank.lateShare(), rank.P99.Milliseconds(), result.SlotShareByRank[r])
	}
	recovery := "never"
	if result.Recovery >= 0 {
		recovery = result.Recovery.String()
	}
	return text + fmt.Sprintf("%.3f\t%.3f\t%s\t%d\t%.0f/s\t%.0f KB/s\t", result.Goodput, result.Worth, recovery, result.MaxExcessRequests, result.MessagesPerSecond, result.BytesPerSecond/1000)
}

// lateShare returns the fraction of offered requests that were answered after the
// target.
func (r *RankResult) lateShare() float64 {
	return float64(r.Late) / float64(max(1, r.Offered))
}

// faultLabel describes the fault of a scenario, or returns "-" where it has none.
func (s *Scenario) faultLabel() string {
	var text string
	switch {
	case s.SlowFactor > 1:
		text = fmt.Sprintf("slow %gx", s.SlowFactor)
	case s.ErrorShare > 0:
		text = fmt.Sprintf("fails %g%%", 100*s.ErrorShare)
	case s.ZonePartitioned:
		text = "cut off"
	case s.ArbiterCrashes:
		text = "crash"
	case s.SingleIngress:
		text = "one entry"
	default:
		return "-"
	}
	if s.ZonePartitioned || s.ArbiterCrashes || s.SingleIngress {
		return text
	}
	if s.SlowPrimary {
		text += " primary"
	}
	if s.FixedLimits {
		return text + ", fixed limits"
	}
	return text + ", adaptive"
}

// floodScenarios returns a scenario for each topology, flooding rank, load and
// scheduler.
func floodScenarios(selection Selection) []Scenario {
	var scenarios []Scenario
	for _, topology := range selection.Topologies {
		for r := range rankLoads {
			for _, load := range selection.Loads {
				for _, scheduler := range selection.Schedulers {
					scenarios = append(scenarios, Scenario{Topology: topology, Scheduler: scheduler, Rank: model.Rank(r), Load: load, Seed: selection.Seed})
				}
			}
		}
	}
	return scenarios
}

// faultScenarios returns scenarios with a database that is slow or returns errors, with
// adaptive and with fixed limits, under the last scheduler of the selection.
func faultScenarios(selection Selection) []Scenario {
	variants := []Scenario{
		{SlowFactor: 10},
		{SlowFactor: 10, SlowPrimary: true},
		{ErrorShare: 1},
		{ErrorShare: 0.3},
		{ErrorShare: 0.3, SlowPrimary: true},
	}
	var scenarios []Scenario
	for _, topology := range selection.Topologies {
		for _, variant := range variants {
			for _, load := range selection.Loads {
				for _, fixedLimits := range []bool{false, true} {
					variant.Topology, variant.Scheduler, variant.Rank = topology, selection.Schedulers[len(selection.Schedulers)-1], 2
					variant.Load, variant.Seed, variant.FixedLimits = load, selection.Seed, fixedLimits
					scenarios = append(scenarios, variant)
				}
			}
		}
	}
	return scenarios
}

// peerFaultScenarios returns scenarios with a partitioned zone, a crashed arbiter, and a
// flood that arrives at one instance.
func peerFaultScenarios(selection Selection) []Scenario {
	var scenarios []Scenario
	for _, topology := range selection.Topologies {
		for _, variant := range []Scenario{{ZonePartitioned: true}, {ArbiterCrashes: true}, {SingleIngress: true}} {
			for _, load := range selection.Loads {
				for _, scheduler := range selection.Schedulers {
					variant.Topology, variant.Scheduler, variant.Rank = topology, scheduler, 2
					variant.Load, variant.Seed = load, selection.Seed
					scenarios = append(scenarios, variant)
				}
			}
		}
	}
	return scenarios
}
