package command

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
)

// loadCommand generates load and prints a report of the results.
type loadCommand struct {
	Address     []netip.AddrPort         `help:"Address of an instance, or of a database with --direct. Repeatable." required:""`
	Group       string                   `help:"Name of the group of databases." required:""`
	User        string                   `help:"User name." default:"load"`
	Password    string                   `help:"Password."`
	Kinds       []string                 `help:"Kinds of work with their rates, such as post=write:100/s,check=read:500/s." required:""`
	Target      map[string]time.Duration `help:"Time within which a kind's answers count as in time, such as post=200ms." mapsep:","`
	Deadline    map[string]time.Duration `help:"Deadline that is told with each statement of a kind, such as post=2s." mapsep:","`
	Connections int                      `help:"Clients for each kind of work." default:"32"`
	Seconds     float64                  `help:"How long work is offered, in seconds." default:"10"`
	Patience    time.Duration            `help:"Longest time to wait for an answer." default:"30s"`
	Seed        uint64                   `help:"Seed of the arrivals and keys." default:"1"`
	Closed      bool                     `help:"Send each statement when the one before is answered; rates do not count."`
	Roam        bool                     `help:"Send each client's statements to all addresses in turn, with the session token."`
	Direct      bool                     `help:"The addresses are databases, the primary first; writes go there."`
	Simple      bool                     `help:"Use the simple query protocol."`
	Check       bool                     `help:"Check read-your-writes across the addresses."`
	Checkers    int                      `help:"Clients that check." default:"4"`
	Admins      []netip.AddrPort         `help:"Admin addresses of the group's databases; compares their content at the end."`
}

// Run generates load and prints the report as one JSON line.
func (c *loadCommand) Run(run *runContext) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	report, err := load.Run(run.ctx, options)
	if err != nil {
		return err
	}
	return json.NewEncoder(run.stdout).Encode(report)
}

func (c *loadCommand) options() (load.Options, error) {
	options := load.Options{
		Addresses:        c.Address,
		Group:            model.GroupID(c.Group),
		User:             c.User,
		Password:         c.Password,
		Connections:      c.Connections,
		Duration:         time.Duration(c.Seconds * float64(time.Second)),
		StatementTimeout: c.Patience,
		Seed:             c.Seed,
		ClosedLoop:       c.Closed,
		RotateAddresses:  c.Roam,
		Direct:           c.Direct,
		SimpleProtocol:   c.Simple,
		AdminAddresses:   c.Admins,
	}
	if c.Check {
		options.ConsistencyCheckers = c.Checkers
	}
	for _, text := range c.Kinds {
		kind, err := load.ParseKind(text)
		if err != nil {
			return options, err
		}
		kind.Target = c.Target[kind.Name]
		kind.Deadline = c.Deadline[kind.Name]
		options.Kinds = append(options.Kinds, kind)
	}
	return options, nil
}
