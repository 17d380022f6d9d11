package httpserver

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/config"
)

// keptSeeds returns the number of seeds to run; more by hand with KEPT_SEEDS.
func keptSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("KEPT_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 4
}

// Guards against a request being run whose client gets no answer, as its kept connection is closed by the idle limit, by a
// budget or by a stop at that moment.
func TestKeptConnectionsLoseNoRequest(t *testing.T) {
	for seed := range keptSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runKeptConnections(t, seed, 0) })
	}
}

// Guards against the same for requests that are running when their connection is ended: they must not be canceled either.
func TestKeptConnectionsCancelNoRequest(t *testing.T) {
	for seed := range keptSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runKeptConnections(t, seed, 3*time.Millisecond) })
	}
}

// runKeptConnections runs requests that take some time. One whose context ends is answered with 502.
func runKeptConnections(t *testing.T, seed uint64, work time.Duration) {
	const clients, idle = 60, 10 * time.Millisecond
	var ran sync.Map
	budgets := smallVM
	budgets.MinStall = idle
	budgets.Connections = clients - int(seed%4)*10 // from room for all to room for half
	g := startGuarded(t, budgets, config.ClientLimits{IdleTimeout: idle}, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.URL.Path, true)
		if work > 0 {
			select {
			case <-r.Context().Done():
				w.WriteHeader(http.StatusBadGateway)
				return
			case <-time.After(work):
			}
		}
		readBody(w, r)
	})
	stop := make(chan struct{})
	var running, sweeping sync.WaitGroup
	sweeping.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				g.guard.Sweep(time.Now())
			}
		}
	})
	answered := make([]int, clients)
	for client := range clients {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			var conn net.Conn
			var reader *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					if conn != nil {
						_ = conn.Close()
					}
					return
				default:
				}
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp4", g.address); err != nil {
						return // the server has stopped
					}
					_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // an error shows in the read
					reader = bufio.NewReader(conn)
				}
				path := fmt.Sprintf("/%d/%d", client, i)
				_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) // likewise
				got := status(reader)
				if got == http.StatusBadGateway {
					t.Errorf("request %s was canceled", path)
				}
				if got == 0 {
					time.Sleep(2 * time.Millisecond) // for a request that is still being read
					if _, ok := ran.Load(path); ok {
						t.Errorf("request %s was run and not answered", path)
					}
					_ = conn.Close()
					conn = nil
					continue
				}
				answered[client]++
				time.Sleep(idle/2 + time.Duration(random.Int64N(int64(idle))))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	must.NoError(t, g.server.Shutdown(t.Context()))
	close(stop)
	running.Wait()
	sweeping.Wait()
	total := 0
	for _, n := range answered {
		total += n
	}
	must.Positive(t, total)
}
