package proctest

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one running program. It is killed if the calling process dies.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu  sync.Mutex
	err error
}

// StartProcess runs a program whose output goes to the end of a file. env adds
// variables to its environment, written NAME=VALUE.
func StartProcess(logFile string, env []string, path string, args ...string) (*Process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "proctest")
	}
	defer func() { _ = out.Close() }()
	p := &Process{cmd: exec.Command(path, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(append(os.Environ(), "GOMAXPROCS=2"), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "proctest")
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.exited)
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process, if it still runs.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop asks the process to stop gracefully. It is an error if the process has
// not exited with status zero after the timeout.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(timeout):
		return errors.Errorf("proctest: process %d did not stop within %s", p.cmd.Process.Pid, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrap(p.err, "proctest: stop")
}
