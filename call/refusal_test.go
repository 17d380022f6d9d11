package call

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against refusal codes that the operations page omits or lists with a different status.
func TestCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	must.NoError(t, err)
	for code, status := range statusByCode {
		must.StrContains(t, string(page), fmt.Sprintf("| `%s` | %d |", code, status))
	}
}
