package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

const (
	// smallBuffer is the receive buffer in bytes of a caller that reads late.
	smallBuffer = 4 << 10
	// largeAnswer is the size in bytes of an answer that the entry's send buffer holds and smallBuffer does not.
	largeAnswer = 48 << 10
	// lateRead is how long such a caller waits before it reads.
	lateRead = 500 * time.Millisecond
)

// runningAcceptor is an acceptor that serves a handler.
type runningAcceptor struct {
	*Acceptor
	t       *testing.T
	address string
	served  chan error
}

// startAcceptor serves the handler on a new address, on connections that wrap changes.
func startAcceptor(t *testing.T, wrap func(net.Conn) net.Conn, h http.HandlerFunc) *runningAcceptor {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &runningAcceptor{t: t, address: l.Addr().String(), served: make(chan error, 1)}
	f.Acceptor = New(Config{Handler: h, Limits: func() Limits { return Limits{} }, Meter: meter.New()})
	go func() { f.served <- f.Serve(wrappingListener{l, wrap}) }()
	return f
}

// dial opens a connection with a small receive buffer.
func (f *runningAcceptor) dial() net.Conn {
	f.t.Helper()
	d := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) })
	}}
	c, err := d.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return c
}

// startStop begins a shutdown that ends after at most three seconds.
func (f *runningAcceptor) startStop() <-chan error {
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
	go func() {
		defer cancel()
		done <- f.Shutdown(ctx)
	}()
	return done
}

func (f *runningAcceptor) awaitStop(done <-chan error) {
	f.t.Helper()
	if err := <-done; err != nil {
		f.t.Error(err)
	}
	if err := <-f.served; err != nil {
		f.t.Error(err)
	}
}

// checkAnswer checks that the caller gets the whole body of an answer.
func (f *runningAcceptor) checkAnswer(c net.Conn, length int) {
	f.t.Helper()
	if n, err := readWhole(c); err != nil || n != length {
		f.t.Errorf("the caller got %d of %d bytes of the answer: %v", n, length, err)
	}
}

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.wrap == nil {
		return c, err
	}
	return l.wrap(c), nil
}

// heldConn holds writes and reads back while the switches are set.
type heldConn struct {
	*net.TCPConn
	writes, reads *atomic.Bool
}

func (c heldConn) Write(b []byte) (int, error) {
	for c.writes.Load() {
		time.Sleep(time.Millisecond)
	}
	return c.TCPConn.Write(b)
}

func (c heldConn) Read(b []byte) (int, error) {
	for c.reads.Load() {
		time.Sleep(time.Millisecond)
	}
	return c.TCPConn.Read(b)
}

// readWhole reads an answer and returns the length of its body, or the error that ended it.
func readWhole(c io.Reader) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return len(b), err
}

// TestStopClosesConnectionBeforeAnswerIsFlushed: the handler has returned, but its caller has yet to take the answer.
func TestStopClosesConnectionBeforeAnswerIsFlushed(t *testing.T) {
	t.Parallel()
	var hold atomic.Bool
	returned := make(chan struct{})
	f := startAcceptor(t, func(c net.Conn) net.Conn { return heldConn{c.(*net.TCPConn), &hold, new(atomic.Bool)} }, func(w http.ResponseWriter, _ *http.Request) {
		// A connection that got a request just before is left open in any case.
		time.Sleep(firstRequestTime + 100*time.Millisecond)
		hold.Store(true)
		fmt.Fprint(w, "answer")
		close(returned)
	})
	c := f.dial()
	fmt.Fprint(c, "POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	<-returned
	done := f.startStop()
	time.Sleep(5 * quietCheckInterval)
	hold.Store(false)
	f.checkAnswer(c, len("answer"))
	c.Close()
	f.awaitStop(done)
}

// TestUnreadBytesResetAnswer: the caller has sent more bytes when the entry closes its connection after an answer.
func TestUnreadBytesResetAnswer(t *testing.T) {
	t.Parallel()
	running, sent := make(chan struct{}), make(chan struct{})
	f := startAcceptor(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-sent
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, strings.Repeat("x", largeAnswer))
	})
	c := f.dial()
	const request = "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody"
	fmt.Fprint(c, request)
	<-running
	fmt.Fprint(c, request)
	close(sent)
	time.Sleep(lateRead)
	f.checkAnswer(c, largeAnswer)
	c.Close()
	f.awaitStop(f.startStop())
}

// TestStopEndsBeforeAnswerArrived: what is in the send buffers is lost if the machine goes away with the process.
func TestStopEndsBeforeAnswerArrived(t *testing.T) {
	t.Parallel()
	returned := make(chan struct{})
	f := startAcceptor(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, strings.Repeat("x", largeAnswer))
		close(returned)
	})
	c := f.dial()
	fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	<-returned
	done := f.startStop()
	select {
	case <-done:
		t.Error("the stop was over before the caller had its answer")
		return
	case <-time.After(firstRequestTime + lateRead):
	}
	f.checkAnswer(c, largeAnswer)
	f.awaitStop(done)
}

// TestStopDropsRequestInSocket: the next request has arrived on a kept connection, but the entry has not read it yet.
func TestStopDropsRequestInSocket(t *testing.T) {
	t.Parallel()
	var hold atomic.Bool
	var served atomic.Int64
	f := startAcceptor(t, func(c net.Conn) net.Conn { return heldConn{c.(*net.TCPConn), new(atomic.Bool), &hold} }, func(w http.ResponseWriter, _ *http.Request) {
		// net/http's read that watches for the caller's leaving has begun by then, and ends with the answer.
		time.Sleep(50 * time.Millisecond)
		hold.Store(served.Add(1) == 1)
		fmt.Fprint(w, "answer")
	})
	c := f.dial()
	const request = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"
	fmt.Fprint(c, request)
	if _, err := readWhole(c); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, request)
	time.Sleep(5 * quietCheckInterval)
	done := f.startStop()
	time.Sleep(5 * quietCheckInterval)
	hold.Store(false)
	f.checkAnswer(c, len("answer"))
	c.Close()
	f.awaitStop(done)
}

// TestStopClosesConnectionMidHead: the head of a request that its caller sends slowly arrives during a stop.
func TestStopClosesConnectionMidHead(t *testing.T) {
	t.Parallel()
	f := startAcceptor(t, nil, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") })
	c := f.dial()
	fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a.ex")
	time.Sleep(50 * time.Millisecond)
	done := f.startStop()
	time.Sleep(firstRequestTime + lateRead)
	fmt.Fprint(c, "ample\r\n\r\n")
	f.checkAnswer(c, len("answer"))
	c.Close()
	f.awaitStop(done)
}

// TestStopResetsConnectionBeforeAccept: a connection with a request waits to be accepted when the stop begins.
func TestStopResetsConnectionBeforeAccept(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	taken, pass := make(chan struct{}), make(chan struct{})
	var accepted atomic.Int64
	a := New(Config{Meter: meter.New(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }), Limits: func() Limits {
		// The limits are read between one accept and the next.
		if accepted.Add(1) == 1 {
			close(taken)
			<-pass
		}
		return Limits{}
	}})
	f := &runningAcceptor{Acceptor: a, t: t, address: l.Addr().String(), served: make(chan error, 1)}
	go func() { f.served <- a.Serve(l) }()
	first := f.dial()
	<-taken
	c := f.dial()
	fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	done := f.startStop()
	time.Sleep(5 * quietCheckInterval)
	close(pass)
	f.checkAnswer(c, len("answer"))
	c.Close()
	first.Close()
	f.awaitStop(done)
}

// TestStopReadsRequestThatCrossedClose: a caller sends its next request after the stop has closed its idle connection;
// the reset tells it that nobody has read the request.
func TestStopReadsRequestThatCrossedClose(t *testing.T) {
	t.Parallel()
	var served atomic.Int64
	f := startAcceptor(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		fmt.Fprint(w, "answer")
	})
	c := f.dial()
	const request = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"
	fmt.Fprint(c, request)
	if _, err := readWhole(c); err != nil {
		t.Fatal(err)
	}
	done := f.startStop()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the stop did not close the idle connection: %v", err)
	}
	fmt.Fprint(c, request)
	f.awaitStop(done)
	time.Sleep(quietCheckInterval)
	if _, err := fmt.Fprint(c, request); err == nil {
		t.Error("the connection was not reset")
	}
	if diff := cmp.Diff(int64(1), served.Load()); diff != "" {
		t.Errorf("requests that ran (-want +got):\n%s", diff)
	}
}

// TestLinger checks when a connection that is closed on the entry's side may be released.
func TestLinger(t *testing.T) {
	type lingerCase struct {
		Name, Read     string
		Unacknowledged int
		Took           time.Duration
		Over           bool
	}
	results := map[string]error{"eof": io.EOF, "timeout": os.ErrDeadlineExceeded, "reset": syscall.ECONNRESET, "bytes": nil}
	for _, c := range tester.Load[lingerCase](t, "lingers.yaml") {
		if diff := cmp.Diff(c.Over, isLingerOver(results[c.Read], c.Unacknowledged, c.Took)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.Name, diff)
		}
	}
}
