package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// clientsPerNode share the load of a node.
	clientsPerNode = 3
	// uploadBytes is the largest body, above what a node holds in memory.
	uploadBytes = 200 << 10
	// uploadShare is the share of requests with a large body.
	uploadShare = 0.05
	// leaveShare is the share of requests whose client leaves early.
	leaveShare = 0.05
	// heldShare is the share of requests on a connection that was opened before, for up to the time of a stop.
	heldShare      = 0.01
	requestTimeout = 1500 * time.Millisecond
	// answerLimit is above every good answer; the client leaves when it gets as much.
	answerLimit = 2 * answerBytes
)

// clients send requests with open connections to their nodes until a process is gone.
type clients struct {
	world  *world
	random *rand.Rand
	mu     sync.Mutex // guards random
	cancel context.CancelFunc
	wait   sync.WaitGroup
	number int
}

func newClients(w *world) *clients {
	return &clients{world: w, random: rand.New(rand.NewPCG(w.config.Seed, loadStream)), cancel: func() {}}
}

func (c *clients) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	rate := c.world.config.RequestsPerSecond / float64(len(c.world.nodes)*clientsPerNode)
	for _, n := range c.world.nodes {
		for range clientsPerNode {
			c.wait.Go(func() { c.run(ctx, n, rate) })
		}
	}
}

func (c *clients) stop() {
	c.cancel()
	c.wait.Wait()
}

// run sends the requests of one client, which uses its connection as long as it lasts.
func (c *clients) run(ctx context.Context, n *node, rate float64) {
	var dialer net.Dialer
	held := make(chan net.Conn, 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case conn := <-held:
			return conn, nil
		default:
			return dialer.DialContext(ctx, network, address)
		}
	}}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.mu.Lock()
		pause := time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
		r := c.draw()
		leave, hold := c.random.Float64() < leaveShare, c.random.Float64() < heldShare
		holdTime := time.Duration(c.random.Float64() * float64(graceTime))
		c.mu.Unlock()
		sleep(ctx, pause)
		if hold {
			client.CloseIdleConnections()
			if conn, err := dialer.DialContext(ctx, "tcp4", n.requestAddress); err == nil { // the node may be away
				held <- conn
				sleep(ctx, holdTime)
			}
		}
		limit := requestTimeout + graceTime // a client waits for an answer that is late
		if leave {
			limit = workTime
		}
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		c.call(callCtx, client, n, r)
		cancel()
	}
}

// draw returns a random request.
func (c *clients) draw() request {
	workspace, key := "w0", "key-0-"
	if c.random.IntN(2) == 0 {
		workspace, key = "w1", "key-1-"
	}
	r := request{workspace: workspace, key: key + strconv.Itoa(1+c.random.IntN(2)), timeout: requestTimeout}
	suffix := strconv.Itoa(c.random.IntN(1000)) + "?q=1"
	switch c.random.IntN(4) {
	case 0:
		r.kind, r.path = read, readPrefix+suffix
	case 1:
		r.kind, r.path, r.moved = once, movedPrefix+suffix, true
	default:
		r.kind, r.path = once, oncePrefix+suffix
		r.body = []byte("order " + suffix)
		if c.random.Float64() < uploadShare {
			r.body = bytes.Repeat([]byte("photo "+suffix), uploadBytes/(len(suffix)+6))
		}
	}
	return r
}

// call sends one request and records how it ended. It returns the status, 0 without a whole answer.
func (c *clients) call(ctx context.Context, client *http.Client, n *node, r request) int {
	c.mu.Lock()
	c.number++
	r.ID = "r" + strconv.Itoa(c.number)
	c.mu.Unlock()
	r.node = n
	c.world.ledger.sent(&r)
	if c.world.config.Sabotage == SabotageRepeat && r.kind == once {
		other := r
		other.node = c.world.nodes[0]
		c.world.ledger.answered(r.ID, c.exchange(ctx, client, &other))
	}
	got := c.exchange(ctx, client, &r)
	c.world.ledger.answered(r.ID, got)
	return got.status
}

func (c *clients) exchange(ctx context.Context, client *http.Client, r *request) reply {
	method := http.MethodPost
	if len(r.body) == 0 {
		method = http.MethodGet
	}
	message, err := http.NewRequestWithContext(ctx, method, "http://"+r.node.requestAddress+r.path, bytes.NewReader(r.body))
	if err != nil {
		return reply{}
	}
	message.GetBody = nil // net/http must not send it again by itself
	if len(r.body) == 0 {
		// A GET that is known to have no body is sent again when its connection is lost.
		message.Body = io.NopCloser(bytes.NewReader(nil))
	}
	message.Host = host
	message.Header.Set("Request-Id", r.ID)
	message.Header.Set("Timeout-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	if r.key != "" {
		message.Header.Set("Key", r.key)
	}
	response, err := client.Do(message)
	if err != nil {
		return reply{left: ctx.Err() != nil}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if len(body) == answerLimit {
		return reply{left: true, begun: true}
	}
	if err != nil {
		return reply{left: ctx.Err() != nil, begun: true}
	}
	return reply{
		status: response.StatusCode, id: strings.TrimSpace(response.Header.Get("Request-Id")),
		signature: response.Header.Get("Response-Signature"), body: body,
	}
}
