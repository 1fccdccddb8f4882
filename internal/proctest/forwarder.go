package proctest

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const forwardBuffer = 32 << 10

// Direction is one of the two ways through a forwarder.
type Direction uint8

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
	directions
)

// Forwarder passes TCP connections on to a target, and can cut, reset, stall,
// delay or narrow them. A new one passes everything.
type Forwarder struct {
	// Addr is where the forwarder listens.
	Addr   string
	target string
	ln     net.Listener
	wg     sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	cut    bool
	delay  time.Duration
	rate   int                       // bytes a second, 0 for any number
	resume [directions]chan struct{} // each closed unless that direction is stalled
	closed bool
}

// NewForwarder listens on a free loopback address for connections to target.
func NewForwarder(target string) (*Forwarder, error) {
	ln, err := listenFree()
	if err != nil {
		return nil, errors.Wrap(err, "proctest: forwarder")
	}
	return forward(ln, target), nil
}

// forward passes the connections that ln accepts on to target.
func forward(ln net.Listener, target string) *Forwarder {
	f := &Forwarder{Addr: ln.Addr().String(), target: target, ln: ln, conns: make(map[net.Conn]struct{})}
	for d := range f.resume {
		f.resume[d] = make(chan struct{})
		close(f.resume[d])
	}
	f.wg.Go(f.accept)
	return f
}

// Cut closes every connection and refuses new ones until Restore.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	f.closeConns()
}

// Reset closes every connection; new ones pass.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeConns()
}

// Stall holds every byte back, on old and new connections, until Restore.
func (f *Forwarder) Stall() {
	f.StallOneWay(ToTarget)
	f.StallOneWay(FromTarget)
}

// StallOneWay holds the bytes of one direction back until Restore.
func (f *Forwarder) StallOneWay(d Direction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.resume[d]:
		f.resume[d] = make(chan struct{})
	default:
	}
}

// Narrow passes at most so many bytes a second, for each connection and
// direction, until Restore.
func (f *Forwarder) Narrow(rate int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = rate
}

// Delay holds each piece back for d in each direction until Restore.
func (f *Forwarder) Delay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// Restore passes everything again.
func (f *Forwarder) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.delay, f.rate = false, 0, 0
	f.unstall()
}

// Close cuts every connection and stops listening.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	f.unstall()
	f.closeConns()
	f.mu.Unlock()
	_ = f.ln.Close()
	f.wg.Wait()
}

// unstall lets bytes pass; the caller holds mu.
func (f *Forwarder) unstall() {
	for _, resume := range f.resume {
		select {
		case <-resume:
		default:
			close(resume)
		}
	}
}

// closeConns resets every connection; the caller holds mu.
func (f *Forwarder) closeConns() {
	for c := range f.conns {
		reset(c)
	}
}

func (f *Forwarder) accept() {
	for {
		in, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.wg.Go(func() { f.serve(in) })
	}
}

func (f *Forwarder) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	if !f.add(in) {
		return
	}
	defer f.remove(in)
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if !f.add(out) {
		return
	}
	defer f.remove(out)
	var wg sync.WaitGroup
	wg.Go(func() { f.copy(out, in, ToTarget) })
	wg.Go(func() { f.copy(in, out, FromTarget) })
	wg.Wait()
}

func (f *Forwarder) add(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut || f.closed {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (f *Forwarder) remove(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// copy passes one direction on until its end, which it passes on too. A direction
// that breaks resets both connections: an end that nobody made must not look like
// one.
func (f *Forwarder) copy(dst, src net.Conn, d Direction) {
	buf := make([]byte, forwardBuffer)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f.hold(d, n)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(dst, src)
				return
			}
		}
		if errors.Is(err, io.EOF) && !f.isCut() {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(dst, src)
			return
		}
	}
}

func (f *Forwarder) isCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

// reset ends connections without the word that they end.
func reset(conns ...net.Conn) {
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// hold waits as long as the forwarder stalls, delays or narrows a piece of n
// bytes.
func (f *Forwarder) hold(d Direction, n int) {
	f.mu.Lock()
	resume, delay, rate := f.resume[d], f.delay, f.rate
	f.mu.Unlock()
	<-resume
	if rate > 0 {
		delay += time.Duration(n) * time.Second / time.Duration(rate)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
}
