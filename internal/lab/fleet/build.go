package fleet

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

// Build builds the node's program into dir with the same flags as the deployment
// and returns its path. The working directory must be in this module's tree, at
// any depth.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "bankshift")
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-ldflags=-linkmode=external", "-o", path, "bankshift/cmd/bankshift")
	cmd.Env = append(cmd.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("fleet: building the node: %w\n%s", err, out)
	}
	return path, nil
}
