package command

import (
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/flood"
)

// floodCommand simulates floods on virtual time and prints a table of the
// results.
type floodCommand struct {
	Part  string    `arg:"" help:"Table to print: ${parts}." enum:"${parts}" default:"floods"`
	Ways  []string  `help:"Ways to divide slots: ${ways}." enum:"${ways}" default:"${ways}"`
	Loads []float64 `help:"Offered work, as parts of capacity." default:"0.5,1,2,5,10"`
	Seed  uint64    `help:"Seed of the arrivals." default:"1"`
}

// Run prints the table.
func (c *floodCommand) Run(run *runContext) error {
	selection := flood.Selection{
		Topologies: []flood.Topology{flood.Consortium, flood.Reparto}, Schedulers: c.Ways, Loads: c.Loads, Seed: c.Seed,
	}
	for _, table := range flood.Tables {
		if table.Name == c.Part {
			return flood.WriteTable(run.stdout, table, selection)
		}
	}
	return nil
}

// floodVars returns the names of the tables and schedulers, for the tags of
// floodCommand.
func floodVars() map[string]string {
	var tables []string
	for _, table := range flood.Tables {
		tables = append(tables, table.Name)
	}
	return map[string]string{"parts": strings.Join(tables, ","), "ways": strings.Join(flood.Schedulers, ",")}
}
