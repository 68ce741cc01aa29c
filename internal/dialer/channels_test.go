package dialer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/follower"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/platform"
	platformstandin "github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// channel is one kind of connection. A call is answered at once, hold waits for an answer, which comes after a change
// if there is one.
type channel struct {
	call, hold func(ctx context.Context) error
	change     func() error
}

// watched returns the channel to a store, whose watches wait for some time.
func watched(store storer.Store, wait time.Duration, change func() error) channel {
	var revision model.Revision
	return channel{
		change: change,
		call: func(ctx context.Context) error {
			l, err := store.List(ctx, "things")
			revision = l.Revision
			return err
		},
		hold: func(ctx context.Context) error {
			_, err := store.Watch(ctx, "things", revision, wait)
			return err
		},
	}
}

// controlled returns the channel for control calls, each of which gives up after a time.
func controlled(t *testing.T, l *tester.Listener) channel {
	s := messenger.NewServer(messenger.ServerConfig{Instance: "n1", Connections: 16})
	messenger.Handle(s, "wait", func(ctx context.Context, _ messenger.Peer, in time.Duration) (bool, error) {
		select {
		case <-time.After(in):
		case <-ctx.Done():
		}
		return true, nil
	})
	go s.Serve(t.Context(), l)
	t.Cleanup(s.Close)
	p := messenger.NewPool(messenger.ClientConfig{Instance: "n2", Role: model.RoleAgent})
	t.Cleanup(p.Close)
	wait := func(ctx context.Context, limit, wait time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		_, err := messenger.Call[bool](ctx, p, l.Addr().String(), "wait", wait)
		return err
	}
	return channel{
		call: func(ctx context.Context) error { return wait(ctx, 600*time.Millisecond, 0) },
		hold: func(ctx context.Context) error { return wait(ctx, time.Minute, time.Minute) },
	}
}

func relayed(t *testing.T, l *tester.Listener) channel {
	feed := relayer.NewFeed()
	s := messenger.NewServer(messenger.ServerConfig{Instance: "n1", Connections: 16})
	feed.Serve(s, follower.BootClock)
	go s.Serve(t.Context(), l)
	t.Cleanup(s.Close)
	p := messenger.NewPool(messenger.ClientConfig{Instance: "n2", Role: model.RoleEntry})
	t.Cleanup(p.Close)
	poll := func(ctx context.Context, atOnce bool) error {
		_, err := relayer.Poll(ctx, p, l.Addr().String(), relayer.PollRequest{AtOnce: atOnce})
		return err
	}
	return channel{
		call: func(ctx context.Context) error { return poll(ctx, true) },
		hold: func(ctx context.Context) error { return poll(ctx, false) },
	}
}

// worked returns the channel for work at an agent.
func worked(t *testing.T, l *tester.Listener) channel {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathAck, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })
	mux.HandleFunc("POST "+messenger.PathWork, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	s := &http.Server{Handler: mux, Protocols: messenger.HTTP2Protocols(nil)}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	c := messenger.NewWorkClient(messenger.WorkConfig{})
	return channel{
		call: func(ctx context.Context) error { return c.Ack(ctx, l.Addr().String(), []model.RequestID{"r"}) },
		hold: func(ctx context.Context) error {
			frames, err := c.Start(ctx, l.Addr().String(), messenger.Work{Request: "r"})
			if err != nil {
				return err
			}
			defer frames.Close()
			_, err = frames.Next()
			return err
		},
	}
}

func served(t *testing.T, l *tester.Listener, h http.Handler) {
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
}

// TestSilentChannelHidesChanges guards against a process that learns of nothing, or reaches nobody, while one of its
// connections has fallen silent although new ones work. Each row is one of the table in docs/design/platform.md.
func TestSilentChannelHidesChanges(t *testing.T) {
	type channelCase struct {
		Channel string
		// Form is the way in which the connection is silent.
		Form tester.Silence
		// Idle is how long the connection is silent before it is used.
		Idle time.Duration
		// Waits tells of a call that waits for an answer: one that was sent "before" the connection fell silent, or "after".
		Waits string
		// Within is the time from the use, or from the silence if a call waits, within which a call must be answered.
		Within time.Duration
	}
	for _, c := range tester.Load[channelCase](t, "channels.yaml") {
		t.Run(fmt.Sprintf("%s, %s, idle %v, waits %s", c.Channel, c.Form, c.Idle, c.Waits), func(t *testing.T) {
			t.Parallel()
			l := tester.Listen(t)
			var ch channel
			switch c.Channel {
			case "store":
				store := platformstandin.NewStore()
				served(t, l, store)
				ch = watched(platform.NewStore(platform.StoreConfig{Address: l.Addr().String()}), relayer.NewTiming(platformstandin.ConfigMs*time.Millisecond).OwnWait, func() error { return store.Set("things/a", 1) })
			case "platform":
				p := standin.NewPlatform()
				served(t, l, p.Handler())
				ch = watched(storer.NewClient(storer.ClientConfig{URL: "http://" + l.Addr().String()}), watcher.WatchWait, func() error {
					_, err := p.Put(t.Context(), "things/a", []byte("1"), 0)
					return err
				})
			case "control":
				ch = controlled(t, l)
			case "relay":
				ch = relayed(t, l)
			case "work":
				ch = worked(t, l)
			default:
				t.Fatalf("unknown channel %q", c.Channel)
			}
			if err := ch.call(t.Context()); err != nil {
				t.Fatal(err)
			}
			held := make(chan error, 1)
			hold := func() {
				go func() { held <- ch.hold(t.Context()) }()
				time.Sleep(200 * time.Millisecond)
			}
			if c.Waits == "before" {
				hold()
			}
			l.Silence(t, c.Form)
			time.Sleep(c.Idle)
			start := time.Now()
			if c.Waits == "after" {
				hold()
			}
			if c.Waits != "" && ch.change != nil {
				if err := ch.change(); err != nil {
					t.Fatal(err)
				}
			}
			if c.Waits != "" {
				<-held
			}
			for {
				err := ch.call(t.Context())
				if err == nil {
					break
				}
				if time.Since(start) > 3*c.Within {
					t.Fatalf("no call was answered for %v, the last one: %v", time.Since(start), err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if took := time.Since(start); took > c.Within {
				t.Errorf("a call was answered %v after the connection fell silent, want at most %v", took, c.Within)
			}
		})
	}
}
