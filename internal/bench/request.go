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

// endKind is how a request ended for its client.
type endKind uint8

const (
	endedLost endKind = iota
	endedOK
	endedRefused
)

// ending is the end of a request over all attempts of its client.
type ending struct {
	kind     endKind
	refusal  string // "code/outcome"
	attempts int
	// wrong and corrupt count attempts whose answer breaks the promise of whole, own answers.
	wrong, corrupt int
	// notRun are the nonces of attempts that were refused as not run.
	notRun []string
	// sendLatency is of the last attempt.
	sendLatency time.Duration
}

// maxAnswerRead bounds the memory of one answer; it exceeds the largest answer of the emulator.
const maxAnswerRead = 65 << 20

// request sends one planned request with the retries of its client.
func (l *Load) request(ctx context.Context, a arrival) ending {
	random := rand.New(rand.NewPCG(a.draw, l.plan.Seed))
	route := l.plan.Routes[a.route]
	id := ""
	if !route.Idempotent {
		var err error
		if id, err = l.ids.take(ctx, a.workspace, random.Int()); err != nil {
			return ending{kind: endedRefused, refusal: "request_id_unavailable/not_run"}
		}
	}
	var end ending
	for {
		l.attempt(ctx, a, id, random, &end)
		if end.kind == endedOK || end.attempts > l.plan.Retries || ctx.Err() != nil {
			return end
		}
		pause := time.Duration(random.Float64() * 2 * float64(l.plan.BackoffMS) * float64(time.Millisecond))
		if !sleepUntil(ctx, time.Now().Add(pause)) {
			return end
		}
	}
}

// attempt sends the request once and notes in end how that went.
func (l *Load) attempt(ctx context.Context, a arrival, id string, random *rand.Rand, end *ending) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.plan.TimeoutMS)*time.Millisecond)
	defer cancel()
	end.attempts++
	end.kind, end.refusal = endedLost, ""
	nonce := fmt.Sprintf("%d-%d-%d", l.plan.Seed, a.number, end.attempts)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerRead))
	if err != nil {
		return
	}
	if response.StatusCode != http.StatusOK {
		end.kind, end.refusal = endedRefused, refusalName(response, body)
		if strings.HasSuffix(end.refusal, "/not_run") {
			end.notRun = append(end.notRun, nonce)
		}
		return
	}
	end.sendLatency = time.Since(begin)
	l.check(response, body, a, nonce, id, end)
}

func (l *Load) newRequest(ctx context.Context, a arrival, id, nonce string, random *rand.Rand) (*http.Request, error) {
	route := l.plan.Routes[a.route]
	targets := l.plan.Targets
	if len(route.Targets) > 0 {
		targets = route.Targets
	}
	target := targets[random.IntN(len(targets))] + route.Path
	if route.AnswerBytes > 0 {
		separator := "?"
		if strings.Contains(target, "?") {
			separator = "&"
		}
		target += separator + "answer_bytes=" + strconv.Itoa(route.AnswerBytes)
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

// check decides whether an answer is whole and belongs to the request. With a request id, a repeat
// gets the answer of an earlier attempt, which carries that attempt's nonce.
func (l *Load) check(response *http.Response, body []byte, a arrival, nonce, id string, end *ending) {
	if response.Header.Get(upstream.HeaderResponseHash) != upstream.FormatHash(xxhash.Sum64(body)) {
		end.corrupt++
		return
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	var answer upstream.Response
	if err := json.Unmarshal(line, &answer); err != nil {
		end.corrupt++
		return
	}
	own := answer.Nonce == nonce
	if id != "" {
		root := nonce[:strings.LastIndexByte(nonce, '-')+1]
		own = strings.HasPrefix(answer.Nonce, root)
	}
	if !own || answer.BodyHash != upstream.FormatHash(xxhash.Sum64(l.bodies[a.route])) {
		end.wrong++
		return
	}
	end.kind = endedOK
}

// refusalName returns "code/outcome" of a refusal, or the status of an answer that is not one.
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

// requestBody returns the body that all requests of a route share.
func requestBody(route RouteLoad) []byte {
	body := make([]byte, route.BodyBytes)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(route.Name), 3))
	for i := range body {
		body[i] = byte('a' + random.IntN(26))
	}
	return body
}
