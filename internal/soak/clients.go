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
	// clientsPerNode is the number of clients that send the requests of one node.
	clientsPerNode = 3
	// uploadBytes is the size of the largest bodies. It exceeds what a node buffers in memory.
	uploadBytes = 200 << 10
	// uploadFraction is the fraction of requests with a body whose size is uploadBytes.
	uploadFraction = 0.05
	// disconnectFraction is the fraction of requests whose client disconnects early.
	disconnectFraction = 0.05
	// idleConnFraction is the fraction of requests whose connection is opened up to gracePeriod earlier, so that
	// it can be idle for as long as a shutdown takes.
	idleConnFraction = 0.01
	requestTimeout   = 1500 * time.Millisecond
	// responseLimit is larger than every valid response. A client that receives this many bytes disconnects.
	responseLimit = 2 * maxResponseBytes
)

// clients send requests over persistent connections to their nodes.
type clients struct {
	deployment *deployment
	random     *rand.Rand
	mu         sync.Mutex // guards random
	cancel     context.CancelFunc
	running    sync.WaitGroup
	lastID     int
}

func newClients(d *deployment) *clients {
	return &clients{deployment: d, random: rand.New(rand.NewPCG(d.config.Seed, loadStream)), cancel: func() {}}
}

func (c *clients) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	rate := c.deployment.config.RequestsPerSecond / float64(len(c.deployment.nodes)*clientsPerNode)
	for _, n := range c.deployment.nodes {
		for range clientsPerNode {
			c.running.Go(func() { c.run(ctx, n, rate) })
		}
	}
}

func (c *clients) stop() {
	c.cancel()
	c.running.Wait()
}

// run sends the requests of one client, which reuses its connection until that is closed.
func (c *clients) run(ctx context.Context, n *node, rate float64) {
	var dialer net.Dialer
	openedConn := make(chan net.Conn, 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case conn := <-openedConn:
			return conn, nil
		default:
			return dialer.DialContext(ctx, network, address)
		}
	}}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.mu.Lock()
		pause := time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
		r := c.randomRequest()
		disconnect, openEarly := c.random.Float64() < disconnectFraction, c.random.Float64() < idleConnFraction
		idleTime := time.Duration(c.random.Float64() * float64(gracePeriod))
		c.mu.Unlock()
		sleep(ctx, pause)
		if openEarly {
			client.CloseIdleConnections()
			if conn, err := dialer.DialContext(ctx, "tcp4", n.requestAddress); err == nil { // the node may be down
				openedConn <- conn
				sleep(ctx, idleTime)
			}
		}
		limit := requestTimeout + gracePeriod // clients wait for late responses
		if disconnect {
			limit = serviceTime
		}
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		c.call(callCtx, client, n, r)
		cancel()
	}
}

func (c *clients) randomRequest() request {
	workspace, key := "w0", "key-0-"
	if c.random.IntN(2) == 0 {
		workspace, key = "w1", "key-1-"
	}
	r := request{workspace: workspace, key: key + strconv.Itoa(1+c.random.IntN(2)), timeout: requestTimeout}
	suffix := strconv.Itoa(c.random.IntN(1000)) + "?q=1"
	switch c.random.IntN(4) {
	case 0:
		r.kind, r.path = idempotent, idempotentPrefix+suffix
	case 1:
		r.kind, r.path, r.movingRoute = nonIdempotent, movingPrefix+suffix, true
	default:
		r.kind, r.path = nonIdempotent, nonIdempotentPrefix+suffix
		r.body = []byte("order " + suffix)
		if c.random.Float64() < uploadFraction {
			r.body = bytes.Repeat([]byte("photo "+suffix), uploadBytes/(len(suffix)+6))
		}
	}
	return r
}

// call sends and records one request and its response. It returns the status, or 0 without a complete response.
func (c *clients) call(ctx context.Context, client *http.Client, n *node, r request) int {
	c.mu.Lock()
	c.lastID++
	r.ID = "r" + strconv.Itoa(c.lastID)
	c.mu.Unlock()
	r.node = n
	c.deployment.history.recordRequest(&r)
	if c.deployment.config.Defect == DefectRepeat && r.kind == nonIdempotent {
		other := r
		other.node = c.deployment.nodes[0]
		c.deployment.history.recordResponse(r.ID, c.exchange(ctx, client, &other))
	}
	got := c.exchange(ctx, client, &r)
	c.deployment.history.recordResponse(r.ID, got)
	return got.status
}

func (c *clients) exchange(ctx context.Context, client *http.Client, r *request) response {
	method := http.MethodPost
	if len(r.body) == 0 {
		method = http.MethodGet
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+r.node.requestAddress+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}
	}
	httpRequest.GetBody = nil // prevents net/http from retrying the request
	if len(r.body) == 0 {
		// net/http retries a GET request without a body if its connection is lost.
		httpRequest.Body = io.NopCloser(bytes.NewReader(nil))
	}
	httpRequest.Host = host
	httpRequest.Header.Set("Request-Id", r.ID)
	httpRequest.Header.Set("Timeout-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	if r.key != "" {
		httpRequest.Header.Set("Key", r.key)
	}
	httpResponse, err := client.Do(httpRequest)
	if err != nil {
		return response{disconnected: ctx.Err() != nil, err: err}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, responseLimit))
	if len(body) == responseLimit {
		return response{disconnected: true, partial: true}
	}
	if err != nil {
		return response{disconnected: ctx.Err() != nil, partial: true, err: err}
	}
	return response{
		status: httpResponse.StatusCode, id: strings.TrimSpace(httpResponse.Header.Get("Request-Id")),
		signature: httpResponse.Header.Get("Response-Signature"), body: body,
	}
}
