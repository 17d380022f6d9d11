package bench

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// LoadGenerator generates the load of a plan. Run must be called at most once.
type LoadGenerator struct {
	plan     Plan
	client   *http.Client
	ids      *idPool
	bodies   [][]byte
	prepared bool
}

// NewLoadGenerator returns a generator for the plan, or the error of Plan.Check if the plan is invalid.
func NewLoadGenerator(plan Plan) (*LoadGenerator, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Duration(plan.TimeoutMS) * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 512,
		MaxIdleConns:        0,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	l := &LoadGenerator{plan: plan, client: client, ids: newIDPool(client, plan)}
	for _, route := range plan.Routes {
		l.bodies = append(l.bodies, requestBody(route))
	}
	return l, nil
}

// prepare fetches request ids. Run calls it if the caller has not.
func (l *LoadGenerator) prepare(ctx context.Context) {
	if !l.prepared {
		l.ids.prefetch(ctx)
	}
	l.prepared = true
}

// Run sends the planned requests and returns the result. When ctx is done it stops sending and cancels
// the requests in flight.
func (l *LoadGenerator) Run(ctx context.Context) Result {
	defer l.client.CloseIdleConnections()
	l.prepare(ctx)
	results := newCollector(l.plan)
	arrivals := newArrivalGenerator(l.plan)
	inFlight := make(chan struct{}, l.plan.MaxInFlight)
	var group sync.WaitGroup
	begin := time.Now()
	for ctx.Err() == nil {
		a, ok := arrivals.next()
		if !ok || !sleepUntil(ctx, begin.Add(a.start)) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			results.recordNotSent(a)
			continue
		}
		results.recordStart(a, time.Since(begin)-a.start)
		group.Go(func() {
			result := l.request(ctx, a)
			results.recordEnd(a, time.Since(begin), result)
			<-inFlight
		})
	}
	group.Wait()
	return results.finish()
}

// sleepUntil waits until due and returns false if ctx is done first. It returns at once if due has
// passed, so that a generator that is late catches up.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
