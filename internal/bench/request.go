package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipglade/cowslipglade/internal/emulator/upstream"
)

// resultKind is the result of a request as seen by its client.
type resultKind uint8

const (
	resultLost resultKind = iota
	resultOK
	resultRefused
)

// requestResult is the result of a request over all attempts of its client.
type requestResult struct {
	kind     resultKind
	refusal  string // "code/outcome"
	attempts int
	// wrongResponses and corruptResponses count attempts that received the response of another request
	// or a corrupt one.
	wrongResponses, corruptResponses int
	// notRunNonces are the nonces of attempts that were refused with outcome not_run.
	notRunNonces []string
	// sendLatency is the latency of the last attempt.
	sendLatency time.Duration
}

// maxResponseBytes limits the memory for one response; it exceeds the largest response of the emulator.
const maxResponseBytes = 65 << 20

// request sends one planned request, including the retries of its client.
func (l *LoadGenerator) request(ctx context.Context, a arrival) requestResult {
	random := rand.New(rand.NewPCG(a.seed, l.plan.Seed))
	route := l.plan.Routes[a.route]
	id := ""
	if !route.Idempotent {
		var err error
		if id, err = l.ids.take(ctx, a.workspace, random.Int()); err != nil {
			return requestResult{kind: resultRefused, refusal: "request_id_unavailable/not_run"}
		}
	}
	var result requestResult
	for {
		l.attempt(ctx, a, id, random, &result)
		if result.kind == resultOK || result.attempts > l.plan.Retries || ctx.Err() != nil {
			return result
		}
		backoff := time.Duration(random.Float64() * 2 * float64(l.plan.BackoffMS) * float64(time.Millisecond))
		if !sleepUntil(ctx, time.Now().Add(backoff)) {
			return result
		}
	}
}

// attempt sends the request once and records the result.
func (l *LoadGenerator) attempt(ctx context.Context, a arrival, id string, random *rand.Rand, result *requestResult) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.plan.TimeoutMS)*time.Millisecond)
	defer cancel()
	result.attempts++
	result.kind, result.refusal = resultLost, ""
	nonce := fmt.Sprintf("%d-%d-%d", l.plan.Seed, a.number, result.attempts)
	request, err := l.newRequest(ctx, a, id, nonce, random)
	if err != nil {
		return
	}
	begin := time.Now()
	response, err := l.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return
	}
	if response.StatusCode != http.StatusOK {
		result.kind, result.refusal = resultRefused, refusalName(response, body)
		if strings.HasSuffix(result.refusal, "/not_run") {
			result.notRunNonces = append(result.notRunNonces, nonce)
		}
		return
	}
	result.sendLatency = time.Since(begin)
	l.check(response, body, a, nonce, id, result)
}

func (l *LoadGenerator) newRequest(ctx context.Context, a arrival, id, nonce string, random *rand.Rand) (*http.Request, error) {
	route := l.plan.Routes[a.route]
	targets := l.plan.Targets
	if len(route.Targets) > 0 {
		targets = route.Targets
	}
	target := targets[random.IntN(len(targets))] + route.Path
	if route.ResponseBytes > 0 {
		separator := "?"
		if strings.Contains(target, "?") {
			separator = "&"
		}
		target += separator + "answer_bytes=" + strconv.Itoa(route.ResponseBytes)
	}
	request, err := http.NewRequestWithContext(ctx, route.Method, target, bytes.NewReader(l.bodies[a.route]))
	if err != nil {
		return nil, err
	}
	if key := l.plan.Workspaces[a.workspace].Key; key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Header.Set(upstream.HeaderNonce, nonce)
	request.Header.Set(upstream.HeaderTimeout, strconv.FormatInt(l.plan.TimeoutMS, 10))
	if id != "" {
		request.Header.Set(upstream.HeaderRequestID, id)
	}
	return request, nil
}

// check records whether a response is intact and belongs to the request. With a request id, a retry may
// receive the response of an earlier attempt, which carries the nonce of that attempt.
func (l *LoadGenerator) check(response *http.Response, body []byte, a arrival, nonce, id string, result *requestResult) {
	if response.Header.Get(upstream.HeaderResponseHash) != upstream.FormatHash(xxhash.Sum64(body)) {
		result.corruptResponses++
		return
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	var payload upstream.Response
	if err := json.Unmarshal(line, &payload); err != nil {
		result.corruptResponses++
		return
	}
	matches := payload.Nonce == nonce
	if id != "" {
		noncePrefix := nonce[:strings.LastIndexByte(nonce, '-')+1]
		matches = strings.HasPrefix(payload.Nonce, noncePrefix)
	}
	if !matches || payload.BodyHash != upstream.FormatHash(xxhash.Sum64(l.bodies[a.route])) {
		result.wrongResponses++
		return
	}
	result.kind = resultOK
}

// refusalName returns "code/outcome" of a refusal, or "status/outcome" of any other error response.
func refusalName(response *http.Response, body []byte) string {
	var refusal struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	}
	if json.Unmarshal(body, &refusal) == nil && refusal.Code != "" {
		return refusal.Code + "/" + refusal.Outcome
	}
	outcome := response.Header.Get(upstream.HeaderOutcome)
	if outcome == "" {
		outcome = "unknown"
	}
	return strconv.Itoa(response.StatusCode) + "/" + outcome
}

// requestBody returns the body of all requests of a route.
func requestBody(route RouteLoad) []byte {
	body := make([]byte, route.BodyBytes)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(route.Name), 3))
	for i := range body {
		body[i] = byte('a' + random.IntN(26))
	}
	return body
}
