package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/bramleyhinge/bramleyhinge/internal/dialer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// ClientConfig configures the control connections of one process.
type ClientConfig struct {
	Instance    model.InstanceID
	Role        model.Role
	Secret      Secret
	TLS         *tls.Config
	DialTimeout time.Duration
	// OnSilence is called with the address of a connection that is closed because its peer answers nothing.
	OnSilence func(addr string)
}

// Pool keeps one control connection for each address, which the first call opens.
type Pool struct {
	cfg   ClientConfig
	mu    sync.Mutex
	conns map[string]*peerConn
}

// peerConn is a connection, or the attempt to open it until dialled closes.
type peerConn struct {
	dialled chan struct{}
	conn    *jsonrpc2.Conn
	beat    *heartbeat
	err     error
}

// NewPool returns a pool without connections.
func NewPool(cfg ClientConfig) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.OnSilence == nil {
		cfg.OnSilence = func(string) {}
	}
	return &Pool{cfg: cfg, conns: map[string]*peerConn{}}
}

// Call sends one control call to the address and waits for its reply.
func Call[Out, In any](ctx context.Context, p *Pool, addr string, m Method, in In) (Out, error) {
	var out Out
	l, err := p.connect(ctx, addr)
	if err != nil {
		return out, err
	}
	l.beat.begin(time.Now())
	err = l.conn.Call(ctx, string(m), in, &out)
	l.beat.end(err, time.Now())
	if err != nil {
		if errors.Is(err, jsonrpc2.ErrClosed) {
			p.drop(addr, l.conn)
		}
		return out, fmt.Errorf("call %s at %s: %w", m, addr, decodeError(err))
	}
	return out, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.conns {
		select {
		case <-l.dialled:
			if l.conn != nil {
				l.conn.Close()
			}
		default:
		}
		delete(p.conns, addr)
	}
}

// Drop closes the connection to an address so that the next call dials again.
func (p *Pool) Drop(addr string) { p.drop(addr, nil) }

func (p *Pool) connect(ctx context.Context, addr string) (*peerConn, error) {
	p.mu.Lock()
	l, ok := p.conns[addr]
	if !ok {
		l = &peerConn{dialled: make(chan struct{})}
		p.conns[addr] = l
		go p.dial(addr, l)
	}
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w", addr, ctx.Err())
	case <-l.dialled:
		return l, l.err
	}
}

func (p *Pool) drop(addr string, conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.conns[addr]
	if !ok {
		return
	}
	select {
	case <-l.dialled:
	default:
		return
	}
	if conn != nil && l.conn != conn {
		return
	}
	if l.conn != nil {
		l.conn.Close()
	}
	delete(p.conns, addr)
}

func (p *Pool) dial(addr string, l *peerConn) {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	defer cancel()
	l.conn, l.err = p.openConn(ctx, addr)
	l.beat = &heartbeat{conn: l.conn, answersAnew: func() bool { return p.answersAnew(addr) }, onSilence: func() { p.cfg.OnSilence(addr) }}
	close(l.dialled)
	if l.err != nil {
		p.mu.Lock()
		if p.conns[addr] == l {
			delete(p.conns, addr)
		}
		p.mu.Unlock()
		return
	}
	go func() {
		<-l.conn.DisconnectNotify()
		p.drop(addr, l.conn)
	}()
}

// answersAnew reports whether the process at an address answers on a new connection.
func (p *Pool) answersAnew(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pongTimeout)
	defer cancel()
	c, err := p.openConn(ctx, addr)
	if err != nil {
		return false
	}
	// It is closed already if the peer closed it.
	_ = c.Close()
	return true
}

func (p *Pool) openConn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	conn, err := dialer.New(p.cfg.DialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	if p.cfg.TLS != nil {
		tlsConn := tls.Client(conn, clientTLS(p.cfg.TLS, addr))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, fmt.Errorf("TLS handshake with %s: %w", addr, err)
		}
		conn = tlsConn
	}
	stream := jsonrpc2.NewBufferedStream(conn, boundedCodec{})
	c := jsonrpc2.NewConn(context.Background(), stream, rejectCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	if err := p.authenticate(ctx, c); err != nil {
		c.Close()
		return nil, fmt.Errorf("authenticate with %s: %w", addr, err)
	}
	return c, nil
}

func clientTLS(cfg *tls.Config, addr string) *tls.Config {
	c := cfg.Clone()
	host, _, err := net.SplitHostPort(addr)
	if err == nil {
		c.ServerName = host
	}
	return c
}

func (p *Pool) authenticate(ctx context.Context, c *jsonrpc2.Conn) error {
	var challenge ChallengeReply
	if err := c.Call(ctx, string(MethodChallenge), Empty{}, &challenge); err != nil {
		return err
	}
	nonce := newNonce()
	in := HelloRequest{
		Instance: p.cfg.Instance,
		Role:     p.cfg.Role,
		Nonce:    nonce,
		MAC:      p.cfg.Secret.sign("hello", string(challenge.Nonce), string(p.cfg.Instance), string(p.cfg.Role)),
	}
	var reply HelloReply
	if err := c.Call(ctx, string(MethodHello), in, &reply); err != nil {
		return err
	}
	if !p.cfg.Secret.verify(reply.MAC, "welcome", string(nonce), string(reply.Instance)) {
		return errors.New("the server's MAC is wrong: set the same secret on both instances")
	}
	return nil
}

// rejectCalls rejects calls that arrive on a connection of the client: the server may not call
// back.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		return
	}
	err := &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls in this direction"}
	// If the reply fails, the connection is gone, and dial's DisconnectNotify removes it.
	_ = c.ReplyWithError(ctx, r.ID, err)
}
