package chaos

import (
	"crypto/sha256"
	"fmt"

	"github.com/catkinrudder/catkinrudder/internal/standin"
)

// Names of the deployment.
const (
	modelName    = "draft"
	modelService = "assistant"
	plainService = "bookings"
)

// workspaces are the two workspaces that compete for one deployment.
var workspaces = []string{"tuners", "treaters"}

// poisonWords are prompt words that make an item fail permanently at an engine.
var poisonWords = []string{standin.PoisonRefused, standin.PoisonCrash}

// apiKey returns the API key of a workspace.
func apiKey(workspace int) string { return "key-of-" + workspaces[workspace] }

// document returns a desired state. Different slots make versions distinguishable.
func document(base uint64, slots int) string {
	doc := fmt.Sprintf("base = %d\n", base)
	for i, name := range workspaces {
		doc += fmt.Sprintf("\n[[workspace]]\nname = %q\nkey_sha256 = [\"%x\"]\n", name, sha256.Sum256([]byte(apiKey(i))))
	}
	return doc + fmt.Sprintf(`
[[service]]
name = %q
kind = "model"
models = [%q]
slots = %d
deadline = "15s"

[[service]]
name = %q
kind = "plain"
slots = 16
deadline = "4s"

[[service.call]]
method = "POST"
path = "/bookings"
non_idempotent = true
`, modelService, modelName, slots, plainService)
}
