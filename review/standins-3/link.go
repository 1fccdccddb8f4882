package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// peerPort is the port at which gateways talk to each other.
const peerPort = 7660

// link carries the datagrams and channels between two gateways. Each of them finds the other at the address of the
// link, which the directory of gateways names in place of the real one.
type link struct {
	// real are the addresses of the gateways, shown those at which the other one finds them.
	real, shown [2]string
	down        atomic.Bool
	mu          sync.Mutex
	open        map[net.Conn]bool
}

// connect puts a link between two gateways. It is called before they start.
func connect(s *store, a, b *gateway, ips [2]string) *link {
	l := &link{open: make(map[net.Conn]bool)}
	for i, g := range []*gateway{a, b} {
		l.real[i] = fmt.Sprintf("%s:%d", g.ip, peerPort)
		l.shown[i] = fmt.Sprintf("%s:%d", ips[i], peerPort)
		if len(l.real[i]) != len(l.shown[i]) {
			panic("the addresses of a link have other lengths")
		}
	}
	var sockets [2]net.PacketConn
	for i := range sockets {
		var err error
		sockets[i], err = net.ListenPacket("udp", l.shown[i])
		must(err)
		ln, err := net.Listen("tcp", l.shown[i])
		must(err)
		go l.carryChannels(ln, l.real[i])
	}
	for i := range sockets {
		// What comes to the shown address of one goes to its real one, from the shown address of the other.
		to, err := net.ResolveUDPAddr("udp", l.real[i])
		must(err)
		go l.carryDatagrams(sockets[i], sockets[1-i], to)
	}
	s.viewOf = map[string]func([]byte) []byte{
		a.name: func(raw []byte) []byte { return bytes.ReplaceAll(raw, []byte(l.real[1]), []byte(l.shown[1])) },
		b.name: func(raw []byte) []byte { return bytes.ReplaceAll(raw, []byte(l.real[0]), []byte(l.shown[0])) },
	}
	return l
}

func (l *link) carryDatagrams(from, through net.PacketConn, to net.Addr) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := from.ReadFrom(buf)
		if err != nil {
			return
		}
		if !l.down.Load() {
			_, _ = through.WriteTo(buf[:n], to)
		}
	}
}

func (l *link) carryChannels(ln net.Listener, to string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if l.down.Load() {
			l.keep(c) // nothing answers
			continue
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			_ = c.Close()
			continue
		}
		l.keep(c)
		l.keep(out)
		go l.copy(out, c)
		go l.copy(c, out)
	}
}

func (l *link) keep(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
}

func (l *link) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	if l.down.Load() {
		return
	}
	_ = to.Close()
	_ = from.Close()
}

// cut drops all datagrams and silences all channels until heal.
func (l *link) cut() { l.down.Store(true) }

// heal ends the cut. Channels from before it are reset.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down.Store(false)
	for c := range l.open {
		_ = c.Close()
		delete(l.open, c)
	}
}
