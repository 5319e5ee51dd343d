package flood

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Selection chooses the runs of a table.
type Selection struct {
	Topologies []Topology
	Schedulers []string
	Loads      []float64
	Seed       uint64
}

// Table is one table.
type Table struct {
	Name string
	// Help tells what the table compares.
	Help string
	// Scenarios returns its runs, a line each.
	Scenarios func(Selection) []Scenario
}

// Tables lists the tables.
var Tables = []Table{
	{Name: "floods", Help: "each rank floods, by load and way to divide slots", Scenarios: floods},
	{Name: "faults", Help: "one database is slow or fails, with adaptive and with fixed limits", Scenarios: faults},
	{Name: "peers", Help: "peers are cut off or crash, or the flood enters at one instance", Scenarios: cuts},
}

// WriteTable runs the scenarios of a part and writes one line for each.
func WriteTable(out io.Writer, part Table, selection Selection) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	head := "place\tway\tcase\tflood\tload\t"
	for _, declared := range Manifest(Consortium).Ranks {
		head += declared.Name + " inside\tuseful\tlate\tp99\theld\t"
	}
	_, _ = fmt.Fprintln(table, head+"useful\tworth\trecovery\tbeyond\tmessages\tcontrol\t")
	for _, scenario := range part.Scenarios(selection) {
		_, _ = fmt.Fprintln(table, line(Run(scenario)))
	}
	return table.Flush()
}

// line formats one result.
func line(result Result) string {
	s := &result.Scenario
	text := fmt.Sprintf("%s\t%s\t%s\t%s\t%g\t", s.Topology.Name, s.Scheduler, s.label(), Manifest(s.Topology).Ranks[s.Rank].Name, s.Load)
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

// lateShare returns the part of the offered requests that were answered after
// the target.
func (r *RankResult) lateShare() float64 {
	return float64(r.Late) / float64(max(1, r.Offered))
}

// label names what is wrong in a scenario.
func (s *Scenario) label() string {
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

// floods returns each rank's flood at each load in each way.
func floods(selection Selection) []Scenario {
	var all []Scenario
	for _, place := range selection.Topologies {
		for r := range loads {
			for _, load := range selection.Loads {
				for _, way := range selection.Schedulers {
					all = append(all, Scenario{Topology: place, Scheduler: way, Rank: model.Rank(r), Load: load, Seed: selection.Seed})
				}
			}
		}
	}
	return all
}

// faults returns slow and failing databases, with adaptive and fixed limits.
func faults(selection Selection) []Scenario {
	kinds := []Scenario{
		{SlowFactor: 10},
		{SlowFactor: 10, SlowPrimary: true},
		{ErrorShare: 1},
		{ErrorShare: 0.3},
		{ErrorShare: 0.3, SlowPrimary: true},
	}
	var all []Scenario
	for _, place := range selection.Topologies {
		for _, kind := range kinds {
			for _, load := range selection.Loads {
				for _, fixed := range []bool{false, true} {
					kind.Topology, kind.Scheduler, kind.Rank = place, selection.Schedulers[len(selection.Schedulers)-1], 2
					kind.Load, kind.Seed, kind.FixedLimits = load, selection.Seed, fixed
					all = append(all, kind)
				}
			}
		}
	}
	return all
}

// cuts returns peers that are cut off or crash, and a flood at one instance.
func cuts(selection Selection) []Scenario {
	var all []Scenario
	for _, place := range selection.Topologies {
		for _, kind := range []Scenario{{ZonePartitioned: true}, {ArbiterCrashes: true}, {SingleIngress: true}} {
			for _, load := range selection.Loads {
				for _, way := range selection.Schedulers {
					kind.Topology, kind.Scheduler, kind.Rank = place, way, 2
					kind.Load, kind.Seed = load, selection.Seed
					all = append(all, kind)
				}
			}
		}
	}
	return all
}
