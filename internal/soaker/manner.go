package soaker

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// manner is how a caller writes a request and reads the response to it.
type manner struct {
	// Chunks is the number of chunks of the body besides the final one; 0 is a body with a length.
	Chunks int
	// HeadWrites and BodyWrites are the numbers of writes of the head and of the body. With BodyWrites 0, the body is
	// written together with the head.
	HeadWrites, BodyWrites int
	// Pause is the time between two writes, LateEnd the time before the final chunk.
	Pause, LateEnd time.Duration
	// ReadDelay is the time before the first read of the response, ReadPause the time before each read.
	ReadDelay, ReadPause time.Duration
	// Eager has the caller write its next request as soon as the response is whole.
	Eager bool
}

const (
	// chunkedRate, piecesRate, lateEndRate, slowReadRate and eagerRate are the shares of requests with a body in chunks,
	// in several writes, with a final chunk that comes late, whose response is read slowly, and that another one
	// follows at once.
	chunkedRate, piecesRate, lateEndRate, slowReadRate, eagerRate = 0.35, 0.3, 0.3, 0.1, 0.2
	// maxPieces is the largest number of chunks, and of writes of a head or body.
	maxPieces = 4
	// maxPause is the longest pause between two writes, maxLateEnd the longest delay of a final chunk.
	maxPause, maxLateEnd = 60 * time.Millisecond, 400 * time.Millisecond
	// maxReadDelay is the longest time before a slow reader begins, slowReadPause and slowReadBytes its pace.
	maxReadDelay, slowReadPause = 400 * time.Millisecond, 8 * time.Millisecond
	slowReadBytes               = 4 << 10
)

// drawManner draws the manner of one request.
func drawManner(rng *rand.Rand) manner {
	m := manner{HeadWrites: 1, Eager: rng.Float64() < eagerRate}
	if rng.Float64() < chunkedRate {
		m.Chunks = 1 + rng.IntN(maxPieces)
		if rng.Float64() < lateEndRate {
			m.LateEnd = time.Duration(rng.Float64() * float64(maxLateEnd))
		}
	}
	if rng.Float64() < piecesRate {
		m.HeadWrites, m.BodyWrites = 1+rng.IntN(maxPieces), 1+rng.IntN(maxPieces)
		m.Pause = time.Duration(rng.IntN(2)) * time.Duration(rng.Float64()*float64(maxPause))
	}
	if rng.Float64() < slowReadRate {
		m.ReadDelay = time.Duration(rng.Float64() * float64(maxReadDelay))
		m.ReadPause = slowReadPause
	}
	return m
}

// String describes how the request is written.
func (m manner) String() string {
	framing := "with a length"
	if m.Chunks > 0 {
		framing = fmt.Sprintf("in %d chunks, the final one after %v", m.Chunks, m.LateEnd.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, in %d and %d writes %v apart", framing, m.HeadWrites, m.BodyWrites, m.Pause.Round(time.Millisecond))
}

// piece is a part of a request that is written at once, after a pause.
type piece struct {
	wait time.Duration
	data []byte
}

// pieces returns the writes of a request. The head lacks the header that tells how the body ends.
func (m manner) pieces(head, body []byte) []piece {
	head = bytes.Clone(head)
	var end []byte
	if m.Chunks == 0 {
		head = fmt.Appendf(head, "Content-Length: %d\r\n\r\n", len(body))
	} else {
		head = append(head, "Transfer-Encoding: chunked\r\n\r\n"...)
		var framed []byte
		for _, chunk := range split(body, m.Chunks) {
			framed = fmt.Appendf(framed, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		body, end = framed, []byte("0\r\n\r\n")
	}
	if m.LateEnd == 0 {
		body, end = append(bytes.Clone(body), end...), nil
	}
	if m.BodyWrites == 0 {
		head, body = append(head, body...), nil
	}
	var out []piece
	for _, data := range append(split(head, m.HeadWrites), split(body, m.BodyWrites)...) {
		out = append(out, piece{wait: m.Pause, data: data})
	}
	out[0].wait = 0
	if len(end) > 0 {
		out = append(out, piece{wait: m.LateEnd, data: end})
	}
	return out
}

// split cuts b into at most n parts of about the same size, none of them empty.
func split(b []byte, n int) [][]byte {
	var out [][]byte
	for i := range n {
		if part := b[i*len(b)/n : (i+1)*len(b)/n]; len(part) > 0 {
			out = append(out, part)
		}
	}
	return out
}

// pacedReader reads from a connection at the pace of a manner.
type pacedReader struct {
	net.Conn
	delay, pause time.Duration
	// paused is the sum of all pauses since the pace was set.
	paused time.Duration
}

// setPace sets the pace of the next response.
func (r *pacedReader) setPace(m manner) { r.delay, r.pause, r.paused = m.ReadDelay, m.ReadPause, 0 }

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	if wait := r.delay + r.pause; wait > 0 {
		time.Sleep(wait)
		r.paused, r.delay = r.paused+wait, 0
		b = b[:min(len(b), slowReadBytes)]
	}
	return r.Conn.Read(b)
}
