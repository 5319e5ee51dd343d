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

// Comparison counts how the ledger of a group's primary differs from what the
// clients were told.
type Comparison struct {
	// Acknowledged counts the entries whose writes were acknowledged.
	Acknowledged int `json:"acknowledged"`
	// Lost counts those that are not in the ledger.
	Lost int `json:"lost"`
	// Duplicated counts the entries that stand there more than once.
	Duplicated int `json:"doubled"`
	// UnexpectedlyCommitted counts the entries that stand there although the client was told
	// that they were not committed.
	UnexpectedlyCommitted int `json:"ghosts"`
}

// NoPrimaryError reports that no database of a comparison is primary.
type NoPrimaryError struct{ Addresses []netip.AddrPort }

// Error implements error.
func (e *NoPrimaryError) Error() string {
	return fmt.Sprintf("none of the databases at %v is primary", e.Addresses)
}

// HTTPStatusError reports an HTTP answer other than 200.
type HTTPStatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *HTTPStatusError) Error() string { return fmt.Sprintf("%s answered %d", e.URL, e.Status) }

// adminTimeout bounds a question to a database's admin address: one that is
// frozen never answers.
const adminTimeout = 2 * time.Second

// compare reads the ledger of the primary and compares it.
func (r *run) compare(ctx context.Context) (*Comparison, error) {
	primary, err := findPrimary(ctx, r.options.AdminAddresses)
	if err != nil {
		return nil, err
	}
	var content database.Content
	if err := getJSON(ctx, primary, "/content", &content); err != nil {
		return nil, err
	}
	told := map[string]outcome{}
	for _, c := range r.clients {
		for entry, result := range c.told {
			told[entry] = result
		}
	}
	compared := compareLedger(told, r.prefix, content.Ledger)
	return &compared, nil
}

// compareLedger compares a ledger with what clients were told of the entries
// that begin with a prefix.
func compareLedger(told map[string]outcome, prefix string, ledger []string) Comparison {
	counts := map[string]int{}
	for _, entry := range ledger {
		if strings.HasPrefix(entry, prefix) {
			counts[entry]++
		}
	}
	var compared Comparison
	for entry, result := range told {
		isThere := counts[entry] > 0
		switch {
		case result == outcomeDone:
			compared.Acknowledged++
			if !isThere {
				compared.Lost++
			}
		case result != outcomeUnknown && isThere:
			compared.UnexpectedlyCommitted++
		}
	}
	for _, count := range counts {
		if count > 1 {
			compared.Duplicated++
		}
	}
	return compared
}

// findPrimary returns the admin address of the primary with the highest term.
func findPrimary(ctx context.Context, admins []netip.AddrPort) (netip.AddrPort, error) {
	var found netip.AddrPort
	var highest model.Term
	for _, admin := range admins {
		var state struct {
			Role string     `json:"role"`
			Term model.Term `json:"term"`
		}
		if getJSON(ctx, admin, "/state", &state) != nil {
			// A database that is gone can't be the primary that counts.
			continue
		}
		if state.Role == model.RolePrimary.String() && state.Term > highest {
			found, highest = admin, state.Term
		}
	}
	if !found.IsValid() {
		return found, &NoPrimaryError{Addresses: admins}
	}
	return found, nil
}

func getJSON(ctx context.Context, admin netip.AddrPort, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	url := "http://" + admin.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "ask %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "ask %s", url)
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	if response.StatusCode != http.StatusOK {
		return &HTTPStatusError{URL: url, Status: response.StatusCode}
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(value), "read %s", url)
}
