package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// unfinished returns a handler that answers requests for a path that ends with "bad" with a text that it repeats up to some
// bytes, and keeps the connection. Others get a stream of large events.
func unfinished(first, more string, size int) func(net.Conn, *http.Request) {
	piece := []byte(more)
	return func(c net.Conn, req *http.Request) {
		if !strings.HasSuffix(req.URL.Path, "bad") {
			events(4, 100<<10, time.Minute)(c, req)
			return
		}
		fmt.Fprint(c, strings.ReplaceAll(first, "{id}", req.Header.Get("Id")))
		for sent := 0; sent < size; sent += len(piece) {
			// Without a copy, which would count as what is held.
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, c)
	}
}

// TestUnfinishedPartsFillMemory guards against servers whose heads or events do not end, and callers that take no large
// event, which use up the memory of an entry, and against harm to the streams of sound servers beside them. It is not run beside
// other tests, since it measures the heap.
func TestUnfinishedPartsFillMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
	line := strings.Repeat("x", 32<<10)
	for _, tc := range []struct {
		name    string
		callers int
		handle  func(net.Conn, *http.Request)
	}{
		{"event", 100, unfinished(head+"\r\nid: 1\ndata: ", line, 900<<10)},
		{"comments", 100, unfinished(head+"\r\n", ": "+line+"\n", 900<<10)},
		{"event that callers do not take", 100, unfinished(head+"\r\n", "id: 1\ndata: "+strings.Repeat("x", 900<<10)+"\n\n", 20<<20)},
		{"head line", 300, unfinished(head+"Filler: ", line[:1<<10], maxHeadBytes-2<<10)},
		{"head", 300, unfinished(head, "Filler: x\r\n", maxHeadBytes-2<<10)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := startEntry(t, &fakeState{plan: slowPlan(4 * time.Second), servers: []model.BackendServer{startServer(t, "b0", tc.handle)}})
			before := liveHeap()
			for range tc.callers {
				e.send(t, "/once/bad")
			}
			time.Sleep(1500 * time.Millisecond)
			// What is held of each connection besides is bounded: buffers, small parts and stacks.
			grown, allowed := liveHeap()-before, int(e.cfg.Settings.Memory)/unfinishedMemoryDivisor+tc.callers*(2*smallPartBytes+32<<10)
			if grown > allowed {
				t.Errorf("%d bytes are held for %d answers, want at most %d", grown, tc.callers, allowed)
			}
			resp := e.post(t, "/once/good", "")
			n, err := io.Copy(io.Discard, resp.Body)
			if want := int64(4 * (100<<10 + len("id: 1\ndata: \n\n"))); err != nil || n != want {
				t.Errorf("a sound stream beside them: %d bytes, want %d: %v", n, want, err)
			}
			t.Logf("%d bytes held, %d allowed", grown, allowed)
			if !e.endsWithin(15 * time.Second) {
				t.Error("the requests did not end")
			}
			if diff := cmp.Diff(0, e.parts.bytes()); diff != "" {
				t.Errorf("bytes of parts after all ended (-want +got):\n%s", diff)
			}
		})
	}
}

func liveHeap() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// TestCutParts checks which parts are cut while the memory for them is used up: the one with the most bytes times the time for
// which it is held, and never small ones.
func TestCutParts(t *testing.T) {
	const kb = 1 << 10
	start := time.Unix(1000, 0)
	type step struct {
		at   time.Duration
		part string
		n    int
		// cut lists the parts that the step cuts, with the one that it resizes.
		cut []string
	}
	for _, tc := range []struct {
		name  string
		limit int
		steps []step
	}{
		{"no limit", 0, []step{{0, "a", 900 * kb, nil}, {time.Second, "b", 900 * kb, nil}}},
		{"small parts do not count", 100 * kb, []step{{0, "a", 30 * kb, nil}, {0, "b", 30 * kb, nil}, {0, "c", 30 * kb, nil}, {0, "d", 30 * kb, nil}}},
		{"the one that is held longest", 100 * kb, []step{{0, "a", 50 * kb, nil}, {time.Second, "b", 40 * kb, nil}, {1100 * time.Millisecond, "c", 50 * kb, []string{"a"}}, {1200 * time.Millisecond, "a", 60 * kb, []string{"a"}}}},
		{"the largest", 100 * kb, []step{{0, "a", 40 * kb, nil}, {0, "b", 70 * kb, []string{"b"}}}},
		{"one that grows without end is cut itself", 100 * kb, []step{{0, "a", 40 * kb, nil}, {time.Second, "a", 60 * kb, nil}, {2 * time.Second, "a", 120 * kb, []string{"a"}}}},
		{"a part that ended counts no more", 100 * kb, []step{{0, "a", 90 * kb, nil}, {time.Second, "a", 0, nil}, {time.Second, "a", 80 * kb, nil}, {2 * time.Second, "b", 40 * kb, []string{"a"}}}},
		{"a large event that ends soon is not cut", 100 * kb, []step{{0, "a", 40 * kb, nil}, {time.Second, "b", 40 * kb, nil}, {5 * time.Second, "c", 60 * kb, []string{"a"}}, {5100 * time.Millisecond, "c", 0, nil}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newPartMemory(tc.limit)
			parts := map[string]*heldPart{}
			for i, s := range tc.steps {
				var cut []string
				if parts[s.part] == nil {
					parts[s.part] = m.newPart(nil)
				}
				for name, p := range parts {
					p.cut = func() { cut = append(cut, name) }
				}
				if parts[s.part].resize(s.n, start.Add(s.at)) != nil {
					cut = append(cut, s.part)
				}
				if diff := cmp.Diff(s.cut, cut); diff != "" {
					t.Errorf("step %d cuts (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}
