package fleet

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Build builds the node into dir as the deployment does, and returns the
// path of the program. It runs in the module's tree, wherever in it the working
// directory is.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "bankshift")
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-ldflags=-linkmode=external", "-o", path, "bankshift/cmd/bankshift")
	cmd.Env = append(cmd.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("fleet: building the node: %w\n%s", err, out)
	}
	return path, nil
}
