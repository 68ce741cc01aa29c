package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// answerSink receives an answer part by part; hasWritten reports whether any of it was sent to
// the caller, after which the request cannot be retried on another agent.
type answerSink interface {
	setHead(status int, contentType string)
	addPart(data []byte) error
	hasWritten() bool
}

// bufferSink buffers an answer until it is complete.
type bufferSink struct {
	status      int
	contentType string
	body        bytes.Buffer
}

func (s *bufferSink) setHead(status int, contentType string) {
	s.status, s.contentType = status, contentType
	s.body.Reset()
}

func (s *bufferSink) addPart(data []byte) error {
	if s.body.Len()+len(data) > maxAnswerBytes {
		return model.Refuse(model.KindTooLarge, "the answer is over %d bytes: ask for a stream", maxAnswerBytes).WithRun(model.RunYes)
	}
	s.body.Write(data)
	return nil
}

func (s *bufferSink) hasWritten() bool { return false }

// maxAnswerBytes bounds the size of a buffered answer.
const maxAnswerBytes = 32 << 20

// answer returns the answer as the ledger keeps it; one that is too large keeps only its
// status and content type.
func (s *bufferSink) answer() *model.Answer {
	a := &model.Answer{Status: s.status, Type: s.contentType}
	if s.body.Len() <= maxStoredAnswerBytes {
		a.Body = bytes.Clone(s.body.Bytes())
		a.BodyKept = true
	}
	return a
}

// maxStoredAnswerBytes bounds the bodies that the ledger keeps for requests that are sent again.
const maxStoredAnswerBytes = 32 << 10

// streamSink passes parts on as they arrive. It holds back the closing event until the answer is
// known to be complete.
type streamSink struct {
	w            http.ResponseWriter
	flusher      *http.ResponseController
	headSent     bool
	status       int
	mediaType    string
	onPart       func()
	closingEvent []byte
	setHeaders   func(h http.Header)
}

func newStreamSink(w http.ResponseWriter, setHeaders func(h http.Header), onPart func()) *streamSink {
	return &streamSink{w: w, flusher: http.NewResponseController(w), setHeaders: setHeaders, onPart: onPart}
}

func (s *streamSink) setHead(status int, contentType string) {
	s.status, s.mediaType, s.closingEvent = status, contentType, nil
}

var doneMarker = []byte("[DONE]")

func (s *streamSink) addPart(data []byte) error {
	if s.closingEvent == nil && len(data) < 32 && bytes.Contains(data, doneMarker) {
		s.closingEvent = data
		return nil
	}
	if !s.headSent {
		s.sendHead()
	}
	s.onPart()
	return s.write(data)
}

func (s *streamSink) sendHead() {
	s.headSent = true
	s.setHeaders(s.w.Header())
	s.w.Header().Set("Content-Type", s.mediaType)
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

func (s *streamSink) hasWritten() bool { return s.headSent }

// finish ends a complete answer with its closing event.
func (s *streamSink) finish() error {
	if !s.headSent {
		s.sendHead()
	}
	return s.write(s.closingEvent)
}

// abort ends a broken stream with an error event instead of the closing event and closes the
// connection, so that no caller takes the answer for complete.
func (s *streamSink) abort(r *model.Refusal) {
	b, err := json.Marshal(newErrorBody(r))
	if err == nil && strings.HasPrefix(s.mediaType, "text/event-stream") {
		fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", b)
		// The connection is closed next, so an error here changes nothing.
		_ = s.flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}
