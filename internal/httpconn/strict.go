package httpconn

import (
	"fmt"
	"net/http"
)

// checkHead returns an error wrapping ErrMalformed if the head of a response, interim or final, violates HTTP/1.x although
// net/http accepts it.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrMalformed, response.Proto)
	}
	// Switching protocols is malformed because no request asks for it: what follows is not HTTP.
	if status := response.StatusCode; status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", ErrMalformed, response.Status)
	}
	return nil
}
