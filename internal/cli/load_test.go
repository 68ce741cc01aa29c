package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleyhinge/bramleyhinge/internal/owner"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
)

// backgroundLoad sends requests while a script runs. Like the platform's balancer, it skips entries
// that are marked unready.
type backgroundLoad struct {
	mu        sync.Mutex
	entries   []string
	unready   map[string]bool
	stop      chan struct{}
	wg        sync.WaitGroup
	truncated int
	refused   int
	answered  int
	failures  string
}

// controlLoad controls the background load: start ENTRIES WORKERS, unready ENTRY, ready ENTRY, stop.
func (f *testFleet) controlLoad(ts *testscript.TestScript, args []string) {
	l := &f.load
	switch args[0] {
	case "start":
		workers, err := strconv.Atoi(args[2])
		ts.Check(err)
		l.entries, l.stop, l.unready = strings.Split(args[1], ","), make(chan struct{}), map[string]bool{}
		for i := range workers {
			l.wg.Go(func() { f.sendLoad(ts, i) })
		}
	case "unready", "ready":
		l.mu.Lock()
		l.unready[args[1]] = args[0] == "unready"
		l.mu.Unlock()
	case "stop":
		close(l.stop)
		l.wg.Wait()
		fmt.Fprintf(ts.Stdout(), "%d cut, %d refused\n", l.truncated, l.refused)
		ts.Logf("%d answered; faults: %s", l.answered, l.failures)
		if l.answered == 0 {
			ts.Fatalf("no request of the background load was answered")
		}
	}
}

func (f *testFleet) sendLoad(ts *testscript.TestScript, n int) {
	l := &f.load
	for i := n; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		l.mu.Lock()
		via := l.entries[i%len(l.entries)]
		skip := l.unready[via]
		l.mu.Unlock()
		if skip {
			time.Sleep(time.Millisecond)
			continue
		}
		body := `{"model":"drafting-models","stream":true,"max_tokens":40,"messages":[]}`
		text, status := f.send(ts, callSpec{method: "POST", path: "/v1/chat/completions", key: "example-key-duluth-floor", via: via, body: body})
		l.mu.Lock()
		switch {
		case status != http.StatusOK && status != 0:
			l.refused++
			l.failures += text
		case !strings.Contains(text, "data: [DONE]"):
			l.truncated++
			l.failures += text
		default:
			l.answered++
		}
		l.mu.Unlock()
	}
}

// printAlive prints how many of the processes are still running.
func (f *testFleet) printAlive(ts *testscript.TestScript, names []string) {
	n := 0
	for _, name := range names {
		select {
		case <-f.procs[name].done:
		default:
			n++
		}
	}
	f.dumpLogs(ts)
	fmt.Fprintf(ts.Stdout(), "%d of %d\n", n, len(names))
}

// currentOwner returns the owner of drafting-models according to its status object.
func (f *testFleet) currentOwner(ts *testscript.TestScript) string {
	return string(f.serviceStatus(ts).Owner)
}

func (f *testFleet) suspendOwner(ts *testscript.TestScript) {
	f.stoppedOwner = f.currentOwner(ts)
	f.procs[f.stoppedOwner].signal(syscall.SIGSTOP)
}

func parseInt(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

// serviceStatus returns the status object of drafting-models.
func (f *testFleet) serviceStatus(ts *testscript.TestScript) owner.Status {
	var o storer.Object
	ts.Check(json.Unmarshal([]byte(f.request(ts, http.MethodGet, "platform", "/objects/status/drafting-models", "")), &o))
	var s owner.Status
	ts.Check(json.Unmarshal(o.Value, &s))
	return s
}

// awaitVerdict sends requests through the running entries until the roll-out has the verdict and its
// owner is running. It fails after this many rounds of requests; 0 means no limit.
func (f *testFleet) awaitVerdict(ts *testscript.TestScript, want string, rounds int) {
	for round := 0; ; round++ {
		s := f.serviceStatus(ts)
		if s.Rollout != nil && string(s.Rollout.Verdict) == want && f.isRunning(string(s.Owner)) {
			return
		}
		if rounds > 0 && round == rounds {
			f.dumpLogs(ts)
			ts.Fatalf("the roll-out is not %s after %d rounds: %+v", want, rounds, s.Rollout)
		}
		for _, n := range []string{"n1", "n2", "n3"} {
			if f.isRunning(n) {
				f.send(ts, callSpec{method: "POST", path: "/v1/chat/completions", key: "example-key-duluth-floor", via: n, body: `{"model":"drafting-models","max_tokens":1,"messages":[]}`})
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *testFleet) isRunning(name string) bool {
	p := f.procs[name]
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (f *testFleet) killOwner(ts *testscript.TestScript) {
	f.stoppedOwner = f.currentOwner(ts)
	f.kill(ts, f.stoppedOwner)
	f.setInstanceState(ts, f.stoppedOwner, "gone")
}

func (f *testFleet) startOwner(ts *testscript.TestScript) {
	f.start(ts, f.stoppedOwner)
	f.awaitReady(ts, f.stoppedOwner)
}

// callUntilNextStep sends requests until a cascade calls its next version, dear@1, and sets CALLS to the
// number of requests.
func (f *testFleet) callUntilNextStep(ts *testscript.TestScript, maxCalls int) {
	for n := 1; n <= maxCalls; n++ {
		body := fmt.Sprintf(`{"model":"drafting-models","max_tokens":2,"messages":[{"content":"draft %d"}]}`, n)
		text, status := f.send(ts, callSpec{method: "POST", path: "/v1/chat/completions", key: "example-key-duluth-floor", via: "n1", body: body})
		if status != http.StatusOK {
			ts.Fatalf("status %d: %s", status, text)
		}
		var out strings.Builder
		id := f.unmask(fmt.Sprintf("request-%d", f.nameCounts["request"]))
		if code := Main([]string{"explain", "--platform", ts.Getenv("BRAMLEYHINGE_PLATFORM"), id}, &out, &out); code != exitOK {
			ts.Fatalf("explain: %s", out.String())
		}
		if strings.Contains(out.String(), "cascade steps up to dear@1") {
			ts.Setenv("CALLS", strconv.Itoa(n))
			return
		}
	}
	ts.Fatalf("no cascade called its next version in %d requests", maxCalls)
}

// printServed prints how many requests an engine has served with a version.
func (f *testFleet) printServed(ts *testscript.TestScript, engine, version string) {
	var load struct {
		ByVersion map[string]int `json:"byversion"`
	}
	ts.Check(json.Unmarshal([]byte(f.request(ts, http.MethodGet, engine, "/load", "")), &load))
	fmt.Fprintln(ts.Stdout(), load.ByVersion[version])
}
