package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"
)

// Bounds of the settings, those of the users' small deployments.
const (
	contact      = 4 * time.Second
	drain        = 2500 * time.Millisecond
	rollback     = 5 * time.Second
	exposeShare  = 0.15
	exposeSlack  = 30
	badAnswers   = 50
	sessionBound = 5 * time.Second
)

// entry is one entry, run as a separate process.
type entry struct {
	name, front, ready string
	cmd                *exec.Cmd
	log                *os.File
}

// startEntries starts n entries and waits until all are ready.
func (w *world) startEntries(n int) error {
	for i := range n {
		e, err := w.newEntry(fmt.Sprintf("edge-%s-%d", zone, i+1))
		if err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	w.say("%d entries are ready", n)
	return nil
}

// freePorts returns the first of two ports in a row that are free for TCP and UDP.
func freePorts() (int, error) {
	for range 100 {
		address, err := freeAddress()
		if err != nil {
			return 0, err
		}
		_, text, err := net.SplitHostPort(address)
		if err != nil {
			return 0, err
		}
		port, err := strconv.Atoi(text)
		if err != nil || port >= 65535 {
			continue
		}
		next := net.JoinHostPort("127.0.0.1", strconv.Itoa(port+1))
		l, err := net.Listen("tcp4", next)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", next)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return port, nil
	}
	return 0, fmt.Errorf("%w: no two ports in a row are free", errNotRun)
}

func (w *world) newEntry(name string) (*entry, error) {
	e := &entry{name: name}
	var err error
	if e.front, err = freeAddress(); err != nil {
		return nil, err
	}
	if e.ready, err = freeAddress(); err != nil {
		return nil, err
	}
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"node": name, "role": "entry", "machine-class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": zone, "region": region,
		"port-range": []int{port, port + 1}, "seeds": []string{}, "bootstrap": true, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"zones":     map[string]string{zone: region, farZone: farRegion},
		"listen":    map[string]any{"front": e.front, "ready": e.ready},
		"limits":    map[string]any{"cpu-share": 0.304, "cores": 1, "memory-mb": 134, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": contact.Milliseconds(), "ack-ms": 5000, "catch-up-s": 4, "drain-ms": drain.Milliseconds(),
			"grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2500, "rollback-slack-ms": 250, "max-stretch-ms": 6000, "strict-revoke": true,
			"revoke-ms": 5000, "retry-budget-ratio": 0.9, "budget-window-s": 10, "budget-slack": 58, "expose-share": exposeShare,
			"expose-slack": exposeSlack, "rollback-ms": rollback.Milliseconds(), "recover-s": 12, "pass-ms": 250, "reuse-window-s": 10,
			"session-s": sessionBound.Seconds(),
		},
		"platform": map[string]any{
			"address": w.storeAddress, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000,
		},
	}
	file := w.path(name + ".toml")
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := toml.NewEncoder(f).Encode(settings); err != nil {
		return nil, err
	}
	if err := f.Close(); err != nil {
		return nil, err
	}
	if e.log, err = os.Create(w.path(name + ".log")); err != nil {
		return nil, err
	}
	e.cmd = exec.Command(w.program, "direct")
	e.cmd.Env = append(os.Environ(), "BRAMLEYHINGE_BOOT="+file)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	if err := e.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: start %s: %w", errNotRun, name, err)
	}
	w.note("process %s started", name)
	return e, nil
}

func (e *entry) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready after %v", errNotRun, e.name, limit)
}

// kill ends the process.
func (e *entry) kill() {
	if e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
	_ = e.log.Close()
}
