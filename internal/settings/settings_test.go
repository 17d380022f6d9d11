package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const validSettings = `
name = "n1"
failure_domain = "fd-a"
region = "r1"
failure_domains = ["fd-a", "fd-b"]
caller_address = "10.0.0.1:8080"
local_address = "127.0.0.1:8081"
peer_address = "10.0.0.1:8082"
seeds = ["10.0.0.2:8082"]
platform_endpoints = ["http://10.0.0.9:2379"]
secrets = ["0123456789abcdef"]
operator_token = "0123456789abcdef"
`

func load(t *testing.T, text string) (*Node, error) {
	path := filepath.Join(t.TempDir(), "node.toml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return LoadNode(path)
}

func TestLoadNodeAppliesDefaults(t *testing.T) {
	node, err := load(t, validSettings)
	must.NoError(t, err)
	must.Eq(t, PolicyCurrent, node.Policy)
	must.Eq(t, 32<<20, node.MaxBodyBytes)
}

// An error must include the field, its value and the violated rule, but never a secret.
func TestLoadNodeReportsInvalidFields(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{`name = "UPPER"`, `name = UPPER: must match`},
		{`failure_domains = ["fd-b"]`, `failure_domains = [fd-b]: must contain failure_domain`},
		{`failure_domains = ["fd-a", "fd-a"]`, `failure_domains = fd-a: must be given once`},
		{`peer_address = "localhost:1"`, `peer_address = localhost:1: must be IP:port`},
		{`local_address = "10.0.0.1:1"`, `local_address = 10.0.0.1:1: must be a loopback address`},
		{`seeds = ["x"]`, `seeds = x: must be IP:port`},
		{`platform_endpoints = []`, `platform_endpoints = []: must name at least one URL`},
		{`platform_endpoints = ["ftp://x"]`, `platform_endpoints = ftp://x: must be a URL`},
		{`secrets = ["short-secret"]`, `secrets[0] = (hidden): must be at least 16 bytes long`},
		{`operator_token = "short"`, `operator_token = (hidden)`},
		{`log_level = "loud"`, `log_level = loud: must be debug`},
		{`policy = "best"`, `policy = best: must be current, previous or none`},
		{`max_body_bytes = 0`, `max_body_bytes = 0: must be from 1`},
		{`shutdown_timeout_ms = -1`, `shutdown_timeout_ms = -1: must be from 0`},
		{`unknown_field = 1`, `unknown_field`},
		{`name = `, `malformed`},
	} {
		_, err := load(t, replaceLine(c.line))
		must.Error(t, err, must.Sprint(c.line))
		must.StrContains(t, err.Error(), c.want)
		must.StrNotContains(t, err.Error(), "short-secret")
	}
}

// replaceLine returns validSettings with the line of one field replaced.
func replaceLine(line string) string {
	field, _, _ := strings.Cut(line, " ")
	var text strings.Builder
	for l := range strings.Lines(validSettings) {
		if f, _, _ := strings.Cut(l, " "); f != field {
			text.WriteString(l)
		}
	}
	return text.String() + line + "\n"
}

// Every field must have a row in the settings table of the operations page.
func TestFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	must.NoError(t, err)
	node := reflect.TypeFor[Node]()
	for i := range node.NumField() {
		must.StrContains(t, string(page), "| `"+node.Field(i).Tag.Get("toml")+"` |")
	}
}
