package call

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against refusal codes that the operators' page does not explain, or explains with another
// status.
func TestCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	must.NoError(t, err)
	for code, status := range statusByCode {
		must.StrContains(t, string(page), fmt.Sprintf("| `%s` | %d |", code, status))
	}
}
