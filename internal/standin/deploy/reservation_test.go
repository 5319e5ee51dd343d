package deploy

import "testing"

// Guards against two deployments that get the same address, because nothing listens on it
// yet: an instance then can't start.
func TestReservedAddressesAreDistinct(t *testing.T) {
	const reservations, count = 4, 100
	seen := map[string]bool{}
	for range reservations {
		r, err := ReserveAddresses(count)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = r.Close() })
		for _, address := range r.Addresses {
			if seen[address.String()] {
				t.Errorf("%s was reserved twice", address)
			}
			seen[address.String()] = true
		}
	}
}
