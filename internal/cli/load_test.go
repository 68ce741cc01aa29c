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

// loadState is the background load of a script. It sends to entries as the platform's
// balancer would: not to one that said that it is unready.
type loadState struct {
	mu       sync.Mutex
	entries  []string
	unready  map[string]bool
	stop     chan struct{}
	wg       sync.WaitGroup
	cut      int
	refused  int
	answered int
	first    string
}

// load starts, steers and ends the background load: start ENTRIES WORKERS, unready ENTRY,
// ready ENTRY, stop.
func (f *testFleet) load(ts *testscript.TestScript, args []string) {
	l := &f.loads
	switch args[0] {
	case "start":
		workers, err := strconv.Atoi(args[2])
		ts.Check(err)
		l.entries, l.stop, l.unready = strings.Split(args[1], ","), make(chan struct{}), map[string]bool{}
		for i := range workers {
			l.wg.Go(func() { f.worker(ts, i) })
		}
	case "unready", "ready":
		l.mu.Lock()
		l.unready[args[1]] = args[0] == "unready"
		l.mu.Unlock()
	case "stop":
		close(l.stop)
		l.wg.Wait()
		fmt.Fprintf(ts.Stdout(), "%d cut, %d refused\n", l.cut, l.refused)
		ts.Logf("%d answered; first fault: %s", l.answered, l.first)
		if l.answered == 0 {
			ts.Fatalf("the load was not answered at all")
		}
	}
}

func (f *testFleet) worker(ts *testscript.TestScript, n int) {
	l := &f.loads
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
			l.first += text
		case !strings.Contains(text, "data: [DONE]"):
			l.cut++
			l.first += text
		default:
			l.answered++
		}
		l.mu.Unlock()
	}
}

// alive prints how many of the processes still run.
func (f *testFleet) alive(ts *testscript.TestScript, names []string) {
	n := 0
	for _, name := range names {
		select {
		case <-f.procs[name].done:
		default:
			n++
		}
	}
	fmt.Fprintf(ts.Stdout(), "%d of %d\n", n, len(names))
}

// owner returns the entry that owns drafting-models, from its status object.
func (f *testFleet) owner(ts *testscript.TestScript) string {
	var o storer.Object
	ts.Check(json.Unmarshal([]byte(f.request(ts, http.MethodGet, "platform", "/objects/status/drafting-models", "")), &o))
	var s owner.Status
	ts.Check(json.Unmarshal(o.Value, &s))
	return string(s.Owner)
}

func (f *testFleet) freezeOwner(ts *testscript.TestScript) {
	f.frozen = f.owner(ts)
	f.procs[f.frozen].signal(syscall.SIGSTOP)
}
