package proctest

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// Ports below the system's ephemeral range, so that no outgoing connection
// takes one between its choice and its use.
const (
	firstPort = 12000
	lastPort  = 32000
	portBlock = 500
)

var ports struct {
	sync.Mutex
	next int
}

// FreeAddr returns a loopback address that no earlier call returned and that
// is free at the moment.
func FreeAddr() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		blocks := (lastPort - firstPort) / portBlock
		ports.next = firstPort + os.Getpid()%blocks*portBlock
	}
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if ports.next == lastPort {
			ports.next = firstPort
		}
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			_ = ln.Close()
			return addr, nil
		}
	}
	return "", errors.New("proctest: no free port")
}
