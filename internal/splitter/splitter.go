// Package splitter splits a server-sent event stream (WHATWG HTML, section 9.2) into events without
// changing their bytes.
package splitter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Done is the data of the closing event of a completions stream.
const Done = "[DONE]"

// maxEventBytes is the largest size of an event in bytes.
const maxEventBytes = 1 << 20

// ErrTooLarge reports an event over 1 MiB; the sender must split it.
var ErrTooLarge = errors.New("event is over 1 MiB: split it")

// Splitter reads events from a stream.
type Splitter struct {
	r    *bufio.Reader
	hold func(n int) error
}

// New returns a splitter that reads from r.
func New(r io.Reader) *Splitter { return NewHolding(r, func(int) error { return nil }) }

// NewHolding returns a splitter that reads from r. It calls hold with the number of bytes that it holds of an event whenever that
// has grown; an error ends the event.
func NewHolding(r io.Reader, hold func(n int) error) *Splitter {
	return &Splitter{r: bufio.NewReaderSize(r, 16<<10), hold: hold}
}

// Next returns the bytes of the next event including its blank line. It returns io.ErrUnexpectedEOF if
// the stream ends inside an event, and ErrTooLarge if the event is over 1 MiB.
func (s *Splitter) Next() ([]byte, error) {
	var event []byte
	held := 0
	for {
		line, err := s.r.ReadSlice('\n')
		event = append(event, line...)
		if cap(event) > held {
			held = cap(event)
			if err := s.hold(held); err != nil {
				return nil, err
			}
		}
		if len(event) > maxEventBytes {
			return nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if isBlank(line) && endsLine(event, line) && len(bytes.TrimSpace(event)) > 0 {
			return event, nil
		}
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// endsLine reports whether line, the end of event, is a whole line and not the tail of a longer one.
func endsLine(event, line []byte) bool {
	before := event[:len(event)-len(line)]
	return len(before) == 0 || before[len(before)-1] == '\n'
}

// IsEvent reports whether what Next returned is an event or a comment and not other text, such as the head of a
// response that a proxy wrote into the stream. Fields of other names may precede the known ones only: what follows
// an event that broke off looks like fields of other names as well.
func IsEvent(event []byte) bool {
	known := false
	for line := range bytes.Lines(bytes.TrimPrefix(event, []byte("\ufeff"))) {
		if isBlank(line) {
			continue
		}
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "", "data", "event", "id", "retry":
			known = true
		default:
			if known {
				return false
			}
		}
	}
	return known
}

// Data returns the value of the event's data field, without the final line end; it joins several data
// lines by newlines.
func Data(event []byte) []byte {
	var out [][]byte
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			out = append(out, bytes.TrimPrefix(bytes.TrimRight(data, "\r\n"), []byte(" ")))
		}
	}
	return bytes.Join(out, []byte("\n"))
}
