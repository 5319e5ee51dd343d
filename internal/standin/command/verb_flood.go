package command

import (
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/flood"
)

// floodVerb runs floods on virtual time and prints a table.
type floodVerb struct {
	Part  string    `arg:"" help:"Table to print: ${parts}." enum:"${parts}" default:"floods"`
	Ways  []string  `help:"Ways to divide slots: ${ways}." enum:"${ways}" default:"${ways}"`
	Loads []float64 `help:"Offered work, as parts of capacity." default:"0.5,1,2,5,10"`
	Seed  uint64    `help:"Seed of the arrivals." default:"1"`
}

// Run prints the table.
func (v *floodVerb) Run(s *streams) error {
	selection := flood.Selection{
		Topologies: []flood.Topology{flood.Consortium, flood.Reparto}, Schedulers: v.Ways, Loads: v.Loads, Seed: v.Seed,
	}
	for _, part := range flood.Tables {
		if part.Name == v.Part {
			return flood.WriteTable(s.out, part, selection)
		}
	}
	return nil
}

// floodVars names the parts and ways for the help.
func floodVars() map[string]string {
	var parts []string
	for _, part := range flood.Tables {
		parts = append(parts, part.Name)
	}
	return map[string]string{"parts": strings.Join(parts, ","), "ways": strings.Join(flood.Schedulers, ",")}
}
