package toml

import (
	"fmt"
	"net/netip"
	"time"
)

// -----------------------------------------------------------------------------
// Values. Each accessor returns false if the key is absent, and if the value has
// another type, which is also reported as a diagnostic.

// Text returns the string under key.
func (t *Table) Text(key string) (string, bool) { return typedValue[string](t, key, "a string") }

// Bool returns the boolean under key.
func (t *Table) Bool(key string) (result, found bool) {
	return typedValue[bool](t, key, "true or false")
}

// Int returns the whole number under key.
func (t *Table) Int(key string) (int, bool) {
	number, found := typedValue[int64](t, key, "a whole number")
	return int(number), found
}

// Float returns the number under key, with or without a fraction.
func (t *Table) Float(key string) (float64, bool) {
	if integer, ok := t.values[key].(int64); ok {
		t.knownKeys[key] = true
		return float64(integer), true
	}
	return typedValue[float64](t, key, "a number")
}

// Duration returns the duration under key, such as "250ms".
func (t *Table) Duration(key string) (time.Duration, bool) {
	text, found := t.Text(key)
	if !found {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Errorf(key, "%q is not a duration, such as \"250ms\" or \"2s\"", text)
		return 0, false
	}
	return duration, true
}

// Address returns the IP address with a port under key, such as
// "10.1.0.11:5432".
func (t *Table) Address(key string) (netip.AddrPort, bool) {
	text, found := t.Text(key)
	if !found {
		return netip.AddrPort{}, false
	}
	return t.address(key, text)
}

// Addresses returns the list of addresses under key.
func (t *Table) Addresses(key string) ([]netip.AddrPort, bool) {
	list, found := typedValue[[]any](t, key, "a list of addresses")
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
		t.Errorf(key, "%q is not an IP address with a port, such as \"10.1.0.11:5432\"", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

// Table returns the table under key. If key is absent or not a table, it returns
// an empty table, so that its required keys are reported as missing.
func (t *Table) Table(key string) *Table {
	values, _ := typedValue[map[string]any](t, key, "a table")
	return t.document.newTable(join(t.path, key), join(t.name, key), values)
}

// Tables returns the array of tables under key.
func (t *Table) Tables(key string) []*Table {
	list, _ := typedValue[[]any](t, key, "a list of tables")
	tables := make([]*Table, 0, len(list))
	for i, entry := range list {
		values, ok := entry.(map[string]any)
		if !ok {
			t.Errorf(key, "must be a list of tables")
			continue
		}
		path := fmt.Sprintf("%s#%d", join(t.path, key), i)
		tables = append(tables, t.document.newTable(path, join(t.name, key), values))
	}
	return tables
}

func typedValue[T any](t *Table, key, typeName string) (T, bool) {
	t.knownKeys[key] = true
	raw, found := t.values[key]
	if !found {
		var zero T
		return zero, false
	}
	typed, ok := raw.(T)
	if !ok {
		t.Errorf(key, "must be %s", typeName)
	}
	return typed, ok
}
