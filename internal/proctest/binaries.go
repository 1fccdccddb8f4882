package proctest

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

const daemonPackage = "github.com/catkinrudder/catkinrudder/cmd/catkinrudderd"

var (
	buildOnce  sync.Once
	daemonPath string
	errBuild   error
)

// Daemon builds catkinrudderd once per process and returns its path. The
// binary stays in the temporary directory until RemoveDaemon is called.
func Daemon() (string, error) {
	buildOnce.Do(func() { daemonPath, errBuild = buildDaemon() })
	return daemonPath, errBuild
}

func buildDaemon() (string, error) {
	dir, err := os.MkdirTemp("", "catkinrudder-bin-")
	if err != nil {
		return "", errors.Wrap(err, "proctest: build")
	}
	path := filepath.Join(dir, "catkinrudderd")
	out, err := exec.Command("go", "build", "-o", path, daemonPackage).CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "proctest: build: %s", out)
	}
	return path, nil
}

// RemoveDaemon deletes the binary that Daemon built.
func RemoveDaemon() {
	if daemonPath != "" {
		_ = os.RemoveAll(filepath.Dir(daemonPath))
	}
}
