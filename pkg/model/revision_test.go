package model

import (
	"cmp"
	"testing"

	"pgregory.net/rapid"
)

// TestRevisionOfEarlierEraIsAboveLater checks that revisions are ordered by their era first and then by their change,
// and that both can be read back.
func TestRevisionOfEarlierEraIsAboveLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e1, e2 := Era(rapid.Uint32Range(0, MaxEra).Draw(t, "era")), Era(rapid.Uint32Range(0, MaxEra).Draw(t, "other era"))
		n1, n2 := rapid.Int64Range(0, MaxChange).Draw(t, "change"), rapid.Int64Range(0, MaxChange).Draw(t, "other change")
		a, b := NewRevision(e1, n1), NewRevision(e2, n2)
		if a.Era() != e1 || a.Change() != n1 {
			t.Fatalf("revision of era %d and change %d has era %d and change %d", e1, n1, a.Era(), a.Change())
		}
		if want, got := cmp.Or(cmp.Compare(e1, e2), cmp.Compare(n1, n2)), cmp.Compare(a, b); want != got {
			t.Fatalf("%v compares with %v as %d, want %d", a, b, got, want)
		}
	})
}
