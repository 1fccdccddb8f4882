package proctest

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a running program. It is killed if the calling process dies.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu  sync.Mutex
	err error
}

// StartProcess starts a program and appends its output to a file. env adds variables,
// written NAME=VALUE, to its environment.
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

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. It has no effect if the process has exited.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop requests a graceful stop. It returns an error if the process does not exit with
// status zero within the timeout.
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
