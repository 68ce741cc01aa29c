// Package gossiper exchanges the numbers of unanswered requests among the entries of a region by UDP
// datagram, so that each knows how busy a backend server is before the server's next answer reports it.
// It also carries broadcasts to the entries of all regions. Lost messages are tolerated.
package gossiper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// sendInterval is how often an entry sends to the others. The prefill of a prompt of usual length takes
	// longer than that.
	sendInterval = 100 * time.Millisecond
	// workTTL is how long the last message of an entry counts; it bridges several lost messages in a row.
	workTTL = 500 * time.Millisecond
	// silentSendInterval is the interval of messages to an entry that has been silent for silentAfter:
	// it may be gone for good or only unreachable.
	silentSendInterval = 2 * time.Second
	// silentAfter is the silence after which messages to an entry become less frequent.
	silentAfter = 10 * time.Second
	// publishRetryPause is the pause between attempts to write the own address to the store.
	publishRetryPause = time.Second
	// restateSpread is the time over which the entries spread the writes of addresses that the store has lost.
	restateSpread = 3 * time.Second
	// pacedInterval, for each other entry, is the least time between two broadcasts of a paced topic, so that an entry
	// receives at most one in that time from all others, on a fleet of any size. Up to 35 entries it is less than a second.
	pacedInterval = 28 * time.Millisecond
	// maxMessageBytes is the size of the largest message; it fits into one packet of usual size.
	maxMessageBytes = 1400
)

// OpenWork is the work that one or more entries have open at a backend server.
type OpenWork struct {
	// Unanswered is the number of requests that were sent and are not answered yet.
	Unanswered int
	// Backlog is the prefill time of the prompts of these requests.
	Backlog time.Duration
	// Tokens is the number of tokens that these requests hold at an engine of known capacity, with the output still to come.
	Tokens model.Tokens
}

// Store reads and writes the objects that hold the entries' addresses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error)
}

// Config configures a Gossiper.
type Config struct {
	Self  model.InstanceID
	Place model.Place
	// Address is the own address, at which other entries reach this one.
	Address string
	Store   Store
	// SharedKind is the kind of object that holds the entries' addresses.
	SharedKind string
	// Local returns the work that this entry has open.
	Local func() map[model.BackendID]OpenWork
	// Topics hold what is broadcast to all entries. Their order must not change.
	Topics []Topic
	Log    zerolog.Logger
}

// Topic is one kind of broadcast.
type Topic struct {
	// Broadcasts returns the new payloads since its last call, to be sent to all entries.
	Broadcasts func(now time.Time) [][]byte
	// OnBroadcast is called with each payload from another entry.
	OnBroadcast func(payload []byte, now time.Time)
	// Paced topics sum up what they tell, so that they may tell it less often the more entries there are.
	Paced bool
}

// Gossiper holds the open work of the other entries of the region.
type Gossiper struct {
	cfg Config

	mu      sync.RWMutex
	members map[model.InstanceID]*member
	byAddr  map[netip.AddrPort]*member
	// pacedAt holds when each paced topic may be broadcast next; only Run uses it.
	pacedAt map[int]time.Time
	// lastSentEmpty reports whether the last work message held no open work; only Run uses it.
	lastSentEmpty bool
	// lost wakes publishAddress when the store has lost the own address.
	lost chan struct{}
}

// member is another entry.
type member struct {
	addr      netip.AddrPort
	place     model.Place
	lastHeard time.Time
	lastSent  time.Time
	work      map[uint32]OpenWork
	// crossRegion entries are in another region and get broadcasts only.
	crossRegion bool
}

// storedAddress is the stored form of an entry's address.
type storedAddress struct {
	Address string         `json:"address"`
	Region  model.RegionID `json:"region"`
	Domain  model.DomainID `json:"domain,omitempty"`
}

// New returns a Gossiper that knows no other entry.
func New(cfg Config) *Gossiper {
	return &Gossiper{cfg: cfg, members: map[model.InstanceID]*member{}, byAddr: map[netip.AddrPort]*member{}, pacedAt: map[int]time.Time{}, lost: make(chan struct{}, 1)}
}

const addressPrefix = "entry."

func (g *Gossiper) addressKey() string {
	return g.cfg.SharedKind + "/" + addressPrefix + string(g.cfg.Self)
}

// UpdateMember takes over the address of another entry from its shared object. It ignores all other
// objects.
func (g *Gossiper) UpdateMember(o storer.Object, now time.Time) {
	name, ok := strings.CutPrefix(o.Key, g.cfg.SharedKind+"/"+addressPrefix)
	if !ok || name == string(g.cfg.Self) {
		return
	}
	var m storedAddress
	err := json.Unmarshal(o.Value, &m)
	var addr netip.AddrPort
	if err == nil {
		addr, err = netip.ParseAddrPort(m.Address)
	}
	if err == nil && !isReachable(addr, g.cfg.Address) {
		err = errAddress
	}
	if err != nil {
		g.cfg.Log.Error().Err(err).Str("key", o.Key).Msg("gossiper: address of an entry cannot be decoded and is ignored")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	place := model.Place{Region: m.Region, Domain: m.Domain}
	if old := g.members[model.InstanceID(name)]; old != nil {
		if old.addr == addr && old.place == place {
			return
		}
		g.release(model.InstanceID(name), old)
	}
	e := &member{addr: addr, place: place, lastHeard: now, crossRegion: m.Region != g.cfg.Place.Region}
	g.members[model.InstanceID(name)] = e
	g.byAddr[addr] = e
	g.cfg.Log.Info().Str("entry", name).Str("address", m.Address).Msg("gossiper: address of another entry learned")
}

var errAddress = errors.New("address is not that of another host and port")

// isReachable reports whether messages can be sent to an address without reaching this entry itself or many hosts.
func isReachable(addr netip.AddrPort, own string) bool {
	ip := addr.Addr()
	return addr.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcastIP && addr.String() != own
}

var broadcastIP = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// release gives the address of an entry that moves back to another one that has it too, if there is one; the caller
// holds the lock.
func (g *Gossiper) release(id model.InstanceID, old *member) {
	if g.byAddr[old.addr] != old {
		return
	}
	delete(g.byAddr, old.addr)
	for other, m := range g.members {
		if other != id && m.addr == old.addr {
			g.byAddr[old.addr] = m
		}
	}
}

// Members returns the other entries of all regions, with the address at which they are reached.
func (g *Gossiper) Members() []model.Instance {
	g.mu.RLock()
	defer g.mu.RUnlock()
	out := make([]model.Instance, 0, len(g.members))
	for id, m := range g.members {
		out = append(out, model.Instance{Instance: id, Role: model.RoleEntry, Control: m.addr.String(), Place: m.place})
	}
	return out
}

// RemoteWork returns the work that the other entries have open at a backend server.
func (g *Gossiper) RemoteWork(b model.BackendID, now time.Time) OpenWork {
	id := shortID(b)
	g.mu.RLock()
	defer g.mu.RUnlock()
	var sum OpenWork
	for _, m := range g.members {
		if now.Sub(m.lastHeard) < workTTL {
			w := m.work[id]
			sum.Unanswered += w.Unanswered
			sum.Backlog += w.Backlog
			sum.Tokens += w.Tokens
		}
	}
	return sum
}

// shortID returns the hash by which messages identify a backend server.
func shortID(b model.BackendID) uint32 { return uint32(xxhash.Sum64String(string(b))) }

// Run publishes the own address and exchanges messages with the other entries until the context ends.
func (g *Gossiper) Run(ctx context.Context, conn *net.UDPConn) {
	var wg sync.WaitGroup
	wg.Go(func() { g.receive(conn) })
	wg.Go(func() { g.publishAddress(ctx) })
	t := time.NewTicker(sendInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-t.C:
			g.sendUpdates(conn, now)
		}
	}
	if err := conn.Close(); err != nil {
		g.cfg.Log.Debug().Err(err).Msg("gossiper: socket was closed already")
	}
	wg.Wait()
}

// publishAddress writes the own address to the store, and again when the store has lost it. The address
// is never removed: an entry that starts again has the same one, and the others send less often to
// an entry that is gone.
func (g *Gossiper) publishAddress(ctx context.Context) {
	b, err := json.Marshal(g.ownAddress())
	if err != nil {
		g.cfg.Log.Error().Err(err).Msg("gossiper: own address cannot be encoded")
		return
	}
	for ctx.Err() == nil {
		if err = g.writeAddress(ctx, b); err != nil {
			g.cfg.Log.Warn().Err(err).Msg("gossiper: own address could not be written to the store")
			pauser.Pause(ctx, publishRetryPause)
			continue
		}
		select {
		case <-ctx.Done():
		case <-g.lost:
			pauser.Pause(ctx, rand.N(restateSpread))
		}
	}
}

func (g *Gossiper) ownAddress() storedAddress {
	return storedAddress{Address: g.cfg.Address, Region: g.cfg.Place.Region, Domain: g.cfg.Place.Domain}
}

// RestateLost writes the own address again if the store lacks it. The function stored looks up what the store holds
// after it came back from a copy.
func (g *Gossiper) RestateLost(stored func(key string) (storer.Object, bool)) {
	var m storedAddress
	if o, ok := stored(g.addressKey()); ok && json.Unmarshal(o.Value, &m) == nil && m == g.ownAddress() {
		return
	}
	g.cfg.Log.Info().Str("key", g.addressKey()).Msg("gossiper: the store has lost the own address, writing it again")
	select {
	case g.lost <- struct{}{}:
	default:
	}
}

func (g *Gossiper) writeAddress(ctx context.Context, b []byte) error {
	o, err := g.cfg.Store.Get(ctx, g.addressKey())
	switch {
	case err != nil && !storer.IsKind(err, storer.KindNotFound):
		return err
	case err == nil && string(o.Value) == string(b):
		return nil
	}
	_, err = g.cfg.Store.Put(ctx, g.addressKey(), b, o.Revision)
	if err != nil {
		return fmt.Errorf("write the own address: %w", err)
	}
	return nil
}

// sendUpdates sends broadcasts to all entries, and the open work to those of the region. It sends no
// work message if there is no open work and the last message held none either.
func (g *Gossiper) sendUpdates(conn *net.UDPConn, now time.Time) {
	for i, topic := range g.cfg.Topics {
		if topic.Paced && now.Before(g.pacedAt[i]) {
			continue
		}
		for _, payload := range topic.Broadcasts(now) {
			g.pacedAt[i] = now.Add(g.broadcastInterval())
			g.send(conn, append([]byte{messageBroadcast + byte(i)}, payload...), g.recipients(true, now))
		}
	}
	local := g.cfg.Local()
	if len(local) == 0 && g.lastSentEmpty {
		return
	}
	g.lastSentEmpty = len(local) == 0
	g.send(conn, encodeWork(local), g.recipients(false, now))
}

// broadcastInterval returns the least time between two broadcasts of a paced topic.
func (g *Gossiper) broadcastInterval() time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return time.Duration(len(g.members)) * pacedInterval
}

// recipients returns the addresses of the other entries. With crossRegion it includes those of other
// regions. Entries of the own region that have been silent for silentAfter are included only every
// silentSendInterval.
func (g *Gossiper) recipients(crossRegion bool, now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var to []netip.AddrPort
	for _, m := range g.members {
		if m.crossRegion && !crossRegion || !m.crossRegion && now.Sub(m.lastHeard) > silentAfter && now.Sub(m.lastSent) < silentSendInterval {
			continue
		}
		m.lastSent = now
		to = append(to, m.addr)
	}
	return to
}

func (g *Gossiper) send(conn *net.UDPConn, msg []byte, to []netip.AddrPort) {
	for _, addr := range to {
		if _, err := conn.WriteToUDPAddrPort(msg, addr); err != nil {
			g.cfg.Log.Debug().Err(err).Str("address", addr.String()).Msg("gossiper: message to an entry could not be sent")
		}
	}
}

// receive handles incoming messages until the socket is closed.
func (g *Gossiper) receive(conn *net.UDPConn) {
	buf := make([]byte, maxMessageBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.cfg.Log.Debug().Err(err).Msg("gossiper: message could not be received")
			continue
		}
		if err := g.handleMessage(buf[:n], from, time.Now()); err != nil {
			g.cfg.Log.Debug().Err(err).Str("from", from.String()).Msg("gossiper: message is malformed and is ignored")
		}
	}
}

// handleMessage processes one message. It ignores messages from addresses that the store does not list.
func (g *Gossiper) handleMessage(msg []byte, from netip.AddrPort, now time.Time) error {
	if !g.recordHeard(from, now) {
		return nil
	}
	if len(msg) > 0 && msg[0] >= messageBroadcast && int(msg[0]) < messageBroadcast+len(g.cfg.Topics) {
		// The lock is not held, since the topic may ask for the members.
		g.cfg.Topics[msg[0]-messageBroadcast].OnBroadcast(slices.Clone(msg[1:]), now)
		return nil
	}
	work, err := decodeWork(msg)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.byAddr[memberAddress(from)]; m != nil {
		m.work = work
	}
	return nil
}

// recordHeard records a message from an address and reports whether it is that of a member.
func (g *Gossiper) recordHeard(from netip.AddrPort, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.byAddr[memberAddress(from)]
	if m == nil {
		return false
	}
	m.lastHeard = now
	return true
}

func memberAddress(from netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
}
