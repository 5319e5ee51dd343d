package command

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// platformCommand serves the simulated platform.
type platformCommand struct {
	Listen netip.AddrPort `help:"Address to serve on." default:"127.0.0.1:0"`
	Lag    time.Duration  `help:"Time after which a change of the instances shows in their list." default:"2s"`
}

// Run serves until the context ends.
func (c *platformCommand) Run(run *runContext) error {
	p := platform.NewPlatform(platform.Options{Listen: c.Listen, Lag: c.Lag})
	done, err := p.Start(run.ctx)
	if err != nil {
		return err
	}
	if err := run.printAddresses(map[string]string{"listen": p.Address().String()}); err != nil {
		return err
	}
	return <-done
}
