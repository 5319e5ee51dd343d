package flood

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var (
	ways      = flag.String("ways", "baseline,fixed,demand,arbiter", "ways to divide slots")
	loadsFlag = flag.String("loads", "0.5,1,2,5,10", "loads")
)

func TestPrint(t *testing.T) {
	for _, place := range []Place{Consortium, Reparto} {
		for r := range loads {
			for _, l := range strings.Split(*loadsFlag, ",") {
				var load float64
				fmt.Sscan(l, &load)
				for _, way := range strings.Split(*ways, ",") {
					res := Run(Scenario{Place: place, Way: way, Rank: model.Rank(r), Load: load, Seed: 1})
					fmt.Printf("%-13s flood=%d load=%4.1f %-9s", place.Name, r, load, way)
					for i := range res.Ranks {
						fmt.Printf(" | %5.1f%% %5.3f+%5.3f/%5.2f p99 %4dms held %.3f", 100*res.Ranks[i].InsideShare(), res.UsefulBy[i], res.UsefulBy[i]*float64(res.Ranks[i].Late)/float64(max(1, res.Ranks[i].Inside)), res.OfferedBy[i], res.Ranks[i].Worst.Milliseconds(), res.HeldBy[i])
					}
					fmt.Printf(" | useful %.3f worth %.3f rec %v beyond %d msg/s %.0f\n", res.Useful, res.Worth, res.Recovery, res.Beyond, res.Messages)
				}
			}
		}
	}
}
