package soaker

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/splitter"
	"github.com/bramleyhinge/bramleyhinge/internal/validator"
	"github.com/bramleyhinge/bramleyhinge/platform"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

var names = platform.Names()

// record is what a caller sent and received for one request.
type record struct {
	ID, Route, Key, Entry string
	Path                  string
	// Part is the part of the prompt that crashes backend servers, empty for a sound request.
	Part string
	Body []byte
	// LastEvent is the ID of the last event that the caller claims to have received, 0 if none.
	LastEvent int
	// Begun is when the caller began to write the request, Sent when it had written all of it, Ended when the response
	// ended.
	Begun, Sent, Ended time.Time
	Manner             manner
	// Paused is how long the caller waited on purpose while it read the response.
	Paused time.Duration
	// Fresh reports that the request is the first one on its connection.
	Fresh bool
	// TimeLimit is the time limit that the caller sends.
	TimeLimit time.Duration
	// HeadAt is when the head of the response arrived.
	HeadAt        time.Time
	Status        int
	Seal, OtherID string
	// Limit is the limit that the backend server names in the response, Leaving whether it says that it leaves.
	Limit   string
	Leaving bool
	Answer  string
	Events  int
	// Complete reports that the caller received the whole response; EventError describes the first
	// unexpected event of a stream.
	Complete   bool
	EventError string
	// Invalid is why HTTP does not allow the response.
	Invalid string
	// Err is why no complete response arrived; Closed reports that the connection ended without a reset.
	Err    string
	Closed bool
	// GaveUp reports that the caller waited for at most a quarter of its time limit.
	GaveUp bool
}

// caller sends requests, with a length or in chunks, to one entry and reuses its connection until the entry closes it or
// a request fails.
type caller struct {
	entry *entry
	seed  uint64
	// part is the part of all prompts that crashes backend servers; empty for a caller of sound requests.
	part    string
	nextKey func(now time.Time) string
	results chan<- record
	// manners draws the manners of the requests.
	manners *rand.Rand
	conn    *pacedReader
	r       *bufio.Reader
	// fresh is set until the first request on the connection.
	fresh bool
}

const (
	// plainTimeLimit and streamTimeLimit are the time limits that callers send with plain and with streaming
	// requests.
	plainTimeLimit, streamTimeLimit = 2 * time.Second, 6 * time.Second
	// giveUpRate is the share of requests whose caller gives up early.
	giveUpRate = 0.03
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 60 * time.Millisecond
	// reconnectDelay is the pause after a failed attempt to connect.
	reconnectDelay = 50 * time.Millisecond
	// bodySize bounds the body: a tenth of it is the largest number of copies of the request ID.
	bodySize = 300
)

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.seed, 2))
	c.manners = rand.New(rand.NewPCG(c.seed, 4))
	for n := 0; ctx.Err() == nil; n++ {
		rec := c.newRecord(rng, n)
		if c.connect() != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		if !c.send(&rec, rng) {
			c.closeConn()
		}
		c.results <- rec
		if pause := time.Duration(rng.ExpFloat64() * float64(thinkTime)); !rec.Manner.Eager || !rec.Complete {
			time.Sleep(pause)
		}
	}
	c.closeConn()
}

// runOnce sends one request on a connection of its own.
func (c *caller) runOnce() {
	rng := rand.New(rand.NewPCG(c.seed, 3))
	c.manners = rand.New(rand.NewPCG(c.seed, 5))
	rec := c.newRecord(rng, 0)
	if c.connect() != nil {
		return
	}
	defer c.closeConn()
	c.send(&rec, rng)
	c.results <- rec
}

// newRecord draws the n-th request of the caller.
func (c *caller) newRecord(rng *rand.Rand, n int) record {
	route := routes[rng.IntN(len(routes))]
	if c.part != "" {
		route = routeByName("chat")
	}
	rec := record{
		ID: fmt.Sprintf("%x-%d-%x", c.seed, n, rng.Uint32()), Route: route.Name, Entry: c.entry.Name, Part: c.part,
		Path: fmt.Sprintf("%s%d", route.Prefix, rng.IntN(100)), TimeLimit: plainTimeLimit, Manner: drawManner(c.manners),
	}
	if len(route.Models) > 0 {
		rec.TimeLimit = streamTimeLimit
		if rng.IntN(8) == 0 {
			rec.LastEvent = 1 + rng.IntN(3)
		}
	}
	rec.Body = bytes.Repeat([]byte(rec.ID+"."), 1+rng.IntN(bodySize/10))
	rec.Key = c.nextKey(time.Now())
	if rng.IntN(40) == 0 {
		rec.Key = "never-" + rec.ID
	}
	return rec
}

func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := shallowDialer.Dial("tcp4", c.entry.callers.address())
	if err != nil {
		return err
	}
	c.conn, c.fresh = &pacedReader{Conn: conn}, true
	c.r = bufio.NewReader(c.conn)
	return nil
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request, reads the response and reports whether the connection can be reused.
func (c *caller) send(rec *record, rng *rand.Rand) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: %s %s\r\n",
		rec.Path, host, names.Request, rec.ID, names.TimeLeft, rec.TimeLimit.Milliseconds(), names.Scheme, rec.Key)
	// Only the entry may set the organisation header; a caller's value must not reach backend servers.
	fmt.Fprintf(&b, "%s: forged\r\n", names.Organisation)
	if rec.TimeLimit == streamTimeLimit {
		shared := "aa:400,"
		if rec.Part != "" {
			shared += rec.Part + ":100,"
		}
		fmt.Fprintf(&b, "%s: *\r\n%s: 900,80\r\n%s: %s%x:500\r\n%s: s%d\r\n", names.Model, names.Usage, names.Prefix, shared, rng.Uint32(), names.Session, rng.IntN(50))
	}
	if rec.LastEvent > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", names.LastEventID, rec.LastEvent)
	}
	rec.Fresh, c.fresh = c.fresh, false
	rec.Begun = time.Now()
	for _, p := range rec.Manner.pieces(b.Bytes(), rec.Body) {
		time.Sleep(p.wait)
		if _, err := c.conn.Write(p.data); err != nil {
			rec.Err, rec.Ended = err.Error(), time.Now()
			return false
		}
	}
	rec.Sent = time.Now()
	c.conn.setPace(rec.Manner)
	defer func() { rec.Ended, rec.Paused = time.Now(), c.conn.paused }()
	wait := rec.TimeLimit + answerSlack
	if rng.Float64() < giveUpRate {
		rec.GaveUp, wait = true, time.Duration(rng.Float64()*float64(rec.TimeLimit)/4)
	}
	if err := c.conn.SetReadDeadline(rec.Sent.Add(wait)); err != nil {
		rec.Err = err.Error()
		return false
	}
	closing, err := c.readAnswer(rec)
	if invalid, ok := errors.AsType[*validator.InvalidError](err); ok {
		rec.Invalid = invalid.Error()
	}
	if err != nil {
		rec.Err, rec.Closed = err.Error(), errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		return false
	}
	return !closing && c.r.Buffered() == 0
}

// answerSlack is how much longer than its time limit a caller waits for the response.
const answerSlack = time.Second

// readAnswer reads the response and reports whether the entry closes the connection after it.
func (c *caller) readAnswer(rec *record) (closing bool, err error) {
	resp, err := validator.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	rec.HeadAt, rec.Status, rec.Seal, rec.Limit = time.Now(), resp.StatusCode, resp.Header.Get(names.Seal), resp.Header.Get(names.Limit)
	rec.Leaving = resp.Header.Get(names.Leaving) != ""
	if id := resp.Header.Get(names.Request); id != rec.ID {
		rec.OtherID = id
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
		rec.Answer = shorten(string(b))
	}
	rec.Complete = true
	return resp.Close, nil
}

// readEvents checks that the events belong to the request and follow each other without a gap.
func (rec *record) readEvents(body io.Reader) error {
	events := splitter.New(body)
	for n := rec.LastEvent + 1; ; n++ {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if want := standin.FormatEvent(rec.ID, n); string(event) != want && rec.EventError == "" {
			rec.EventError = "event " + strconv.Itoa(n) + " is " + strconv.Quote(string(event))
		}
		rec.Events = n
	}
}

// maxAnswerBytes is the size of the longest response body that a record keeps.
const maxAnswerBytes = 1 << 10

// shorten replaces a long response body by its beginning and a hash.
func shorten(body string) string {
	if len(body) <= maxAnswerBytes {
		return body
	}
	return fmt.Sprintf("%s... %x", body[:maxAnswerBytes], xxhash.Sum64String(body))
}
