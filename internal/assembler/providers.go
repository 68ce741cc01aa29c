// Package assembler builds entry and agent processes from their settings, by dependency injection with Wire.
package assembler

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/agent"
	"github.com/bramleyhinge/bramleyhinge/internal/logger"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/owner"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/router"
	"github.com/bramleyhinge/bramleyhinge/internal/signer"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxQueuedRecords is the number of records that may wait until they are stored on the platform.
const maxQueuedRecords = 100_000

// Output is the writer of a process's log.
type Output struct{ io.Writer }

// EntryProcess is an entry with its control server.
type EntryProcess struct {
	Entry  *router.Entry
	Server *messenger.Server
	Log    zerolog.Logger
}

// AgentProcess is an agent with its control server.
type AgentProcess struct {
	Agent  *agent.Agent
	Server *messenger.Server
	Log    zerolog.Logger
}

func provideLogger(out Output, s *model.Settings) zerolog.Logger {
	return logger.New(out, s.Log, s.Instance)
}

func provideTLS(s *model.Settings) (*tls.Config, error) { return messenger.LoadTLS(s.TLS) }

func provideSelf(s *model.Settings) model.Instance {
	return model.Instance{
		Instance: s.Instance, Role: s.Role, Service: s.Service,
		Work: s.Listen.Work, Control: s.Listen.Control, Place: s.Place,
	}
}

func providePool(s *model.Settings, tlsConfig *tls.Config, log zerolog.Logger) *messenger.Pool {
	return messenger.NewPool(messenger.ClientConfig{
		Instance: s.Instance, Role: s.Role, Secret: messenger.Secret(s.Secret), TLS: tlsConfig,
		OnSilence: func(addr string) {
			log.Warn().Str("address", addr).Msg("messenger: the process at this address is silent on an open connection, which is closed")
		},
	})
}

func provideServer(s *model.Settings, tlsConfig *tls.Config) *messenger.Server {
	return messenger.NewServer(messenger.ServerConfig{
		Instance: s.Instance, Secret: messenger.Secret(s.Secret), TLS: tlsConfig, Connections: s.Limits.Connections,
	})
}

func provideStoreClient(s *model.Settings, log zerolog.Logger) *storer.Client {
	return storer.NewClient(storer.ClientConfig{URL: s.Platform, OnSilence: func(key string, waited time.Duration) {
		log.Warn().Str("key", key).Dur("waited", waited).Msg("storer: the platform is silent on an open connection, calling it on a new one")
	}})
}

func provideWatcher(s *model.Settings, self model.Instance, store storer.Store, lister storer.Lister, pool *messenger.Pool, log zerolog.Logger) *watcher.Watcher {
	return watcher.New(watcher.Config{
		Self: self, Scope: s.Service, Store: store, Lister: lister, Pool: pool,
		Peers: s.Peers, Lease: s.Lease, Log: log,
	})
}

func provideWorkClient(s *model.Settings, tlsConfig *tls.Config) *messenger.WorkClient {
	return messenger.NewWorkClient(messenger.WorkConfig{Secret: messenger.Secret(s.Secret), TLS: tlsConfig})
}

func ledgerLayout(s *model.Settings) recorder.Layout {
	return recorder.Layout{ClaimShards: s.Ledger.ClaimShards, UsageShards: s.Ledger.UsageShards}
}

func provideLedger(s *model.Settings, store storer.Store, log zerolog.Logger) *recorder.Ledger {
	return recorder.New(recorder.Config{
		Self: s.Instance, Store: store, Layout: ledgerLayout(s), Flush: s.Ledger.Flush, Window: s.Ledger.Window, Log: log,
	})
}

func provideEntryRecorderClient(s *model.Settings, w *watcher.Watcher, pool *messenger.Pool, ledger *recorder.Ledger, log zerolog.Logger) *recorder.Client {
	return recorder.NewClient(recorder.ClientConfig{
		Self: s.Instance, View: w.View, Pool: pool, Local: ledger, Layout: ledgerLayout(s), MaxQueueLength: maxQueuedRecords, Log: log,
	})
}

func provideAgentRecorderClient(s *model.Settings, w *watcher.Watcher, pool *messenger.Pool, log zerolog.Logger) *recorder.Client {
	return recorder.NewClient(recorder.ClientConfig{
		Self: s.Instance, View: w.View, Pool: pool, Layout: ledgerLayout(s), MaxQueueLength: maxQueuedRecords, Log: log,
	})
}

func provideOwner(self model.Instance, store storer.Store, w *watcher.Watcher, pool *messenger.Pool, log zerolog.Logger) *owner.Owner {
	return owner.New(owner.Config{Self: self, Store: store, Watcher: w, Pool: pool, Log: log})
}

func provideEntry(s *model.Settings, self model.Instance, w *watcher.Watcher, store storer.Store, pool *messenger.Pool, work *messenger.WorkClient, ledger *recorder.Ledger, records *recorder.Client, sign *signer.Signer, own *owner.Owner, m *meter.Meter, log zerolog.Logger) *router.Entry {
	return router.New(router.Config{
		Settings: s, Self: self, Watcher: w, Store: store, Pool: pool, Work: work, Ledger: ledger,
		Records: records, Signer: sign, Owner: own, Meter: m, Log: log,
	})
}

func provideEntryProcess(e *router.Entry, server *messenger.Server, log zerolog.Logger) *EntryProcess {
	e.Register(server)
	return &EntryProcess{Entry: e, Server: server, Log: log}
}

func provideAgent(s *model.Settings, w *watcher.Watcher, store storer.Store, pool *messenger.Pool, records *recorder.Client, tlsConfig *tls.Config, m *meter.Meter, log zerolog.Logger) *agent.Agent {
	return agent.New(agent.Config{
		Settings: s, TLS: tlsConfig, Watcher: w, Store: store, Pool: pool, Records: records, Meter: m, Log: log,
	})
}

func provideAgentProcess(a *agent.Agent, server *messenger.Server, log zerolog.Logger) *AgentProcess {
	a.Register(server)
	return &AgentProcess{Agent: a, Server: server, Log: log}
}
