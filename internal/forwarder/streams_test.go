package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// stream sends events as chunks, and the final chunk only if the stream is complete.
func (b *backends) stream(c net.Conn, r *bufio.Reader, id, word, span string) bool {
	var from, to int
	if _, err := fmt.Sscan(span, &from, &to); err != nil {
		b.t.Errorf("bad events %q", span)
	}
	chunk := func(s string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for n := from; n <= to; n++ {
		if word == "slowevents" && n > from {
			time.Sleep(minSilenceLimit * 3 / 4)
		}
		if strings.HasPrefix(word, "pause") && n == from+1 {
			time.Sleep(minSilenceLimit + 500*time.Millisecond)
		}
		padding := ""
		if word == "bigevents" {
			padding = strings.Repeat("x", 512<<10)
		}
		if word == "pausenoid" {
			chunk(fmt.Sprintf("data: %d\n\n", n))
			continue
		}
		chunk(fmt.Sprintf("id: %d\ndata: %d%s\n\n", n, n, padding))
	}
	switch word {
	case "events", "slowevents", "pause", "pausenoid", "bigevents":
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	case "comments", "drip":
		text := map[string]string{"comments": ": still here\n\n", "drip": "x"}[word]
		var err error
		for err == nil {
			time.Sleep(50 * time.Millisecond)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
	case "halfevent":
		chunk(fmt.Sprintf("id: %d\nda", to+1))
	case "endless":
		_, _ = r.ReadByte()
		b.gone <- struct{}{}
	}
	time.Sleep(20 * time.Millisecond)
	return false
}
