package call

import (
	"net/http"
	"path"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against accepting a path that an upstream would clean to a different one and so serve under
// another route.
func FuzzCheckPath(f *testing.F) {
	for _, p := range []string{"/", "/a/b", "/a/", "//a", "/a//b", "/a/../b", "/a/./b", "/a/..", "/..a/b.."} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, p string) {
		if p == "" || p[0] != '/' || CheckPath(p) != nil {
			return
		}
		cleaned := path.Clean(p)
		if p[len(p)-1] == '/' && cleaned != "/" {
			cleaned += "/"
		}
		must.Eq(t, p, cleaned)
	})
}

// Guards against copying hop-by-hop or internal headers, whatever the case of their names in Connection.
func TestCopyHeader(t *testing.T) {
	src := http.Header{
		"Connection": {"x-one, X-Two", "x-three"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "X-Kept": {"4", "5"},
		"Cowslip-Anything": {"6"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"7"}, "Trailer": {"X-Kept"},
	}
	dst := http.Header{}
	CopyHeader(dst, src)
	must.Eq(t, http.Header{"X-Kept": {"4", "5"}}, dst)
}
