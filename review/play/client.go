package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const host = "desk.example"

// request is one attempt of a client.
type request struct {
	ID, Method, Path, Key string
	// Head holds further lines of the head.
	Head []string
	Body string
	// Limit is the client's time limit.
	Limit time.Duration
}

// answer is what the client saw.
type answer struct {
	Sent, Ended  time.Time
	Status       int
	Body         string
	Complete     bool
	CloseAfter   bool
	Err          error
	HeadReceived time.Time
}

// channel is a client's channel to an entry.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(addr string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, r: bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// do sends a request and reads the answer to its end.
func (c *channel) do(w *world, r request) answer {
	lines := []string{
		r.Method + " " + r.Path + " HTTP/1.1", "Host: " + host, "X-Request-Id: " + r.ID, fmt.Sprintf("X-Deadline-Ms: %d", r.Limit.Milliseconds()),
	}
	if r.Key != "" {
		lines = append(lines, "Authorization: Token "+r.Key)
	}
	if r.Method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.Body)))
	}
	lines = append(lines, r.Head...)
	a := answer{}
	w.note("client: %s sends %s %s key %q", r.ID, r.Method, r.Path, r.Key)
	if _, a.Err = io.WriteString(c.conn, header(lines...)+"\r\n"+r.Body); a.Err == nil {
		a.Sent = time.Now()
		if a.Err = c.conn.SetReadDeadline(a.Sent.Add(r.Limit + time.Second)); a.Err == nil {
			c.read(r, &a)
		}
	}
	a.Ended = time.Now()
	w.note("client: %s ends after %.3f s, status %d, complete %v, %d bytes, error %v", r.ID, a.Ended.Sub(a.Sent).Seconds(), a.Status, a.Complete, len(a.Body), a.Err)
	return a
}

func (c *channel) read(r request, a *answer) {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
	if err != nil {
		a.Err = err
		return
	}
	a.Status, a.HeadReceived, a.CloseAfter = resp.StatusCode, time.Now(), resp.Close
	b, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(b), err
	a.Complete = err == nil
}

// once sends a request on a channel of its own.
func (w *world) once(addr string, r request) answer {
	c, err := dial(addr)
	if err != nil {
		w.note("client: %s cannot connect: %v", r.ID, err)
		return answer{Err: err, Sent: time.Now(), Ended: time.Now()}
	}
	defer c.close()
	return c.do(w, r)
}
