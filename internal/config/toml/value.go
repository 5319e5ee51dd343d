package toml

import (
	"fmt"
	"net/netip"
	"time"
)

// -----------------------------------------------------------------------------
// Values. Each accessor returns false where the key is absent, and also, with
// a fault reported, where its value is of another type.

// Text returns a string.
func (t *Table) Text(key string) (string, bool) { return value[string](t, key, "a string") }

// Bool returns true or false.
func (t *Table) Bool(key string) (result, found bool) { return value[bool](t, key, "true or false") }

// Int returns a whole number.
func (t *Table) Int(key string) (int, bool) {
	number, found := value[int64](t, key, "a whole number")
	return int(number), found
}

// Float returns a number, with or without a fraction.
func (t *Table) Float(key string) (float64, bool) {
	if whole, is := t.values[key].(int64); is {
		t.known[key] = true
		return float64(whole), true
	}
	return value[float64](t, key, "a number")
}

// Duration returns a duration, such as "250ms".
func (t *Table) Duration(key string) (time.Duration, bool) {
	text, found := t.Text(key)
	if !found {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Errorf(key, "%q is no duration, such as \"250ms\" or \"2s\"", text)
		return 0, false
	}
	return duration, true
}

// Address returns an IP address with a port, such as "10.1.0.11:5432".
func (t *Table) Address(key string) (netip.AddrPort, bool) {
	text, found := t.Text(key)
	if !found {
		return netip.AddrPort{}, false
	}
	return t.address(key, text)
}

// Addresses returns a list of addresses.
func (t *Table) Addresses(key string) ([]netip.AddrPort, bool) {
	list, found := value[[]any](t, key, "a list of addresses")
	if !found {
		return nil, false
	}
	addresses := make([]netip.AddrPort, 0, len(list))
	for _, entry := range list {
		if address, valid := t.address(key, fmt.Sprint(entry)); valid {
			addresses = append(addresses, address)
		}
	}
	return addresses, len(addresses) == len(list)
}

func (t *Table) address(key, text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		t.Errorf(key, "%q is no IP address with a port, such as \"10.1.0.11:5432\"", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

// Table returns the table under key. Where it is absent, or no table, it
// returns an empty one, so that what is missing is reported by its keys.
func (t *Table) Table(key string) *Table {
	values, _ := value[map[string]any](t, key, "a table")
	return t.document.open(join(t.path, key), join(t.name, key), values)
}

// Tables returns the array of tables under key.
func (t *Table) Tables(key string) []*Table {
	list, _ := value[[]any](t, key, "a list of tables")
	tables := make([]*Table, 0, len(list))
	for i, entry := range list {
		values, is := entry.(map[string]any)
		if !is {
			t.Errorf(key, "wants a list of tables")
			continue
		}
		path := fmt.Sprintf("%s#%d", join(t.path, key), i)
		tables = append(tables, t.document.open(path, join(t.name, key), values))
	}
	return tables
}

func value[T any](t *Table, key, wanted string) (T, bool) {
	t.known[key] = true
	raw, found := t.values[key]
	if !found {
		var none T
		return none, false
	}
	typed, is := raw.(T)
	if !is {
		t.Errorf(key, "wants %s", wanted)
	}
	return typed, is
}
