package proctest

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const forwardBufferBytes = 32 << 10

// Direction is a direction of traffic through a forwarder.
type Direction uint8

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
	directions
)

// Forwarder forwards TCP connections to a target. It can cut, reset, stall, delay or
// rate-limit them. A new Forwarder applies none of these.
type Forwarder struct {
	// Addr is the listen address.
	Addr   string
	target string
	ln     net.Listener
	wg     sync.WaitGroup

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	cut     bool
	delay   time.Duration
	rate    int                       // bytes per second, 0 for no limit
	resumed [directions]chan struct{} // each is closed unless its direction is stalled
	closed  bool
}

// NewForwarder listens on a free loopback address and forwards connections to target.
func NewForwarder(target string) (*Forwarder, error) {
	ln, err := listenFree()
	if err != nil {
		return nil, errors.Wrap(err, "proctest: forwarder")
	}
	return forward(ln, target), nil
}

// forward returns a Forwarder from the connections that ln accepts to target.
func forward(ln net.Listener, target string) *Forwarder {
	f := &Forwarder{Addr: ln.Addr().String(), target: target, ln: ln, conns: make(map[net.Conn]struct{})}
	for d := range f.resumed {
		f.resumed[d] = make(chan struct{})
		close(f.resumed[d])
	}
	f.wg.Go(f.accept)
	return f
}

// Cut resets every connection and refuses new ones until Restore.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	f.closeConns()
}

// Reset resets every connection. New connections are forwarded.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeConns()
}

// Stall blocks all traffic, on old and new connections, until Restore. Nothing is lost.
func (f *Forwarder) Stall() {
	f.StallDirection(ToTarget)
	f.StallDirection(FromTarget)
}

// StallDirection blocks the traffic of one direction until Restore.
func (f *Forwarder) StallDirection(d Direction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.resumed[d]:
		f.resumed[d] = make(chan struct{})
	default:
	}
}

// LimitRate limits each direction of each connection to rate bytes per second until
// Restore.
func (f *Forwarder) LimitRate(rate int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = rate
}

// Delay delays each chunk by d in each direction until Restore.
func (f *Forwarder) Delay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// Restore ends every cut, stall, delay and rate limit.
func (f *Forwarder) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.delay, f.rate = false, 0, 0
	f.resumeAll()
}

// Close resets every connection, stops listening and waits until forwarding has ended.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	f.resumeAll()
	f.closeConns()
	f.mu.Unlock()
	_ = f.ln.Close()
	f.wg.Wait()
}

// resumeAll ends the stall of both directions. The caller holds mu.
func (f *Forwarder) resumeAll() {
	for _, resume := range f.resumed {
		select {
		case <-resume:
		default:
			close(resume)
		}
	}
}

// closeConns resets every connection. The caller holds mu.
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

// copy forwards one direction until end of file and propagates the half-close. If
// reading or writing fails, it resets both connections: a failure must not look like
// an orderly close, which neither end made.
func (f *Forwarder) copy(dst, src net.Conn, d Direction) {
	buf := make([]byte, forwardBufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f.throttle(d, n)
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

// reset closes connections with a TCP reset instead of an orderly close.
func reset(conns ...net.Conn) {
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// throttle blocks for as long as a chunk of n bytes is stalled, delayed or
// rate-limited.
func (f *Forwarder) throttle(d Direction, n int) {
	f.mu.Lock()
	resume, delay, rate := f.resumed[d], f.delay, f.rate
	f.mu.Unlock()
	<-resume
	if rate > 0 {
		delay += time.Duration(n) * time.Second / time.Duration(rate)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
}
