// Package launcher runs a small fleet in one process: entries, agents, and stand-ins for the platform, the
// rating service and the backend servers, connected over loopback sockets.
package launcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/assembler"
	"github.com/bramleyhinge/bramleyhinge/internal/operator"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Backend configures one backend server of the fleet. Fencing sets whether it refuses orders with an old
// fencing number.
type Backend struct {
	Service  model.ServiceID
	Kind     model.Kind
	Versions []string
	Place    model.Place
	Fencing  bool
}

// Config configures a fleet with one entry for each place in Entries. Quality is the rating that the rating
// service returns for each version, TokenDelay the time that a model server takes for one token.
type Config struct {
	Documents  [][]byte
	Entries    []model.Place
	Backends   []Backend
	Quality    map[string]float64
	TokenDelay time.Duration
	Drain      model.DrainSettings
	Lease      time.Duration
	Log        io.Writer
	Level      string
}

// Fleet is a running fleet.
type Fleet struct {
	Platform    *standin.Platform
	PlatformURL string
	Rater       *standin.Rater
	Secret      string
	Entries     []*Member
	Agents      []*Member
	cfg         Config
	raterURL    string
	wg          sync.WaitGroup
	mu          sync.Mutex
	errs        []error
}

// Member is one entry or agent of the fleet. URL is the address of an entry for its callers; Engine or Plain,
// and Backend, are the backend server of an agent.
type Member struct {
	Instance model.Instance
	URL      string
	Engine   *standin.Engine
	Plain    *standin.Plain
	Backend  *RestartableServer
	stop     context.CancelFunc
	done     chan struct{}
}

// Stop drains the member and waits until it has stopped.
func (m *Member) Stop() {
	m.stop()
	<-m.done
}

// Start starts a fleet, which runs until the context ends.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	secret := make([]byte, 16)
	// crypto/rand.Read never returns an error on supported systems.
	rand.Read(secret)
	f := &Fleet{cfg: cfg, Platform: standin.NewPlatform(), Rater: standin.NewRater(cfg.Quality), Secret: hex.EncodeToString(secret)}
	var err error
	if f.PlatformURL, err = f.serveStandIn(ctx, f.Platform.Handler()); err != nil {
		return nil, err
	}
	if f.raterURL, err = f.serveStandIn(ctx, f.Rater.Handler()); err != nil {
		return nil, err
	}
	for _, text := range cfg.Documents {
		change := operator.Change{File: "document", Text: text, ChangedBy: "launcher", ExpectedRevision: operator.AnyRevision}
		if _, err := operator.Apply(ctx, f.Platform, change, time.Now()); err != nil {
			return nil, err
		}
	}
	for _, b := range cfg.Backends {
		if _, err := f.AddAgent(ctx, b); err != nil {
			return nil, err
		}
	}
	for _, p := range cfg.Entries {
		if _, err := f.AddEntry(ctx, p); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Wait waits until all members have stopped and returns their errors.
func (f *Fleet) Wait() error {
	f.wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.errs...)
}

func (f *Fleet) serveStandIn(ctx context.Context, h http.Handler) (string, error) {
	s, err := NewRestartableServer("127.0.0.1:0", h)
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { time.AfterFunc(f.cfg.Drain.Grace, s.Close) })
	return s.URL(), nil
}

func listenLoopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return l, nil
}

func (f *Fleet) instanceSettings(role model.Role, id string, place model.Place) *model.Settings {
	return &model.Settings{
		Role: role, Instance: model.InstanceID(id), Place: place,
		Platform: f.PlatformURL, Rater: f.raterURL, Secret: f.Secret, Lease: f.leaseDuration(),
		Limits: model.Limits{Body: 4 << 20, Header: 64 << 10, RequestTimeout: 10 * time.Minute, Connections: 1024, AnswerMemory: 32 << 20, BodyMemory: 256 << 20, OrganisationConcurrency: 1024},
		Ledger: model.LedgerSettings{ClaimShards: 4, UsageShards: 8, Flush: 100 * time.Millisecond, Window: 24 * time.Hour},
		Drain:  f.cfg.Drain,
		Log:    model.LogSettings{Level: f.cfg.Level, Format: "text"},
	}
}

func (f *Fleet) leaseDuration() time.Duration {
	if f.cfg.Lease > 0 {
		return f.cfg.Lease
	}
	return 3 * time.Second
}

// AddEntry starts another entry.
func (f *Fleet) AddEntry(ctx context.Context, place model.Place) (*Member, error) {
	callers, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	control, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	s := f.instanceSettings(model.RoleEntry, fmt.Sprintf("entry-%d", len(f.Entries)+1), place)
	s.Listen = model.Listen{Callers: callers.Addr().String(), Control: control.Addr().String()}
	p, err := assembler.NewEntry(s, assembler.Output{Writer: f.cfg.Log})
	if err != nil {
		return nil, err
	}
	m := &Member{URL: "http://" + s.Listen.Callers}
	m.Instance = model.Instance{Instance: s.Instance, Role: s.Role, Control: s.Listen.Control, Place: place}
	f.Entries = append(f.Entries, m)
	f.run(ctx, m, func(ctx context.Context) error { return p.Entry.Run(ctx, callers, control, p.Server) })
	return m, nil
}

// AddAgent starts another backend server with its agent.
func (f *Fleet) AddAgent(ctx context.Context, b Backend) (*Member, error) {
	work, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	control, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	m := &Member{}
	if err := f.startBackend(m, b); err != nil {
		return nil, err
	}
	s := f.instanceSettings(model.RoleAgent, fmt.Sprintf("agent-%d", len(f.Agents)+1), b.Place)
	s.Service = b.Service
	s.Backend = model.Backend{URL: m.Backend.URL(), Kind: b.Kind, Concurrency: 32}
	s.Listen = model.Listen{Work: work.Addr().String(), Control: control.Addr().String()}
	p, err := assembler.NewAgent(s, assembler.Output{Writer: f.cfg.Log})
	if err != nil {
		return nil, err
	}
	m.Instance = model.Instance{Instance: s.Instance, Role: s.Role, Service: b.Service, Work: s.Listen.Work, Control: s.Listen.Control, Place: b.Place}
	f.Agents = append(f.Agents, m)
	f.run(ctx, m, func(ctx context.Context) error { return p.Agent.Run(ctx, work, control, p.Server) })
	return m, nil
}

func (f *Fleet) startBackend(m *Member, b Backend) error {
	var handler http.Handler
	crash := func() { m.Backend.Crash() }
	if b.Kind == model.KindPlain {
		m.Plain = standin.NewPlain(standin.PlainConfig{Crash: crash})
		handler = m.Plain.Handler()
	} else {
		faults := standin.EngineFaults{TokenDelay: f.cfg.TokenDelay}
		m.Engine = standin.NewEngine(standin.EngineConfig{Versions: b.Versions, Fencing: b.Fencing, Faults: faults, Crash: crash})
		handler = m.Engine.Handler()
	}
	s, err := NewRestartableServer("127.0.0.1:0", handler)
	m.Backend = s
	return err
}

func (f *Fleet) run(ctx context.Context, m *Member, run func(ctx context.Context) error) {
	ctx, m.stop = context.WithCancel(ctx)
	m.done = make(chan struct{})
	f.Platform.SetInstance(m.Instance)
	f.wg.Go(func() {
		defer close(m.done)
		if err := run(ctx); err != nil {
			f.mu.Lock()
			f.errs = append(f.errs, fmt.Errorf("%s: %w", m.Instance.Instance, err))
			f.mu.Unlock()
		}
		f.Platform.RemoveInstance(m.Instance.Instance)
	})
}

// WaitReady waits until all entries report ready; it returns an error if the context ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, e := range f.Entries {
		for !isReady(ctx, e.URL) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s did not become ready: %w", e.Instance.Instance, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
