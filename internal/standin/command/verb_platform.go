package command

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// platformVerb serves the platform.
type platformVerb struct {
	Listen netip.AddrPort `help:"Address to serve on." default:"127.0.0.1:0"`
	Lag    time.Duration  `help:"Time after which a change of the instances shows in their list." default:"2s"`
}

// Run serves until the context ends.
func (v *platformVerb) Run(s *streams) error {
	p := platform.NewPlatform(platform.Options{Listen: v.Listen, Lag: v.Lag})
	done, err := p.Start(s.ctx)
	if err != nil {
		return err
	}
	if err := s.announce(map[string]string{"listen": p.Address().String()}); err != nil {
		return err
	}
	return <-done
}
