package soaker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// TestOddEntriesAreSentAsWritten checks that the store returns each odd entry byte for byte, beside the good ones.
func TestOddEntriesAreSentAsWritten(t *testing.T) {
	store := standin.NewStore()
	if err := store.Announce(standin.Server{ID: "good", Service: "desk", Address: "127.0.0.1:9", Slots: 8}); err != nil {
		t.Fatal(err)
	}
	for i, spec := range oddSpecs {
		store.SetRaw(fmt.Sprintf("servers/odd-%d", i), []byte(spec))
	}
	for _, path := range []string{"servers", "servers?watch=0&wait-ms=0"} {
		w := httptest.NewRecorder()
		store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/-/objects/"+path, nil))
		for i, spec := range append(oddSpecs, `"service":"desk"`) {
			if !strings.Contains(w.Body.String(), spec) {
				t.Errorf("%s: the response lacks shape %d", path, i)
			}
		}
	}
}

// TestDrawOddities checks that a seed always draws the same odd faults, in order of time and before the time without
// faults, and that all kinds are drawn.
func TestDrawOddities(t *testing.T) {
	const length = 18 * time.Second
	kinds := map[fault]bool{}
	for seed := range uint64(100) {
		drawn := drawOddities(seed, length)
		if diff := cmp.Diff(drawn, drawOddities(seed, length)); diff != "" {
			t.Fatalf("seed %d gives other faults the second time (-first +second):\n%s", seed, diff)
		}
		for i, inj := range drawn {
			kinds[inj.Kind] = true
			if inj.At < startupTime || inj.Length <= 0 || inj.At > length-quietTime || i > 0 && inj.At < drawn[i-1].At {
				t.Fatalf("seed %d: fault %d is %+v", seed, i, inj)
			}
		}
	}
	for _, kind := range slices.Concat(oddFaults, changeFaults) {
		if !kinds[kind] {
			t.Errorf("no seed draws %s", kind)
		}
	}
}
