package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	zone, region = "addis-bole", "addis"
	// farZone is in another region, farLink the time one way to it.
	farZone, farRegion = "bahirdar-lake", "bahirdar"
	farLink            = 12 * time.Millisecond
	host               = "desk.example"
	tenant, key        = "hule930", "n2ctnfzs989anu6wsjnb"
	// storeDelay is the response time of the store.
	storeDelay = 4 * time.Millisecond
)

// world holds the processes and stand-ins of a case, and the record of what they saw.
type world struct {
	program, tmp string
	start        time.Time
	store        *standin.Store
	storeAddress string
	storeServer  *http.Server
	entries      []*entry

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	arrivals []arrival
	closed   bool
}

// arrival is a request at a backend server.
type arrival struct {
	id, server, service, version, session string
	at, ended                             time.Time
	// ran is set if the server began to work on the request; status is its own answer to it, 0 if it gave none.
	ran    bool
	status int
	// slow is set if the server took several times its usual time.
	slow bool
}

func newWorld(program, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, start: time.Now(), store: standin.NewStore(), file: file, record: bufio.NewWriter(file)}
	if w.tmp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	w.store.SetFaults(standin.StoreFaults{Delay: storeDelay})
	w.storeServer = &http.Server{Handler: withoutEra(w.store)}
	go func() {
		// Serve returns when the world closes.
		_ = w.storeServer.Serve(l)
	}()
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.mu.Unlock()
	for _, e := range w.entries {
		e.kill()
	}
	w.copyDecisions()
	_ = w.storeServer.Close()
	_ = os.RemoveAll(w.tmp)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
}

// copyDecisions copies what the entries logged of roll-outs to the record.
func (w *world) copyDecisions() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		b, err := os.ReadFile(e.log.Name())
		if err != nil {
			continue
		}
		for line := range bytes.Lines(b) {
			if bytes.Contains(line, []byte("shifter: ")) || bytes.Contains(line, []byte("follower: roll-out order")) {
				fmt.Fprintf(w.record, "log of %s: %s", e.name, line)
			}
		}
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time as seconds since the start of the case.
func (w *world) since(t time.Time) float64 { return t.Sub(w.start).Seconds() }

func (w *world) arrived(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

// seen returns all arrivals so far.
func (w *world) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// publish writes a manifest with one route to the store.
func (w *world) publish(version int, r route) error {
	return w.store.Set("config/main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": r.name, "host": host, "path-prefix": r.prefix, "service": r.service, "kind": r.kind,
			"timeout-ms": r.timeout.Milliseconds(), "target-latency-ms": r.target.Milliseconds(), "max-attempts": r.attempts, "priority": 2,
		}},
		"services": []any{map[string]any{"name": r.service, "health-path": "/health", "max-connections": 110}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api-keys": []string{key}}},
	})
}

// route is the one route of a manifest.
type route struct {
	name, prefix, service, kind string
	timeout, target             time.Duration
	attempts                    int
}

// order writes a roll-out order to the store, as the operator does.
func (w *world) order(service, version string, duration time.Duration) (time.Time, error) {
	err := w.store.Set("rollouts/"+service, map[string]any{"service": service, "target": version, "duration-s": duration.Seconds()})
	now := time.Now()
	w.say("operator: order for %s to move to %s within %v", service, version, duration)
	return now, err
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (w *world) path(name string) string { return filepath.Join(w.tmp, name) }

// plainWriter drops the header of the stand-in for the store that the pages do not name.
type plainWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (p plainWriter) WriteHeader(status int) {
	p.Header().Del("Store-Era")
	p.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (p plainWriter) Write(b []byte) (int, error) {
	p.Header().Del("Store-Era")
	return p.ResponseWriter.Write(b)
}

func withoutEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(plainWriter{w}, r) })
}
