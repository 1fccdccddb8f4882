package proctest

import (
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestStandinsListenBesideProcessStarts starts the stand-ins of deployments while other tests start
// processes, which hold copies of all descriptors between fork and exec.
func TestStandinsListenBesideProcessStarts(t *testing.T) {
	const deployments, starters = 60, 4
	stop := make(chan struct{})
	var starts sync.WaitGroup
	defer starts.Wait()
	defer close(stop)
	for range starters {
		starts.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run() // only its start matters
				}
			}
		})
	}
	for range deployments {
		c := &Cluster{opts: Options{Entries: 3, Engines: 6, Plain: 3, Model: "m", ModelService: "m", PlainService: "p", Dir: t.TempDir()}, standinsDone: make(chan error, 1)}
		assert.NilError(t, c.startStandins())
		addresses := []string{c.logAddr, c.instancesAddr}
		for _, n := range c.Backends() {
			addresses = append(addresses, n.backendAddr)
		}
		for _, address := range addresses {
			c.waitListening(t, address)
		}
		assert.Equal(t, len(c.standinsDone), 0)
		c.Close()
	}
}

// waitListening waits until a stand-in listens on an address.
func (c *Cluster) waitListening(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case err := <-c.standinsDone:
			return poll.Error(err)
		default:
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = conn.Close()
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}
