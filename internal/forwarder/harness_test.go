package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

var testNames = Names{
	Request: "Id", TimeLeft: "Time-Left", Prefix: "Prefix", Session: "Session", LastEventID: "Last-Event", Seal: "Seal", Organisation: "Holder",
	ExpectedBackend: "Meant", Load: "Load", Limit: "Limit", Leaving: "Leaving", NotRun: "Not-Run", Model: "Model", Usage: "Usage", LengthHint: "Length", Priority: "Rank",
	Confidence: "Confidence", Scheme: "Key", ReadyPath: "/ready", MetricsPath: "/metrics",
	Reserved: []string{"Holder", "Meant", "Rank", "Kv-From"},
}

// fakeState is a fixed state of the platform.
type fakeState struct {
	plan    *model.Plan
	stale   bool
	servers []model.BackendServer
	// ready is closed when the state is complete; nil means that it is complete from the start.
	ready chan struct{}
	// planFirst is set if the plan is known before that.
	planFirst bool
	// evacuations holds nil if there were none.
	evacuations atomic.Pointer[model.Evacuations]
}

func (s *fakeState) Ready() <-chan struct{} {
	if s.ready == nil {
		ready := make(chan struct{})
		close(ready)
		return ready
	}
	return s.ready
}

func (s *fakeState) Plan() *model.Plan {
	if s.planFirst {
		return s.plan
	}
	select {
	case <-s.Ready():
		return s.plan
	default:
		return nil
	}
}

func (s *fakeState) Evacuations() *model.Evacuations                          { return s.evacuations.Load() }
func (s *fakeState) KeysFresh(time.Duration) (bool, time.Duration)            { return !s.stale, 0 }
func (s *fakeState) Servers(model.ServiceID, time.Time) []model.BackendServer { return s.servers }

type allVersions struct{}

func (allVersions) Allows(model.VersionID) bool { return true }
func (allVersions) Concentrate() (int, bool)    { return 0, false }
func (allVersions) Choose(VersionRequest, time.Time) VersionChoice {
	return allVersions{}
}
func (allVersions) Observe(Outcome, time.Time) {}

// backends is a group of backend servers that follow one script: the n-th request that arrives gets the
// n-th reply.
type backends struct {
	t       *testing.T
	replies []string

	mu       sync.Mutex
	arrivals []*http.Request
	gone     chan struct{}
	// onArrival, if it is set, is called with each request before its reply.
	onArrival func(*http.Request)
}

func (b *backends) next(r *http.Request) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, r)
	if b.onArrival != nil {
		b.onArrival(r)
	}
	return b.replies[min(len(b.arrivals), len(b.replies))-1]
}

// script replaces the replies and forgets the requests that have arrived.
func (b *backends) script(replies []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replies, b.arrivals = replies, nil
}

func (b *backends) seen() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*http.Request(nil), b.arrivals...)
}

// start starts n backend servers and returns them.
func (b *backends) start(n int) []model.BackendServer {
	b.gone = make(chan struct{}, 64)
	var out []model.BackendServer
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.t.Fatal(err)
		}
		b.t.Cleanup(func() { l.Close() })
		go b.accept(l)
		out = append(out, model.BackendServer{
			Backend: model.BackendID(fmt.Sprint("b", i)), Service: "svc", Address: l.Addr().String(), Slots: 8, State: model.BackendReady,
		})
	}
	return out
}

func (b *backends) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(c, l)
	}
}

func (b *backends) serve(c net.Conn, l net.Listener) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		req.RemoteAddr = c.RemoteAddr().String()
		reply := b.next(req)
		if reply == "early" {
			fmt.Fprint(c, answer(req, "Connection: close\r\n", "answer"))
			time.Sleep(50 * time.Millisecond)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if reply, ok := strings.CutPrefix(reply, "crash"); ok {
			// What the server still sends before it crashes follows the word.
			if reply != "" {
				b.reply(c, r, req, strings.TrimPrefix(reply, " "))
			}
			l.Close()
			return
		}
		if !b.reply(c, r, req, reply) {
			return
		}
	}
}

func answer(r *http.Request, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%sContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), extra, len(body), body)
}

// reply answers one request and reports whether the connection stays open.
func (b *backends) reply(c net.Conn, r *bufio.Reader, req *http.Request, reply string) bool {
	id := req.Header.Get("Id")
	word, rest, _ := strings.Cut(reply, " ")
	switch word {
	case "ok":
		fmt.Fprint(c, answer(req, "", "answer"))
		return true
	case "limit":
		// The answer names the limit after the word.
		fmt.Fprint(c, answer(req, "Limit: "+rest+"\r\n", "answer"))
		return true
	case "limitbusy":
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nLimit: %s\r\nContent-Length: 0\r\n\r\n", id, rest)
		return true
	case "limitelsewhere":
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nLimit: %s\r\nContent-Length: 0\r\n\r\n", rest)
		return true
	case "leaving":
		fmt.Fprint(c, answer(req, "Leaving: 1\r\n", "answer"))
		return true
	case "leavingbusy":
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	case "leavingelsewhere":
		fmt.Fprint(c, "HTTP/1.1 421 Misdirected Request\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case "leavingdoubt":
		fmt.Fprint(c, strings.Replace(answer(req, "Leaving: 1\r\n", "id: 1\ndata: 1\n\n"), "Seal: s", "Seal: s\r\nConfidence: 10", 1))
		return true
	case "leavingforeign":
		fmt.Fprint(c, strings.Replace(answer(req, "Leaving: 1\r\n", "other"), "Id: "+id, "Id: other", 1), answer(req, "", "answer"))
		return true
	case "leavingevents":
		fmt.Fprint(c, answer(req, "Leaving: 1\r\n", "id: 1\ndata: 1\n\n"))
		return true
	case "rest":
		// The answer asks for the seconds of rest after the word.
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", id, rest)
		return true
	case "foreign":
		fmt.Fprint(c, strings.Replace(answer(req, "", "other"), "Id: "+id, "Id: other", 1), answer(req, "", "answer"))
		return true
	case "doubt":
		fmt.Fprint(c, strings.Replace(answer(req, "", "poor"), "Seal: s", "Seal: s\r\nConfidence: 10", 1))
		return true
	case "doubtevents":
		const events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
		fmt.Fprint(c, strings.Replace(answer(req, "", events), "Seal: s", "Seal: s\r\nConfidence: 10", 1))
		return true
	case "surplus":
		fmt.Fprint(c, answer(req, "", "answer"), "HTTP/1.1 200 OK\r\n\r\nmore")
		return true
	case "dropidle":
		fmt.Fprint(c, answer(req, "", "answer"))
		_, _ = r.Peek(1)
		reset(c)
	case "bytes", "lastbytes":
		// The text after the word, with bars for the ends of lines.
		fmt.Fprint(c, strings.NewReplacer("|", "\r\n", "{id}", id).Replace(rest))
		return word == "bytes"
	case "unsealed":
		fmt.Fprint(c, strings.Replace(answer(req, "", "answer"), "Seal: s\r\n", "", 1))
		return true
	case "copy":
		// The copy, which names no request, arrives once the connection is in use again.
		fmt.Fprint(c, answer(req, "", "answer"))
		_, _ = r.Peek(1)
		fmt.Fprint(c, strings.Replace(answer(req, "", "copy"), "Id: "+id+"\r\n", "", 1))
		return true
	case "endlesshead":
		return endless(c, "HTTP/1.1 200 OK\r\n", "Filler: "+strings.Repeat("x", 1000)+"\r\n")
	case "endlessline":
		return endless(c, "", strings.Repeat("x", 1000))
	case "endlessbody":
		return endless(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\n\r\n", strings.Repeat("x", 64<<10))
	case "endlessevent":
		return endless(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\n\r\nid: 1\ndata: ", strings.Repeat("x", 64<<10))
	case "encoded":
		fmt.Fprint(c, answer(req, "Content-Encoding: gzip\r\n", "answer"))
		return true
	case "reset":
		reset(c)
	case "half":
		fmt.Fprint(c, strings.TrimSuffix(answer(req, "", "answer"), "wer"))
	case "longhalf":
		body := strings.Repeat("x", 2*bufferedBodyBytes)
		fmt.Fprint(c, strings.TrimSuffix(answer(req, "", body), body[:bufferedBodyBytes/2]))
	case "longcut":
		// The answer has the status after the word and breaks off in the middle of its chunks.
		body := strings.Repeat("x", 2*bufferedBodyBytes)
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", rest, id, len(body), body)
	case "notrun", "latenotrun":
		if word == "latenotrun" {
			time.Sleep(800 * time.Millisecond)
		}
		fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	case "misdirected":
		fmt.Fprint(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return true
	case "failed":
		fmt.Fprint(c, strings.Replace(answer(req, "", "sorry"), "200 OK", "500 Error", 1))
		return true
	case "busy":
		fmt.Fprint(c, strings.Replace(answer(req, "", "sorry"), "200 OK", "503 Busy", 1))
		return true
	case "nolength", "nolengthreset":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nConnection: close\r\n\r\nanswer", id)
		if word == "nolengthreset" {
			time.Sleep(50 * time.Millisecond)
			reset(c)
		}
	case "silent":
		_, _ = r.ReadByte()
		b.gone <- struct{}{}
	case "garbage":
		fmt.Fprint(c, "no answer at all\r\n\r\n")
	case "head":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		time.Sleep(20 * time.Millisecond)
	case "unframed":
		// The body ends with the connection, at the end of the text.
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n%s", id, strings.ReplaceAll(rest, "|", "\n"))
	case "late":
		time.Sleep(minHeadTimeout + 500*time.Millisecond)
		fmt.Fprint(c, answer(req, "", "answer"))
		return true
	case "raw":
		// The status and the lines of the head are separated by bars, two bars separate them from the body.
		head, body, _ := strings.Cut(rest, "||")
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\n\r\n%s", strings.ReplaceAll(head, "|", "\r\n"), id, body)
	case "events", "slowevents", "pause", "pausenoid", "bigevents", "comments", "drip", "cut", "halfevent", "endless":
		return b.stream(c, r, id, word, rest)
	default:
		b.t.Errorf("unknown reply %q", reply)
	}
	return false
}

// endless sends bytes until the peer closes the connection.
func endless(c net.Conn, first, more string) bool {
	_, err := io.WriteString(c, first)
	for err == nil {
		_, err = io.WriteString(c, more)
	}
	return false
}

func reset(c net.Conn) {
	if tc, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tc.SetLinger(0)
	}
	c.Close()
}

func testPlan() *model.Plan {
	split := []model.PlanShare{{Service: "svc", Weight: 1}}
	route := func(name string, retry model.RetryPolicy, stream bool) model.PlanRoute {
		return model.PlanRoute{
			Route: model.RouteID(name), Host: "a.example", Prefix: "/" + name + "/", RetryPolicy: retry, Stream: stream,
			Timeout: 700 * time.Millisecond, LatencyTarget: 300 * time.Millisecond, Split: split, Attempts: 3, Public: name == "public",
		}
	}
	sized := route("sized", model.RetryResume, true)
	sized.Models = []model.ModelID{"small", "large"}
	sized.Split = []model.PlanShare{{Service: "engines", Weight: 1}}
	sizedOnce := sized
	sizedOnce.Route, sizedOnce.Prefix, sizedOnce.RetryPolicy = "sizedonce", "/sizedonce/", model.RetryNever
	return &model.Plan{
		Version: 1,
		Routes: []model.PlanRoute{
			sized, sizedOnce,
			route("safe", model.RetryIdempotent, false), route("never", model.RetryNever, false), route("public", model.RetryIdempotent, false),
			route("stream", model.RetryResume, true), route("once", model.RetryNever, true),
		},
		Services: map[model.ServiceID]model.PlanService{
			"svc":     {Service: "svc"},
			"engines": {Service: "engines", Engine: &model.PlanEngine{Slots: 8, Costs: map[model.ModelID]float64{"small": 0.02, "large": 0.3}}},
		},
		Keys:   map[model.KeyHash]model.PlanKeyHolder{model.HashKey("good"): {Organisation: "mill", Rank: -1}},
		Limits: model.PlanLimits{Header: 8 << 10, Body: 2048, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

// patientPlan returns the plan of the tests with time limits that a busy machine does not reach.
func patientPlan() *model.Plan {
	plan := testPlan()
	for i := range plan.Routes {
		plan.Routes[i].Timeout = 10 * time.Second
	}
	return plan
}

// entry is a running forwarder.
type entry struct {
	*Forwarder
	callers, ready string
	stop           context.CancelFunc
	done           chan error
}

func startEntry(t *testing.T, state PlatformState) *entry {
	t.Helper()
	return startEntryWith(t, state, fakeQuarantine{})
}

func startEntryWith(t *testing.T, state PlatformState, q Quarantine) *entry {
	t.Helper()
	return startEntryVersions(t, state, q, allVersions{})
}

func testConfig(state PlatformState, q Quarantine, v Versions) Config {
	return Config{
		Settings: model.DirectSettings{
			Memory: 64 << 20, Grace: 2 * time.Second, RetryBudget: model.RetryBudgetSettings{Ratio: 10, Window: 10 * time.Second},
		},
		Cascade: chooser.CascadeConfig{Floors: []int{70}},
		Names:   testNames, PlatformState: state, Versions: v, Quarantine: q,
		Announcements: limiter.Announcements{
			Limits: limiter.NewServerLimits(limiter.ServerLimitsConfig{
				Self: model.Instance{Instance: "e0"}, Members: func() []model.Instance { return nil }, Meter: meter.New(), Log: zerolog.Nop(),
			}),
			Leaving: limiter.NewLeavingServers(limiter.LeavingServersConfig{Meter: meter.New(), Log: zerolog.Nop()}),
			Resting: limiter.NewRestingServers(limiter.RestingServersConfig{Self: "e0", Meter: meter.New(), Log: zerolog.Nop()}),
		},
		Clock: func() time.Duration { return 0 }, Meter: meter.New(), Log: zerolog.Nop(),
	}
}

func startEntryVersions(t *testing.T, state PlatformState, q Quarantine, v Versions) *entry {
	t.Helper()
	f := New(testConfig(state, q, v))
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	l := Listeners{Callers: listen(), Ready: listen()}
	ctx, cancel := context.WithCancel(t.Context())
	e := &entry{Forwarder: f, callers: l.Callers.Addr().String(), ready: l.Ready.Addr().String(), stop: cancel, done: make(chan error, 1)}
	go func() { e.done <- f.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-e.done:
		case <-time.After(5 * time.Second):
			t.Error("the entry did not end within its grace")
		}
	})
	return e
}

// post sends a request with a valid key and returns the answer.
func (e *entry) post(t *testing.T, path, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Id", "request-1")
	r.Header.Set("Authorization", "Key good")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}
