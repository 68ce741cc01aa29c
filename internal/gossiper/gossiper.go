// Package gossiper tells the entries of a region of each other's open requests, so that all see
// how busy a backend server is before its next answer reports it, and carries news that entries
// have for all others. A lost message does no harm.
package gossiper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// every is how often an entry tells the others; a prompt of usual length takes longer to read.
	every = 100 * time.Millisecond
	// believed is how long a message counts, several losses in a row included.
	believed = 500 * time.Millisecond
	// quietEvery is how often an entry is told that was not heard for a while: it may be gone for
	// good, or only cut off.
	quietEvery = 2 * time.Second
	// quietAfter is the silence after which an entry is told less often.
	quietAfter = 10 * time.Second
	// joinPause spaces the tries to make the own address known.
	joinPause = time.Second
	// maxMessage is the largest message; it fits into one packet of usual size.
	maxMessage = 1400
)

// OpenWork is what one entry has open at a backend server.
type OpenWork struct {
	// Open is the number of requests.
	Open int
	// Backlog is the time that prompts which were not answered yet take to read.
	Backlog time.Duration
}

// Store is the part of the store that addresses are kept in.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error)
}

// Config configures a Gossiper.
type Config struct {
	Self  model.InstanceID
	Place model.Place
	// Address is the own address for messages.
	Address string
	Store   Store
	// SharedKind is the kind of object that holds the entries' addresses.
	SharedKind string
	// Local returns what this entry has open.
	Local func() map[model.BackendID]OpenWork
	// Broadcasts returns what all entries are to be told since the last call, and Hear takes what
	// another entry told; both may be nil.
	Broadcasts  func() [][]byte
	OnBroadcast func(news []byte, now time.Time)
	Log         zerolog.Logger
}

// Gossiper knows what the other entries of the region have open.
type Gossiper struct {
	cfg Config

	mu      sync.RWMutex
	members map[model.InstanceID]*member
	byAddr  map[netip.AddrPort]*member
	// told is false as long as the last message held something that is over now; only Run uses it.
	told bool
}

// member is another entry.
type member struct {
	addr  netip.AddrPort
	heard time.Time
	sent  time.Time
	work  map[uint32]OpenWork
	// far entries are in another region and get news only.
	far bool
}

// mark is the stored address of an entry.
type mark struct {
	Address string         `json:"address"`
	Region  model.RegionID `json:"region"`
}

// New returns a gossiper that knows no other entry.
func New(cfg Config) *Gossiper {
	return &Gossiper{cfg: cfg, members: map[model.InstanceID]*member{}, byAddr: map[netip.AddrPort]*member{}}
}

const prefix = "entry."

func (g *Gossiper) key() string { return g.cfg.SharedKind + "/" + prefix + string(g.cfg.Self) }

// UpdateMember takes a mark of another entry; other marks are left alone.
func (g *Gossiper) UpdateMember(o storer.Object, now time.Time) {
	name, ok := strings.CutPrefix(o.Key, g.cfg.SharedKind+"/"+prefix)
	if !ok || name == string(g.cfg.Self) {
		return
	}
	var m mark
	err := json.Unmarshal(o.Value, &m)
	var addr netip.AddrPort
	if err == nil {
		addr, err = netip.ParseAddrPort(m.Address)
	}
	if err != nil {
		g.cfg.Log.Error().Err(err).Str("key", o.Key).Msg("gossiper: a mark cannot be read and is left out")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.members[model.InstanceID(name)]; old != nil {
		if old.addr == addr {
			return
		}
		delete(g.byAddr, old.addr)
	}
	e := &member{addr: addr, heard: now, far: m.Region != g.cfg.Place.Region}
	g.members[model.InstanceID(name)] = e
	g.byAddr[addr] = e
	g.cfg.Log.Info().Str("entry", name).Str("address", m.Address).Msg("gossiper: another entry is known")
}

// RemoteWork returns what the other entries have open at a backend server.
func (g *Gossiper) RemoteWork(b model.BackendID, now time.Time) OpenWork {
	id := short(b)
	g.mu.RLock()
	defer g.mu.RUnlock()
	var sum OpenWork
	for _, m := range g.members {
		if now.Sub(m.heard) < believed {
			w := m.work[id]
			sum.Open += w.Open
			sum.Backlog += w.Backlog
		}
	}
	return sum
}

// short names a backend server in messages.
func short(b model.BackendID) uint32 { return uint32(xxhash.Sum64String(string(b))) }

// Run makes the own address known, and tells and hears the others until the context ends.
func (g *Gossiper) Run(ctx context.Context, conn *net.UDPConn) {
	var wg sync.WaitGroup
	wg.Go(func() { g.hear(conn) })
	wg.Go(func() { g.join(ctx) })
	t := time.NewTicker(every)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-t.C:
			g.tell(conn, now)
		}
	}
	if err := conn.Close(); err != nil {
		g.cfg.Log.Debug().Err(err).Msg("gossiper: socket was closed already")
	}
	wg.Wait()
}

// join writes the own address until the store took it. It stays in the store: an entry that
// starts again has the same address, and one that is gone is told less often.
func (g *Gossiper) join(ctx context.Context) {
	b, err := json.Marshal(mark{Address: g.cfg.Address, Region: g.cfg.Place.Region})
	if err != nil {
		g.cfg.Log.Error().Err(err).Msg("gossiper: the own address cannot be encoded")
		return
	}
	for {
		if err = g.write(ctx, b); err == nil || ctx.Err() != nil {
			return
		}
		g.cfg.Log.Warn().Err(err).Msg("gossiper: the own address could not be made known")
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinPause):
		}
	}
}

func (g *Gossiper) write(ctx context.Context, b []byte) error {
	o, err := g.cfg.Store.Get(ctx, g.key())
	switch {
	case err != nil && !storer.IsKind(err, storer.KindNotFound):
		return err
	case err == nil && string(o.Value) == string(b):
		return nil
	}
	_, err = g.cfg.Store.Put(ctx, g.key(), b, o.Revision)
	if err != nil {
		return fmt.Errorf("write the own address: %w", err)
	}
	return nil
}

// tell sends news to all entries, and what is open to those of the region. Nothing is sent while
// nothing is and was open.
func (g *Gossiper) tell(conn *net.UDPConn, now time.Time) {
	if g.cfg.Broadcasts != nil {
		for _, news := range g.cfg.Broadcasts() {
			g.send(conn, append([]byte{formNews}, news...), g.audience(true, now))
		}
	}
	local := g.cfg.Local()
	if len(local) == 0 && g.told {
		return
	}
	g.told = len(local) == 0
	g.send(conn, encode(local), g.audience(false, now))
}

// audience returns the addresses of the other entries, those that were not heard for long only
// now and then.
func (g *Gossiper) audience(far bool, now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var to []netip.AddrPort
	for _, m := range g.members {
		if m.far && !far || !m.far && now.Sub(m.heard) > quietAfter && now.Sub(m.sent) < quietEvery {
			continue
		}
		m.sent = now
		to = append(to, m.addr)
	}
	return to
}

func (g *Gossiper) send(conn *net.UDPConn, msg []byte, to []netip.AddrPort) {
	for _, addr := range to {
		if _, err := conn.WriteToUDPAddrPort(msg, addr); err != nil {
			g.cfg.Log.Debug().Err(err).Str("address", addr.String()).Msg("gossiper: an entry could not be told")
		}
	}
}

// hear takes messages until the socket is closed.
func (g *Gossiper) hear(conn *net.UDPConn) {
	buf := make([]byte, maxMessage)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.cfg.Log.Debug().Err(err).Msg("gossiper: a message could not be read")
			continue
		}
		if err := g.take(buf[:n], from, time.Now()); err != nil {
			g.cfg.Log.Debug().Err(err).Str("from", from.String()).Msg("gossiper: a message is malformed and is left out")
		}
	}
}

// take reads one message. Only entries that the store names are believed.
func (g *Gossiper) take(msg []byte, from netip.AddrPort, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.byAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if m == nil {
		return nil
	}
	m.heard = now
	if len(msg) > 0 && msg[0] == formNews {
		if g.cfg.OnBroadcast != nil {
			g.cfg.OnBroadcast(slices.Clone(msg[1:]), now)
		}
		return nil
	}
	work, err := decode(msg)
	if err != nil {
		return err
	}
	m.work = work
	return nil
}
