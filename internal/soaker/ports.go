package soaker

import (
	"fmt"
	"net"
)

// portTries bounds the search for a port whose successor is free as well.
const portTries = 200

// freePorts returns n ports that are free for TCP now, each with a successor that is free for UDP.
func freePorts(n int) ([]int, error) {
	var out []int
	for range portTries {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err == nil {
			_ = u.Close()
			out = append(out, port)
		}
		// The listener stays open until all ports are found, so that none comes twice.
		defer l.Close()
		if len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports found in %d tries", n, portTries)
}
