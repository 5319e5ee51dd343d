package drill

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// sumCounters adds up one map of counters over all instances.
func sumCounters(ctx context.Context, d *deploy.Deployment, name string) (map[string]int64, error) {
	sum := map[string]int64{}
	for _, in := range d.Instances {
		counts, err := readCounters(ctx, in, name)
		if err != nil {
			return nil, err
		}
		for key, count := range counts {
			sum[key] += count
		}
	}
	return sum, nil
}

// readCounters reads one map of counters of an instance.
func readCounters(ctx context.Context, in *deploy.Instance, name string) (map[string]int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.OperatorAddress.String()+"/debug/vars", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var all map[string]json.RawMessage
	if err := json.NewDecoder(answer.Body).Decode(&all); err != nil {
		return nil, errors.WithStack(err)
	}
	counts := map[string]int64{}
	if all[name] == nil {
		return counts, nil
	}
	return counts, errors.WithStack(json.Unmarshal(all[name], &counts))
}
