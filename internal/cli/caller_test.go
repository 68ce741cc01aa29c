package cli

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
)

// callSpec is one request of a script:
// call METHOD PATH [-as KEY] [-via ENTRY] [-head 'Name: value'] [-body TEXT or @FILE] [-leave DURATION]
// [-slow true] [-times N] [-bg NAME].
type callSpec struct {
	method, path, key, via, body, background string
	headers                                  []string
	times                                    int
	slowRead                                 bool
	disconnectAfter                          time.Duration
}

func parseCall(ts *testscript.TestScript, args []string) callSpec {
	if len(args) < 2 {
		ts.Fatalf("usage: call METHOD PATH [flags]")
	}
	c := callSpec{method: args[0], path: args[1], key: "example-key-duluth-floor", via: "n1", times: 1}
	for rest := args[2:]; len(rest) >= 2; rest = rest[2:] {
		switch rest[0] {
		case "-as":
			c.key = rest[1]
		case "-via":
			c.via = rest[1]
		case "-head":
			c.headers = append(c.headers, rest[1])
		case "-body":
			c.body = rest[1]
		case "-leave":
			disconnectAfter, err := time.ParseDuration(rest[1])
			ts.Check(err)
			c.disconnectAfter = disconnectAfter
		case "-slow":
			c.slowRead = true
		case "-bg":
			c.background = rest[1]
		case "-times":
			if _, err := fmt.Sscan(rest[1], &c.times); err != nil {
				ts.Fatalf("bad -times %s", rest[1])
			}
		default:
			ts.Fatalf("unknown flag %s", rest[0])
		}
	}
	return c
}

// call sends a request, prints the masked answer and appends it to session.txt. It fails if there
// is no status or one of 400 or more; with ! it fails if the status is below 400.
func (f *testFleet) call(ts *testscript.TestScript, neg bool, args []string) {
	c := parseCall(ts, args)
	if c.background != "" {
		ch := make(chan string, 1)
		f.results[c.background] = ch
		go func() { text, _ := f.send(ts, c); ch <- text }()
		return
	}
	for range c.times {
		text, status := f.send(ts, c)
		f.printAnswer(ts, text)
		if failed := status >= http.StatusBadRequest || status == 0; failed != neg {
			f.dumpLogs(ts)
			ts.Fatalf("%s %s: status %d:\n%s", c.method, c.path, status, text)
		}
	}
}

// printResult waits for a background call and prints its answer.
func (f *testFleet) printResult(ts *testscript.TestScript, name string) {
	f.printAnswer(ts, <-f.results[name])
}

func (f *testFleet) printAnswer(ts *testscript.TestScript, text string) {
	fmt.Fprint(ts.Stdout(), text)
	log, err := os.OpenFile(filepath.Join(ts.Getenv("WORK"), "session.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer log.Close()
	_, err = io.WriteString(log, text)
	ts.Check(err)
}

// send sends one request and returns the masked answer and its status, which is 0 if no answer came.
func (f *testFleet) send(ts *testscript.TestScript, c callSpec) (string, int) {
	body := c.body
	if name, ok := strings.CutPrefix(body, "@"); ok {
		body = ts.ReadFile(name)
	}
	r, err := http.NewRequest(c.method, "http://"+f.procs[c.via].addr+c.path, strings.NewReader(body))
	if err != nil {
		return err.Error(), 0
	}
	if c.key != "none" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	for _, h := range c.headers {
		k, v, _ := strings.Cut(h, ": ")
		r.Header.Set(k, f.unmask(v))
	}
	if c.disconnectAfter > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), c.disconnectAfter)
		defer cancel()
		r = r.WithContext(ctx)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Sprintf("> %s %s\n< no answer\n\n", c.method, c.path), 0
	}
	defer resp.Body.Close()
	var reading io.Reader = resp.Body
	if c.slowRead {
		reading = slowReader{resp.Body}
	}
	b, err := io.ReadAll(reading)
	return f.mask(c, resp, string(b), err), resp.StatusCode
}

// slowReader reads at most 512 bytes a millisecond, as a slow caller does.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Reader.Read(b[:min(len(b), 512)])
}

// checkPending fails if a background call has already ended.
func (f *testFleet) checkPending(ts *testscript.TestScript, name string) {
	if len(f.results[name]) > 0 {
		ts.Fatalf("%s has ended already", name)
	}
}

var volatileValue = regexp.MustCompile(`s1\.[\w.-]+|\b01[0-9A-HJKMNP-TV-Z]{24}\b`)

// mask formats the answer and replaces request ids and tokens, which differ between runs, by stable
// names such as request-1.
func (f *testFleet) mask(c callSpec, resp *http.Response, body string, err error) string {
	var b strings.Builder
	fmt.Fprintf(&b, "> %s %s\n", c.method, c.path)
	for _, h := range c.headers {
		fmt.Fprintf(&b, "> %s\n", h)
	}
	if c.body != "" && len(c.body) < 500 {
		fmt.Fprintf(&b, "> %s\n", c.body)
	}
	fmt.Fprintf(&b, "< %s\n", resp.Status)
	var headers []string
	for k, v := range resp.Header {
		if strings.HasPrefix(k, "Bramleyhinge-") || k == "Retry-After" {
			headers = append(headers, fmt.Sprintf("< %s: %s\n", k, v[0]))
		}
	}
	slices.Sort(headers)
	b.WriteString(strings.Join(headers, ""))
	b.WriteString(strings.TrimRight(body, "\n") + "\n")
	if errors.Is(err, io.ErrUnexpectedEOF) {
		b.WriteString("< broken off\n")
	}
	b.WriteString("\n")
	f.mu.Lock()
	defer f.mu.Unlock()
	return volatileValue.ReplaceAllStringFunc(b.String(), func(s string) string {
		if f.stableNames[s] == "" {
			kind, key := "request", s
			if strings.HasPrefix(s, "s1.") {
				kind, key = "token", tokenContent(s)
			}
			if f.contentNames[key] == "" {
				f.nameCounts[kind]++
				f.contentNames[key] = fmt.Sprintf("%s-%d", kind, f.nameCounts[kind])
			}
			f.stableNames[s] = f.contentNames[key]
		}
		return f.stableNames[s]
	})
}

var expiry = regexp.MustCompile(`"e":\d+`)

// tokenContent returns the payload of a session token without its expiry. The expiry is in seconds, so
// a token that is issued again a moment later may differ in it alone.
func tokenContent(token string) string {
	parts := strings.Split(token, ".")
	if len(parts) < 3 {
		return token
	}
	b, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil {
		return token
	}
	return expiry.ReplaceAllString(string(b), "")
}

// TestTokenContent checks that tokens that differ only in their expiry have the same content, and that
// other tokens do not.
func TestTokenContent(t *testing.T) {
	token := func(payload string) string {
		return "s1.KEY." + base64.RawURLEncoding.EncodeToString([]byte(payload)) + ".MAC"
	}
	a, b, c := token(`{"v":"v1","e":100}`), token(`{"v":"v1","e":101}`), token(`{"v":"v2","e":100}`)
	if tokenContent(a) != tokenContent(b) || tokenContent(a) == tokenContent(c) || tokenContent("s1.odd") != "s1.odd" {
		t.Errorf("contents %q, %q, %q", tokenContent(a), tokenContent(b), tokenContent(c))
	}
}

// unmask returns the value that a stable name stands for, or s if it is no stable name.
func (f *testFleet) unmask(s string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for real, name := range f.stableNames {
		if name == s {
			return real
		}
	}
	return s
}

// awaitBilled waits until the usage report counts want requests for an account, which is given as
// "SERVICE ORGANISATION".
func (f *testFleet) awaitBilled(ts *testscript.TestScript, account, want string) {
	got := ""
	f.waitFor(ts, "billed "+account+" "+want, func() bool {
		store := storer.NewClient(storer.ClientConfig{URL: ts.Getenv("BRAMLEYHINGE_PLATFORM")})
		totals, err := recorder.LoadTotals(context.Background(), store, recorder.Layout{ClaimShards: 4, UsageShards: 8}, 24*time.Hour)
		if err != nil {
			return false
		}
		for k, t := range totals {
			if string(k.Service)+" "+string(k.Organisation) == account {
				got = fmt.Sprint(t.Requests)
			}
		}
		return got == want
	})
}

var versionLine = regexp.MustCompile(`(?m)^< Bramleyhinge-Version: (.+)$`)

// printVersions prints how many versions answered the requests of a session.
func printVersions(ts *testscript.TestScript, session string) {
	seen := map[string]bool{}
	answers := 0
	for part := range strings.SplitSeq(ts.ReadFile("session.txt"), "\n> POST") {
		m := versionLine.FindStringSubmatch(part)
		if m != nil && strings.Contains(part, "> Bramleyhinge-Session: "+session) {
			seen[m[1]] = true
			answers++
		}
	}
	fmt.Fprintf(ts.Stdout(), "%d version in %d answers\n", len(seen), answers)
}

// explainLast runs the explain command for the last request of the script.
func (f *testFleet) explainLast(ts *testscript.TestScript) {
	last := fmt.Sprintf("request-%d", f.nameCounts["request"])
	var out strings.Builder
	if code := Main([]string{"explain", "--platform", ts.Getenv("BRAMLEYHINGE_PLATFORM"), f.unmask(last)}, &out, &out); code != exitOK {
		ts.Fatalf("explain: %s", out.String())
	}
	fmt.Fprint(ts.Stdout(), out.String())
}
