package tester

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// ServeConns starts a server that passes each connection to serve and closes it then. It returns the server's host and port.
func ServeConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// ServeAnswer starts a server that sends the same text as the answer to each request and closes the connection then. It returns
// the server's host and port.
func ServeAnswer(t *testing.T, text string) string {
	t.Helper()
	return ServeConns(t, func(c net.Conn) { serveAnswer(c, text) })
}

func serveAnswer(c net.Conn, text string) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	// What is not read would reset the connection.
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	// A write error means that the client left.
	_, _ = io.WriteString(c, text)
}

// ReadWaiting reads what waits in a socket, until there is nothing more or most bytes were read. Unlike other reads it does not
// wait.
func ReadWaiting(c net.Conn, most int) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return
	}
	b := make([]byte, 64<<10)
	for n := 1; n > 0 && most > 0; most -= n {
		err := rc.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT) })
		if err != nil {
			return
		}
	}
}
