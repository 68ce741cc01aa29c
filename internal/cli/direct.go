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
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/follower"
	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/logger"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/quarantiner"
	"github.com/bramleyhinge/bramleyhinge/internal/shifter"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/platform"
)

// sharedObjectKind is the kind of the objects in the store that direct entries share with each other.
const sharedObjectKind = "bramleyhinge-marks"

// memoryLimitRatio is the garbage collector's memory limit as a share of the memory in the settings.
const memoryLimitRatio = 0.6

type directCommand struct {
	logLevel         string
	confidenceFloors []int
}

func bindDirect(c *kingpin.CmdClause) command {
	d := &directCommand{}
	c.Flag("log", "Log level: debug, info, warn or error.").Default("info").EnumVar(&d.logLevel, "debug", "info", "warn", "error")
	c.Flag("floor", "Confidence in percent under which an answer is dropped for one of the largest model, for each rank of urgency from the first.").
		Default("65", "55", "45").IntsVar(&d.confidenceFloors)
	return d
}

func (d *directCommand) run(ctx context.Context, out io.Writer) error {
	// Until it is asked for, SIGHUP ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fmt.Errorf("environment variable %s is not set: set it to the path of the settings file", platform.SettingsVariable)
	}
	ps, text, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	return d.serve(ctx, ps, text, out, hup)
}

// serve runs an entry with the settings that were read from a text.
func (d *directCommand) serve(ctx context.Context, ps platform.Settings, text []byte, out io.Writer, hup <-chan os.Signal) error {
	s := ps.EntrySettings()
	// Without this, a write to a log pipe that its reader closed would end the process.
	signal.Ignore(syscall.SIGPIPE)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.Memory)))
	m := meter.New()
	lines := logger.NewBoundedWriter(out, func(n int) { m.Count("log/lost", n) })
	grace, end := s.Grace, time.Now().Add(s.Grace)
	// Close fails only if the log has no reader any more, so the error cannot be logged.
	defer func() { _ = lines.CloseWithin(time.Until(end.Add(-forwarder.ExitMargin(grace) / 4))) }()
	log := logger.New(lines, model.LogSettings{Level: d.logLevel, Format: "json"}, s.Instance)
	listeners, err := listenDirect(s, log)
	if err != nil {
		return err
	}
	store := platform.NewStore(platform.StoreConfig{Address: ps.Platform.Address, OnSilence: func(key string, waited time.Duration) {
		m.Count("store_calls/silent", 1)
		log.Warn().Str("key", key).Dur("waited", waited).Msg("direct: the store is silent on an open connection, calling it on a new one")
	}})
	var gossip *gossiper.Gossiper
	relays := newRelays(s, func() []model.Instance { return gossip.Members() }, log)
	platformState := follower.New(follower.Config{
		Relays: relays.config(),
		Store:  store,
		Kinds:  directKinds(s),
		Decode: follower.Decoder{
			IsPlan: platform.IsManifestKey, Plan: platform.DecodePlan, Server: ps.DecodeServer, Order: platform.DecodeRollout,
			Evacuation: platform.DecodeEvacuation,
		},
		MaxKeyAge: s.MaxKeyAge, Clock: follower.BootClock, Meter: m, Log: log,
	})
	rollouts := shifter.New(shifter.Config{
		Self: s.Instance, PlatformState: platformState, Store: store, SharedKind: sharedObjectKind,
		OrderKey: platform.OrderKey, EncodeStatus: platform.EncodeStatus, Exposure: s.Exposure, Log: log,
		Members: func() int { return len(gossip.Members()) },
	})
	quarantine := quarantiner.New(quarantiner.Config{Self: s.Instance, Store: store, SharedKind: sharedObjectKind, Meter: m, Log: log})
	platformState.OnSharedObject(func(o storer.Object) { quarantine.Merge(o, time.Now()) })
	limits := limiter.NewServerLimits(limiter.ServerLimitsConfig{
		Self: model.Instance{Instance: s.Instance, Place: s.Place}, Members: func() []model.Instance { return gossip.Members() }, Meter: m, Log: log,
	})
	cold := limiter.NewColdServers(limiter.ColdServersConfig{
		Self: model.Instance{Instance: s.Instance, Place: s.Place}, Members: func() []model.Instance { return gossip.Members() }, Meter: m, Log: log,
	}, s.Cold)
	leaving := limiter.NewLeavingServers(limiter.LeavingServersConfig{Meter: m, Log: log})
	shares := admitter.NewShares(admitter.SharesConfig{Meter: m, Log: log})
	var f *forwarder.Forwarder
	gossip = gossiper.New(gossiper.Config{
		Self: s.Instance, Place: s.Place, Address: s.Gossip, Store: store, SharedKind: sharedObjectKind, Log: log,
		Local: func() map[model.BackendID]gossiper.OpenWork { return f.OpenWork() },
		Topics: []gossiper.Topic{
			{Broadcasts: rollouts.Broadcasts, OnBroadcast: rollouts.OnBroadcast},
			{Broadcasts: quarantine.Broadcasts, OnBroadcast: quarantine.OnBroadcast},
			{Broadcasts: limits.Broadcasts, OnBroadcast: limits.OnBroadcast},
			{Broadcasts: leaving.Broadcasts, OnBroadcast: leaving.OnBroadcast},
			{Broadcasts: shares.Broadcasts, OnBroadcast: shares.OnBroadcast, Paced: true},
			{
				Broadcasts:  func(now time.Time) [][]byte { return f.CascadeBroadcasts(now) },
				OnBroadcast: func(b []byte, now time.Time) { f.OnCascadeBroadcast(b, now) },
				Paced:       true,
			},
		},
	})
	platformState.OnSharedObject(func(o storer.Object) { gossip.UpdateMember(o, time.Now()) })
	platformState.OnRestored(func() {
		gossip.RestateLost(platformState.SharedObject)
		quarantine.RestateLost(platformState.SharedObject, time.Now())
	})
	f = forwarder.New(forwarder.Config{
		Settings: s, Names: platform.Names(), PlatformState: platformState,
		Versions:   rollouts,
		Quarantine: quarantine,
		Announcements: limiter.Announcements{
			Limits: limits, Leaving: leaving, Cold: cold,
			Resting: limiter.NewRestingServers(limiter.RestingServersConfig{Self: s.Instance, Meter: m, Log: log}),
		},
		Cascade:    chooser.CascadeConfig{Floors: d.confidenceFloors},
		Shares:     shares,
		RemoteWork: gossip.RemoteWork,
		Clock:      follower.BootClock, Meter: m, Log: log,
	})
	log.Info().Str("callers", s.Callers).Str("domain", string(s.Place.Domain)).Msg("direct: started")
	var t tasks
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	// A poll may wait until its relay reads it.
	context.AfterFunc(runCtx, relays.pool.Close)
	t.start("follower", func() { platformState.Run(runCtx) })
	t.start("shifter", func() { rollouts.Run(runCtx) })
	t.start("quarantiner", func() { quarantine.Run(runCtx) })
	if conn, err := listenGossip(s.Gossip); err != nil {
		log.Warn().Err(err).Str("address", s.Gossip).Msg("direct: cannot open the gossip socket; gossip with other entries is off")
	} else {
		t.start("gossiper", func() { gossip.Run(runCtx, conn) })
	}
	if err := relays.serve(runCtx, &t, platformState.Feed(), s.Gossip); err != nil {
		log.Warn().Err(err).Str("address", s.Gossip).Msg("direct: cannot open the relay listener; other entries cannot follow this one")
	}
	t.start("settings", func() {
		d.watchSettings(runCtx, log, hup, text, func(s model.DirectSettings) {
			platformState.SetMaxKeyAge(s.MaxKeyAge)
			f.SetRetryBudget(s.RetryBudget)
			if ctx.Err() == nil {
				// A stop that has begun goes by one period everywhere.
				f.SetGrace(s.Grace)
			}
			cold.SetBound(s.Cold)
			rollouts.SetExposure(s.Exposure)
		})
	})
	served := make(chan error, 1)
	t.start("forwarder", func() {
		defer cancel()
		served <- f.Run(ctx, listeners)
	})
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
	}
	grace = f.Grace()
	end = time.Now().Add(grace)
	left := t.await(end.Add(-forwarder.ExitMargin(grace) / 2))
	select {
	case err = <-served:
	default:
	}
	line := log.Info()
	if len(left) > 0 {
		line = log.Warn().Strs("left", left)
	}
	line.AnErr("cause", err).Msg("direct: stopped")
	return err
}

// directKinds returns the kinds of objects that an entry with the settings watches.
func directKinds(s model.DirectSettings) follower.Kinds {
	k := follower.Kinds{Plan: platform.KindConfig, Servers: platform.KindServers, Orders: platform.KindRollouts, Shared: sharedObjectKind}
	if s.Evacuations {
		k.Evacuations = platform.KindEvacuations
	}
	return k
}

// reloadInterval is the interval between two reads of the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// watchSettings rereads the settings file at once, at reloadInterval and when hup says so, and applies it if it
// differs from the text that was read last. If the file cannot be read or is invalid, the previous settings stay in force.
func (d *directCommand) watchSettings(ctx context.Context, log zerolog.Logger, hup <-chan os.Signal, last []byte, apply func(model.DirectSettings)) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	path := os.Getenv(platform.SettingsVariable)
	for {
		b, err := os.ReadFile(path)
		if err != nil {
			log.Error().Err(err).Msg("direct: cannot read the settings file; the previous settings stay in force")
		} else if !bytes.Equal(b, last) {
			d.applySettings(log, b, apply)
		}
		if err == nil {
			last = b
		}
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info().Msg("direct: received SIGHUP; rereading the settings file")
		case <-t.C:
		}
	}
}

func (*directCommand) applySettings(log zerolog.Logger, b []byte, apply func(model.DirectSettings)) {
	s, err := platform.ParseSettings(b)
	if err != nil {
		log.Error().Err(err).Msg("direct: settings file is invalid; the previous settings stay in force")
		return
	}
	apply(s.EntrySettings())
	log.Info().Msg("direct: settings reloaded")
}

// listenGossip opens the UDP socket for gossip with other entries.
func listenGossip(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("resolve gossip address %q: %w", address, err)
	}
	return net.ListenUDP("udp4", addr)
}

// listenDirect opens the listeners. If the metrics address cannot be opened, it logs a warning and
// leaves the metrics listener nil.
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
		log.Warn().Err(err).Str("address", s.Metrics).Msg("direct: cannot open the metrics listener; metrics are not served")
		l.Metrics = nil
	}
	return l, nil
}
