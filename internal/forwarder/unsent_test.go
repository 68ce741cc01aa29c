package forwarder

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// changingState calls change, if it is set, instead of the read of the servers that follows the next left reads.
type changingState struct {
	*fakeState

	mu     sync.Mutex
	left   int
	change func()
}

func (s *changingState) Servers(id model.ServiceID, now time.Time) []model.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left--; s.left == -1 && s.change != nil {
		s.change()
	}
	return s.fakeState.Servers(id, now)
}

// leaveIdleConn calls send until it leaves an idle connection to the peer. A request whose answer overtakes the end of
// its own writing leaves none.
func leaveIdleConn(t *testing.T, p *peer, send func()) {
	t.Helper()
	for range 20 {
		send()
		p.mu.Lock()
		n := len(p.idleConns)
		p.mu.Unlock()
		if n > 0 {
			return
		}
	}
	t.Fatal("no request left an idle connection")
}

// TestNotRunIsToldAfterRun checks that a request which may have run is not refused as not run because it cannot be
// sent again.
func TestNotRunIsToldAfterRun(t *testing.T) {
	type unsentCase struct {
		Name    string
		Route   string
		Replies []string
		Warm    bool
		Reads   int
		Event   string
		Status  int
	}
	for _, c := range tester.Load[unsentCase](t, "unsent.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			servers := b.start(1)
			state := &changingState{fakeState: &fakeState{plan: testPlan(), servers: servers}}
			e := startEntry(t, state)
			if c.Warm {
				leaveIdleConn(t, e.peers.get(servers[0], time.Now()), func() { postPrompt(t, e, "/"+c.Route+"/a", "request-1", "") })
			}
			state.mu.Lock()
			state.left, state.change = c.Reads, map[string]func(){
				"gone": func() { state.servers = nil },
				"rests": func() {
					e.cfg.Announcements.Observe(servers[0].Lifetime(), limiter.Announcement{Rest: time.Minute, RestKnown: true}, time.Now())
				},
				"stops": func() { now := time.Now(); e.Forwarder.stop.Store(&stopPlan{closeAt: now, cutAt: now, exitAt: now}) },
			}[c.Event]
			state.mu.Unlock()
			got := postPrompt(t, e, "/"+c.Route+"/a", "request-2", "")
			if diff := cmp.Diff(c.Status, got); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if state.left >= 0 {
				t.Errorf("the list of servers was read %d times too few", state.left+1)
			}
		})
	}
}
