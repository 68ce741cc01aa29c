package main

import (
	"bufio"
	"bytes"
	"cmp"
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

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	host     = "case.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	service  = "workshop-orders"
	version  = "v1"
	zoneName = "duluth-a"
	// graceS is the time in seconds from SIGTERM to SIGKILL.
	graceS = 8
)

var zones = map[string]string{zoneName: "lake-superior", "milwaukee-a": "lake-michigan"}

// process is a program that the case has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// startProcess starts a program whose output lines are passed to onLine.
func startProcess(onLine func(string), env []string, name string, args ...string) (*process, error) {
	cmd := exec.Command(name, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		s := bufio.NewScanner(out)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			onLine(s.Text())
		}
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// end sends a signal and waits for the end of the process, at most until SIGKILL had to be sent.
func (p *process) end(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
	select {
	case <-p.exited:
	case <-time.After(graceS * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// replicaSlot is a place for one replica, which keeps its address when it starts again under a new id.
type replicaSlot struct {
	id, address string
	*process
}

// fleet is a small deployment: entries, replicas and the store.
type fleet struct {
	fleetConfig
	store    *standin.Store
	settings []standin.Entry
	running  []*process
	fronts   []string
	places   []*replicaSlot

	mu sync.Mutex
	// ran holds the replicas that ran each request, left the requests whose channel was closed before their answer was whole.
	ran  map[string][]string
	left map[string]bool
}

// route is a route of the manifest, with the names that the manifest has for its fields.
type route struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	Prefix        string `json:"path-prefix"`
	Kind          string `json:"kind"`
	Timeout       int    `json:"timeout-ms"`
	TargetLatency int    `json:"target-latency-ms"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	Attempts      int    `json:"max-attempts"`
	Public        bool   `json:"public"`
	Resumable     bool   `json:"resumable"`
	GapAim        int    `json:"gap-aim-ms,omitempty"`
}

// manifest returns a manifest with a limit for headers; the other limits are those of the example on the pages.
func manifest(number int, routes []route, headerBytes int) map[string]any {
	return map[string]any{
		"version":  number,
		"routes":   routes,
		"services": []any{map[string]any{"name": service, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": headerBytes, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{apiKey}, "priority": 1}},
	}
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// freePair returns a port whose successor is free as well.
func freePair() (int, error) {
	for range 50 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		next, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port+1))
		l.Close()
		if err == nil {
			next.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no two free ports in a row")
}

// fleetConfig describes a fleet. The role is this program's command that plays a replica.
type fleetConfig struct {
	program, dir, role       string
	entries, replicas, slots int
	// grace is the time in seconds from SIGTERM to SIGKILL in the settings.
	grace  int
	routes []route
	// headerBytes is the limit for headers in the first manifest; 0 stands for that of the example on the pages.
	headerBytes int
}

// startFleet starts the store, replicas and entries, and waits until the entries are ready.
func startFleet(cfg fleetConfig) (*fleet, error) {
	f := &fleet{fleetConfig: cfg, store: standin.NewStore(), ran: map[string][]string{}, left: map[string]bool{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, f.store) }()
	if err := f.store.Set("config/main", manifest(3, cfg.routes, cmp.Or(cfg.headerBytes, headerLimit))); err != nil {
		return nil, err
	}
	for i := range cfg.replicas {
		slot := &replicaSlot{}
		f.places = append(f.places, slot)
		if err := f.startReplica(slot, fmt.Sprintf("i-%02d-0", i)); err != nil {
			return f, err
		}
	}
	for i := range cfg.entries {
		if err := f.startEntry(fmt.Sprintf("edge-%d", i), l.Addr().String()); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) startEntry(name, store string) error {
	front, err := freeAddress()
	if err != nil {
		return err
	}
	ready, err := freeAddress()
	if err != nil {
		return err
	}
	port, err := freePair()
	if err != nil {
		return err
	}
	f.settings = append(f.settings, standin.Entry{Name: name, Zone: zoneName, Callers: front, Ready: ready, Store: store, Port: port})
	if err := f.writeSettings(len(f.settings)-1, f.grace); err != nil {
		return err
	}
	f.running, f.fronts = append(f.running, nil), append(f.fronts, front)
	return f.launchEntry(len(f.running) - 1)
}

// launchEntry starts the process of an entry, also again, and waits until it is ready.
func (f *fleet) launchEntry(entry int) error {
	name, ready := f.settings[entry].Name, f.settings[entry].Ready
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p, err := startProcess(func(line string) { fmt.Fprintln(log, line) }, []string{"BRAMLEYHINGE_BOOT=" + f.settingsFile(name)}, f.program, "direct")
	if err != nil {
		return err
	}
	f.running[entry] = p
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + ready + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %s is not ready after 10 s", name)
}

func (f *fleet) settingsFile(name string) string { return filepath.Join(f.dir, name+".toml") }

// writeSettings writes the settings file of an entry in one step.
func (f *fleet) writeSettings(entry, grace int) error {
	e := f.settings[entry]
	b, err := standin.EncodeSettings(e, zones)
	if err != nil {
		return err
	}
	b = bytes.Replace(b, fmt.Appendf(nil, "grace-s = %d", standin.GraceS), fmt.Appendf(nil, "grace-s = %d", grace), 1)
	next := f.settingsFile(e.Name) + ".next"
	if err := os.WriteFile(next, b, 0o600); err != nil {
		return err
	}
	return os.Rename(next, f.settingsFile(e.Name))
}

// startReplica starts a replica and writes its entry into the store.
func (f *fleet) startReplica(slot *replicaSlot, id string) error {
	address := slot.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listening := make(chan string, 1)
	p, err := startProcess(func(line string) {
		if at, ok := strings.CutPrefix(line, "listening "); ok {
			listening <- at
		}
		if request, ok := strings.CutPrefix(line, "left "); ok {
			f.mu.Lock()
			f.left[request] = true
			f.mu.Unlock()
		}
		if request, ok := strings.CutPrefix(line, "ran "); ok {
			f.mu.Lock()
			f.ran[request] = append(f.ran[request], id)
			f.mu.Unlock()
		}
	}, nil, os.Args[0], f.role, id, address)
	if err != nil {
		return err
	}
	slot.id, slot.process = id, p
	select {
	case slot.address = <-listening:
	case <-time.After(5 * time.Second):
		return fmt.Errorf("replica %s does not listen", id)
	}
	return f.store.Announce(standin.Server{
		ID: id, Service: service, Address: slot.address, Zone: zoneName, Version: version, Slots: f.slots, StartUnixMilli: time.Now().UnixMilli(),
	})
}

func (f *fleet) runsOf(request string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[request]
}

func (f *fleet) hasLeft(request string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left[request]
}

// stop ends all processes.
func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, p := range f.running {
		if p == nil {
			continue
		}
		wg.Go(func() { p.end(syscall.SIGTERM) })
	}
	wg.Wait()
	for _, s := range f.places {
		if s.process != nil {
			s.end(syscall.SIGKILL)
		}
	}
}
