package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a client's channel, which is kept for several requests.
type channel struct {
	net.Conn
	r *bufio.Reader
	// answered counts the complete answers on the channel.
	answered int
}

func openChannel(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, r: bufio.NewReader(c)}, nil
}

// outcome is how a request ended for its client.
type outcome struct {
	status int
	// whole is set if the answer is complete.
	whole bool
	seal  string
	body  string
	// keeps is set if the channel may carry another request.
	keeps bool
	// err says how the channel ended before a whole answer.
	err  error
	took time.Duration
}

// request is a client's request.
type request struct {
	method, path, id, body string
	header                 map[string]string
	limit                  time.Duration
}

// send sends a request on the channel and reads its answer.
func (c *channel) send(q request) outcome {
	start := time.Now()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.limit.Milliseconds())
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	_ = c.SetDeadline(start.Add(q.limit))
	if _, err := io.WriteString(c, b.String()); err != nil {
		return outcome{err: err, took: time.Since(start)}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		return outcome{err: err, took: time.Since(start)}
	}
	body, err := io.ReadAll(resp.Body)
	out := outcome{status: resp.StatusCode, seal: resp.Header.Get("X-Replica-Seal"), body: string(body), err: err, took: time.Since(start)}
	if err == nil {
		out.whole, out.keeps = true, !resp.Close
		c.answered++
	}
	return out
}
