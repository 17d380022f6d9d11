package upstream

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker in the path or body of a request makes the process exit while it handles the request.
const CrashMarker = "crash-upstream"

// Headers between the load generator and the upstream. The load generator sets the nonce; the response
// repeats it and carries the hash of its own body.
const (
	HeaderNonce        = "X-Bench-Nonce"
	HeaderResponseHash = "X-Bench-Answer-Hash"
)

// Headers between a node and its upstream.
const (
	HeaderCall      = "Cowslip-Call"
	HeaderRequestID = "Cowslip-Request-Id"
	HeaderWorkspace = "Cowslip-Workspace"
	HeaderTimeout   = "Cowslip-Timeout-Ms"
	// HeaderOutcome is "not_run" on responses to requests that took no slot.
	HeaderOutcome = "Cowslip-Outcome"
)

// errCrash means that the body contains CrashMarker.
var errCrash = errors.New("crash marker")

// bodySummary holds the size and hash of a request body.
type bodySummary struct {
	bytes int64
	hash  uint64
}

// readBody reads and hashes a body. It returns errCrash at the end of a body that contains CrashMarker.
func readBody(body io.Reader) (bodySummary, error) {
	var total int64
	digest := xxhash.New()
	crash := false
	chunk := make([]byte, 32<<10)
	overlap := 0 // bytes retained because the marker may span two reads
	for {
		n, err := body.Read(chunk[overlap:])
		_, _ = digest.Write(chunk[overlap : overlap+n])
		total += int64(n)
		window := chunk[:overlap+n]
		crash = crash || bytes.Contains(window, []byte(CrashMarker))
		overlap = copy(chunk, window[max(len(window)-len(CrashMarker)+1, 0):])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return bodySummary{bytes: total}, err
		}
	}
	if crash {
		return bodySummary{bytes: total}, errCrash
	}
	return bodySummary{bytes: total, hash: digest.Sum64()}, nil
}

// maxResponseBytes bounds the response size that a request can ask for.
const maxResponseBytes = 64 << 20

// Response is the first line of each response body.
type Response struct {
	Service   string `json:"service"`
	Path      string `json:"path"`
	RequestID string `json:"request_id,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Nonce     string `json:"nonce,omitempty"`
	BodyBytes int64  `json:"body_bytes"`
	// BodyHash is the xxhash of the request body in hexadecimal.
	BodyHash string `json:"body_hash"`
}

// FormatHash returns the hexadecimal form in which responses carry a hash.
func FormatHash(hash uint64) string {
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], hash)
	return hex.EncodeToString(sum[:])
}

// encodeResponse returns the response as a JSON line, padded to size bytes with data derived from its
// nonce. It returns the whole line if that is longer than size.
func encodeResponse(response Response, size int) ([]byte, error) {
	body, err := json.Marshal(response)
	if err != nil {
		return nil, err
	}
	body = append(body, '\n')
	if len(body) >= size {
		return body, nil
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(response.Nonce), 0))
	for len(body) < size {
		body = binary.BigEndian.AppendUint64(body, random.Uint64())
	}
	return body[:size], nil
}

// writeResponse writes the response, or only the first half of its body if truncate is set.
func writeResponse(w http.ResponseWriter, response Response, size int, truncate bool) error {
	body, err := encodeResponse(response, size)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderNonce, response.Nonce)
	w.Header().Set(HeaderResponseHash, FormatHash(xxhash.Sum64(body)))
	if !truncate {
		_, err = w.Write(body)
		return err
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	return nil
}
