package promotion

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/promotion"
)

// Check queries the databases of the abandoned calls of a group, and returns what they say
// about the answers that its primary has given before.
func (c *Caller) Check(ctx context.Context, group model.GroupID, calls promotion.Calls) promotion.Guard {
	source := c.options.Source
	reports := queryAll(ctx, source, group, calls)
	entries := source.Entries(group)
	var watched []promotion.Watched
	for _, call := range calls.Calls {
		r := reports[call.Database]
		w := promotion.Watched{Sighting: sight(call, r, entries), IsRefusing: isRefusal(r.err)}
		// An answer other than the status does not tell whether the database leads.
		w.HasAnswered = r.err == nil
		w.HasEntry = hasEntry(entries, call) || isAnswer(r.err) || !source.AreEntriesCurrent()
		watched = append(watched, w)
	}
	return promotion.Check(watched)
}
