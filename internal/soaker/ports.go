package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// maxPortTries bounds the number of ports that freePorts tries.
	maxPortTries = 1000
	// firstPort and lastPort lie below the ephemeral ports, because an outgoing connection could take an
	// entry's port before the entry starts, and below the ports that the scripts of internal/cli use for
	// processes that they stop and start again.
	firstPort, lastPort = 4_000, 12_000
)

// portsMu keeps processes from being started while freePorts has listeners open: until a new process runs its own
// program, it holds a copy of them, so that the ports stay in use after they were closed here.
var portsMu sync.Mutex

// givenPorts holds the ports that entries have; portsMu guards it. A port is free for a moment before its entry listens,
// and while that is down.
var givenPorts = map[int]bool{}

// releasePorts gives ports back.
func releasePorts(ports []int) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for _, port := range ports {
		delete(givenPorts, port)
	}
}

// freePorts returns n ports that are currently free for TCP and whose next port is free for UDP, and that no other entry
// has.
func freePorts(n int) ([]int, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	var out []int
	for range maxPortTries {
		port := firstPort + 2*rand.IntN((lastPort-firstPort)/2)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		// The listener stays open until all ports are found, so that no port is returned twice.
		defer l.Close()
		u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err != nil {
			continue
		}
		_ = u.Close()
		if out = append(out, port); len(out) == n {
			for _, port := range out {
				givenPorts[port] = true
			}
			return out, nil
		}
	}
	return nil, fmt.Errorf("could not find %d free ports in %d tries", n, maxPortTries)
}
