// Package peeker looks at a connection without reading from it.
package peeker

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek returns how many bytes wait in the socket, at most one, without reading them. It returns EAGAIN if there are
// none, and no error and 0 if the peer has closed its side.
func Peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	// Unlike Read, Control does not wait for a read that is under way.
	controlErr := rc.Control(func(fd uintptr) { n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// Await waits until bytes arrive at a socket, its peer closes its side or its read deadline passes, and copies the bytes
// without reading them. It returns 0 and no error if the peer has closed its side.
func Await(c net.Conn, b []byte) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = rc.Read(func(fd uintptr) bool {
		n, _, peekErr = unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(peekErr, unix.EAGAIN)
	})
	if err == nil {
		err = peekErr
	}
	return max(n, 0), err
}

// HasPending reports whether connections that a listener's host has established wait to be accepted.
func HasPending(l net.Listener) bool {
	pending := false
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = rc.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}

// Unacknowledged returns how many sent bytes the peer's host has not confirmed yet, or 0 if that cannot be known.
func Unacknowledged(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		if n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			n = 0
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// Acknowledged returns how many sent bytes the peer's host has confirmed, or 0 if that cannot be known.
func Acknowledged(c net.Conn) uint64 {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	var n uint64
	controlErr := rc.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = info.Bytes_acked
		}
	})
	if controlErr != nil {
		return 0
	}
	return n
}

// tcpClose is the state of a TCP connection that an error has ended, TCP_CLOSE in Linux's net/tcp_states.h. One whose peer
// has closed its side is in another one until both sides are closed.
const tcpClose = 7

// Transfer is how far the bytes have come that were sent on a TCP connection.
type Transfer struct {
	// Closed is set if an error has ended the connection, or both sides have closed it.
	Closed bool
	// Acked is how many bytes the peer's host has confirmed. InFlight is how many were sent and are not confirmed, and Unsent how
	// many wait in the socket; both stay as they were when an error ends the connection.
	Acked            uint64
	InFlight, Unsent int
	// Window is how many bytes the peer's host last said that it takes beyond the confirmed ones, 0 also if the kernel does not
	// tell. It falls while the peer's process does not read what came.
	Window int
}

// InspectTransfer returns how far the bytes have come that were sent on a connection. It returns an error if that cannot be
// known, net.ErrClosed if this process has closed the connection.
func InspectTransfer(c net.Conn) (Transfer, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Transfer{}, errors.ErrUnsupported
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return Transfer{}, err
	}
	var info *unix.TCPInfo
	queued := 0
	controlErr := rc.Control(func(fd uintptr) {
		// Read first: what is confirmed meanwhile may then look as if it were in flight, but not the other way round.
		if queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			return
		}
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == tcpClose {
			// More may have been written before the connection ended. It stays as it is now.
			queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	if err := errors.Join(controlErr, err); err != nil {
		return Transfer{}, err
	}
	unsent := min(int(info.Notsent_bytes), queued)
	return Transfer{Closed: info.State == tcpClose, Acked: info.Bytes_acked, InFlight: queued - unsent, Unsent: unsent, Window: int(info.Snd_wnd)}, nil
}
