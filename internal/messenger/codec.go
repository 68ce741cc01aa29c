package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes is the longest control message: a relay tells of all objects of a kind at once.
	maxMessageBytes = 16 << 20
	// maxFrameBytes is the longest frame of an answer: an event of 1 MiB takes a third more in JSON.
	maxFrameBytes = 4 << 20
	// maxReplyBytes is the longest reply that is no answer.
	maxReplyBytes = 64 << 10
)

// boundedCodec is jsonrpc2.VarintObjectCodec with a bound on the messages that it reads: a peer in trouble may name any length.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec. An error ends the connection.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if n > maxMessageBytes {
		return fmt.Errorf("a message has %d bytes, at most %d are read", n, maxMessageBytes)
	}
	return json.NewDecoder(io.LimitReader(stream, int64(n))).Decode(v)
}

// frameLimit reads the frames of an answer and fails once one is longer than maxFrameBytes.
type frameLimit struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (l *frameLimit) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, fmt.Errorf("a frame of the answer is over %d bytes", maxFrameBytes)
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
