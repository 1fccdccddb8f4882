package proctest

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// Ports are below the system's ephemeral range, so that no outgoing connection takes
// one between its selection and its use.
const (
	firstPort = 12000
	lastPort  = 32000
	portBlock = 2000

	// Each block of ports has loopback networks of its own, starting at
	// 127.firstHostBlock.
	firstHostBlock  = 10
	hostsPerNetwork = 250
)

// ports is the block of ports that this process has reserved. It listens on the first
// port of the block until it exits.
var ports struct {
	sync.Mutex
	reserved    net.Listener
	first, next int
	hosts       int
}

// reservePorts reserves a block that no other process holds. The caller holds the lock
// of ports.
func reservePorts() error {
	blocks := (lastPort - firstPort) / portBlock
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*portBlock
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			ports.reserved, ports.first, ports.next = ln, first, first+1
			return nil
		}
	}
	return errors.New("proctest: no free block of ports")
}

// FreeAddr returns a loopback address with a port that is free at the time of the call
// and that no earlier call returned.
func FreeAddr() (string, error) {
	ln, err := listenFree()
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// FreeIP returns a loopback address that no other test uses, for a program that chooses
// its port itself.
func FreeIP() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.reserved == nil {
		if err := reservePorts(); err != nil {
			return "", err
		}
	}
	block := (ports.first - firstPort) / portBlock
	ports.hosts++
	return fmt.Sprintf("127.%d.%d.%d", firstHostBlock+block, ports.hosts/hostsPerNetwork, 1+ports.hosts%hostsPerNetwork), nil
}

// listenFree listens on a loopback address that no earlier call used. A caller in this
// process must keep the listener rather than open it again: between fork and exec, a
// new process holds a copy of the descriptor, so that the port stays in use.
func listenFree() (net.Listener, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.reserved == nil {
		if err := reservePorts(); err != nil {
			return nil, err
		}
	}
	for range portBlock {
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if ports.next == ports.first+portBlock {
			ports.next = ports.first + 1
		}
		if ln, err := net.Listen("tcp", addr); err == nil {
			return ln, nil
		}
	}
	return nil, errors.New("proctest: no free port")
}
