package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// sink takes the parts of an answer. Touched reports whether the caller has seen any of
// it, after which the request cannot be run again elsewhere.
type sink interface {
	head(status int, contentType string)
	part(data []byte) error
	touched() bool
}

// bufferSink keeps a whole answer until it is known to be whole.
type bufferSink struct {
	status      int
	contentType string
	body        bytes.Buffer
}

func (s *bufferSink) head(status int, contentType string) {
	s.status, s.contentType = status, contentType
	s.body.Reset()
}

func (s *bufferSink) part(data []byte) error {
	if s.body.Len()+len(data) > maxAnswer {
		return model.Refuse(model.KindTooLarge, "the answer is over %d bytes: ask for a stream", maxAnswer).WithRun(model.RunYes)
	}
	s.body.Write(data)
	return nil
}

func (s *bufferSink) touched() bool { return false }

// maxAnswer bounds an answer that is held until it is whole.
const maxAnswer = 32 << 20

// answer returns the kept form of the buffered answer; one over the bound keeps its
// status alone.
func (s *bufferSink) answer() *model.Answer {
	a := &model.Answer{Status: s.status, Type: s.contentType}
	if s.body.Len() <= maxKeptAnswer {
		a.Body = bytes.Clone(s.body.Bytes())
		a.Kept = true
	}
	return a
}

// maxKeptAnswer bounds the answers that the ledger keeps for a resend.
const maxKeptAnswer = 32 << 10

// streamSink passes parts on as they come. It holds back the closing event until the
// answer has proved whole.
type streamSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	begun   bool
	status  int
	kind    string
	onPart  func()
	closing []byte
	header  func(h http.Header)
}

func newStreamSink(w http.ResponseWriter, header func(h http.Header), onPart func()) *streamSink {
	return &streamSink{w: w, flusher: http.NewResponseController(w), header: header, onPart: onPart}
}

func (s *streamSink) head(status int, contentType string) {
	s.status, s.kind = status, contentType
}

var doneEvent = []byte("[DONE]")

func (s *streamSink) part(data []byte) error {
	if s.closing == nil && len(data) < 32 && bytes.Contains(data, doneEvent) {
		s.closing = data
		return nil
	}
	if !s.begun {
		s.begin()
	}
	s.onPart()
	return s.write(data)
}

func (s *streamSink) begin() {
	s.begun = true
	s.header(s.w.Header())
	s.w.Header().Set("Content-Type", s.kind)
	s.w.WriteHeader(s.status)
}

func (s *streamSink) write(data []byte) error {
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := s.flusher.Flush(); err != nil {
		return fmt.Errorf("flush to caller: %w", err)
	}
	return nil
}

func (s *streamSink) touched() bool { return s.begun }

// finish ends a whole answer.
func (s *streamSink) finish() error {
	if !s.begun {
		s.begin()
	}
	return s.write(s.closing)
}

// fail ends a broken answer: an error event, no closing event and a closed connection,
// so that no caller can take it for whole.
func (s *streamSink) fail(r *model.Refusal) {
	b, err := json.Marshal(detail(r))
	if err == nil {
		fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", b)
		// The connection is given up next; an error here changes nothing.
		_ = s.flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}
