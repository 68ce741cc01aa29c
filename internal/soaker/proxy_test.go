package soaker

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSlowReaderWaitsForTimers checks that a caller that reads a large answer slowly gets all of it at its own pace, without
// waiting for the timers of the sender.
func TestSlowReaderWaitsForTimers(t *testing.T) {
	const answer = 240 << 10
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Write(make([]byte, answer)); err != nil {
			t.Error(err)
		}
	}()
	p, err := newProxy("127.0.0.1:0", l.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer p.goDown()
	begun := time.Now()
	conn, err := shallowDialer.Dial("tcp4", p.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := &pacedReader{Conn: conn}
	r.setPace(manner{ReadPause: slowReadPause})
	n, err := io.Copy(io.Discard, r)
	if diff := cmp.Diff(int64(answer), n); diff != "" || err != nil {
		t.Errorf("bytes of the answer (-want +got), %v:\n%s", err, diff)
	}
	took := time.Since(begun)
	if stalled := took - r.paused; stalled > time.Second {
		t.Errorf("the reader waited %v longer than it paused", stalled)
	}
}

// TestSilentConnectionEnds guards against a connection that tells of its silence by ending with its target.
func TestSilentConnectionEnds(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p, err := newProxy("127.0.0.1:0", l.Addr().String(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer p.goDown()
	conn, err := net.Dial("tcp4", p.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	target, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := target.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 8)
	if n, err := conn.Read(b); n != 1 || err != nil {
		t.Fatalf("read %d bytes, error %v", n, err)
	}
	p.silence("", false)
	if _, err := target.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	target.Close()
	if err := conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(b); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, error %v, want silence", n, err)
	}
	if _, err := conn.Write([]byte("z")); err != nil {
		t.Errorf("bytes are not taken by the silent connection: %v", err)
	}
}
