package soaker

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/splitter"
	"github.com/bramleyhinge/bramleyhinge/platform"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

var names = platform.Names()

// record is what a caller did and saw of one request.
type record struct {
	ID, Route, Key, Entry string
	Path                  string
	Body                  []byte
	// Before is the last event that the caller says to have.
	Before int
	// Sent is when the request was written whole, Ended when its answer ended.
	Sent, Ended time.Time
	Limit       time.Duration
	Status      int
	Seal, Other string
	Answer      string
	Events      int
	// Whole reports that the answer ended properly, Fault what was wrong with it.
	Whole bool
	Fault string
	// Err is why there was no whole answer.
	Err string
	// Left reports that the caller gave up.
	Left bool
}

// caller sends requests to one entry over connections that it keeps as long as they last.
type caller struct {
	entry *entry
	seed  uint64
	keys  func(now time.Time) string
	out   chan<- record
	conn  net.Conn
	r     *bufio.Reader
}

const (
	// limitPlain and limitStream are the times that callers allow.
	limitPlain, limitStream = 2 * time.Second, 6 * time.Second
	// leaveShare is the part of callers that leave early.
	leaveShare = 0.03
	// thinkTime is the mean pause between a caller's requests.
	thinkTime = 60 * time.Millisecond
	// reconnectPause spaces tries to connect.
	reconnectPause = 50 * time.Millisecond
	bodySize       = 300
)

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	dice := rand.New(rand.NewPCG(c.seed, 2))
	for n := 0; ctx.Err() == nil; n++ {
		rec := c.next(dice, n)
		if c.connect() != nil {
			time.Sleep(reconnectPause)
			continue
		}
		if !c.send(&rec, dice) {
			c.drop()
		}
		c.out <- rec
		time.Sleep(time.Duration(dice.ExpFloat64() * float64(thinkTime)))
	}
	c.drop()
}

// next makes a request.
func (c *caller) next(dice *rand.Rand, n int) record {
	route := routes[dice.IntN(len(routes))]
	rec := record{
		ID: fmt.Sprintf("%x-%d-%x", c.seed, n, dice.Uint32()), Route: route.Name, Entry: c.entry.Name,
		Path: fmt.Sprintf("%s%d", route.Prefix, dice.IntN(100)), Limit: limitPlain,
	}
	if len(route.Models) > 0 {
		rec.Limit = limitStream
		if dice.IntN(8) == 0 {
			rec.Before = 1 + dice.IntN(3)
		}
	}
	rec.Body = bytes.Repeat([]byte(rec.ID+"."), 1+dice.IntN(bodySize/10))
	rec.Key = c.keys(time.Now())
	if dice.IntN(40) == 0 {
		rec.Key = "never-" + rec.ID
	}
	return rec
}

func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.entry.callers.address(), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return nil
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send exchanges one request and reports whether the connection may be used again.
func (c *caller) send(rec *record, dice *rand.Rand) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: %s %s\r\nContent-Length: %d\r\n",
		rec.Path, host, names.Request, rec.ID, names.TimeLeft, rec.Limit.Milliseconds(), names.Scheme, rec.Key, len(rec.Body))
	// What only the router may set must not pass.
	fmt.Fprintf(&b, "%s: forged\r\n", names.Organisation)
	if rec.Limit == limitStream {
		fmt.Fprintf(&b, "%s: *\r\n%s: 900,80\r\n%s: aa:400,%x:500\r\n%s: s%d\r\n", names.Model, names.Usage, names.Prefix, dice.Uint32(), names.Session, dice.IntN(50))
	}
	if rec.Before > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", names.LastEventID, rec.Before)
	}
	b.WriteString("\r\n")
	b.Write(rec.Body)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		rec.Err, rec.Ended = err.Error(), time.Now()
		return false
	}
	rec.Sent = time.Now()
	defer func() { rec.Ended = time.Now() }()
	wait := rec.Limit + answerSlack
	if dice.Float64() < leaveShare {
		rec.Left, wait = true, time.Duration(dice.Float64()*float64(rec.Limit)/4)
	}
	if err := c.conn.SetReadDeadline(rec.Sent.Add(wait)); err != nil {
		rec.Err = err.Error()
		return false
	}
	closing, err := c.read(rec)
	if err != nil {
		rec.Err = err.Error()
		return false
	}
	return !closing && c.r.Buffered() == 0
}

// answerSlack is how much longer than its limit a caller waits for a final answer.
const answerSlack = time.Second

// read reads the answer and reports whether the entry closes the connection after it.
func (c *caller) read(rec *record) (closing bool, err error) {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	rec.Status, rec.Seal = resp.StatusCode, resp.Header.Get(names.Seal)
	if id := resp.Header.Get(names.Request); id != rec.ID {
		rec.Other = id
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		if err := rec.readEvents(resp.Body); err != nil {
			return false, err
		}
	} else {
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return false, err
		}
		rec.Answer = string(b)
	}
	rec.Whole = true
	return resp.Close, nil
}

// readEvents checks that events follow each other without a gap and are their request's.
func (rec *record) readEvents(body io.Reader) error {
	events := splitter.New(body)
	for n := rec.Before + 1; ; n++ {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if want := standin.FormatEvent(rec.ID, n); string(event) != want && rec.Fault == "" {
			rec.Fault = "event " + strconv.Itoa(n) + " is " + strconv.Quote(string(event))
		}
		rec.Events = n
	}
}
