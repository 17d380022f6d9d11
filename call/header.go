package call

import (
	"net/http"
	"strings"
)

// Headers that callers and upstreams use. All other headers with HeaderPrefix are internal.
const (
	HeaderPrefix     = "Cowslip-"
	HeaderRequestID  = "Cowslip-Request-Id"
	HeaderTimeout    = "Cowslip-Timeout-Ms"
	HeaderCall       = "Cowslip-Call"
	HeaderWorkspace  = "Cowslip-Workspace"
	HeaderImportance = "Cowslip-Importance"
)

// hopByHopHeaders are meaningful for a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true, // each server handles it for its own connection
}

// CheckPath refuses a decoded path that has an empty, "." or ".." segment. Routes are matched by prefix,
// and an upstream that resolves such segments would serve a path other than the matched one.
func CheckPath(path string) *Refusal {
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		if segment == "." || segment == ".." || (segment == "" && !last) {
			return NewRefusal(CodeBadRequest, NotRun, "path %q: must not have empty, \".\" or \"..\" segments", path)
		}
	}
	return nil
}

// CopyHeader copies end-to-end headers from src to dst. It omits hop-by-hop headers, headers listed in
// the Connection header, and all headers with HeaderPrefix.
func CopyHeader(dst, src http.Header) {
	var connectionOptions map[string]bool
	for _, value := range src["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if connectionOptions == nil {
				connectionOptions = map[string]bool{}
			}
			connectionOptions[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if hopByHopHeaders[name] || connectionOptions[name] || strings.HasPrefix(name, HeaderPrefix) {
			continue
		}
		dst[name] = values
	}
}
