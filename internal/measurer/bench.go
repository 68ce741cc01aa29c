package measurer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// countingListener counts the bytes that all its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// controlBench is a control server with a number of connected clients.
type controlBench struct {
	server *messenger.Server
	addr   string
	bytes  atomic.Int64
	pools  []*messenger.Pool
	stop   func()
}

const benchSecret = "a-secret-for-measuring"

func newControlBench(register func(s *messenger.Server)) (*controlBench, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &controlBench{server: messenger.NewServer(messenger.ServerConfig{Instance: "n1", Secret: benchSecret, Connections: 4096}), addr: l.Addr().String()}
	register(b.server)
	go b.server.Serve(context.Background(), countingListener{l, &b.bytes})
	b.stop = func() { l.Close(); b.server.Close() }
	return b, nil
}

func (b *controlBench) connect(n int) error {
	for i := range n {
		p := messenger.NewPool(messenger.ClientConfig{Instance: model.InstanceID(fmt.Sprint("c", i)), Role: model.RoleAgent, Secret: benchSecret, DialTimeout: 10 * time.Second})
		b.pools = append(b.pools, p)
		if _, err := messenger.Call[messenger.Empty](context.Background(), p, b.addr, "touch", messenger.Empty{}); err != nil {
			return fmt.Errorf("connect: %w", err)
		}
	}
	return nil
}

func (b *controlBench) close() {
	for _, p := range b.pools {
		p.Close()
	}
	b.stop()
}

// forEachClient calls fn for all clients concurrently and waits for all calls to return.
func (b *controlBench) forEachClient(fn func(p *messenger.Pool)) {
	var wg sync.WaitGroup
	for _, p := range b.pools {
		wg.Go(func() { fn(p) })
	}
	wg.Wait()
}

// registerTouch registers the empty method that connect calls to open each connection.
func registerTouch(s *messenger.Server) {
	messenger.Handle(s, "touch", func(context.Context, messenger.Peer, messenger.Empty) (messenger.Empty, error) {
		return messenger.Empty{}, nil
	})
}
