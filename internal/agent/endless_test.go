package agent

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestEndlessAnswerIsKept guards against a backend server that sends without end, and whose answer an agent keeps until its
// memory is used up, also while it is read on.
func TestEndlessAnswerIsKept(t *testing.T) {
	piece := strings.Repeat("x", 1<<20)
	for name, form := range map[string][3]string{
		"body":          {string(model.KindPlain), "HTTP/1.1 200 OK\r\n\r\n", piece},
		"body of model": {string(model.KindModel), "HTTP/1.1 200 OK\r\n\r\n", piece},
		"sized body":    {string(model.KindPlain), "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", piece},
		"events":        {string(model.KindModel), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", strings.Repeat(fmt.Sprintf("data: %s\n\n", piece[:64<<10]), 16)},
		"head":          {string(model.KindPlain), "HTTP/1.1 200 OK\r\n", strings.Repeat("Filler: x\r\n", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := tester.ServeEndless(t, form[1], form[2])
			b := newBackend(backendConfig{URL: "http://" + server.Address, Kind: model.Kind(form[0])})
			r := newRun(t.Context(), messenger.Work{Request: "a", Budget: 3 * time.Second, Method: http.MethodPost, Path: "/a", Body: []byte("x")}, time.Now())
			defer r.cancel()
			go func() {
				// An entry that reads on, so that nothing waits for it.
				for ; r.ctx.Err() == nil; time.Sleep(time.Millisecond) {
					r.mu.Lock()
					n := len(r.frames)
					r.mu.Unlock()
					r.markRead(n)
				}
			}()
			_, _, refusal := b.call(r)
			if refusal == nil || refusal.Run != model.RunUnknown {
				t.Errorf("refusal %v, want one that says that it may have run", refusal)
			}
			if r.answerBytes > maxAnswerBytes {
				t.Errorf("%d bytes are kept, want at most %d", r.answerBytes, maxAnswerBytes)
			}
			if n := server.Sent(); n > maxAnswerBytes+32<<20 {
				t.Errorf("%d bytes were taken, want at most %d and what sockets hold", n, maxAnswerBytes)
			}
		})
	}
}
