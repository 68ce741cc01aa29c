package soaker

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tracer"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// TestReportedRequestIsNotTraced checks that the trace of a reported request tells what its caller and backend servers
// saw, the faults that concern it and what its entry logged.
func TestReportedRequestIsNotTraced(t *testing.T) {
	h := history{
		Records:  []record{{ID: "r1", Entry: "entry-0", Route: "chat", Begun: at(99 * time.Second), Sent: at(100 * time.Second), Ended: at(102 * time.Second), Status: 200, Err: "cut", Manner: manner{Chunks: 2, HeadWrites: 1, LateEnd: 300 * time.Millisecond}}, {ID: "r2"}},
		Arrivals: []standin.Arrival{{ID: "r1", Server: "i-1", At: at(100100 * time.Millisecond), Ran: true}, {ID: "r2", Server: "i-2", At: at(101 * time.Second)}},
		Spans: []faultSpan{
			{Kind: serverCrash, Target: "i-1", From: at(101 * time.Second), To: at(103 * time.Second)}, {Kind: serverCrash, Target: "i-2", From: at(101 * time.Second), To: at(103 * time.Second)},
			{Kind: entryPause, Target: "entry-0", From: at(10 * time.Second), To: at(11 * time.Second)},
		},
	}
	const line = `{"time":"1970-01-01T00:18:20.050Z","instance":"entry-0","level":"info","message":"forwarder: placed","request":"r1","backend":"i-1"}`
	log, err := tracer.Read(strings.NewReader(line + "\n"))
	if err != nil {
		t.Fatal(err)
	}
	got, ok := h.trace(violation{Invariant: "attempts", Request: "r1", Detail: "too many"}, log)
	want := []string{
		"attempts: request r1: too many",
		"  00:18:20.000 sent to entry-0 on route chat, 00:18:22.000 ended with status 200, whole false cut",
		"  00:18:19.000 begun, first on its connection false, in 2 chunks, the final one after 300ms, in 1 and 0 writes 0s apart, read after 0s with pauses of 0s",
		"  00:18:20.100 reached i-1, ran true, after event 0",
		"  00:18:21.000 to 00:18:23.000 server-crash i-1",
	}
	lines := strings.Split(strings.TrimSpace(got), "\n")
	if diff := cmp.Diff(want, lines[:min(len(want), len(lines))]); !ok || diff != "" {
		t.Errorf("trace (-want +got):\n%s", diff)
	}
	if !strings.Contains(got, "forwarder: placed") {
		t.Errorf("the trace lacks what the entry logged:\n%s", got)
	}
	if _, ok := h.trace(violation{Request: "r9"}, log); ok {
		t.Error("a request that nobody sent has a trace")
	}
}
