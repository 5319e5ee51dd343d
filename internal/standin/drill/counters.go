package drill

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// sumCounters sums one map of counters over all instances.
func sumCounters(ctx context.Context, d *deploy.Deployment, counterMap string) (map[string]int64, error) {
	sum := map[string]int64{}
	for _, instance := range d.Instances {
		counts, err := readCounters(ctx, instance, counterMap)
		if err != nil {
			return nil, err
		}
		for key, count := range counts {
			sum[key] += count
		}
	}
	return sum, nil
}

// readCounters reads one map of counters from an instance's /debug/vars. It returns an
// empty map if the instance has none of that name.
func readCounters(ctx context.Context, instance *deploy.Instance, counterMap string) (map[string]int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.OperatorAddress.String()+"/debug/vars", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	var variables map[string]json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&variables); err != nil {
		return nil, errors.WithStack(err)
	}
	counts := map[string]int64{}
	if variables[counterMap] == nil {
		return counts, nil
	}
	return counts, errors.WithStack(json.Unmarshal(variables[counterMap], &counts))
}
