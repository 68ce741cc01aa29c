package cli

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/follower"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// relayDialTimeout is many times the round trip within a region.
	relayDialTimeout = 400 * time.Millisecond
	// maxPollers limits the connections of other entries that poll this one.
	maxPollers = 512
)

// relays is a direct entry's part in the relaying of changes: the connections to its relays, and the server that
// answers the entries which follow it.
type relays struct {
	self    model.Instance
	members func() []model.Instance
	timing  relayer.Timing
	pool    *messenger.Pool
	server  *messenger.Server
}

func newRelays(s model.DirectSettings, members func() []model.Instance, log zerolog.Logger) *relays {
	return &relays{
		self:    model.Instance{Instance: s.Instance, Role: model.RoleEntry, Control: s.Gossip, Place: s.Place},
		members: members,
		timing:  relayer.NewTiming(s.ApplyWithin),
		pool: messenger.NewPool(messenger.ClientConfig{
			Instance: s.Instance, Role: model.RoleEntry, DialTimeout: relayDialTimeout,
			OnSilence: func(addr string) {
				log.Info().Str("address", addr).Msg("direct: a relay is silent on an open connection, which is closed")
			},
		}),
		server: messenger.NewServer(messenger.ServerConfig{Instance: s.Instance, Connections: maxPollers}),
	}
}

func (r *relays) config() *follower.Relays {
	return &follower.Relays{
		Self: r.self, Members: r.members, Timing: r.timing,
		Poll: func(ctx context.Context, address string, in relayer.PollRequest) (relayer.PollReply, error) {
			return relayer.Poll(ctx, r.pool, address, in)
		},
	}
}

// serve answers polls at the address until the context ends.
func (r *relays) serve(ctx context.Context, t *tasks, feed *relayer.Feed, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for polls at %q: %w", address, err)
	}
	feed.Serve(r.server, follower.BootClock)
	t.start("relay", func() {
		// Serve ends when the listener closes.
		_ = r.server.Serve(ctx, l)
	})
	context.AfterFunc(ctx, func() {
		r.server.Close()
		// Nothing is left to do if the listener is closed already.
		_ = l.Close()
	})
	return nil
}
