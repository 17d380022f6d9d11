package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"
)

var requestSequence atomic.Int64

// request is what a client sends.
type request struct {
	method, host, path, key string
	timeout                 time.Duration
	body                    []byte
}

// outcome is what a client has seen of a request.
type outcome struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int // 0 if there was no complete answer
	body   string
	header http.Header
	err    error
}

// client sends requests to the outbound address of a node on kept connections.
type client struct {
	node *node
	http *http.Client
	rec  *record
}

func newClient(n *node, rec *record) *client {
	return &client{node: n, rec: rec, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

func (c *client) do(r request) outcome {
	return c.send(fmt.Sprintf("q%06d", requestSequence.Add(1)), r)
}

// send sends a request with a given id.
func (c *client) send(id string, r request) outcome {
	o := outcome{id: id, sent: time.Now()}
	hr, err := http.NewRequest(r.method, "http://"+c.node.outbound+r.path, bytes.NewReader(r.body))
	if err != nil {
		o.err = err
		return o
	}
	hr.Host = r.host
	hr.Header.Set("Request-Id", o.id)
	hr.Header.Set("Timeout-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	if r.key != "" {
		hr.Header.Set("Key", r.key)
	}
	c.http.Timeout = r.timeout + time.Second
	response, err := c.http.Do(hr)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			o.status, o.body, o.header = response.StatusCode, string(data), response.Header
		}
	}
	o.took, o.err = time.Since(o.sent), err
	c.rec.line("client at %s: %s %s %s -> %d in %.3f s %v", c.node.name, r.method, r.path, o.id, o.status, o.took.Seconds(), errText(err))
	return o
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// readStatus reads a whole answer and returns its status.
func readStatus(conn io.Reader, request *http.Request) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

func sortTimes(times []time.Time) {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
}

// post sends a request on a new connection and closes it after the given time if there is no answer by then. It returns
// the status, or 0, and when the connection was closed by the client, or zero.
func post(n *node, path, id string, timeout, stay time.Duration) (status int, left time.Time) {
	conn, err := net.DialTimeout("tcp4", n.outbound, time.Second)
	if err != nil {
		return 0, time.Time{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(stay))
	request, err := http.NewRequest(http.MethodPost, "http://desk.example"+path, strings.NewReader("one mirror glass"))
	if err != nil {
		return 0, time.Time{}
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	request.Header.Set("Key", "key-of-garage")
	if err := request.Write(conn); err != nil {
		return 0, time.Time{}
	}
	if status, err = readStatus(conn, request); err != nil {
		return 0, time.Now()
	}
	return status, time.Time{}
}
