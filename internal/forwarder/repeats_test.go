package forwarder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// repeatCase is a row of refusals that are no answer to the request after them.
type repeatCase struct {
	Name          string
	Route         string
	First         string
	Same, Alone   bool
	At            []string
	IDs           []string
	NotRun        []bool
	Statuses      []int
	Times         int
	Split         bool
	Informational bool
	Instead       bool
	Want          []int
}

// repeat is one refusal of a row.
type repeat struct {
	repeatCase
	at, id string
	notRun bool
	status int
}

// all returns the refusals of a row.
func (c repeatCase) all() []repeat {
	var out []repeat
	for _, at := range c.At {
		for _, id := range c.IDs {
			for _, notRun := range c.NotRun {
				for _, status := range c.Statuses {
					out = append(out, repeat{repeatCase: c, at: at, id: id, notRun: notRun, status: status})
				}
			}
		}
	}
	return out
}

func (r repeat) String() string {
	return fmt.Sprintf("%s, %s, not run %t, status %d", r.at, r.id, r.notRun, r.status)
}

// halfBody is the size of a body that the socket buffers do not hold.
const halfBody = 6 << 20

// repeater is a backend server that refuses or answers requests for a path that ends with "first", and writes a refusal
// of that request once more on its connection.
type repeater struct {
	repeat

	mu sync.Mutex
	// arrivals lists the connections on which the requests for each path arrived, runs counts those that ran.
	arrivals map[string][]int
	runs     map[string]int
}

func (s *repeater) start(t *testing.T) model.BackendServer {
	t.Helper()
	s.arrivals, s.runs = map[string][]int{}, map[string]int{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, n)
		}
	}()
	address := l.Addr().String()
	return model.BackendServer{Backend: model.BackendID(address), Service: "svc", Address: address, Slots: 8, State: model.BackendReady}
}

func (s *repeater) serve(c net.Conn, n int) {
	defer c.Close()
	if tc, ok := c.(*net.TCPConn); ok && s.at == "half" {
		_ = tc.SetReadBuffer(128 << 10)
	}
	r := bufio.NewReader(c)
	var first string
	for i := 0; ; i++ {
		if _, err := r.Peek(1); err != nil {
			return
		}
		// The refusal comes once on a connection, at the request after the first.
		due := func(at string) bool { return i == 1 && first != "" && s.at == at }
		if due("begun") {
			s.write(c, first)
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.count(req, n, false)
		if due("half") {
			if _, err := io.CopyN(io.Discard, req.Body, 64<<10); err != nil {
				return
			}
			s.write(c, first)
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if path.Base(req.URL.Path) == "first" {
			first = req.Header.Get("Id")
			s.answerFirst(c, req)
			continue
		}
		if due("whole") {
			s.write(c, first)
		}
		s.count(req, n, true)
		if i == 2 && first != "" {
			fmt.Fprint(c, refusal(s.status, "", true, ""))
		}
		if i == 1 && first != "" && s.Instead {
			_, _ = r.ReadByte()
			return
		}
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(c, answer(req, "", "answer"))
	}
}

func (s *repeater) answerFirst(c net.Conn, req *http.Request) {
	id := req.Header.Get("Id")
	text := answer(req, "", "answer")
	if s.First != "" {
		text = refusal(s.status, id, s.First == "refused", "")
	}
	if s.at == "with" {
		// One write, so that both come in one packet.
		var b bytes.Buffer
		b.WriteString(text)
		s.write(&b, id)
		text = b.String()
	}
	fmt.Fprint(c, text)
	if s.at == "idle" {
		time.Sleep(5 * time.Millisecond)
		s.write(c, id)
	}
}

// write writes a refusal of the first request on the connection.
func (s *repeater) write(w io.Writer, first string) {
	if s.id == "none" {
		first = ""
	}
	text := strings.Repeat(refusal(s.status, first, s.notRun, "Load: 7,7,8\r\nLimit: 0.5\r\nRetry-After: 60\r\n"), max(s.Times, 1))
	if s.Informational {
		text = "HTTP/1.1 100 Continue\r\n\r\n" + text
	}
	if s.Split {
		fmt.Fprint(w, text[:20])
		time.Sleep(5 * time.Millisecond)
		text = text[20:]
	}
	fmt.Fprint(w, text)
}

// refusal returns a refusal with the id and the headers extra.
func refusal(status int, id string, notRun bool, extra string) string {
	if id != "" {
		extra += "Id: " + id + "\r\n"
	}
	if notRun {
		extra += "Not-Run: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 4\r\n\r\nbusy", status, http.StatusText(status), extra)
}

// count counts a request that arrived on connection n, or that ran.
func (s *repeater) count(req *http.Request, n int, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := path.Base(req.URL.Path)
	if ran {
		s.runs[name]++
	} else {
		s.arrivals[name] = append(s.arrivals[name], n)
	}
}

// seen returns the connections on which requests for the path arrived and how many ran.
func (s *repeater) seen(name string) (conns []int, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals[name]), s.runs[name]
}

// TestRepeatedRefusal checks that a refusal which a backend server writes once more on a connection is not taken for
// the answer to another request: no caller is told that a request which ran did not run, and none runs twice.
func TestRepeatedRefusal(t *testing.T) {
	for _, c := range tester.Load[repeatCase](t, "repeats.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			plan := testPlan()
			plan.Limits.Body = halfBody
			if slices.Contains(c.At, "half") {
				for i := range plan.Routes {
					plan.Routes[i].Timeout, plan.Routes[i].LatencyTarget = 10*time.Second, 10*time.Second
				}
			}
			state := &fakeState{plan: plan}
			e := startEntry(t, state)
			for _, r := range c.all() {
				t.Run(r.String(), func(t *testing.T) {
					for range 20 {
						if checkRepeat(t, e, state, r) {
							return
						}
					}
					t.Error("no request was sent on a connection that was kept")
				})
			}
		})
	}
}

// checkRepeat plays one refusal and reports whether it came as the row says: a connection that was idle for too long
// carries no request that must run once.
func checkRepeat(t *testing.T, e *entry, state *fakeState, r repeat) bool {
	s := &repeater{repeat: r}
	server := s.start(t)
	state.servers = []model.BackendServer{server}
	b := &backends{t: t, replies: []string{"ok"}}
	p := e.peers.get(server, time.Now())
	prefix, size := "/never/", 10
	if r.Route != "" {
		prefix = "/" + r.Route + "/"
	}
	if r.at == "half" {
		size = halfBody
	}
	kept := r.First != "refused" && r.at != "with" && r.at != "idle"
	if first := func() { e.post(t, prefix+"first", "body") }; kept {
		leaveIdleConn(t, p, first)
	} else {
		first()
		time.Sleep(20 * time.Millisecond)
	}
	if !r.Alone {
		state.servers = append(state.servers, b.start(1)...)
		e.peers.get(state.servers[1], time.Now()).recordLoad("8,8,8", time.Now())
	}
	id := "request-2"
	if r.Same {
		id = "request-1"
	}
	status, body := postAs(t, e, prefix+"next", id, size)
	conns, runs := s.seen("next")
	runs += len(b.seen())
	if promisesNotRun(status) && runs > 0 {
		t.Errorf("status %d promises that the request did not run, which ran %d times", status, runs)
	}
	if runs > 1 && r.Route == "" {
		t.Errorf("the request ran %d times", runs)
	}
	// A copy that names the id of this request, too, cannot be told apart.
	foreign := !r.Same || !kept
	if diff := cmp.Diff(limiter.Permission{}, e.cfg.Announcements.Check(server, time.Now())); diff != "" && foreign {
		t.Errorf("the refusal binds its backend server (-want +got):\n%s", diff)
	}
	p.mu.Lock()
	load := []int{p.running, p.waiting}
	p.mu.Unlock()
	if diff := cmp.Diff([]int{0, 0}, load); diff != "" && foreign {
		t.Errorf("load of the backend server (-want +got):\n%s", diff)
	}
	if firsts, _ := s.seen("first"); kept && (len(conns) == 0 || !slices.Contains(firsts, conns[0])) {
		return false
	}
	if !slices.Contains(r.Want, status) {
		t.Errorf("status %d, want one of %v", status, r.Want)
	}
	if diff := cmp.Diff(status == http.StatusOK, body == id+" answer"); diff != "" {
		t.Errorf("status %d with body %q", status, body)
	}
	// The backend server writes one more refusal at the third request on a connection.
	state.servers = state.servers[:1]
	if status, _ := postAs(t, e, prefix+"after", "request-3", 10); status != http.StatusOK && foreign {
		t.Errorf("status %d for the request after the next, want 200", status)
	}
	return true
}

// postAs sends a request with the id and a body of the size, and returns the status and, after the answer's id, its body.
func postAs(t *testing.T, e *entry, path, id string, size int) (status int, body string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.callers+path, bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Id", id)
	r.Header.Set("Authorization", "Key good")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Id") + " " + string(b)
}
