package proctest

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
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
	cmd := exec.Command("go", "build", "-o", path, daemonPackage)
	cmd.Dir = sourceDir()
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "proctest: build: %s", out)
	}
	return path, nil
}

// sourceDir is where this package's source lies, so that the daemon is built
// from the same tree whatever the working directory is; empty if that is not
// known.
func sourceDir() string {
	_, file, _, ok := runtime.Caller(0)
	if dir := filepath.Dir(file); ok && filepath.IsAbs(dir) {
		return dir
	}
	return ""
}

// RemoveDaemon deletes the binary that Daemon built.
func RemoveDaemon() {
	if daemonPath != "" {
		_ = os.RemoveAll(filepath.Dir(daemonPath))
	}
}
