package proctest

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

// The programs are built at most once in the calling process. Their binaries stay
// in temporary directories until RemovePrograms is called.
var (
	daemonProgram  = program{name: "catkinrudderd"}
	gatewayProgram = program{name: "catkinrudder-gateway"}
)

const commandPath = "github.com/catkinrudder/catkinrudder/cmd/"

// program is a command of this module.
type program struct {
	name string
	once sync.Once
	path string
	err  error
}

// DaemonBinary builds catkinrudderd on the first call and returns its path.
func DaemonBinary() (string, error) { return daemonProgram.binary() }

// GatewayBinary builds catkinrudder-gateway on the first call and returns its path.
func GatewayBinary() (string, error) { return gatewayProgram.binary() }

func (p *program) binary() (string, error) {
	p.once.Do(func() { p.path, p.err = p.build() })
	return p.path, p.err
}

func (p *program) build() (string, error) {
	dir, err := os.MkdirTemp("", "catkinrudder-bin-")
	if err != nil {
		return "", errors.Wrap(err, "proctest: build")
	}
	path := filepath.Join(dir, p.name)
	cmd := exec.Command("go", "build", "-o", path, commandPath+p.name)
	cmd.Dir = sourceDir()
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "proctest: build: %s", out)
	}
	return path, nil
}

// sourceDir returns the directory of this package's source, so that a program is
// built from the same tree whatever the working directory is. It returns an empty
// string if the directory is not recorded in the binary.
func sourceDir() string {
	_, file, _, ok := runtime.Caller(0)
	if dir := filepath.Dir(file); ok && filepath.IsAbs(dir) {
		return dir
	}
	return ""
}

// RemovePrograms deletes the binaries that were built and their directories.
func RemovePrograms() {
	for _, p := range []*program{&daemonProgram, &gatewayProgram} {
		if p.path != "" {
			_ = os.RemoveAll(filepath.Dir(p.path))
		}
	}
}
