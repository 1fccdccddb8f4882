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

// workspaces are competitors on one deployment.
var workspaces = []string{"tuners", "treaters"}

// poisonWords make an engine fail an item for ever.
var poisonWords = []string{standin.PoisonRefused, standin.PoisonCrash}

// bearer is a workspace's key.
func bearer(workspace int) string { return "key-of-" + workspaces[workspace] }

// document is a desired state; slots tells versions apart.
func document(base uint64, slots int) string {
	doc := fmt.Sprintf("base = %d\n", base)
	for i, name := range workspaces {
		doc += fmt.Sprintf("\n[[workspace]]\nname = %q\nkey_sha256 = [\"%x\"]\n", name, sha256.Sum256([]byte(bearer(i))))
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
