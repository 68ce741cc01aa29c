package dialer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/platform"
)

// storeBody is an answer to a read or a write of both stores.
const storeBody = `{"key":"things/a","revision":2,"metadata":{"name":"a","revision":2}}`

// TestUnsoundAnswerOfStore guards against an answer of a store that HTTP does not allow and that a process believes: a change
// counts as made, or as refused, whose outcome is not known.
func TestUnsoundAnswerOfStore(t *testing.T) {
	type answerCase struct {
		Name, Answer string
		Sound        bool
	}
	for _, c := range tester.Load[answerCase](t, "answers.yaml") {
		address := tester.ServeAnswer(t, strings.NewReplacer(
			"|", "\r\n", "{body}", storeBody, "{length}", fmt.Sprint(len(storeBody)), "{hex}", fmt.Sprintf("%x", len(storeBody)),
		).Replace(c.Answer))
		for name, store := range map[string]storer.Store{
			"platform": platform.NewStore(platform.StoreConfig{Address: address}),
			"own":      storer.NewClient(storer.ClientConfig{URL: "http://" + address}),
		} {
			t.Run(c.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				want := map[string]storer.Kind{"get": storer.KindUnavailable, "put": storer.KindUnknown, "delete": storer.KindUnknown}
				if c.Sound {
					want = map[string]storer.Kind{"get": "", "put": "", "delete": ""}
				}
				_, getErr := store.Get(t.Context(), "things/a")
				_, putErr := store.Put(t.Context(), "things/a", []byte("1"), 1)
				got := map[string]storer.Kind{
					"get": kindOf(getErr), "put": kindOf(putErr), "delete": kindOf(store.Delete(t.Context(), "things/a", 1)),
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("kinds of the errors (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// kindOf returns the kind of a store's error, "" for none.
func kindOf(err error) storer.Kind {
	if storeErr, ok := errors.AsType[*storer.Error](err); ok {
		return storeErr.Kind
	}
	return ""
}
