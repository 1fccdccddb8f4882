package proctest

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const forwardBuffer = 32 << 10

// Forwarder passes TCP connections on to a target, and can cut, stall or delay
// them. A new one passes everything.
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
	resume chan struct{} // closed unless stalled
	closed bool
}

// NewForwarder listens on a free loopback address for connections to target.
func NewForwarder(target string) (*Forwarder, error) {
	ln, err := listenFree()
	if err != nil {
		return nil, errors.Wrap(err, "proctest: forwarder")
	}
	f := &Forwarder{Addr: ln.Addr().String(), target: target, ln: ln, conns: make(map[net.Conn]struct{}), resume: make(chan struct{})}
	close(f.resume)
	f.wg.Go(f.accept)
	return f, nil
}

// Cut closes every connection and refuses new ones until Restore.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	f.closeConns()
}

// Stall holds every byte back, on old and new connections, until Restore.
func (f *Forwarder) Stall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.resume:
		f.resume = make(chan struct{})
	default:
	}
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
	f.cut, f.delay = false, 0
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
	select {
	case <-f.resume:
	default:
		close(f.resume)
	}
}

// closeConns resets every connection; the caller holds mu.
func (f *Forwarder) closeConns() {
	for c := range f.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
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
	wg.Go(func() { f.copy(out, in) })
	wg.Go(func() { f.copy(in, out) })
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

// copy passes one direction on and closes both ends when it is over.
func (f *Forwarder) copy(dst, src net.Conn) {
	defer func() { _ = dst.Close(); _ = src.Close() }()
	buf := make([]byte, forwardBuffer)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f.hold()
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits as long as the forwarder stalls or delays.
func (f *Forwarder) hold() {
	f.mu.Lock()
	resume, delay := f.resume, f.delay
	f.mu.Unlock()
	<-resume
	if delay > 0 {
		time.Sleep(delay)
	}
}
