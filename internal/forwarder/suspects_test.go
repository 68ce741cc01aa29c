package forwarder

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/quarantiner"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// fakeQuarantine bans nothing and ignores crashes.
type fakeQuarantine struct{}

func (fakeQuarantine) IsBanned([]model.Trait, time.Time) bool                     { return false }
func (fakeQuarantine) ClaimTrial(context.Context, []model.Trait, time.Time) bool  { return false }
func (fakeQuarantine) ReturnTrial([]model.Trait, time.Time)                       {}
func (fakeQuarantine) IsTried([]model.Trait, time.Time) bool                      { return false }
func (fakeQuarantine) HasCrashed(model.ServerLifetime, time.Time) bool            { return false }
func (fakeQuarantine) RecordCrash(model.ServerLifetime, []model.Trait, time.Time) {}
func (fakeQuarantine) RecordProven([]model.Trait, time.Time)                      {}

// recordingQuarantine records what a forwarder reports. It bans the trait banned, and allows some trials of it.
type recordingQuarantine struct {
	banned model.TraitID

	mu        sync.Mutex
	trials    int
	suspected [][]string
	proven    [][]string
}

func (q *recordingQuarantine) IsBanned(traits []model.Trait, _ time.Time) bool {
	return slices.ContainsFunc(traits, func(t model.Trait) bool { return t.ID == q.banned })
}

func (q *recordingQuarantine) ClaimTrial(context.Context, []model.Trait, time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trials--
	return q.trials >= 0
}

func (q *recordingQuarantine) ReturnTrial([]model.Trait, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trials++
}

func (*recordingQuarantine) IsTried([]model.Trait, time.Time) bool { return false }

func (*recordingQuarantine) HasCrashed(model.ServerLifetime, time.Time) bool { return false }

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
	b := &backends{t: t, replies: []string{"ok"}}
	servers := b.start(4)
	state := &fakeState{plan: testPlan(), servers: servers[:1]}
	e := startEntry(t, state)
	leaveIdleConn(t, e.peers.get(servers[0], time.Now()), func() {
		if status := postPrompt(t, e, "/safe/a", "request-1", ""); status != http.StatusOK {
			t.Fatalf("first request: status %d, want 200", status)
		}
	})
	b.mu.Lock()
	b.arrivals, b.replies = nil, []string{"crash", "reset", "reset", "ok"}
	b.mu.Unlock()
	state.servers = servers
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

// restarted returns backend servers as new lifetimes.
func restarted(servers []model.BackendServer) []model.BackendServer {
	for i := range servers {
		servers[i].StartUnixMilli = 1
	}
	return servers
}

// TestCrashOfAllServersBansSoundRequest guards against a request that is refused for ten minutes, since all servers of its
// service ended together while they ran it: nothing but an answer shows that it is sound, and it was sent to none.
func TestCrashOfAllServersBansSoundRequest(t *testing.T) {
	b := &backends{t: t, replies: []string{"crash", "crash", "crash", "ok"}}
	state := &fakeState{plan: patientPlan(), servers: b.start(3)}
	q := quarantiner.New(quarantiner.Config{Self: "e0", Store: standin.NewPlatform(), SharedKind: "marks", Meter: meter.New(), Log: zerolog.Nop()})
	e := startEntryWith(t, state, q)
	post := func() int { return postPrompt(t, e, "/safe/a", "request-1", "") }
	post()
	time.Sleep(500 * time.Millisecond)
	state.servers = restarted(b.start(3))
	if status := post(); status != http.StatusServiceUnavailable {
		t.Fatalf("after the crashes: status %d, want 503", status)
	}
	status := 0
	for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status = post()
	}
	if again := post(); status != http.StatusOK || again != http.StatusOK {
		t.Errorf("within ten seconds after the crashes: status %d, then %d, want 200", status, again)
	}
}

// TestTrialWhileServersAreDown guards against a trial that is used up before any server is back, and against requests that
// are refused while another one like them is being tried.
func TestTrialWhileServersAreDown(t *testing.T) {
	b := &backends{t: t, replies: []string{"crash", "crash", "crash", "ok"}}
	crashed := b.start(3)
	state := &fakeState{plan: patientPlan(), servers: crashed}
	q := quarantiner.New(quarantiner.Config{Self: "e0", Store: standin.NewPlatform(), SharedKind: "marks", Meter: meter.New(), Log: zerolog.Nop()})
	e := startEntryWith(t, state, q)
	post := func() int { return postPrompt(t, e, "/safe/a", "request-1", "") }
	post()
	time.Sleep(6 * time.Second)
	// The servers that crashed are still listed; then none is.
	if status := post(); status != http.StatusServiceUnavailable {
		t.Fatalf("while all servers are down: status %d, want 503", status)
	}
	state.servers = nil
	if status := post(); status != http.StatusServiceUnavailable {
		t.Fatalf("without a server: status %d, want 503", status)
	}
	time.Sleep(1200 * time.Millisecond)
	b.mu.Lock()
	b.onArrival = func(*http.Request) { time.Sleep(20 * time.Millisecond) }
	b.mu.Unlock()
	state.servers = restarted(b.start(3))
	got := make([]int, 8)
	var wg sync.WaitGroup
	for i := range got {
		wg.Go(func() { got[i] = post() })
	}
	wg.Wait()
	if diff := cmp.Diff(slices.Repeat([]int{http.StatusOK}, len(got)), got); diff != "" {
		t.Errorf("statuses once the servers are back (-want +got):\n%s", diff)
	}
}

// TestTrialReachesSecondServer guards against a banned request that reaches more than one backend server once it is tried:
// by a retry, by an escalation to a larger model, or again over a new connection after a reused one broke.
func TestTrialReachesSecondServer(t *testing.T) {
	for _, c := range []struct {
		path, reply string
		want        int
	}{
		{"/safe/a", "crash", http.StatusBadGateway},
		{"/safe/a", "reset", http.StatusBadGateway},
		{"/safe/a", "failed", http.StatusBadGateway},
		{"/safe/a", "notrun", http.StatusServiceUnavailable},
		{"/stream/a", "crash", http.StatusBadGateway},
		{"/sized/a", "doubt", http.StatusBadGateway},
		{"/sized/a", "doubtevents", http.StatusOK},
	} {
		t.Run(c.path+" "+c.reply, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: []string{"ok", c.reply, "ok"}}
			state := &fakeState{plan: patientPlan(), servers: b.start(3)}
			q := &recordingQuarantine{banned: "part.bad", trials: 1}
			e := startEntryWith(t, state, q)
			if status := postPrompt(t, e, "/safe/a", "request-0", ""); status != http.StatusOK {
				t.Fatalf("before the trial: status %d, want 200", status)
			}
			if status := postPrompt(t, e, c.path, "request-1", "bad:1,own:1"); status != c.want {
				t.Errorf("trial: status %d, want %d", status, c.want)
			}
			if n := len(b.seen()) - 1; n != 1 {
				t.Errorf("the trial reached backend servers %d times, want once", n)
			}
			if status := postPrompt(t, e, c.path, "request-2", "bad:1,own:1"); status != http.StatusServiceUnavailable {
				t.Errorf("after the trial: status %d, want 503", status)
			}
		})
	}
}
