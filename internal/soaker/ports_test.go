package soaker

import "testing"

// TestEntriesGetTheSamePort checks that a port which an entry has is not given to another one before the entry listens,
// and that it is given again once it is back.
func TestEntriesGetTheSamePort(t *testing.T) {
	const entries, each = 400, 3
	seen := map[int]bool{}
	var all []int
	for range entries {
		ports, err := freePorts(each)
		if err != nil {
			t.Fatal(err)
		}
		for _, port := range ports {
			if seen[port] {
				t.Fatalf("port %d was given twice", port)
			}
			seen[port] = true
		}
		all = append(all, ports...)
	}
	releasePorts(all)
	for _, port := range all {
		if givenPorts[port] {
			t.Fatalf("port %d was not given back", port)
		}
	}
}
