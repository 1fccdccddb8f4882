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
	portBlock = 2000

	// Each block of ports has loopback networks of its own, from
	// 127.firstHostBlock on.
	firstHostBlock = 10
	hostsPerNet    = 250
)

// ports is the block of ports that this process has reserved by listening on
// the first of them for as long as it runs.
var ports struct {
	sync.Mutex
	reserved    net.Listener
	first, next int
	hosts       int
}

// reserve takes a block that no other process has; the caller holds ports.
func reserve() error {
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

// FreeAddr returns a loopback address that no earlier call returned and that
// is free at the moment.
func FreeAddr() (string, error) {
	ln, err := listenFree()
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// FreeIP returns a loopback address that no other test uses, for a program that
// listens on a port of its own choice.
func FreeIP() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.reserved == nil {
		if err := reserve(); err != nil {
			return "", err
		}
	}
	block := (ports.first - firstPort) / portBlock
	ports.hosts++
	return fmt.Sprintf("127.%d.%d.%d", firstHostBlock+block, ports.hosts/hostsPerNet, 1+ports.hosts%hostsPerNet), nil
}

// listenFree listens on a loopback address that no earlier call used. Whoever
// listens in this process keeps the listener rather than open it again: between
// fork and exec a new process holds a copy of it, and the port stays in use.
func listenFree() (net.Listener, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.reserved == nil {
		if err := reserve(); err != nil {
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
