package messenger

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// JSON-RPC error codes of control calls.
const (
	codeRefused         = 1
	codeStore           = 2
	codeUnauthenticated = 3
)

// Peer is the authenticated other end of a control connection.
type Peer struct {
	Instance model.InstanceID
	Role     model.Role
}

type handler func(ctx context.Context, peer Peer, params json.RawMessage) (any, error)

// ServerConfig configures a control server.
type ServerConfig struct {
	Instance    model.InstanceID
	Secret      Secret
	TLS         *tls.Config
	Connections int
}

// Server answers control calls of authenticated peers.
type Server struct {
	cfg      ServerConfig
	handlers map[Method]handler
	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
	slots    chan struct{}
}

// NewServer returns a server without handlers.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg:      cfg,
		handlers: map[Method]handler{},
		conns:    map[*jsonrpc2.Conn]struct{}{},
		slots:    make(chan struct{}, max(cfg.Connections, 1)),
	}
}

// Handle registers the function that answers a method; call it before Serve.
func Handle[In, Out any](s *Server, m Method, fn func(ctx context.Context, peer Peer, in In) (Out, error)) {
	s.handlers[m] = func(ctx context.Context, peer Peer, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, model.Refuse(model.KindBadRequest, "decode %s: %v", m, err)
		}
		return fn(ctx, peer, in)
	}
}

// Serve accepts connections until the listener closes. It closes a new connection at once while
// the configured number of connections is open.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS)
	}
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept control connection: %w", err)
		}
		select {
		case s.slots <- struct{}{}:
			go s.serve(ctx, conn)
		default:
			conn.Close()
		}
	}
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() { <-s.slots }()
	session := &session{server: s, nonce: newNonce()}
	stream := jsonrpc2.NewBufferedStream(conn, boundedCodec{})
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(session.handle).SuppressErrClosed())
	c := jsonrpc2.NewConn(ctx, stream, h, jsonrpc2.SetLogger(discardLogger{}))
	s.mu.Lock()
	s.conns[c] = struct{}{}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		c.Close()
	}
	<-c.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// discardLogger drops the JSON-RPC library's log lines; callers report errors with their context.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// session is the server's state of one connection; peer is nil until it has authenticated.
type session struct {
	server *Server
	nonce  []byte
	mu     sync.Mutex
	peer   *Peer
}

func (s *session) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	switch Method(r.Method) {
	case MethodChallenge:
		return ChallengeReply{Nonce: s.nonce}, nil
	case MethodHello:
		return s.authenticate(params)
	case MethodPing:
		return Empty{}, nil
	}
	s.mu.Lock()
	peer := s.peer
	s.mu.Unlock()
	if peer == nil {
		return nil, &jsonrpc2.Error{Code: codeUnauthenticated, Message: "say hello first"}
	}
	h, ok := s.server.handlers[Method(r.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	out, err := h(ctx, *peer, params)
	if err != nil {
		return nil, encodeError(err)
	}
	return out, nil
}

func (s *session) authenticate(params json.RawMessage) (any, error) {
	var in HelloRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "decode hello"}
	}
	secret := s.server.cfg.Secret
	if !secret.verify(in.MAC, "hello", string(s.nonce), string(in.Instance), string(in.Role)) {
		return nil, &jsonrpc2.Error{Code: codeUnauthenticated, Message: "set the same secret on both instances"}
	}
	s.mu.Lock()
	s.peer = &Peer{Instance: in.Instance, Role: in.Role}
	s.mu.Unlock()
	own := s.server.cfg.Instance
	return HelloReply{Instance: own, MAC: secret.sign("welcome", string(in.Nonce), string(own))}, nil
}

func encodeError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	var refusal *model.Refusal
	var store *storer.Error
	switch {
	case errors.As(err, &refusal):
		e.Code = codeRefused
		e.SetError(refusal)
	case errors.As(err, &store):
		e.Code = codeStore
		e.SetError(store)
	}
	return e
}

func decodeError(err error) error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) || e.Data == nil {
		return err
	}
	switch e.Code {
	case codeRefused:
		var refusal model.Refusal
		if json.Unmarshal(*e.Data, &refusal) == nil {
			return &refusal
		}
	case codeStore:
		var store storer.Error
		if json.Unmarshal(*e.Data, &store) == nil {
			return &store
		}
	}
	return err
}
