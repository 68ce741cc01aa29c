package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/follower"
	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/logger"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/quarantiner"
	"github.com/bramleyhinge/bramleyhinge/internal/shifter"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/platform"
)

// marksKind is the kind of the objects that direct entries leave for each other.
const marksKind = "bramleyhinge-marks"

// memoryShare is the part of the process's memory that the garbage collector aims to stay under.
const memoryShare = 0.6

type directCommand struct {
	level  string
	floors []int
}

func bindDirect(c *kingpin.CmdClause) command {
	d := &directCommand{}
	c.Flag("log", "Log level: debug, info, warn or error.").Default("info").EnumVar(&d.level, "debug", "info", "warn", "error")
	c.Flag("floor", "Confidence in percent under which an answer is dropped for one of the largest model, for each rank of urgency from the first.").
		Default("65", "55", "45").IntsVar(&d.floors)
	return d
}

func (d *directCommand) run(ctx context.Context, out io.Writer) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fmt.Errorf("environment variable %s is not set: let it name the settings file", platform.SettingsVariable)
	}
	ps, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	return d.serve(ctx, ps, out)
}

func (d *directCommand) serve(ctx context.Context, ps platform.Settings, out io.Writer) error {
	s := ps.EntrySettings()
	// A log that nobody reads must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	m := meter.New()
	lines := logger.NewBoundedWriter(out, func(n int) { m.Count("log/lost", n) })
	// An error tells that nobody reads the log any more, so there is nobody to tell it to.
	defer func() { _ = lines.Close() }()
	log := logger.New(lines, model.LogSettings{Level: d.level, Format: "json"}, s.Instance)
	listeners, err := listenDirect(s, log)
	if err != nil {
		return err
	}
	store := platform.NewStore(ps.Platform.Address)
	belief := follower.New(follower.Config{
		Store: store,
		Kinds: follower.Kinds{Plan: platform.KindConfig, Servers: platform.KindServers, Orders: platform.KindRollouts, Shared: marksKind},
		Decode: follower.Decoder{
			IsPlan: platform.IsManifestKey, Plan: platform.DecodePlan, Server: ps.DecodeServer, Order: platform.DecodeRollout,
		},
		MaxKeyAge: s.MaxKeyAge, Clock: follower.BootClock, Meter: m, Log: log,
	})
	versions := shifter.New(shifter.Config{
		Self: s.Instance, PlatformState: belief, Store: store, SharedKind: marksKind,
		OrderKey: platform.OrderKey, EncodeStatus: platform.EncodeStatus, Exposure: s.Exposure, Log: log,
	})
	poison := quarantiner.New(quarantiner.Config{Store: store, SharedKind: marksKind, Log: log})
	belief.OnSharedObject(func(o storer.Object) { poison.Merge(o, time.Now()) })
	var f *forwarder.Forwarder
	gossip := gossiper.New(gossiper.Config{
		Self: s.Instance, Place: s.Place, Address: s.Gossip, Store: store, SharedKind: marksKind, Log: log,
		Local:      func() map[model.BackendID]gossiper.OpenWork { return f.OpenWork() },
		Broadcasts: versions.Broadcasts, OnBroadcast: versions.OnBroadcast,
	})
	belief.OnSharedObject(func(o storer.Object) { gossip.UpdateMember(o, time.Now()) })
	f = forwarder.New(forwarder.Config{
		Settings: s, Names: platform.Names(), PlatformState: belief,
		Versions:   versions,
		Quarantine: poison,
		Cascade:    chooser.CascadeConfig{Floors: d.floors},
		RemoteWork: gossip.RemoteWork,
		Clock:      follower.BootClock, Meter: m, Log: log,
	})
	log.Info().Str("callers", s.Callers).Str("domain", string(s.Place.Domain)).Msg("direct: started")
	var wg sync.WaitGroup
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	wg.Go(func() { belief.Run(life) })
	wg.Go(func() { versions.Run(life) })
	if conn, err := listenGossip(s.Gossip); err != nil {
		log.Warn().Err(err).Str("address", s.Gossip).Msg("direct: other entries are not heard")
	} else {
		wg.Go(func() { gossip.Run(life, conn) })
	}
	wg.Go(func() {
		d.reload(life, log, func(s model.DirectSettings) { belief.SetMaxKeyAge(s.MaxKeyAge); f.SetRetryBudget(s.RetryBudget) })
	})
	err = f.Run(ctx, listeners)
	end()
	wg.Wait()
	log.Info().AnErr("cause", err).Msg("direct: stopped")
	return err
}

// reloadEvery is how often the settings file is looked at, since it may change without a signal.
const reloadEvery = 2 * time.Second

// reload applies changed settings on a signal or when the file changed. Settings that are
// wrong leave the last ones in force.
func (d *directCommand) reload(ctx context.Context, log zerolog.Logger, apply func(model.DirectSettings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	path := os.Getenv(platform.SettingsVariable)
	var last []byte
	for {
		b, err := os.ReadFile(path)
		if err != nil {
			log.Error().Err(err).Msg("direct: settings cannot be read, the last ones stay in force")
		} else if last != nil && !bytes.Equal(b, last) {
			d.applySettings(log, b, apply)
		}
		if err == nil {
			last = b
		}
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info().Msg("direct: asked to reload")
		case <-t.C:
		}
	}
}

func (*directCommand) applySettings(log zerolog.Logger, b []byte, apply func(model.DirectSettings)) {
	s, err := platform.ParseSettings(b)
	if err != nil {
		log.Error().Err(err).Msg("direct: settings are wrong, the last ones stay in force")
		return
	}
	apply(s.EntrySettings())
	log.Info().Msg("direct: settings reloaded")
}

// listenGossip opens the socket for other entries' messages.
func listenGossip(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("read address %q: %w", address, err)
	}
	return net.ListenUDP("udp4", addr)
}

// listenDirect opens the sockets; metrics are left out if their address is taken.
func listenDirect(s model.DirectSettings, log zerolog.Logger) (forwarder.Listeners, error) {
	var l forwarder.Listeners
	var err error
	if l.Callers, err = listen("listen.callers", s.Callers); err != nil {
		return l, err
	}
	if l.Ready, err = listen("listen.ready", s.Ready); err != nil {
		return l, errors.Join(err, l.Callers.Close())
	}
	if s.Metrics == "" {
		return l, nil
	}
	l.Metrics, err = net.Listen("tcp", s.Metrics)
	if err != nil {
		log.Warn().Err(err).Str("address", s.Metrics).Msg("direct: metrics are not served")
		l.Metrics = nil
	}
	return l, nil
}
