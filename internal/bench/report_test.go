package bench

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Checks that runs that differ only by their seed form one row with median, minimum and maximum, and that
// the error for a malformed line contains its number.
func TestReport(t *testing.T) {
	const runs = `{"deployment":"d","scenario":"s","policy":"none","seed":1,"goodput_of_capacity":0.5,"recovery_s":null}
{"deployment":"d","scenario":"s","policy":"none","seed":2,"goodput_of_capacity":0.7,"recovery_s":1}

{"deployment":"d","scenario":"s","policy":"none","seed":3,"goodput_of_capacity":0.6,"recovery_s":2}
`
	dir := t.TempDir()
	must.NoError(t, Report(strings.NewReader(runs), dir))
	report, err := os.ReadFile(filepath.Join(dir, "report.md"))
	must.NoError(t, err)
	must.StrContains(t, string(report), "| d | s | none | 3 | 0.6 (0.5 to 0.7) | 2 (1 to 2) |")
	must.FileExists(t, filepath.Join(dir, "goodput_of_capacity.svg"))
	must.ErrorContains(t, Report(strings.NewReader("x"), dir), "line 1")
}
