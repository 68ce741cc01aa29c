package tester

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
)

// Silence is a way in which a connection goes dead without a reset while new ones work.
type Silence string

// Ways of going dead. On a path that drops all packets, nothing is acknowledged. A process that hangs, or a middlebox
// that ends the connection, acknowledges what arrives and answers nothing.
const (
	Dropped      Silence = "dropped"
	Acknowledged Silence = "acknowledged"
)

// Listener is a loopback listener whose connections can be made silent. New connections work.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns []*silentConn
}

// Listen opens a listener that is closed when the test ends.
func Listen(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &Listener{Listener: l}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.(*net.TCPListener).AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &silentConn{Conn: c, tcp: c}
	l.conns = append(l.conns, s)
	return s, nil
}

// Silence makes connections that were accepted silent for good, all so far if none is named, and returns how. Where the
// kernel does not take the filter that drops packets, they acknowledge what arrives.
func (l *Listener) Silence(t *testing.T, how Silence, only ...net.Conn) Silence {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if len(only) > 0 && !slices.Contains(only, net.Conn(c)) {
			continue
		}
		if how == Dropped {
			if err := dropAll(c.tcp); err != nil {
				t.Logf("the kernel does not take the filter that drops packets, they are acknowledged instead: %v", err)
				how = Acknowledged
			}
		}
		c.silent.Store(true)
	}
	return how
}

// dropAll has the kernel drop all that arrives on a connection, acknowledgements and probes too.
func dropAll(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
	if controlErr != nil {
		// A connection that is closed already is silent.
		return nil
	}
	return err
}

// silentConn is a connection that, once silent, reads on and passes nothing on in either direction.
type silentConn struct {
	net.Conn
	tcp    *net.TCPConn
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() || err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// SetLinger sets what closing the connection does, as that of net.TCPConn.
func (c *silentConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }
