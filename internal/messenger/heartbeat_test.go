package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestLiveness checks when the peer of a control connection must prove that it answers.
func TestLiveness(t *testing.T) {
	type step struct {
		At time.Duration
		// Do is one of begin, end (without an answer), answered (a call) and pong.
		Do string
		// Ping is the time until the peer is pinged, none if it owes no answer.
		Ping time.Duration
		None bool
	}
	type livenessCase struct {
		Name  string
		Steps []step
	}
	start := time.Unix(1000, 0)
	for _, c := range tester.Load[livenessCase](t, "liveness.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var l liveness
			for i, s := range c.Steps {
				now := start.Add(s.At)
				switch s.Do {
				case "begin":
					l.begin(now)
				case "end", "answered":
					l.end(s.Do == "answered", now)
				case "pong":
					l.answer(now)
				}
				in, owed := l.pingIn(now)
				if !owed {
					in = 0
				}
				if diff := cmp.Diff(step{At: s.At, Do: s.Do, Ping: in, None: !owed}, s); diff != "" {
					t.Errorf("step %d (-got +want):\n%s", i, diff)
				}
			}
		})
	}
}

// TestSlowCallIsTakenForSilence guards against a call that is cut because its answer takes longer than a silent peer is
// given.
func TestSlowCallIsTakenForSilence(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerConfig{Instance: "n1", Connections: 1})
	Handle(s, MethodLookup, func(context.Context, Peer, LookupRequest) (model.Outcome, error) {
		time.Sleep(2 * (pingAfter + pongTimeout))
		return model.Outcome{Granted: true}, nil
	})
	go s.Serve(t.Context(), l)
	t.Cleanup(func() { l.Close(); s.Close() })
	p := NewPool(ClientConfig{Instance: "n2", OnSilence: func(addr string) { t.Errorf("the peer at %s counts as silent", addr) }})
	defer p.Close()
	out, err := Call[model.Outcome](t.Context(), p, l.Addr().String(), MethodLookup, LookupRequest{})
	if err != nil || !out.Granted {
		t.Errorf("the slow call ended with %+v, error %v", out, err)
	}
}

// TestSuspendedPeerIsTakenForSilence guards against connections to a process that is suspended for a while, and goes on with
// its calls then, being closed: it answers on no other connection either.
func TestSuspendedPeerIsTakenForSilence(t *testing.T) {
	l := tester.Listen(t)
	s := NewServer(ServerConfig{Instance: "n1", Connections: 8})
	suspended := make(chan struct{})
	Handle(s, MethodLookup, func(context.Context, Peer, LookupRequest) (model.Outcome, error) {
		<-suspended
		return model.Outcome{Granted: true}, nil
	})
	go s.Serve(t.Context(), &pausedListener{Listener: l, until: suspended})
	t.Cleanup(s.Close)
	p := NewPool(ClientConfig{Instance: "n2", OnSilence: func(addr string) { t.Errorf("the peer at %s counts as silent", addr) }})
	defer p.Close()
	time.AfterFunc(3*(pingAfter+pongTimeout), func() { close(suspended) })
	out, err := Call[model.Outcome](t.Context(), p, l.Addr().String(), MethodLookup, LookupRequest{})
	if err != nil || !out.Granted {
		t.Errorf("the call ended with %+v, error %v", out, err)
	}
}

// pausedListener accepts a connection, which reads nothing after a call until a channel closes, and no other until then.
type pausedListener struct {
	net.Listener
	until    chan struct{}
	accepted bool
}

// Accept implements net.Listener.
func (l *pausedListener) Accept() (net.Conn, error) {
	if l.accepted {
		<-l.until
	}
	l.accepted = true
	c, err := l.Listener.Accept()
	return &pausedConn{Conn: c, until: l.until}, err
}

type pausedConn struct {
	net.Conn
	until chan struct{}
	read  int
}

// Read implements net.Conn. The first messages are those that authenticate the connection, and the call.
func (c *pausedConn) Read(b []byte) (int, error) {
	if c.read >= 3 {
		<-c.until
	}
	c.read++
	return c.Conn.Read(b)
}
