package fleet

import (
	"expvar"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/zone"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// zoneShares holds the share of each group's reads that leave the availability zone,
// sentOutside counts the statements sent to other zones, by group and by whether only the
// primary could run them.
var (
	zoneShares  = expvar.NewMap("zones.share")
	sentOutside = expvar.NewMap("zones.outside")
)

// zoneOptions returns the terms on which reads leave the zone.
func (f *Fleet) zoneOptions() placement.ZoneOptions {
	return placement.ZoneOptions{
		Price:        f.options.ZonePrice,
		ShareChanged: f.reportShare,
		SentOutside: func(group model.GroupID, isForced bool) {
			key := string(group) + " reads"
			if isForced {
				key = string(group) + " primary"
			}
			sentOutside.Add(key, 1)
		},
	}
}

// reportShare logs a change of the share and updates the metric.
func (f *Fleet) reportShare(group model.GroupID, change zone.Change) {
	share := &expvar.Float{}
	share.Set(change.After)
	zoneShares.Set(string(group), share)
	f.logEvent(event.ZoneShareChanged, event.F("group", group), event.F("zone", f.options.Zone),
		event.F("before", change.Before), event.F("after", change.After),
		event.F("here", change.Here.Round(time.Millisecond).String()), event.F("queue", change.Queue.Round(time.Millisecond).String()),
		event.F("there", change.There.Round(time.Millisecond).String()), event.F("extra", change.Extra.Round(time.Millisecond).String()))
}
