package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// waitTimeout bounds every wait of a script. It ends a stuck script and is no latency target.
const waitTimeout = 60 * time.Second

const testSecret = "a-secret-for-scripts"

// testFleet is the set of processes that one script drives.
type testFleet struct {
	procs map[string]*proc
	// stableNames holds the stable name of each value that mask replaced.
	stableNames map[string]string
	// contentNames holds the stable name of each request id and of each token's content.
	contentNames map[string]string
	nameCounts   map[string]int
	results      map[string]chan string
	proxies      map[string]*proxy
	stoppedOwner string
	load         backgroundLoad
	mu           sync.Mutex
}

// proc is one process of the script.
type proc struct {
	name     string
	kind     string
	args     []string
	addr     string
	control  string
	instance model.Instance
	cmd      *exec.Cmd
	done     chan struct{}
}

type fleetKey struct{}

func setupFleet(env *testscript.Env) error {
	f := &testFleet{procs: map[string]*proc{}, stableNames: map[string]string{}, contentNames: map[string]string{}, nameCounts: map[string]int{}, results: map[string]chan string{}, proxies: map[string]*proxy{}}
	env.Values[fleetKey{}] = f
	env.Setenv(secretVariable, testSecret)
	if err := os.CopyFS(env.WorkDir, os.DirFS("testdata/docs")); err != nil {
		return err
	}
	env.Defer(func() {
		for _, p := range f.procs {
			p.signal(syscall.SIGKILL)
		}
		for _, w := range f.proxies {
			w.listener.Close()
		}
	})
	return nil
}

func fleetOf(ts *testscript.TestScript) *testFleet { return ts.Value(fleetKey{}).(*testFleet) }

// Ports of scripts lie below the ephemeral port range, so that no outgoing connection takes a port
// between its choice and its use.
const (
	lowestPort  = 12_000
	highestPort = 32_000
)

var usedPorts sync.Map

func freeAddress(ts *testscript.TestScript) string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.N(highestPort-lowestPort))
		if _, used := usedPorts.LoadOrStore(addr, true); used {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err == nil {
			l.Close()
			return addr
		}
	}
	ts.Fatalf("no free port")
	return ""
}

// startAll reads a file with one process per line, KIND NAME [OPTION=VALUE ...], and starts all of them
// in order.
func (f *testFleet) startAll(ts *testscript.TestScript, file string) {
	var names []string
	for line := range strings.Lines(ts.ReadFile(file)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		opts := map[string]string{}
		for _, o := range fields[2:] {
			k, v, _ := strings.Cut(o, "=")
			opts[k] = v
		}
		f.defineProcess(ts, fields[0], fields[1], opts)
		if fields[0] != "forward" {
			names = append(names, fields[1])
		}
	}
	for _, n := range names {
		f.start(ts, n)
	}
	for _, n := range names {
		f.awaitReady(ts, n)
	}
}

func (f *testFleet) defineProcess(ts *testscript.TestScript, kind, name string, opts map[string]string) {
	p := &proc{name: name, kind: kind, addr: freeAddress(ts)}
	f.procs[name] = p
	switch kind {
	case "platform":
		ts.Setenv("BRAMLEYHINGE_PLATFORM", "http://"+p.addr)
		p.args = []string{"standin", "--listen", p.addr, "platform"}
	case "engine":
		p.args = []string{"standin", "--listen", p.addr, "engine", "--token", valueOr(opts["token"], "0s")}
		for v := range strings.SplitSeq(opts["versions"], ",") {
			p.args = append(p.args, "--version", v)
		}
		if opts["fencing"] == "true" {
			p.args = append(p.args, "--fencing")
		}
	case "local":
		p.args = []string{"bramleyhinge", "local"}
	case "forward":
		f.proxies[name] = newProxy(ts, p.addr)
		delete(f.procs, name)
	case "plain", "rater":
		p.args = []string{"standin", "--listen", p.addr, kind}
	default:
		f.defineInstance(ts, p, opts)
	}
}

func (f *testFleet) defineInstance(ts *testscript.TestScript, p *proc, opts map[string]string) {
	p.control = freeAddress(ts)
	place := model.Place{Region: model.RegionID(valueOr(opts["region"], "duluth")), Domain: model.DomainID(valueOr(opts["domain"], "duluth-a"))}
	p.instance = model.Instance{Instance: model.InstanceID(p.name), Role: model.Role(p.kind), Control: p.control, Place: place}
	var b strings.Builder
	fmt.Fprintf(&b, "role: %s\ninstance: %s\nplace: {region: %s, domain: %s}\n", p.kind, p.name, place.Region, place.Domain)
	platform := f.procs["platform"].addr
	if w := f.proxies[opts["platform"]]; w != nil {
		platform = w.forwardTo(platform)
	}
	if w := f.proxies[opts["control"]]; w != nil {
		p.instance.Control = w.forwardTo(p.control)
	}
	fmt.Fprintf(&b, "platform: http://%s\nsecret: env:%s\n", platform, secretVariable)
	fmt.Fprintf(&b, "drain: {lag: 300ms, grace: 30s}\nlog: {level: debug}\n")
	if limits := opts["limits"]; limits != "" {
		fmt.Fprintf(&b, "limits: {%s}\n", strings.NewReplacer(":", ": ", ",", ", ").Replace(limits))
	}
	if name := opts["tls"]; name != "" {
		work := ts.Getenv("WORK")
		fmt.Fprintf(&b, "tls: {cert: %s/%s.cert.pem, key: %s/%s.key.pem, ca: %s/%s.ca.pem}\n", work, name, work, name, work, name)
	}
	if peers := opts["peers"]; peers != "" {
		fmt.Fprintf(&b, "peers: [%s]\n", f.procs[peers].control)
	}
	if p.kind == "entry" {
		fmt.Fprintf(&b, "listen: {callers: '%s', control: '%s'}\n", p.addr, p.control)
		if r := f.procs["rater"]; r != nil {
			fmt.Fprintf(&b, "rater: http://%s\n", r.addr)
		}
	} else {
		backend := f.procs[opts["backend"]]
		kind := model.KindPlain
		if backend.kind == "engine" {
			kind = model.KindModel
		}
		p.instance.Work, p.instance.Service = p.addr, model.ServiceID(opts["service"])
		if w := f.proxies[opts["work"]]; w != nil {
			p.instance.Work = w.forwardTo(p.addr)
		}
		fmt.Fprintf(&b, "listen: {work: '%s', control: '%s'}\nservice: %s\n", p.addr, p.control, opts["service"])
		fmt.Fprintf(&b, "backend: {url: 'http://%s', kind: %s, concurrency: %s}\n", backend.addr, kind, valueOr(opts["concurrency"], "16"))
	}
	file := filepath.Join(ts.Getenv("WORK"), p.name+".settings.yaml")
	ts.Check(os.WriteFile(file, []byte(b.String()), 0o600))
	p.args = []string{"bramleyhinge", p.kind, "--settings", file}
}

func valueOr(s, def string) string {
	if s == "" {
		return def
	}
	return s
}

// start runs a defined process for the first time, or again after it was stopped or killed.
func (f *testFleet) start(ts *testscript.TestScript, name string) {
	p := f.procs[name]
	if p == nil {
		ts.Fatalf("no process %s", name)
	}
	if p.instance.Instance != "" {
		f.putInstance(ts, p.instance)
	}
	path, err := exec.LookPath(filepath.Join(ts.Getenv("WORK"), ".bin", p.args[0]))
	if err != nil {
		path, err = lookPath(ts, p.args[0])
	}
	ts.Check(err)
	log, err := os.OpenFile(filepath.Join(ts.Getenv("WORK"), name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	p.cmd = exec.Command(path, p.args[1:]...)
	p.cmd.Env = append(os.Environ(), secretVariable+"="+testSecret)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	ts.Check(p.cmd.Start())
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		// Wait's error is dropped here; stop checks the exit state.
		_ = cmd.Wait()
		log.Close()
		close(done)
	}(p.cmd, p.done)
	if p.kind != "entry" && p.kind != "agent" {
		f.awaitReady(ts, name)
	}
}

func lookPath(ts *testscript.TestScript, name string) (string, error) {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if path := filepath.Join(dir, name); isFile(path) {
			return path, nil
		}
	}
	return "", fmt.Errorf("%s is not in PATH", name)
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && !info.IsDir()
}

var readyLine = regexp.MustCompile(`(?m)^ready http://(.+)$`)

// awaitReady waits until a process accepts connections. For an entry it waits for status 200 at
// /readyz, and for the local fleet for the ready line in the log.
func (f *testFleet) awaitReady(ts *testscript.TestScript, name string) {
	p := f.procs[name]
	f.waitFor(ts, "ready "+name, func() bool {
		if p.kind == "local" {
			log, err := os.ReadFile(filepath.Join(ts.Getenv("WORK"), name+".log"))
			m := readyLine.FindSubmatch(log)
			if err == nil && m != nil {
				p.addr = string(m[1])
			}
			return m != nil
		}
		if p.kind == "entry" {
			resp, err := http.Get("http://" + p.addr + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}
		conn, err := net.Dial("tcp", p.addr)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

func (f *testFleet) waitFor(ts *testscript.TestScript, condition string, done func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			f.dumpLogs(ts)
			ts.Fatalf("timed out waiting for: %s", condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *testFleet) dumpLogs(ts *testscript.TestScript) {
	for name := range f.procs {
		b, err := os.ReadFile(filepath.Join(ts.Getenv("WORK"), name+".log"))
		if err == nil {
			ts.Logf("log of %s:\n%s", name, b[max(0, len(b)-3000):])
		}
	}
}

func (p *proc) signal(sig syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		// Signalling a process that has already exited fails, and that is fine.
		_ = p.cmd.Process.Signal(sig)
	}
}

// stop ends a process with SIGTERM, checks that instances and the local fleet exit with code 0, and
// removes an instance from the platform's list.
func (f *testFleet) stop(ts *testscript.TestScript, name string) {
	p := f.procs[name]
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		f.dumpLogs(ts)
		ts.Fatalf("%s did not stop", name)
	}
	if !p.cmd.ProcessState.Success() && (p.instance.Instance != "" || p.kind == "local") {
		f.dumpLogs(ts)
		ts.Fatalf("%s ended with %v", name, p.cmd.ProcessState)
	}
	if p.instance.Instance != "" {
		f.request(ts, http.MethodDelete, "platform", "/instances/"+name, "")
	}
}

func (f *testFleet) kill(_ *testscript.TestScript, name string) {
	p := f.procs[name]
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (f *testFleet) resume(_ *testscript.TestScript, name string) {
	f.procs[name].signal(syscall.SIGCONT)
}

// setInstanceState sets the state of an instance in the platform's list: live, leaving or gone.
func (f *testFleet) setInstanceState(ts *testscript.TestScript, name, state string) {
	instance := f.procs[name].instance
	if state == "gone" {
		f.request(ts, http.MethodDelete, "platform", "/instances/"+name, "")
		return
	}
	instance.Draining = state == "leaving"
	f.putInstance(ts, instance)
}

func (f *testFleet) putInstance(ts *testscript.TestScript, instance model.Instance) {
	b, err := json.Marshal(instance)
	ts.Check(err)
	f.request(ts, http.MethodPut, "platform", "/instances", string(b))
}

func (f *testFleet) request(ts *testscript.TestScript, method, name, path, body string) string {
	r, err := http.NewRequest(method, "http://"+f.procs[name].addr+path, strings.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		f.dumpLogs(ts)
	}
	ts.Check(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	ts.Check(err)
	return string(b)
}

// setFaults sets the fault switches of a stand-in, or the quality that the rater reports.
func (f *testFleet) setFaults(ts *testscript.TestScript, name, switches string) {
	path := "/faults"
	if f.procs[name].kind == "rater" {
		path = "/quality"
	}
	f.request(ts, http.MethodPost, name, path, switches)
}

// printGet prints the answer of a stand-in or entry to a GET.
func (f *testFleet) printGet(ts *testscript.TestScript, name, path string) {
	fmt.Fprintln(ts.Stdout(), strings.TrimSpace(f.request(ts, http.MethodGet, name, path, "")))
}

// awaitText repeats a GET until its answer contains a text, or with ! until it does not contain it.
func (f *testFleet) awaitText(ts *testscript.TestScript, neg bool, args []string) {
	if args[0] == "!" {
		neg, args = true, args[1:]
	}
	f.waitFor(ts, strings.Join(args, " "), func() bool {
		return strings.Contains(f.request(ts, http.MethodGet, args[0], args[1], ""), args[2]) != neg
	})
}

// editFile replaces a text in a file: edit FILE OLD NEW.
func editFile(ts *testscript.TestScript, _ bool, args []string) {
	old := ts.ReadFile(args[0])
	if !strings.Contains(old, args[1]) {
		ts.Fatalf("%s does not contain %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), bytes.ReplaceAll([]byte(old), []byte(args[1]), []byte(args[2])), 0o600))
}

// printCallCount prints how many calls with this body all plain services together ran.
func (f *testFleet) printCallCount(ts *testscript.TestScript, body string) {
	total := 0
	for name, p := range f.procs {
		if p.kind != "plain" {
			continue
		}
		var counts map[string]int
		ts.Check(json.Unmarshal([]byte(f.request(ts, http.MethodGet, name, "/counts", "")), &counts))
		for call, n := range counts {
			if strings.HasSuffix(call, " "+body) {
				total += n
			}
		}
	}
	fmt.Fprintln(ts.Stdout(), total)
}
