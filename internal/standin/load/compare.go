package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// Comparison counts the differences between the ledger of a group's primary and the
// outcomes that the clients received.
type Comparison struct {
	// Acknowledged counts the entries whose writes were acknowledged.
	Acknowledged int `json:"acknowledged"`
	// Lost counts the acknowledged entries that are missing from the ledger.
	Lost int `json:"lost"`
	// Duplicated counts the entries that are in the ledger more than once.
	Duplicated int `json:"doubled"`
	// UnexpectedlyCommitted counts the entries that are in the ledger although the
	// client received an error that says that they were not committed.
	UnexpectedlyCommitted int `json:"ghosts"`
}

// NoPrimaryError reports that none of the databases at the admin addresses is primary.
type NoPrimaryError struct{ Addresses []netip.AddrPort }

// Error implements error.
func (e *NoPrimaryError) Error() string {
	return fmt.Sprintf("none of the databases at %v is primary", e.Addresses)
}

// HTTPStatusError reports an HTTP response with an unexpected status.
type HTTPStatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *HTTPStatusError) Error() string {
	return fmt.Sprintf("%s returned HTTP status %d", e.URL, e.Status)
}

// adminTimeout bounds a request to a database's admin address, since a frozen database
// never answers.
const adminTimeout = 2 * time.Second

// compare reads the ledger of the primary and compares it with the outcomes of all
// clients. Its error is a *NoPrimaryError where no database is primary.
func (r *run) compare(ctx context.Context) (*Comparison, error) {
	primary, err := findPrimary(ctx, r.options.AdminAddresses)
	if err != nil {
		return nil, err
	}
	var content database.Content
	if err := getJSON(ctx, primary, "/content", &content); err != nil {
		return nil, err
	}
	outcomes := map[string]outcome{}
	for _, c := range r.clients {
		for entry, result := range c.outcomes {
			outcomes[entry] = result
		}
	}
	comparison := compareLedger(outcomes, r.entryPrefix, content.Ledger)
	return &comparison, nil
}

// compareLedger compares the entries of a ledger that begin with a prefix with the
// outcomes that the clients received.
func compareLedger(outcomes map[string]outcome, prefix string, ledger []string) Comparison {
	counts := map[string]int{}
	for _, entry := range ledger {
		if strings.HasPrefix(entry, prefix) {
			counts[entry]++
		}
	}
	var comparison Comparison
	for entry, result := range outcomes {
		isInLedger := counts[entry] > 0
		switch {
		case result == outcomeDone:
			comparison.Acknowledged++
			if !isInLedger {
				comparison.Lost++
			}
		case result != outcomeUnknown && isInLedger:
			comparison.UnexpectedlyCommitted++
		}
	}
	for _, count := range counts {
		if count > 1 {
			comparison.Duplicated++
		}
	}
	return comparison
}

// findPrimary returns the admin address of the database that is primary in the highest
// term. Its error is a *NoPrimaryError.
func findPrimary(ctx context.Context, admins []netip.AddrPort) (netip.AddrPort, error) {
	var primary netip.AddrPort
	var highest model.Term
	for _, admin := range admins {
		var state struct {
			Role string     `json:"role"`
			Term model.Term `json:"term"`
		}
		if getJSON(ctx, admin, "/state", &state) != nil {
			// An unreachable database cannot be the current primary.
			continue
		}
		if state.Role == model.RolePrimary.String() && state.Term > highest {
			primary, highest = admin, state.Term
		}
	}
	if !primary.IsValid() {
		return primary, &NoPrimaryError{Addresses: admins}
	}
	return primary, nil
}

// getJSON decodes the JSON document at a path of a database's admin address into value.
func getJSON(ctx context.Context, admin netip.AddrPort, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	url := "http://" + admin.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "request %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "request %s", url)
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	if response.StatusCode != http.StatusOK {
		return &HTTPStatusError{URL: url, Status: response.StatusCode}
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(value), "decode response of %s", url)
}
