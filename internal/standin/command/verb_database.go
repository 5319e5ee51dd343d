package command

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// databaseCommand serves one simulated database.
type databaseCommand struct {
	Name        string         `help:"Name of the database." required:""`
	Group       string         `help:"Name of its group." required:""`
	Zone        string         `help:"Its availability zone."`
	Listen      netip.AddrPort `help:"Address for clients and replicas." default:"127.0.0.1:0"`
	Admin       netip.AddrPort `help:"Address for faults, state and content, over HTTP." default:"127.0.0.1:0"`
	Slots       int            `help:"Statements that run at once." default:"3"`
	Connections int            `help:"Greatest number of clients' connections." default:"20"`
	Open        time.Duration  `help:"Time that a new connection takes." default:"12ms"`
	Work        time.Duration  `help:"Time that a statement takes." default:"1ms"`
	Ship        time.Duration  `help:"Time between a commit and its reception by a replica." default:"1ms"`
	Lag         time.Duration  `help:"Time between reception by a replica and visibility." default:"5ms"`
	Primary     bool           `help:"Start as the primary of the term." xor:"role"`
	Term        uint64         `help:"Term of the primary at the start." default:"1"`
	Source      netip.AddrPort `help:"Address of the primary to follow from the start." xor:"role"`
	Password    string         `help:"Password that clients must give."`
}

// Run serves until the context ends.
func (c *databaseCommand) Run(run *runContext) error {
	db := database.NewDatabase(c.options())
	done, err := db.Start(run.ctx)
	if err != nil {
		return err
	}
	addresses := map[string]string{"listen": db.Address().String(), "admin": db.AdminAddress().String()}
	if err := run.printAddresses(addresses); err != nil {
		return err
	}
	return <-done
}

func (c *databaseCommand) options() database.Options {
	return database.Options{
		Name:          model.DatabaseID(c.Name),
		Group:         model.GroupID(c.Group),
		Zone:          model.ZoneID(c.Zone),
		Listen:        c.Listen,
		AdminListen:   c.Admin,
		Slots:         c.Slots,
		Connections:   c.Connections,
		ConnectDelay:  c.Open,
		StatementTime: c.Work,
		ShippingDelay: c.Ship,
		ApplyLag:      c.Lag,
		Primary:       c.Primary,
		Term:          model.Term(c.Term),
		Source:        c.Source,
		Password:      c.Password,
	}
}
