package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const host = "review.example"

// Bounds of the settings, as on the page about the deployment.
const (
	contactMs = 4000
	graceS    = 8
)

// run is one run of a case: the store, the replicas, the system's processes and the record.
type run struct {
	program string
	dir     string
	trouble bool
	store   *store
	address string

	mu     sync.Mutex
	record *os.File
	start  time.Time
	ran    map[string][]string
	nodes  []*node
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// noteRan records that a replica began to work on a request.
func (r *run) noteRan(id, replica string) {
	r.mu.Lock()
	r.ran[id] = append(r.ran[id], replica)
	r.mu.Unlock()
	r.note("ran     %s at %s", id, replica)
}

func (r *run) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ran[id]...)
}

// serve answers HTTP on a free loopback port and returns the address.
func serve(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s, nil
}

// newRun starts the store.
func newRun(program, dir, recordPath string, trouble bool) (*run, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &run{program: program, dir: dir, trouble: trouble, store: newStore(), record: f, start: time.Now(), ran: map[string][]string{}}
	r.address, _, err = serve(r.store)
	return r, err
}

// replica registers itself in the store and answers requests with its handler.
type replica struct {
	id, service, zone, version string
	slots                      int
	// models lists the models that an engine runs.
	models  []string
	address string
}

// entry returns what the replica writes about itself.
func (p *replica) entry(state string) map[string]any {
	out := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": p.version, "slots": p.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli() / 60000 * 60000,
	}
	if len(p.models) > 0 {
		var models []map[string]any
		for _, m := range p.models {
			models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
		}
		out["stage"], out["models"] = "colocated", models
	}
	return out
}

// startReplica starts a replica whose handler works on requests.
func (r *run) startReplica(p *replica, work http.HandlerFunc) error {
	address, _, err := serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health" {
			w.Header().Set("X-Replica-Id", p.id)
			return
		}
		id := q.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		if want := q.Header.Get("X-Expect-Replica"); want != "" && want != p.id {
			w.Header().Set("X-Replica-Id", p.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if id == "" {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("X-Replica-Seal", "seal."+p.id+"."+id)
		work(w, q)
	}))
	if err != nil {
		return err
	}
	p.address = address
	r.store.set("servers", p.id, p.entry("ready"))
	return nil
}

// node is one process of the system.
type node struct {
	name, front, ready string
	settings, log      string
	cmd                *exec.Cmd
	done               chan struct{}
	started            time.Time
}

// freePorts returns the first of n consecutive ports that are free.
func freePorts(n int) (int, error) {
	for try := 0; try < 200; try++ {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := first+n < 65535
		for p := first; free && p < first+n; p++ {
			t, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			_ = t.Close()
			u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

// startNode writes the settings of a node and starts it with the command of the deploy file.
func (r *run) startNode(name, zone, region string) (*node, error) {
	port, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, front: fmt.Sprintf("127.0.0.1:%d", port), ready: fmt.Sprintf("127.0.0.1:%d", port+1),
		settings: filepath.Join(r.dir, name+".toml"), log: filepath.Join(r.dir, name+".log"),
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = %q
port-range = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"]
[zones]
a-1 = "a"
b-1 = "b"
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.304
cores = 1
memory-mb = 284
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = %d
ack-ms = 5000
catch-up-s = 4
drain-ms = 2500
grace-s = %d
loss-slack-ms = 200
config-apply-ms = 2500
rollback-slack-ms = 250
max-stretch-ms = 6000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.9
budget-window-s = 10
budget-slack = 52
expose-share = 0.15
expose-slack = 30
rollback-ms = 5000
recover-s = 12
pass-ms = 250
reuse-window-s = 10
session-s = 5
[platform]
address = %q
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`, name, zone, region, port+2, port+4, n.front, n.ready, contactMs, graceS, r.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.nodes = append(r.nodes, n)
	return n, r.startProcess(n)
}

func (r *run) startProcess(n *node) error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(r.program, "direct")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "BRAMLEYHINGE_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.started = time.Now()
	if err := n.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.done = done
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	r.note("process %s starts", n.name)
	return nil
}

// stop ends a node's process.
func (n *node) stop(s syscall.Signal) {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Signal(s)
	select {
	case <-n.done:
	case <-time.After((graceS + 1) * time.Second):
		_ = n.cmd.Process.Kill()
		<-n.done
	}
}

// awaitReady waits until a node's readiness path answers 200.
func (n *node) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + n.ready + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", n.name, ctx.Err())
}

func (r *run) close() {
	for _, n := range r.nodes {
		n.stop(syscall.SIGKILL)
		r.noteTrouble(n)
	}
	_ = r.record.Close()
}

// noteTrouble writes to the record how often a node's output tells of a panic, and the first of these lines.
func (r *run) noteTrouble(n *node) {
	b, err := os.ReadFile(n.log)
	if err != nil {
		return
	}
	count, first := 0, ""
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, "panic serving") {
			if count++; first == "" {
				first = strings.TrimSpace(line)
			}
		}
	}
	if count > 0 {
		r.note("%s wrote %d lines about a panic, the first: %s", n.name, count, first)
	}
}
