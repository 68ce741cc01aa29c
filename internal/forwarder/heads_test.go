package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// soundBody is the body of the answers of heads.yaml on the routes without streams.
const soundBody = "answer"

// soundEvent is that on the routes with streams.
const soundEvent = "id: 1\ndata: 1\n\n"

// headCase is an answer with a head or a trailer that a test sends.
type headCase struct {
	Name, Answer string
	// Closes is set if the server closes the connection after the answer, which has no length.
	Closes bool
	// Sound answers are allowed, and passed on.
	Sound bool
	// Trailer is set if the fault follows a whole body, so that the caller of a stream has its events by then.
	Trailer bool
}

// reply returns the reply that sends the answer on a route.
func (c headCase) reply(stream bool) string {
	body := soundBody
	if stream {
		body = soundEvent
	}
	text := strings.NewReplacer(
		"{body}", body, "{length}", fmt.Sprint(len(body)), "{hex}", fmt.Sprintf("%x", len(body)),
		"{ctl}", "\x01", "{nul}", "\x00", "{del}", "\x7f", "{tab}", "\t",
	).Replace(c.Answer)
	if c.Closes {
		return "lastbytes " + text
	}
	return "bytes " + text
}

// headResult is what the caller of an answer with such a head gets.
type headResult struct {
	Status, Arrivals int
	Sealed, Broken   bool
	Body             string
}

// want returns what a caller gets for the answer on a route, and the replies of the servers: after the answer itself, that of the
// next attempt, if one must follow.
func (c headCase) want(retry model.RetryPolicy, stream bool) (headResult, []string) {
	body, next := soundBody, "ok"
	if stream {
		body, next = soundEvent, "events 1 1"
	}
	replies := []string{c.reply(stream)}
	switch {
	case c.Sound:
		return headResult{Status: http.StatusOK, Arrivals: 1, Sealed: true, Body: body}, replies
	case retry != model.RetryNever:
		return headResult{Status: http.StatusOK, Arrivals: 2, Sealed: true, Body: body}, append(replies, next)
	case c.Trailer && stream:
		return headResult{Status: http.StatusOK, Arrivals: 1, Sealed: true, Broken: true, Body: body}, replies
	}
	return headResult{Status: http.StatusBadGateway, Arrivals: 1, Body: "refusal"}, replies
}

// TestUnsoundHeadLooksLikeAnswer guards against an answer with a head or a trailer that HTTP does not allow and that is passed on,
// believed when it says that the request did not run, or followed by another attempt although the request must run once; and
// against a refusal of answers that are allowed.
func TestUnsoundHeadLooksLikeAnswer(t *testing.T) {
	for _, c := range tester.Load[headCase](t, "heads.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t}
			// Each attempt finds a server that has not failed.
			e := startEntry(t, &fakeState{plan: patientPlan(), servers: b.start(8)})
			for _, r := range []struct {
				name   string
				retry  model.RetryPolicy
				stream bool
			}{{"never", model.RetryNever, false}, {"once", model.RetryNever, true}, {"safe", model.RetryIdempotent, false}, {"stream", model.RetryResume, true}} {
				want, replies := c.want(r.retry, r.stream)
				b.script(replies)
				resp := e.post(t, "/"+r.name+"/a", "body")
				body, err := io.ReadAll(resp.Body)
				got := headResult{Status: resp.StatusCode, Arrivals: len(b.seen()), Sealed: resp.Header.Get("Seal") != "", Broken: err != nil, Body: string(body)}
				if strings.HasPrefix(got.Body, "{") {
					got.Body = "refusal"
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("answer on the route %s (-want +got):\n%s", r.name, diff)
				}
			}
		})
	}
}

// TestUnsoundHeadIsBelieved guards against what a backend server says of itself in an answer whose head HTTP does not allow: that
// it leaves, rests, or takes no more requests.
func TestUnsoundHeadIsBelieved(t *testing.T) {
	for _, line := range []string{"Leaving: 1", "Limit: 0", "Retry-After: 60"} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: []string{"bytes HTTP/1.1 503 Busy|Id: {id}|Not-Run: 1|" + line + "|Ser ver: x|Content-Length: 0||", "ok"}}
			e := startEntry(t, &fakeState{plan: patientPlan(), servers: b.start(1)})
			var got []int
			for range 2 {
				resp := e.post(t, "/never/a", "body")
				got = append(got, resp.StatusCode)
				resp.Body.Close()
			}
			if diff := cmp.Diff([]int{http.StatusBadGateway, http.StatusOK}, got); diff != "" {
				t.Errorf("statuses (-want +got):\n%s", diff)
			}
		})
	}
}
