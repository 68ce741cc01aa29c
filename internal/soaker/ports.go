package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// portTries bounds the search for ports.
	portTries = 1000
	// firstPort and lastPort lie below the ports that systems give to outgoing connections, one of
	// which would take an entry's port before it starts, and below those that the scripts of
	// internal/cli take for processes that they stop and start again.
	firstPort, lastPort = 4_000, 12_000
)

// freePorts returns n ports that are free for TCP now, each with a successor that is free for UDP.
func freePorts(n int) ([]int, error) {
	var out []int
	for range portTries {
		port := firstPort + 2*rand.IntN((lastPort-firstPort)/2)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		// The listener stays open until all ports are found, so that none comes twice.
		defer l.Close()
		u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err != nil {
			continue
		}
		_ = u.Close()
		if out = append(out, port); len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports found in %d tries", n, portTries)
}
