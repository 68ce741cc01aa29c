package forwarder

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// recordingQuarantine records what a forwarder reports. It bans the trait banned.
type recordingQuarantine struct {
	banned model.TraitID

	mu        sync.Mutex
	suspected [][]string
	proven    [][]string
}

func (q *recordingQuarantine) IsBanned(traits []model.Trait, _ time.Time) bool {
	return slices.ContainsFunc(traits, func(t model.Trait) bool { return t.ID == q.banned })
}

func (q *recordingQuarantine) RecordCrash(_ model.ServerLifetime, suspects []model.Trait, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(suspects) > 0 {
		q.suspected = append(q.suspected, traitNames(suspects))
	}
}

func (q *recordingQuarantine) RecordProven(traits []model.Trait, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.proven = append(q.proven, traitNames(traits))
}

// traitNames returns the IDs in order of depth, without the hash of the whole request.
func traitNames(traits []model.Trait) []string {
	traits = slices.SortedFunc(slices.Values(traits), func(a, b model.Trait) int { return a.Depth - b.Depth })
	var out []string
	for _, t := range traits {
		name := string(t.ID)
		if t.Depth == model.WholeRequest {
			name, _, _ = strings.Cut(name, ".")
		}
		out = append(out, name)
	}
	return out
}

// postPrompt sends a request whose prompt has the given parts and returns the answer's status, 0 if it broke off.
func postPrompt(t *testing.T, e *entry, path, id, parts string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.callers+path, strings.NewReader(id))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Id", id)
	r.Header.Set("Prefix", parts)
	r.Header.Set("Authorization", "Key good")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestSuspects checks which requests are suspected of the crash of a backend server, and which answers prove that
// a request is harmless.
func TestSuspects(t *testing.T) {
	type suspectCase struct {
		Name      string
		Route     string
		Replies   []string
		Suspected [][]string
		Proven    [][]string
	}
	for _, c := range tester.Load[suspectCase](t, "crashes.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			q := &recordingQuarantine{}
			e := startEntryWith(t, &fakeState{plan: testPlan(), servers: b.start(4)}, q)
			postPrompt(t, e, "/"+c.Route+"/a", "request-1", "BASE:400,topic:100,own:20")
			time.Sleep(100 * time.Millisecond)
			q.mu.Lock()
			defer q.mu.Unlock()
			if diff := cmp.Diff(c.Suspected, q.suspected); diff != "" {
				t.Errorf("suspected (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Proven, q.proven); diff != "" {
				t.Errorf("proven (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDroppedAnswerIsSuspected checks that a request whose answer was dropped for a larger model is suspected if
// its backend server crashes right after that, which only another request shows.
func TestDroppedAnswerIsSuspected(t *testing.T) {
	b := &backends{t: t, replies: []string{"crash"}}
	q := &recordingQuarantine{}
	servers := b.start(1)
	e := startEntryWith(t, &fakeState{plan: testPlan(), servers: servers}, q)
	p := e.peers.get(servers[0], time.Now())
	dropped := &call{id: "request-1", route: &model.PlanRoute{Route: "sized"}, traits: []model.Trait{{ID: "part.bad"}}}
	p.endAttempt(p.startAttempt(dropped), &failure{kind: failureNotRun, cause: errEscalated}, time.Now())
	left := &call{id: "request-2", route: &model.PlanRoute{Route: "sized"}, traits: []model.Trait{{ID: "part.old"}}}
	p.endAttempt(p.startAttempt(left), &failure{kind: failureLeft}, time.Now().Add(-2*suspectWindow))
	postPrompt(t, e, "/once/a", "request-3", "own:20")
	time.Sleep(100 * time.Millisecond)
	q.mu.Lock()
	defer q.mu.Unlock()
	if diff := cmp.Diff([][]string{{"part.bad", "request"}}, q.suspected); diff != "" {
		t.Errorf("suspected (-want +got):\n%s", diff)
	}
}

// TestBannedPartIsRefused checks that a request with a banned part is refused as not run, whatever else it holds,
// and that requests with the part as their own last one, and others, are served.
func TestBannedPartIsRefused(t *testing.T) {
	b := &backends{t: t, replies: []string{"events 1 4"}}
	e := startEntryWith(t, &fakeState{plan: testPlan(), servers: b.start(2)}, &recordingQuarantine{banned: "part.bad"})
	var got []int
	for i, parts := range []string{"base:400,bad:100,own:20", "other:1,BAD:7,base:3,own:20", "base:400,own:20", "base:400,bad:100", ""} {
		got = append(got, postPrompt(t, e, "/stream/a", "request-"+string(rune('1'+i)), parts))
	}
	if diff := cmp.Diff([]int{503, 503, 200, 200, 200}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if n := len(b.seen()); n != 3 {
		t.Errorf("%d requests reached backend servers, want 3", n)
	}
}

// TestCrashUnderReusedConnection checks that a request whose backend server crashes under a reused connection may
// still be sent to as many others as its route allows: the server that ended does not count as an attempt.
func TestCrashUnderReusedConnection(t *testing.T) {
	b := &backends{t: t, replies: []string{"ok", "crash", "reset", "reset", "ok"}}
	servers := b.start(4)
	state := &fakeState{plan: testPlan(), servers: servers[:1]}
	e := startEntry(t, state)
	if status := postPrompt(t, e, "/safe/a", "request-1", ""); status != http.StatusOK {
		t.Fatalf("first request: status %d, want 200", status)
	}
	state.servers = servers
	e.peers.get(servers[0], time.Now())
	for _, s := range servers[1:] {
		e.peers.get(s, time.Now()).recordLoad("8,8,8", time.Now())
	}
	status := postPrompt(t, e, "/safe/a", "request-2", "")
	var reached []string
	for _, r := range b.seen() {
		if r.Header.Get("Id") == "request-2" {
			reached = append(reached, r.Header.Get("Meant"))
		}
	}
	slices.Sort(reached)
	if diff := cmp.Diff([]string{"b0", "b1", "b2", "b3"}, reached); diff != "" || status != http.StatusOK {
		t.Errorf("status %d, backend servers reached (-want +got):\n%s", status, diff)
	}
}
